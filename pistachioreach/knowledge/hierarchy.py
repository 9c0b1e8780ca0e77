"""Hierarchy of the entries: who reports to whom, and who polls the store."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from pistachioreach.configuration.row import Member

__all__ = ["Hierarchy", "arrange"]

#: Number of entries in a deployment up to which every entry is a head, so that all
#: exchange messages with all: a few messages a second each.
MESH_ENTRIES = 8
#: Maximum number of entries that report to one collector. With four reports a second
#: each, a collector spends a few percent of a core on them.
GROUP_ENTRIES = 16
#: Number of entries that poll the store for all: one, and another that is not in the
#: same failure domain, for the time until the loss of the first one is noticed.
POLLERS = 2


class Hierarchy(NamedTuple):
    """Place of one entry among the reachable entries.

    In each failure domain the entry that comes first by name is the head. The next ones
    are collectors if the domain has many entries; the head is a collector too. Other
    entries report to a collector, collectors report to the head, and the heads of all
    failure domains report to each other. The number of messages of an entry is thus
    bounded, however many entries there are.

    Attributes:
        parent: Name of the entry that this entry reports to, or None for a head.
        heads: Names of the other heads.
        collectors: Names of the collectors of this entry's failure domain, its head
            first.
        pollers: Names of the entries that poll the store for all.
        excluded: Names of the entries that were left out.
        missed: Names of those among them that would come before a head, a collector or
            a poller if they were reachable.
    """

    parent: str | None
    heads: tuple[str, ...]
    collectors: tuple[str, ...]
    pollers: tuple[str, ...]
    excluded: frozenset[str]
    missed: tuple[str, ...]


def arrange(
    own: Member, members: Mapping[str, Member], unreachable: frozenset[str]
) -> Hierarchy:
    """Return the place of an entry in the hierarchy.

    Entries that know the same members and reach the same ones arrive at the same
    hierarchy. While they differ, an entry may be asked to collect although it does not
    consider itself a collector.

    Args:
        own: The entry itself.
        members: The known entries by name, with or without the entry itself,
            including entries that have ended.
        unreachable: Names of the members that did not answer.
    """
    domains: dict[str, list[str]] = {own.failure_domain: [own.name]}
    for name, member in members.items():
        if name != own.name and name not in unreachable:
            domains.setdefault(member.failure_domain, []).append(name)
    for names in domains.values():
        names.sort()
    total = sum(len(names) for names in domains.values())
    if total <= MESH_ENTRIES:
        heads = [name for names in domains.values() for name in names]
    else:
        heads = [names[0] for names in domains.values()]
    local = domains[own.failure_domain]
    collectors = local[: -(-len(local) // GROUP_ENTRIES)]
    if own.name in heads:
        parent = None
    elif own.name in collectors:
        parent = collectors[0]
    else:
        parent = choose_by_hash(own.name, collectors)
    return Hierarchy(
        parent,
        tuple(sorted(name for name in heads if name != own.name)),
        tuple(collectors),
        choose_pollers(domains.values()),
        unreachable,
        find_missed(members, unreachable, domains),
    )


def find_missed(
    members: Mapping[str, Member],
    unreachable: frozenset[str],
    domains: Mapping[str, list[str]],
) -> tuple[str, ...]:
    """Return the unreachable entries that other entries may stand in for.

    Args:
        members: The known entries by name.
        unreachable: Names of the entries that were left out.
        domains: Sorted names of the reachable entries of each failure domain.
    """
    small = sum(len(names) for names in domains.values()) < MESH_ENTRIES
    missed = []
    for name in sorted(unreachable & members.keys()):
        names = domains.get(members[name].failure_domain, [])
        leading = names[: max(POLLERS, -(-len(names) // GROUP_ENTRIES))]
        if small or not leading or name < leading[-1]:
            missed.append(name)
    return tuple(missed)


def choose_by_hash(key: str, names: Collection[str]) -> str:
    """Return the entry that a key falls to, by rendezvous hashing.

    When an entry is lost, only the keys that fell to it fall to other ones.

    Args:
        key: Name of another entry, or identifier of an endpoint's run.
        names: Names of the entries to choose from.
    """
    return max(
        names,
        key=lambda name: hashlib.blake2b(
            f"{key}/{name}".encode(), digest_size=8
        ).digest(),
    )


def choose_pollers(domains: Iterable[list[str]]) -> tuple[str, ...]:
    """Return the names of the entries that poll the store.

    Args:
        domains: Sorted names of the reachable entries of each failure domain.
    """
    ranked = sorted(
        (rank, name) for names in domains for rank, name in enumerate(names[:POLLERS])
    )
    return tuple(name for _, name in ranked[:POLLERS])
