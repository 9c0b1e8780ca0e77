"""Count of the steps that a search may take, which bounds its run time."""

from __future__ import annotations

__all__ = ["StepBudget"]


class StepBudget:
    """Number of steps that a search may still take.

    A number of steps, unlike a time, gives the same layout on every machine.

    Args:
        left: The number of steps.
    """

    def __init__(self, left: int) -> None:
        #: Number of steps left; negative once the search has tried to exceed it.
        self.left = left

    def reserve(self, share: float) -> StepBudget:
        """Set a share of the steps left apart, and return it."""
        count = int(share * max(0, self.left))
        self.left -= count
        return StepBudget(count)

    def release(self, reserved: StepBudget) -> None:
        """Take back the steps that are left of a reserved share."""
        self.left += max(0, reserved.left)

    def spend(self, count: int = 1) -> bool:
        """Count steps, and return whether the search may go on."""
        self.left -= count
        return self.left >= 0
