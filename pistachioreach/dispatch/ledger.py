"""Ledger of unrepeatable calls: one row per idempotency key in the table service.

Only the entry whose nonce is in the row may dispatch the call, and only once.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple, TypedDict

import trio

from pistachioreach.dispatch.keys import day_partition
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

#: Upper limit of the first backoff between attempts, in seconds.
INITIAL_BACKOFF_SECONDS = 0.05
#: Upper limit of every backoff between attempts, in seconds.
MAX_BACKOFF_SECONDS = 0.5


class CallState(enum.StrEnum):
    """State of a call, as its row records it."""

    #: The claim holder may dispatch the call, or has dispatched it.
    STARTED = "started"
    #: The call ran, and the row contains the answer.
    DONE = "done"
    #: The claim holder gave up before it dispatched the call, and never will.
    ABANDONED = "abandoned"
    #: The call was dispatched, and its outcome is not known.
    UNKNOWN = "unknown"


class Outcome(TypedDict):
    """The answer of a service to a call.

    Attributes:
        status: HTTP status code.
        body: Body as text.
    """

    status: int
    body: str


class CallRow(TypedDict):
    """Value of a call's row.

    Attributes:
        nonce: Nonce of the claim that may dispatch the call.
        entry: Name of the entry that made the claim.
        digest: Digest of the call's name and body.
        state: State of the call, a `CallState`.
        outcome: The answer, or None if it is not known.
    """

    nonce: str
    entry: str
    digest: str
    state: str
    outcome: Outcome | None


class Claim(NamedTuple):
    """A claim to the right to dispatch a call.

    Attributes:
        workspace: Workspace that sent the call.
        key: Idempotency key of the call.
        digest: Digest of the call's name and body.
        nonce: Unique name of the claim; the row contains it if the claim succeeds.
    """

    workspace: str
    key: str
    digest: str
    nonce: str


class ClaimResult(NamedTuple):
    """Result of a claim, as the table service reports it.

    Attributes:
        acquired: Whether the claim succeeded, so that its maker alone may dispatch the
            call.
        row: Value of the row.
        version: Version of the row.
    """

    acquired: bool
    row: CallRow
    version: int


class ClaimProgress:
    """What a claim has found out so far, for a caller that cancels the claim."""

    def __init__(self) -> None:
        #: Whether the latest read of the table found no row for the key; False while
        #: a read is in progress.
        self.row_absent = False


class CallLedger:
    """Claims unrepeatable calls and records their states in the table service.

    Args:
        table: Client of the table service.
        entry: Name of this entry.
        random: Source of the backoff's jitter.
    """

    def __init__(self, table: TableClient, entry: str, random: Random) -> None:
        #: Client of the table service.
        self.table = table
        #: Name of this entry.
        self.entry = entry
        #: Source of the backoff's jitter.
        self.random = random

    def locate_row(self, claim: Claim) -> tuple[str, str]:
        """Return the table and the key of a claim's row."""
        return f"calls-{day_partition(claim.key)}", f"{claim.workspace}/{claim.key}"

    async def claim(self, claim: Claim, progress: ClaimProgress) -> ClaimResult:
        """Insert the row of a call, or take over a row that was abandoned.

        Most keys are new, so the row is read only after the insert has failed.

        If the response to the insert is lost, the row is read back: the claim has
        succeeded if the row contains the claim's nonce. The method retries until the
        table service answers; the caller sets a time limit.

        Args:
            claim: The claim.
            progress: Is updated with what the claim finds out.

        Returns:
            The row, and whether the claim acquired it.
        """
        attempt = 0
        version = 0
        while True:
            try:
                return await self.insert(claim, version)
            except StoreConflict:
                progress.row_absent = False
            except StoreUnavailable:
                await self.back_off(attempt)
                attempt += 1
            try:
                row = await self.examine_row(claim, progress)
            except StoreUnavailable:
                continue
            if isinstance(row, ClaimResult):
                return row
            version = row

    async def insert(self, claim: Claim, version: int) -> ClaimResult:
        """Write the row of a claim if the row in the table is at a version.

        Args:
            claim: The claim.
            version: Expected version of the row, 0 if there must be no row.

        Raises:
            StoreConflict: The row is not at that version.
            StoreUnavailable: The table service did not respond; the row may have been
                written.
        """
        table, key = self.locate_row(claim)
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

    async def examine_row(
        self, claim: Claim, progress: ClaimProgress
    ) -> ClaimResult | int:
        """Read the row of a claim and check whether the claim may write it.

        Returns:
            The claim's result if the row is held, else the version at which the claim
            may write the row.

        Raises:
            StoreUnavailable: The table service did not respond.
        """
        progress.row_absent = False
        row = await self.table.read(*self.locate_row(claim))
        progress.row_absent = row is None
        if row is None:
            return 0
        value: CallRow = row["value"]
        acquired = value["nonce"] == claim.nonce
        abandoned = value["state"] == CallState.ABANDONED
        if abandoned and not acquired and value["digest"] == claim.digest:
            return row["version"]
        return ClaimResult(acquired, value, row["version"])

    async def record_state(
        self, claim: Claim, state: CallState, outcome: Outcome | None
    ) -> bool:
        """Record the state of a call if the claim holds its row.

        The method retries until the table service answers; the caller sets a time
        limit.

        Args:
            claim: The claim.
            state: The new state.
            outcome: The answer, or None if it is not known.

        Returns:
            Whether the row has the new state. False if another claim holds the row.
        """
        table, key = self.locate_row(claim)
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
        claim_result: ClaimResult,
        state: CallState,
        outcome: Outcome | None,
    ) -> bool:
        """Record the state of a call without a read of its row first.

        The row is normally unchanged since the claim. If the write fails, for example
        because an earlier response was lost, the row is read and written again.
        """
        table, key = self.locate_row(claim)
        value = CallRow(**claim_result.row) | {"state": state, "outcome": outcome}
        try:
            await self.table.transact(
                [Check(table, key, claim_result.version)], [Write(table, key, value)]
            )
        except (StoreConflict, StoreUnavailable):
            return await self.record_state(claim, state, outcome)
        return True

    async def read_row(self, claim: Claim) -> CallRow | None:
        """Return the current value of a claim's row, or None if there is no row.

        Raises:
            StoreUnavailable: The table service did not respond.
        """
        row = await self.table.read(*self.locate_row(claim))
        return row["value"] if row else None

    async def back_off(self, attempt: int) -> None:
        """Wait before the next attempt, with exponential backoff and jitter."""
        seconds = backoff_seconds(
            attempt, INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, self.random
        )
        await trio.sleep(seconds)
