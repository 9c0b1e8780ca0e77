"""Checks that a manifest refers only to what it declares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.errors import ManifestError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pistachioreach.manifest.document import ManifestDocument, ModelDocument

__all__ = ["check_references"]


def check_references(manifest: ManifestDocument) -> None:
    """Check names, references and layer ranges.

    Args:
        manifest: A document whose fields have been validated.

    Raises:
        ManifestError: For the first problem found.
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
    """Refuse a name that stands twice in a list."""
    seen = set()
    for index, name in enumerate(names):
        if name in seen:
            raise ManifestError(f"{path}[{index}]", f"name '{name}' is not unique")
        seen.add(name)


def check_known(name: str, known: Iterable[str], path: str, what: str) -> None:
    """Refuse a reference to something that is not declared."""
    if name not in known:
        raise ManifestError(path, f"{what} '{name}' is not declared")


def check_endpoints(manifest: ManifestDocument) -> None:
    """Check each endpoint's references and layer range."""
    models = {model["name"]: model for model in manifest["models"]}
    for index, endpoint in enumerate(manifest["endpoints"]):
        path = f"$.endpoints[{index}]"
        check_known(endpoint["model"], models, f"{path}.model", "model")
        check_known(endpoint["kind"], manifest["kinds"], f"{path}.kind", "kind")
        check_failure_domain(manifest, endpoint["failure_domain"], path)
        first, last = endpoint["first_layer"], endpoint["last_layer"]
        layers = models[endpoint["model"]]["layers"]
        if not first < last <= layers:
            raise ManifestError(
                f"{path}.last_layer",
                f"layers {first} to {last} are not a range within 0 to {layers}",
            )
    for index, model in enumerate(manifest["models"]):
        check_coverage(manifest, model, f"$.models[{index}]")


def check_coverage(manifest: ManifestDocument, model: ModelDocument, path: str) -> None:
    """Refuse a model with a layer that no endpoint holds."""
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
    """Refuse a failure domain that is not declared."""
    domains = manifest["failure_domains"]
    check_known(name, domains, f"{path}.failure_domain", "failure domain")


def check_services(manifest: ManifestDocument) -> None:
    """Check each service's calls and endpoints."""
    names = [endpoint["name"] for endpoint in manifest["endpoints"]]
    for index, service in enumerate(manifest["services"]):
        path = f"$.services[{index}]"
        check_unique((call["name"] for call in service["calls"]), f"{path}.calls")
        for at, endpoint in enumerate(service["endpoints"]):
            check_failure_domain(
                manifest, endpoint["failure_domain"], f"{path}.endpoints[{at}]"
            )
        names += [endpoint["name"] for endpoint in service["endpoints"]]
        check_unique(names, f"{path}.endpoints")


def check_workspaces(manifest: ManifestDocument) -> None:
    """Check each workspace's models and services."""
    models = {model["name"] for model in manifest["models"]}
    services = {service["name"] for service in manifest["services"]}
    for index, workspace in enumerate(manifest["workspaces"]):
        path = f"$.workspaces[{index}]"
        for at, name in enumerate(workspace["models"]):
            check_known(name, models, f"{path}.models[{at}]", "model")
        for at, name in enumerate(workspace["services"]):
            check_known(name, services, f"{path}.services[{at}]", "service")


def check_deadlines(manifest: ManifestDocument) -> None:
    """Refuse a default deadline over the longest allowed."""
    deadlines = manifest["deadlines"]
    if deadlines["default_ms"] > deadlines["max_ms"]:
        raise ManifestError(
            "$.deadlines.default_ms",
            f"{deadlines['default_ms']} is over max_ms, {deadlines['max_ms']}",
        )
