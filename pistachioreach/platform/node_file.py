"""Settings of a VM, from the node file that the platform writes at each start."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from pistachioreach.decoding import MALFORMED_JSON_ERRORS, check_number
from pistachioreach.errors import SettingsError

__all__ = ["NODE_FILE_VARIABLE", "VmSettings", "decode_node_file", "read_node_file"]

#: Environment variable that holds the path of the node file.
NODE_FILE_VARIABLE = "PISTACHIOREACH_NODE_FILE"


class VmSettings(NamedTuple):
    """Settings that the platform gives to the router process of a VM.

    Attributes:
        name: Name of the VM.
        failure_domain: Failure domain of the VM.
        callers: `ip:port` on which the router listens for callers.
        readiness: `ip:port` on which the load balancer checks readiness.
        peers: `ip:port` on which the router listens for other routers.
        seeds: `peers` addresses of some other routers, `ip:port`; some may be stale.
        memory_mb: Memory limit, in MB, at which the platform kills the process.
        max_descriptors: Number of file descriptors that sockets may use.
        store: `ip:port` of the platform's store.
        drain: Seconds after which a leaving endpoint must get no new requests.
        grace: Seconds from SIGTERM to SIGKILL.
        configuration_apply: Seconds within which a new configuration must be in
            force.
        retry_ratio: Retry budget of all routers together: retries per request.
        retry_window: Seconds over which the retry budget counts retries.
        retry_slack: Retries of all routers together in a window that the retry
            budget allows in addition to the ratio.
        stall: Seconds that a request waits for a dead endpoint before it is aborted.
        first_start: Whether the whole deployment starts for the first time, so that the
            store has held no rows of routers before.
    """

    name: str
    failure_domain: str
    callers: str
    readiness: str
    peers: str
    seeds: tuple[str, ...]
    memory_mb: float
    max_descriptors: int
    store: str
    drain: float
    grace: float
    configuration_apply: float
    retry_ratio: float
    retry_window: float
    retry_slack: float
    stall: float
    first_start: bool = False


#: File descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200


def read_node_file() -> VmSettings:
    """Read the node file whose path the environment variable holds.

    Raises:
        SettingsError: The variable is not set, or the file cannot be read or is not
            valid.
    """
    path = os.environ.get(NODE_FILE_VARIABLE)
    if not path:
        raise SettingsError(NODE_FILE_VARIABLE, "the environment variable is not set")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, str(error)) from error
    return decode_node_file(raw)


def decode_node_file(raw: bytes) -> VmSettings:
    """Decode a node file; unknown fields are ignored.

    Args:
        raw: Content of the file, as JSON.

    Raises:
        SettingsError: A field is missing or has the wrong type. The error names the
            field.
    """
    try:
        document = msgspec.json.decode(raw)
    except MALFORMED_JSON_ERRORS as error:
        raise SettingsError("node file", str(error)) from error
    seeds = get_field(document, "seeds", list)
    return VmSettings(
        name=get_field(document, "node-name", str),
        failure_domain=get_field(document, "zone", str),
        callers=get_field(document, "listen.front", str),
        readiness=get_field(document, "listen.ready", str),
        peers=get_field(document, "listen.control", str),
        seeds=tuple(seed for seed in seeds if isinstance(seed, str)),
        memory_mb=get_field(document, "limits.memory-mb", float),
        max_descriptors=int(get_field(document, "limits.max-fds", float))
        - RESERVED_DESCRIPTORS,
        store=get_field(document, "platform.address", str),
        drain=get_field(document, "bounds.drain-ms", float) / 1000,
        grace=get_field(document, "bounds.grace-s", float),
        configuration_apply=get_field(document, "bounds.config-apply-ms", float) / 1000,
        retry_ratio=get_field(document, "bounds.retry-ratio", float),
        retry_window=get_field(document, "bounds.retry-window-s", float),
        retry_slack=get_field(document, "bounds.retry-slack", float),
        # This is the only field of the file whose name has an underscore.
        stall=get_field(document, "bounds.stall_ms", float) / 1000,
        first_start=document.get("bootstrap") is True,
    )


def get_field(document: Any, path: str, kind: type) -> Any:
    """Return the value of one field of the node file.

    Args:
        document: The parsed file.
        path: Names of the enclosing objects and of the field, joined by dots.
        kind: Type that the value must have; `float` also accepts integers.

    Raises:
        SettingsError: The field is missing, has the wrong type or is out of range.
    """
    value = document
    for name in path.split("."):
        if not isinstance(value, dict) or name not in value:
            raise SettingsError(path, "the field is missing")
        value = value[name]
    if kind is float:
        try:
            return check_number(value)
        except (TypeError, ValueError) as error:
            raise SettingsError(path, str(error)) from error
    if not isinstance(value, kind):
        raise SettingsError(path, f"expected {kind.__name__}, got {value!r}")
    return value
