"""Weighted max-min shares of a capacity, and the workspaces that exceed theirs.

The load that this addresses: some workspaces send more than the engines can hold,
and the others must not lose service because of that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pistachioreach.routing.demand import WorkspaceUsage

__all__ = ["OTHER_WORKSPACES", "fair_shares", "workspace_shares", "workspaces_over"]

#: Name under which reports add up the workspaces that they do not list.
OTHER_WORKSPACES = ""
#: Relative excess over a share that is attributed to rounding: reports are sums of
#: differences of floating-point numbers.
ROUNDING = 1e-6


def fair_shares(
    wanted: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min share of each claimant.

    Nobody gets more than wanted. What a claimant does not want is divided among the
    others by weight, so the shares add up to the capacity or to all that is wanted.

    Args:
        wanted: Amount that each claimant wants, in the unit of the capacity.
        weights: Weight of each claimant, above 0; 1 for those not listed.
        capacity: Amount to divide.
    """
    weight = {name: weights.get(name, 1.0) for name in wanted}
    shares = {}
    left, left_weight = max(0.0, capacity), sum(weight.values())
    # The claimants that want least for their weight are satisfied first. From the
    # first one on that cannot be satisfied, all get the same amount for their weight.
    for name in sorted(wanted, key=lambda name: wanted[name] / weight[name]):
        level = left / left_weight
        shares[name] = min(max(0.0, wanted[name]), level * weight[name])
        left = max(0.0, left - shares[name])
        left_weight -= weight[name]
    return shares


def workspace_shares(workspaces: Mapping[str, WorkspaceUsage]) -> dict[str, float]:
    """Return the share of each listed workspace of the tokens that run now.

    While streams wait, the running tokens are the capacity that the engines turned
    out to have for the present mix of streams. The workspaces that reports add up
    under one name are those that use least. They are taken to be within their shares.

    Args:
        workspaces: Running and waiting tokens of each workspace, over all entries.
    """
    listed = {
        name: usage for name, usage in workspaces.items() if name != OTHER_WORKSPACES
    }
    return fair_shares(
        {name: usage.running + usage.waiting for name, usage in listed.items()},
        {},
        sum(usage.running for usage in listed.values()),
    )


def workspaces_over(workspaces: Mapping[str, WorkspaceUsage]) -> frozenset[str]:
    """Return the workspaces that run more tokens than their share.

    Shares apply only under contention: the result is empty while no stream waits.

    Args:
        workspaces: Running and waiting tokens of each workspace, over all entries.
    """
    if not any(usage.waiting > 0 for usage in workspaces.values()):
        return frozenset()
    return frozenset(
        name
        for name, share in workspace_shares(workspaces).items()
        if workspaces[name].running > share * (1 + ROUNDING)
    )
