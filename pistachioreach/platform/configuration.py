"""Decoder of the operator's configuration: routes, services and workspaces."""

from __future__ import annotations

from typing import Any

import msgspec

from pistachioreach.decoding import (
    INVALID_DOCUMENT_ERRORS,
    LARGEST_VERSION,
    check_integer,
    check_number,
)
from pistachioreach.errors import ConfigurationError
from pistachioreach.routing.routes import (
    Card,
    EngineModel,
    Limits,
    RetryPolicy,
    Route,
    RouteTable,
    Service,
    Workspace,
)

__all__ = [
    "CONFIGURATION_KEY",
    "decode_configuration",
    "parse_limits",
    "parse_route",
    "parse_service",
    "parse_version",
    "parse_workspace",
]

#: Key of the row that holds the configuration in the operator's table.
CONFIGURATION_KEY = "config"
#: Smallest size of a layer in MB, and of a token in bytes; other sizes are divided by
#: these two.
SMALLEST_SIZE = 1e-6


def decode_configuration(raw: bytes) -> RouteTable:
    """Decode a configuration; unknown fields are ignored.

    Args:
        raw: Configuration as JSON.

    Raises:
        ConfigurationError: A field is missing or has an invalid value.
    """
    try:
        document = msgspec.json.decode(raw)
        return parse_route_table(document)
    except INVALID_DOCUMENT_ERRORS as error:
        raise ConfigurationError(f"cannot decode configuration: {error!r}") from error


def parse_route_table(document: dict[str, Any]) -> RouteTable:
    """Convert a parsed JSON document into a route table."""
    routes: dict[str, list[Route]] = {}
    for item in document["routes"]:
        route = parse_route(item)
        routes.setdefault(route.host, []).append(route)
    longest_prefix_first = {
        host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
        for host, host_routes in routes.items()
    }
    services = {item["name"]: parse_service(item) for item in document["services"]}
    workspaces = None
    # Without any workspace, an empty list refuses all callers of routes with keys.
    if document.get("tenants") is not None:
        workspaces = {}
        for item in document["tenants"]:
            workspaces |= parse_workspace(item)
    return RouteTable(
        version=parse_version(document),
        routes=longest_prefix_first,
        services=services,
        workspaces=workspaces,
        limits=parse_limits(document["limits"]),
    )


def parse_version(document: dict[str, Any]) -> int:
    """Return the version of the document."""
    return check_integer(document["version"], most=LARGEST_VERSION)


def parse_workspace(document: dict[str, Any]) -> dict[str, Workspace]:
    """Convert one workspace of the document; return it by each of its keys.

    Raises:
        TypeError: The name is not a string.
    """
    name = document["name"]
    if not isinstance(name, str):
        raise TypeError(f"the name of a workspace must be a string, not {name!r:.40}")
    return {
        key: Workspace(name, parse_priority(document.get("priority")))
        for key in document.get("api-keys") or ()
    }


def parse_limits(document: dict[str, Any]) -> Limits:
    """Convert the limits on what callers may send."""
    return Limits(
        header_bytes=check_integer(document["max-header-bytes"]),
        body_bytes=check_integer(document["max-body-bytes"]),
        header_seconds=check_number(document["header-timeout-ms"]) / 1000,
        idle_seconds=check_number(document["idle-timeout-ms"]) / 1000,
    )


def parse_priority(value: Any) -> int | None:
    """Return the priority of a workspace, or None if it has none of its own."""
    return None if value is None else check_integer(value)


def parse_route(document: dict[str, Any]) -> Route:
    """Convert one route of the document."""
    streaming = document["kind"] == "streaming"
    event_gap_ms = document.get("gap-target-ms")
    split = document.get("split") or [{"service": document["service"], "weight": 1}]
    return Route(
        name=document["name"],
        host=document["host"],
        prefix=document["prefix"],
        retry_policy=parse_retry_rule(document),
        streaming=streaming,
        timeout=check_number(document["timeout-ms"]) / 1000,
        target=check_number(document.get("slo-ms") or document["timeout-ms"]) / 1000,
        event_gap_target=check_number(event_gap_ms) / 1000 if event_gap_ms else None,
        priority=check_integer(document.get("priority") or 0),
        service_weights=tuple(
            (part["service"], check_number(part["weight"])) for part in split
        ),
        max_attempts=max(1, check_integer(document.get("max-attempts") or 1)),
        public=bool(document.get("public")),
    )


def parse_retry_rule(document: dict[str, Any]) -> RetryPolicy:
    """Return whether and how requests of a route may be retried."""
    if document["kind"] == "idempotent":
        return RetryPolicy.ANY
    if document["kind"] == "streaming" and document.get("resumable"):
        return RetryPolicy.RESUME
    return RetryPolicy.ONCE


def parse_service(document: dict[str, Any]) -> Service:
    """Convert one service of the document."""
    engine = document.get("engine")
    return Service(
        name=document["name"],
        max_connections=check_integer(document.get("max-conns") or 0),
        engine=parse_engine_model(engine) if engine and engine.get("layers") else None,
    )


def parse_engine_model(document: dict[str, Any]) -> EngineModel:
    """Convert the sizes and timings of the model that a service's engines run."""
    models = document.get("models") or [{}]
    return EngineModel(
        layers=check_integer(document["layers"], least=1),
        layer_mb=check_number(document["layer-mb"], SMALLEST_SIZE),
        token_bytes=check_number(document["kv-token-bytes"], SMALLEST_SIZE),
        slots=check_integer(document["slots"]),
        step_ms=check_number(document["step_ms"]),
        request_ms=check_number(document["per_seq_ms"]),
        context_ms=check_number(document["context_per_k"]),
        prefill_ms=1000 / check_number(document["read_per_s"]),
        prefill_chunk=check_integer(document["chunk"]),
        steps_per_pass=check_integer(document.get("stride") or 1),
        link_mbps=check_number(document.get("pipe-mbps") or 0),
        activation_bytes=check_number(document.get("activation-bytes") or 0),
        mean_prompt_tokens=check_number(document["usual"]["prompt"]),
        mean_answer_tokens=check_number(document["usual"]["answer"]),
        load_seconds=check_number(models[0].get("load-s") or 0),
        loads_at_once=check_integer(document.get("loads_at_once") or 1),
        # "pace" multiplies the time of a decoding step, so a higher value is slower.
        cards={
            kind["name"]: Card(
                check_number(kind["size-mb"]),
                check_number(kind["pace"]),
                check_number(kind["read-factor"]),
            )
            for kind in document["kinds"]
        },
        keeps_prompts=document.get("keeps-prompts") is True,
    )
