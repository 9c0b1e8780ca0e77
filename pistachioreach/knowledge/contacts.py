"""Which other entries can be reached, and when an unreachable one is tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from pistachioreach.clock import Clock

__all__ = ["Contacts"]

#: Limits in seconds of the first and of each later wait until an entry that did not
#: answer is tried again. Half of a wait is random.
RETRY_LIMITS_SECONDS = (0.25, 16.0)
#: Limit of these waits for an entry that reaches no other entry: the fault is then
#: probably its own link.
ISOLATED_RETRY_SECONDS = 1.0
#: Seconds without any reply after which an entry counts as isolated.
ISOLATED_AFTER_SECONDS = 1.0


class Contacts:
    """Reachability of the other entries, as this entry has seen it.

    Args:
        clock: Clock of all times.
        random: Source of random choices.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        #: Clock of all times.
        self.clock = clock
        #: Source of random choices.
        self.random = random
        #: Number of failed contacts since the last message, by entry or seed address.
        self.failures: dict[str, int] = {}
        #: Names and seed addresses that did not answer when last tried; replaced when
        #: it changes.
        self.unreachable: frozenset[str] = frozenset()
        #: Monotonic time in seconds at which each of these is tried again.
        self.retry_at: dict[str, float] = {}
        #: Monotonic time in seconds of the last message of each entry, by name.
        self.last_heard: dict[str, float] = {}
        #: Monotonic time in seconds of the last reply of each entry, by name.
        self.last_replied: dict[str, float] = {}

    def record_message(self, name: str, replied: bool) -> None:
        """Record that a message of an entry arrived.

        Args:
            name: Name of the entry.
            replied: Whether the message is the reply to a request of this entry.
        """
        now = self.clock.monotonic()
        self.last_heard[name] = now
        if replied:
            self.last_replied[name] = now
        if name in self.failures:
            del self.failures[name]
            self.unreachable = frozenset(self.failures)

    def record_failure(self, name: str) -> None:
        """Record that an entry or a seed did not answer."""
        first, longest = RETRY_LIMITS_SECONDS
        latest = max(self.last_replied.values(), default=float("-inf"))
        if self.clock.monotonic() - latest > ISOLATED_AFTER_SECONDS:
            longest = ISOLATED_RETRY_SECONDS
        count = self.failures.get(name, 0)
        wait = min(longest, first * 2 ** min(count, 16))
        self.failures[name] = count + 1
        if not count:
            self.unreachable = frozenset(self.failures)
        self.retry_at[name] = self.clock.monotonic() + wait * self.random.uniform(
            0.5, 1.0
        )

    def record_reachable(self, names: Iterable[str]) -> None:
        """Try entries again at once that another entry knows to be reachable."""
        now = self.clock.monotonic()
        for name in names:
            if name in self.failures:
                self.retry_at[name] = min(self.retry_at[name], now)

    def may_try(self, name: str) -> bool:
        """Return whether an entry or seed may be contacted now."""
        return (
            name not in self.failures or self.retry_at[name] <= self.clock.monotonic()
        )

    def heard_within(self, name: str, seconds: float) -> bool:
        """Return whether a message of an entry arrived within the last seconds."""
        oldest = self.clock.monotonic() - seconds
        return self.last_heard.get(name, float("-inf")) >= oldest

    def replied_within(self, name: str, seconds: float) -> bool:
        """Return whether an entry replied within the last seconds."""
        oldest = self.clock.monotonic() - seconds
        return self.last_replied.get(name, float("-inf")) >= oldest
