"""The ledger of unrepeatable calls: one row each in the table service.

Only the entry whose nonce is in the row may dispatch the call, and only once.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple, TypedDict

import trio

from pistachioreach.dispatch.keys import bucket_of
from pistachioreach.errors import StoreConflict, StoreUnavailable
from pistachioreach.platform.breaker import backoff_seconds
from pistachioreach.platform.wire import Check, Write

if TYPE_CHECKING:
    from random import Random

    from pistachioreach.platform.table import TableClient

__all__ = [
    "CallLedger",
    "CallRow",
    "CallState",
    "Claim",
    "ClaimProgress",
    "ClaimResult",
    "Outcome",
]

#: Upper limit of the first wait between tries, in seconds.
FIRST_BACKOFF_SECONDS = 0.05
#: Upper limit of every wait between tries, in seconds.
LONGEST_BACKOFF_SECONDS = 0.5


class CallState(enum.StrEnum):
    """How far a call has got, as its row says."""

    #: Its holder may dispatch it, or has done so.
    STARTED = "started"
    #: It ran, and the row holds the answer.
    DONE = "done"
    #: Its holder gave up before dispatching it, and never will.
    ABANDONED = "abandoned"
    #: It was dispatched and its outcome is not known.
    UNKNOWN = "unknown"


class Outcome(TypedDict):
    """The answer of a service.

    Attributes:
        status: Status code.
        body: Body, as text.
    """

    status: int
    body: str


class CallRow(TypedDict):
    """Value of a row.

    Attributes:
        nonce: Names the one dispatch that the row allows.
        entry: Name of the entry that holds it.
        digest: Digest of the call's name and body.
        state: A `CallState`.
        outcome: The answer, when it is known.
    """

    nonce: str
    entry: str
    digest: str
    state: str
    outcome: Outcome | None


class Claim(NamedTuple):
    """A call to be claimed.

    Attributes:
        workspace: Workspace that sends it.
        key: Its idempotency key.
        digest: Digest of the call's name and body.
        nonce: Names the one dispatch that the claim would allow.
    """

    workspace: str
    key: str
    digest: str
    nonce: str


class ClaimResult(NamedTuple):
    """What the table service says after a claim.

    Attributes:
        acquired: Whether the claim succeeded: its maker alone may dispatch.
        row: The row's value.
        version: The row's version.
    """

    acquired: bool
    row: CallRow
    version: int


class ClaimProgress:
    """What a claim has learned so far; kept when the claim is cut short."""

    def __init__(self) -> None:
        #: Whether the last thing seen was that no send of the key has a row.
        self.absent = False


class CallLedger:
    """Rows of unrepeatable calls.

    Args:
        table: Client of the table service.
        entry: Name of this entry.
        random: Source of the jitter.
    """

    def __init__(self, table: TableClient, entry: str, random: Random) -> None:
        #: Client of the table service.
        self.table = table
        #: Name of this entry.
        self.entry = entry
        #: Source of the jitter.
        self.random = random

    def place(self, claim: Claim) -> tuple[str, str]:
        """Return the table and the key of a claim's row."""
        return f"calls-{bucket_of(claim.key)}", f"{claim.workspace}/{claim.key}"

    async def claim(self, claim: Claim, sighting: ClaimProgress) -> ClaimResult:
        """Insert a row, or take over one that was abandoned.

        The row is read only when the insert fails: most keys are new.

        An answer that got lost is settled by reading the row back: it is this
        claim's if it holds its nonce. Runs until the table service answers;
        the caller sets a time limit.

        Args:
            claim: The claim.
            sighting: Takes what is learned on the way.

        Returns:
            The row, and whether this claim holds it.
        """
        attempt = 0
        version = 0
        while True:
            try:
                return await self.insert(claim, version)
            except StoreConflict:
                sighting.absent = False
            except StoreUnavailable:
                await self.back_off(attempt)
                attempt += 1
            try:
                row = await self.examine(claim, sighting)
            except StoreUnavailable:
                continue
            if isinstance(row, ClaimResult):
                return row
            version = row

    async def insert(self, claim: Claim, version: int) -> ClaimResult:
        """Write a claim's row over one at a version, 0 for none.

        Raises:
            StoreConflict: The row is not at that version.
            StoreUnavailable: No answer; the row may have been written.
        """
        table, key = self.place(claim)
        value = CallRow(
            nonce=claim.nonce,
            entry=self.entry,
            digest=claim.digest,
            state=CallState.STARTED,
            outcome=None,
        )
        await self.table.transact(
            [Check(table, key, version)], [Write(table, key, value)]
        )
        return ClaimResult(True, value, version + 1)

    async def examine(self, claim: Claim, sighting: ClaimProgress) -> ClaimResult | int:
        """Read a claim's row.

        Returns:
            Who holds it, or the version at which the claim may write it.

        Raises:
            StoreUnavailable: No answer.
        """
        sighting.absent = False
        row = await self.table.read(*self.place(claim))
        sighting.absent = row is None
        if row is None:
            return 0
        value: CallRow = row["value"]
        acquired = value["nonce"] == claim.nonce
        free = value["state"] == CallState.ABANDONED
        if free and not acquired and value["digest"] == claim.digest:
            return row["version"]
        return ClaimResult(acquired, value, row["version"])

    async def record_state(
        self, claim: Claim, state: CallState, outcome: Outcome | None
    ) -> bool:
        """Record the state of a call that this claim holds.

        Runs until the table service answers; the caller sets a time limit.

        Args:
            claim: The claim.
            state: The new state.
            outcome: The answer, when it is known.

        Returns:
            Whether the row holds the state; not if another claim has it.
        """
        table, key = self.place(claim)
        attempt = 0
        while True:
            try:
                row = await self.table.read(table, key)
                if row is None or row["value"]["nonce"] != claim.nonce:
                    return False
                if row["value"]["state"] == state:
                    return True
                value = CallRow(**row["value"]) | {"state": state, "outcome": outcome}
                await self.table.transact(
                    [Check(table, key, row["version"])], [Write(table, key, value)]
                )
                return True
            except StoreConflict:
                continue
            except StoreUnavailable:
                await self.back_off(attempt)
                attempt += 1

    async def record_state_without_read(
        self,
        claim: Claim,
        holding: ClaimResult,
        state: CallState,
        outcome: Outcome | None,
    ) -> bool:
        """Record the state of a call without reading its row first.

        The row is as its holder left it, unless an answer got lost on the way.
        """
        table, key = self.place(claim)
        value = CallRow(**holding.row) | {"state": state, "outcome": outcome}
        try:
            await self.table.transact(
                [Check(table, key, holding.version)], [Write(table, key, value)]
            )
        except (StoreConflict, StoreUnavailable):
            return await self.record_state(claim, state, outcome)
        return True

    async def look(self, claim: Claim) -> CallRow | None:
        """Return the row of a claim as it stands now.

        Raises:
            StoreUnavailable: No answer.
        """
        row = await self.table.read(*self.place(claim))
        return row["value"] if row else None

    async def back_off(self, attempt: int) -> None:
        """Wait before the next try."""
        seconds = backoff_seconds(
            attempt, FIRST_BACKOFF_SECONDS, LONGEST_BACKOFF_SECONDS, self.random
        )
        await trio.sleep(seconds)
