"""The bound on throughput: maximum flow through the layered graph."""

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
    """Return the most tokens a second that the endpoints of a model can give.

    Nodes are layer boundaries; each endpoint is an edge from the first layer that
    it holds to the layer after its last, with its own capacity.

    Args:
        manifest: The deployment.
        model: Name of the model.
        capacity: Tokens a second of an endpoint when it is full.
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
