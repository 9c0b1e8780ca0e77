"""Decodes the operator's configuration into routes, services and workspaces."""

from __future__ import annotations

from typing import Any

import msgspec

from pistachioreach.errors import ConfigurationError
from pistachioreach.routing.routes import (
    Card,
    EngineModel,
    Limits,
    Repeat,
    Route,
    RouteTable,
    Service,
    Workspace,
)

__all__ = ["CONFIGURATION_KEY", "decode_configuration"]

#: Row of the operator's table that holds the configuration.
CONFIGURATION_KEY = "config"


def decode_configuration(raw: bytes) -> RouteTable:
    """Decode a configuration; fields that are not known are ignored.

    Raises:
        ConfigurationError: A field is missing or wrong.
    """
    try:
        document = msgspec.json.decode(raw)
        return table_of(document)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise ConfigurationError(f"configuration cannot be read: {error!r}") from error


def table_of(document: dict[str, Any]) -> RouteTable:
    """Return the routes, services and workspaces of a decoded document."""
    routes: dict[str, list[Route]] = {}
    for entry in document["routes"]:
        route = route_of(entry)
        routes.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(some, key=lambda route: -len(route.prefix)))
        for host, some in routes.items()
    }
    services = {entry["name"]: service_of(entry) for entry in document["services"]}
    workspaces = None
    if document.get("tenants"):
        workspaces = {
            key: Workspace(entry["name"], entry.get("priority"))
            for entry in document["tenants"]
            for key in entry.get("api-keys", ())
        }
    limits = document["limits"]
    return RouteTable(
        version=int(document["version"]),
        routes=ordered,
        services=services,
        workspaces=workspaces,
        limits=Limits(
            header_bytes=int(limits["max-header-bytes"]),
            body_bytes=int(limits["max-body-bytes"]),
            header_seconds=limits["header-timeout-ms"] / 1000,
            idle_seconds=limits["idle-timeout-ms"] / 1000,
        ),
    )


def route_of(entry: dict[str, Any]) -> Route:
    """Decode one route."""
    streaming = entry["kind"] == "streaming"
    pause = entry.get("gap-target-ms")
    split = entry.get("split") or [{"service": entry["service"], "weight": 1}]
    return Route(
        name=entry["name"],
        host=entry["host"],
        prefix=entry["prefix"],
        repeat=repeat_of(entry),
        streaming=streaming,
        timeout=entry["timeout-ms"] / 1000,
        target=(entry.get("slo-ms") or entry["timeout-ms"]) / 1000,
        pause_target=pause / 1000 if pause else None,
        priority=int(entry.get("priority") or 0),
        shares=tuple((part["service"], float(part["weight"])) for part in split),
        max_attempts=max(1, int(entry.get("max-attempts") or 1)),
        public=bool(entry.get("public")),
    )


def repeat_of(entry: dict[str, Any]) -> Repeat:
    """Return what a route's kind allows to be repeated."""
    if entry["kind"] == "idempotent":
        return Repeat.ANY
    if entry["kind"] == "streaming" and entry.get("resumable"):
        return Repeat.RESUME
    return Repeat.ONCE


def service_of(entry: dict[str, Any]) -> Service:
    """Decode one service."""
    engine = entry.get("engine")
    return Service(
        name=entry["name"],
        connections=int(entry.get("max-conns") or 0),
        engine=engine_of(engine) if engine and engine.get("layers") else None,
    )


def engine_of(entry: dict[str, Any]) -> EngineModel:
    """Decode how the engines of a service run their model."""
    models = entry.get("models") or [{}]
    return EngineModel(
        layers=int(entry["layers"]),
        layer_mb=float(entry["layer-mb"]),
        token_bytes=float(entry["kv-token-bytes"]),
        slots=int(entry["slots"]),
        step_ms=float(entry["step_ms"]),
        request_ms=float(entry["per_seq_ms"]),
        context_ms=float(entry["context_per_k"]),
        prefill_ms=1000 / entry["read_per_s"],
        prefill_chunk=int(entry["chunk"]),
        steps_per_pass=int(entry.get("stride") or 1),
        link_mbps=float(entry.get("pipe-mbps") or 0),
        activation_bytes=float(entry.get("activation-bytes") or 0),
        prompt=float(entry["usual"]["prompt"]),
        answer=float(entry["usual"]["answer"]),
        load_seconds=float(models[0].get("load-s") or 0),
        loads_at_once=int(entry.get("loads_at_once") or 1),
        # "pace" is a factor on the time of a step: higher is slower.
        cards={
            kind["name"]: Card(
                float(kind["size-mb"]), float(kind["pace"]), float(kind["read-factor"])
            )
            for kind in entry["kinds"]
        },
    )
