"""Checks of a manifest across fields: unique names, references and value ranges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.errors import ManifestError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioreach.manifest.document import ManifestDocument, ModelDocument

__all__ = ["check_references"]


def check_references(manifest: ManifestDocument) -> None:
    """Check unique names, references, layer ranges and deadlines of a manifest.

    Args:
        manifest: Manifest whose fields have been validated one by one.

    Raises:
        ManifestError: The manifest is inconsistent; reports the first problem.
    """
    for field in ("models", "endpoints", "services", "workspaces"):
        check_unique((item["name"] for item in manifest[field]), f"$.{field}")
    check_unique(manifest["failure_domains"], "$.failure_domains")
    check_unique(manifest["kinds"], "$.kinds")
    check_endpoints(manifest)
    check_services(manifest)
    check_workspaces(manifest)
    check_deadlines(manifest)


def check_unique(names: Iterable[str], path: str) -> None:
    """Raise ManifestError if a name occurs twice in a list.

    Args:
        names: Names in the list.
        path: Path of the list in the manifest, for the error.
    """
    seen = set()
    for index, name in enumerate(names):
        if name in seen:
            raise ManifestError(f"{path}[{index}]", f"name '{name}' is not unique")
        seen.add(name)


def check_declared(name: str, declared: Iterable[str], path: str, kind: str) -> None:
    """Raise ManifestError if a referenced name is not declared.

    Args:
        name: Referenced name.
        declared: Declared names.
        path: Path of the reference in the manifest, for the error.
        kind: What the name refers to, such as `model`, for the error.
    """
    if name not in declared:
        raise ManifestError(path, f"{kind} '{name}' is not declared")


def check_endpoints(manifest: ManifestDocument) -> None:
    """Check the references and layer range of each model server, and all models."""
    models = {model["name"]: model for model in manifest["models"]}
    for index, endpoint in enumerate(manifest["endpoints"]):
        path = f"$.endpoints[{index}]"
        check_declared(endpoint["model"], models, f"{path}.model", "model")
        check_declared(endpoint["kind"], manifest["kinds"], f"{path}.kind", "kind")
        check_failure_domain(manifest, endpoint["failure_domain"], path)
        first, last = endpoint["first_layer"], endpoint["last_layer"]
        layers = models[endpoint["model"]]["layers"]
        if not first < last <= layers:
            raise ManifestError(
                f"{path}.last_layer",
                f"layers {first} to {last} are not a range within 0 to {layers}",
            )
    for index, model in enumerate(manifest["models"]):
        check_layer_coverage(manifest, model, f"$.models[{index}]")


def check_layer_coverage(
    manifest: ManifestDocument, model: ModelDocument, path: str
) -> None:
    """Raise ManifestError if a model has a layer that no endpoint holds.

    Args:
        manifest: The manifest.
        model: Model in the manifest.
        path: Path of the model in the manifest, for the error.
    """
    covered = set()
    for endpoint in manifest["endpoints"]:
        if endpoint["model"] == model["name"]:
            covered.update(range(endpoint["first_layer"], endpoint["last_layer"]))
    missing = set(range(model["layers"])) - covered
    if missing:
        raise ManifestError(
            path, f"layer {min(missing)} of '{model['name']}' is on no endpoint"
        )


def check_failure_domain(manifest: ManifestDocument, name: str, path: str) -> None:
    """Raise ManifestError if an endpoint's failure domain is not declared.

    Args:
        manifest: The manifest.
        name: Name of the failure domain.
        path: Path of the endpoint in the manifest, for the error.
    """
    domains = manifest["failure_domains"]
    check_declared(name, domains, f"{path}.failure_domain", "failure domain")


def check_services(manifest: ManifestDocument) -> None:
    """Check the calls and endpoints of each plain service.

    The names of endpoints must be unique among those of model servers and all
    plain services.
    """
    names = [endpoint["name"] for endpoint in manifest["endpoints"]]
    for index, service in enumerate(manifest["services"]):
        path = f"$.services[{index}]"
        check_unique((call["name"] for call in service["calls"]), f"{path}.calls")
        for position, endpoint in enumerate(service["endpoints"]):
            check_failure_domain(
                manifest, endpoint["failure_domain"], f"{path}.endpoints[{position}]"
            )
        names += [endpoint["name"] for endpoint in service["endpoints"]]
        check_unique(names, f"{path}.endpoints")


def check_workspaces(manifest: ManifestDocument) -> None:
    """Check that the models and services of each workspace are declared."""
    models = {model["name"] for model in manifest["models"]}
    services = {service["name"] for service in manifest["services"]}
    for index, workspace in enumerate(manifest["workspaces"]):
        path = f"$.workspaces[{index}]"
        for position, name in enumerate(workspace["models"]):
            check_declared(name, models, f"{path}.models[{position}]", "model")
        for position, name in enumerate(workspace["services"]):
            check_declared(name, services, f"{path}.services[{position}]", "service")


def check_deadlines(manifest: ManifestDocument) -> None:
    """Raise ManifestError if the default deadline exceeds the longest allowed one."""
    deadlines = manifest["deadlines"]
    if deadlines["default_ms"] > deadlines["max_ms"]:
        raise ManifestError(
            "$.deadlines.default_ms",
            f"{deadlines['default_ms']} is over max_ms, {deadlines['max_ms']}",
        )
