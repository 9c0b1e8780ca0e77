"""Status document of an entry, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pistachioreach.configuration.agreement import ConfigurationReplica
    from pistachioreach.entry import Entry

__all__ = ["entry_status"]


def entry_status(entry: Entry, replica: ConfigurationReplica) -> dict[str, Any]:
    """Return the state of an entry as a JSON-serialisable document.

    Args:
        entry: The entry.
        replica: The entry's copy of the committed configuration and of the roster.
    """
    now = entry.clock.monotonic()
    current = entry.configuration
    row = replica.row
    return {
        "entry": entry.name,
        "failure_domain": entry.failure_domain,
        "version": replica.active_version,
        "committed": row["version"],
        "settled": row["settled"],
        "proposal": row["proposal"],
        "build": current.manifest["build"] if current else 0,
        "roster": [member.name for member in replica.roster],
        "permit_seconds": round(max(0.0, replica.permit_until - now), 2),
        "permitted": replica.may_admit(),
        "peer_bytes": replica.peers.transferred_bytes(),
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
