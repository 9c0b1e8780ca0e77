"""The status of an entry, as operators see it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pistachioreach.configuration.agreement import ConfigurationReplica
    from pistachioreach.entry import Entry

__all__ = ["entry_status"]


def entry_status(entry: Entry, agreement: ConfigurationReplica) -> dict[str, Any]:
    """Return the state of an entry, ready for JSON.

    Args:
        entry: The entry.
        agreement: What it knows of the agreed configuration.
    """
    now = entry.clock.monotonic()
    current = entry.configuration
    row = agreement.row
    return {
        "entry": entry.name,
        "failure_domain": entry.failure_domain,
        "version": agreement.active_version,
        "committed": row["version"],
        "settled": row["settled"],
        "proposal": row["proposal"],
        "build": current.manifest["build"] if current else 0,
        "roster": [member.name for member in agreement.roster],
        "permit_seconds": round(max(0.0, agreement.permit_until - now), 2),
        "permitted": agreement.may_admit(),
        "peer_bytes": agreement.peers.transferred_bytes(),
        "draining": entry.draining,
        "in_progress": entry.in_progress,
        "running": entry.admission.in_flight,
        "waiting": entry.admission.waiting,
        "places": entry.admission.slots,
        "endpoints": {
            name: {
                "in_flight": state.in_flight,
                "leaving": sorted(state.leaving_sources),
                "unreachable": state.unreachable,
                "ejected_seconds": round(max(0.0, state.ejected_until - now), 2),
                "occupancy": round(state.occupancy(now), 3),
                "gap_ms": round(entry.fleet.expected_gap(state, now) * 1000, 2),
            }
            for name, state in entry.fleet.states.items()
        },
    }
