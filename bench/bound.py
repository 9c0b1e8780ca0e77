"""Upper bound on token throughput: maximum flow through a graph of the layers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import networkx

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.manifest import EndpointDocument, ManifestDocument

__all__ = ["tokens_per_second_bound"]


def tokens_per_second_bound(
    manifest: ManifestDocument,
    model: str,
    capacity: Callable[[EndpointDocument], float],
) -> float:
    """Return the maximum number of tokens per second for a model.

    The nodes of the graph are layer boundaries. Each endpoint of the model is an edge
    from the first layer that the endpoint holds to the layer after its last one, and
    the capacity of the edge is the throughput of the endpoint.

    Args:
        manifest: Manifest of the deployment.
        model: Name of the model.
        capacity: Function that returns the tokens per second of an endpoint whose
            slots are all in use.

    Returns:
        The maximum flow in tokens per second; 0 if no endpoint holds the first layer
        or the last one.
    """
    graph = networkx.DiGraph()
    layers = next(m["layers"] for m in manifest["models"] if m["name"] == model)
    for endpoint in manifest["endpoints"]:
        if endpoint["model"] != model:
            continue
        name = endpoint["name"]
        graph.add_edge(endpoint["first_layer"], (name, "in"))
        graph.add_edge((name, "in"), (name, "out"), capacity=capacity(endpoint))
        graph.add_edge((name, "out"), endpoint["last_layer"])
    if 0 not in graph or layers not in graph:
        return 0.0
    return networkx.maximum_flow_value(graph, 0, layers)
