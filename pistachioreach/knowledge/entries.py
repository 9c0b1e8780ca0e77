"""The other entries as this entry knows them: which it can reach, and whom it asks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from pistachioreach.knowledge.contacts import Contacts
from pistachioreach.knowledge.hierarchy import Hierarchy, arrange

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.configuration.row import Member
    from pistachioreach.knowledge.platform import PlatformView
    from pistachioreach.platform.store import Position

__all__ = ["KnownEntries"]


class KnownEntries:
    """The registered entries, their reachability and this entry's place among them.

    Args:
        own_member: Description of this entry.
        platform_view: This entry's view of the platform, with the registered entries.
        clock: Clock of all times.
        random: Source of random choices.
    """

    def __init__(
        self,
        own_member: Member,
        platform_view: PlatformView,
        clock: Clock,
        random: Random,
    ) -> None:
        #: Description of this entry.
        self.own_member = own_member
        #: This entry's view of the platform, with the registered entries.
        self.platform_view = platform_view
        #: Reachability of the other entries.
        self.contacts = Contacts(clock, random)
        #: Names of the entries that the store refuses, by their own word.
        self.refused: set[str] = set()
        #: Hierarchies by excluded entries, for one state of the table of entries.
        self.hierarchies: tuple[Position | None, dict[frozenset[str], Hierarchy]] = (
            None,
            {},
        )
        #: Parent of this entry and entries that poll the store, as last logged.
        self.logged_place: tuple[str | None, tuple[str, ...]] | None = None

    @property
    def members(self) -> dict[str, Member]:
        """The known entries by name, including this one and entries that have ended."""
        return self.platform_view.members

    def hierarchy(self, excluded: frozenset[str] | None = None) -> Hierarchy:
        """Return this entry's place among the other entries.

        Args:
            excluded: Names of the members that count as lost, or None for those that
                this entry cannot reach.
        """
        if excluded is None:
            excluded = self.contacts.unreachable
        position, cached = self.hierarchies
        if position != self.platform_view.entry_rows.significant_position:
            position = self.platform_view.entry_rows.significant_position
            cached = {}
        if excluded not in cached:
            # Few sets are in use at a time; older ones are of no use.
            cached = dict(list(cached.items())[-3:])
            cached[excluded] = arrange(self.own_member, self.members, excluded)
        self.hierarchies = position, cached
        return cached[excluded]

    def store_pollers(self) -> tuple[str, ...]:
        """Return the names of the entries that poll the store for all.

        Entries that the store refuses leave that to others.
        """
        unreachable = self.contacts.unreachable
        refused = self.refused - unreachable
        return self.hierarchy(unreachable | refused if refused else None).pollers

    def registered_count(self) -> int:
        """Return the number of registered entries, this one included.

        Unlike the number of live entries, it does not shrink when this entry cannot
        reach the others, nor is it too small before the first reports.
        """
        return max(1, len(self.members))

    def log_place(self) -> None:
        """Log this entry's place in the hierarchy if it has changed."""
        place, pollers = self.hierarchy(), self.store_pollers()
        if (place.parent, pollers) == self.logged_place:
            return
        self.logged_place = (place.parent, pollers)
        logger.bind(
            parent=place.parent,
            pollers=pollers,
            registered=len(self.members),
            unreachable=sorted(self.contacts.unreachable),
            refused_by_store=sorted(self.refused),
        ).info("place among the entries")

    def partners(self, heard_seconds: float) -> list[str]:
        """Return the names of the entries that this entry reports to now.

        These are its parent, or for a head the other heads, and the entries that would
        take their place if they were reachable again.

        Args:
            heard_seconds: Another head that was heard within these seconds is left
                out, since the reports of two heads go both ways.
        """
        place = self.hierarchy()
        names = self.partners_of(place, heard_seconds)
        retried = [name for name in place.missed if self.contacts.may_try(name)]
        if retried:
            restored = self.hierarchy(place.excluded - set(retried))
            names += self.partners_of(restored, heard_seconds)
        return names

    def partners_of(self, place: Hierarchy, heard_seconds: float) -> list[str]:
        """Return the names of the entries that an entry at a place reports to."""
        if place.parent is not None:
            return [place.parent]
        return [
            head
            for head in place.heads
            if not self.contacts.heard_within(head, heard_seconds)
        ]

    def neighbours(self, children: Iterable[str]) -> list[Member]:
        """Return the entries that are told of a dead engine at once.

        Args:
            children: Names of the entries that report to this one.
        """
        place = self.hierarchy()
        names = [place.parent] if place.parent is not None else list(place.heads)
        return self.others([*names, *children])

    def others(self, names: Iterable[str]) -> list[Member]:
        """Return the other known entries of the given names, each once."""
        return [
            self.members[name]
            for name in dict.fromkeys(names)
            if name in self.members and name != self.own_member.name
        ]

    def polls_store(self) -> bool:
        """Whether this entry polls the store for all."""
        return self.own_member.name in self.store_pollers()
