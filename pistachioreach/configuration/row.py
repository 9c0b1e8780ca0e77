"""The rows of the table service that decide which configuration is in force."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple, TypedDict

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = [
    "PERMIT_SECONDS",
    "QUORUM_SHARE",
    "VERSION_ROW",
    "CommittedChange",
    "Member",
    "Proposal",
    "VersionRow",
    "initial_row",
    "is_below_quorum",
    "quorum_size",
    "roster_key",
]

#: Table and key of the row that decides.
VERSION_ROW = ("configuration", "current")
#: Seconds that an entry may admit requests after it last proved that its
#: configuration is current.
PERMIT_SECONDS = 2.0
#: Share of the roster that an entry without the store must be in touch with.
QUORUM_SHARE = 0.5


class Member(NamedTuple):
    """One entry of the roster.

    Attributes:
        name: Name of the VM.
        address: Where other entries connect, `ip:port`.
        failure_domain: Failure domain that it stands in.
        incarnation: Names this run of its process.
        joined: Wall time at which it joined, in seconds since 1970.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: str
    joined: float


class Proposal(TypedDict):
    """A change that is not yet decided.

    Attributes:
        build: Build number of its manifest.
        digest: SHA-256 of its manifest.
        entry: Entry that makes it.
        nonce: Names the change.
    """

    build: int
    digest: str
    entry: str
    nonce: str


class CommittedChange(NamedTuple):
    """A committed change of the manifest.

    Attributes:
        nonce: Names the change.
        version: Its version.
    """

    nonce: str
    version: int


class VersionRow(TypedDict):
    """Value of the row that decides.

    Attributes:
        version: Rises by one with each change of manifest or roster.
        build: Build number of the manifest in force; 0 before the first.
        digest: SHA-256 of that manifest; empty before the first.
        entry: Entry that made the last change of the manifest.
        changes: The last changes of the manifest, the latest first, to settle
            lost answers.
        roster_version: Version whose roster is in force.
        old_roster_version: Version whose roster was in force before; its entries
            are those that must know this version before it is settled.
        settled: Whether enough entries know this version, so that no group of
            others can still admit requests under an older one.
        proposal: A change that is not yet decided, or None.
    """

    version: int
    build: int
    digest: str
    entry: str
    changes: list[CommittedChange]
    roster_version: int
    old_roster_version: int
    settled: bool
    proposal: Proposal | None


def roster_key(version: int) -> str:
    """Return the key of the row that holds a roster."""
    return f"roster-{version}"


def initial_row() -> VersionRow:
    """Return the row before the first change."""
    return VersionRow(
        version=0,
        build=0,
        digest="",
        entry="",
        changes=[],
        roster_version=0,
        old_roster_version=0,
        settled=True,
        proposal=None,
    )


def quorum_size(roster: Collection[Member]) -> int:
    """Return how many entries of a roster must be in touch, oneself included."""
    return math.ceil(QUORUM_SHARE * len(roster))


def is_below_quorum(count: int, roster: Collection[Member]) -> bool:
    """Whether some entries of a roster are too few to admit among themselves."""
    return count < QUORUM_SHARE * len(roster)
