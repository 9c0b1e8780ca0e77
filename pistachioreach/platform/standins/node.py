"""Builder of the node file of a VM, as the platform writes it."""

from __future__ import annotations

from typing import Any

__all__ = ["node_document"]


def node_document(
    name: str,
    failure_domain: str,
    callers: str,
    readiness: str,
    peers: str,
    store: str,
    grace: float = 8.0,
) -> dict[str, Any]:
    """Return the parsed content of a VM's node file.

    Args:
        name: Name of the VM.
        failure_domain: Failure domain of the VM.
        callers: `ip:port` on which the router listens for callers.
        readiness: `ip:port` on which the load balancer checks readiness.
        peers: `ip:port` on which the router listens for other routers.
        store: `ip:port` of the store.
        grace: Seconds from SIGTERM to SIGKILL.
    """
    return {
        "node-name": name,
        "bootstrap": True,
        "zone": failure_domain,
        "listen": {"front": callers, "ready": readiness, "control": peers},
        "seeds": [],
        "limits": {"memory-mb": 300, "max-fds": 4100},
        "platform": {"address": store},
        "bounds": {
            "drain-ms": 2000,
            "grace-s": grace,
            "config-apply-ms": 2000,
            "retry-ratio": 0.2,
            "retry-window-s": 10,
            "retry-slack": 198,
            "stall_ms": 2500,
        },
    }
