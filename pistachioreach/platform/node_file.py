"""Settings of one VM, from the file that the platform writes at each start."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from pistachioreach.errors import SettingsError

__all__ = ["NODE_FILE_VARIABLE", "VmSettings", "decode_node_file", "read_node_file"]

#: Environment variable that holds the path of the file.
NODE_FILE_VARIABLE = "PISTACHIOREACH_NODE_FILE"


class VmSettings(NamedTuple):
    """What the platform tells a process of its VM.

    Attributes:
        name: Name of the VM.
        failure_domain: Failure domain that it stands in.
        callers: `ip:port` at which callers connect.
        readiness: `ip:port` at which the balancer asks for readiness.
        peers: `ip:port` at which the other entries connect.
        seeds: `ip:port` of some entries' `peers` address; they may be stale.
        memory_mb: Memory at which the process is killed.
        max_descriptors: Descriptors that sockets may use.
        store: `ip:port` of the platform's store.
        drain: Seconds within which a leaving endpoint must get no new work.
        grace: Seconds from SIGTERM to SIGKILL.
        configuration_apply: Seconds within which a configuration is in force.
        retry_ratio: Retries allowed for each request, over all entries.
        retry_window: Seconds over which retries are counted.
        retry_slack: Retries allowed besides, over all entries.
        stall: Seconds that work waits for a dead endpoint before it is cut off.
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


#: Descriptors that the platform keeps for files.
RESERVED_DESCRIPTORS = 200


def read_node_file() -> VmSettings:
    """Read the file that the environment names.

    Raises:
        SettingsError: The variable is not set, or the file cannot be used.
    """
    path = os.environ.get(NODE_FILE_VARIABLE)
    if not path:
        raise SettingsError(NODE_FILE_VARIABLE, "the variable is not set")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, str(error)) from error
    return decode_node_file(raw)


def decode_node_file(raw: bytes) -> VmSettings:
    """Decode the file; fields that are not known are ignored.

    Raises:
        SettingsError: A field is missing or wrong; the error names it.
    """
    try:
        document = msgspec.json.decode(raw)
    except msgspec.DecodeError as error:
        raise SettingsError("node file", str(error)) from error
    seeds = field(document, "seeds", list)
    return VmSettings(
        name=field(document, "node-name", str),
        failure_domain=field(document, "zone", str),
        callers=field(document, "listen.front", str),
        readiness=field(document, "listen.ready", str),
        peers=field(document, "listen.control", str),
        seeds=tuple(seed for seed in seeds if isinstance(seed, str)),
        memory_mb=field(document, "limits.memory-mb", float),
        max_descriptors=int(field(document, "limits.max-fds", float))
        - RESERVED_DESCRIPTORS,
        store=field(document, "platform.address", str),
        drain=field(document, "bounds.drain-ms", float) / 1000,
        grace=field(document, "bounds.grace-s", float),
        configuration_apply=field(document, "bounds.config-apply-ms", float) / 1000,
        retry_ratio=field(document, "bounds.retry-ratio", float),
        retry_window=field(document, "bounds.retry-window-s", float),
        retry_slack=field(document, "bounds.retry-slack", float),
        # The only field of the file that is written with an underscore.
        stall=field(document, "bounds.stall_ms", float) / 1000,
    )


def field(document: Any, path: str, kind: type) -> Any:
    """Return one field of the file.

    Args:
        document: The decoded file.
        path: Names of the tables and of the field, joined by points.
        kind: Type that it must have; float takes whole numbers too.

    Raises:
        SettingsError: It is missing or of another type.
    """
    value = document
    for name in path.split("."):
        if not isinstance(value, dict) or name not in value:
            raise SettingsError(path, "the field is missing")
        value = value[name]
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if not isinstance(value, kind):
        raise SettingsError(path, f"expected {kind.__name__}, got {value!r}")
    return value
