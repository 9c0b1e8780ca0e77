"""Rows of the table service that record the committed configuration and roster."""

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

#: Table and key of the version row, which records the committed configuration.
VERSION_ROW = ("configuration", "current")
#: Lifetime in seconds of a permit: for so long an entry may admit requests after
#: it last confirmed that its configuration is current.
PERMIT_SECONDS = 2.0
#: Share of the roster, the entry itself included, that must confirm an entry's
#: configuration when the entry cannot reach the store.
QUORUM_SHARE = 0.5


class Member(NamedTuple):
    """One entry in the roster.

    Attributes:
        name: Name of the entry's VM.
        address: Address for connections from other entries, `ip:port`.
        failure_domain: Failure domain of the VM.
        incarnation: Identifier of this run of the entry's process.
        joined: Unix time in seconds at which the entry joined the roster.
        callers: Address at which the entry serves callers, `ip:port`, or an empty
            string if it is not known.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: str
    joined: float
    callers: str = ""


class Proposal(TypedDict):
    """A change of the manifest that is proposed and not yet committed.

    Attributes:
        build: Build number of the proposed manifest.
        digest: SHA-256 of the proposed manifest.
        entry: Name of the entry that coordinates the change.
        nonce: Unique identifier of the change.
    """

    build: int
    digest: str
    entry: str
    nonce: str


class CommittedChange(NamedTuple):
    """A committed change of the manifest.

    Attributes:
        nonce: Unique identifier of the change.
        version: Version that the change created.
    """

    nonce: str
    version: int


class VersionRow(TypedDict):
    """Value of the version row.

    Attributes:
        version: Committed version; incremented by each change of the manifest or
            the roster.
        build: Build number of the committed manifest; 0 before the first one.
        digest: SHA-256 of the committed manifest; empty before the first one.
        entry: Name of the entry that coordinated the last manifest change.
        changes: Most recent manifest changes, latest first. An entry that lost the
            store's response looks here whether its change was committed.
        roster_version: Version that introduced the current roster.
        old_roster_version: Version that introduced the roster in force before this
            version. The entries of that roster must learn of this version before
            it is settled.
        settled: Whether so many entries know this version that the others cannot
            admit requests under an older version any more.
        proposal: Proposed change, or None.
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
    """Return the key of the row that stores the roster introduced by a version."""
    return f"roster-{version}"


def initial_row() -> VersionRow:
    """Return the version row as it is before the first change."""
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
    """Return how many entries of a roster must confirm a configuration.

    The entry that asks counts as one of them.
    """
    return math.ceil(QUORUM_SHARE * len(roster))


def is_below_quorum(count: int, roster: Collection[Member]) -> bool:
    """Whether a group of entries is too small to confirm a configuration itself."""
    return count < QUORUM_SHARE * len(roster)
