"""Keeping copies of the store's tables up to date through outages."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

from pistachioreach.errors import HistoryTruncated, StoreUnavailable
from pistachioreach.knowledge.table import STORE
from pistachioreach.platform.breaker import backoff_seconds

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.knowledge.table import TableCopy
    from pistachioreach.platform.store import StoreClient

__all__ = ["PollSchedule", "StoreConnectivity", "follow_table"]

#: Upper limits in seconds of the first backoff after a failed call, and of every
#: backoff; a table must be up to date about a second after the store recovers.
BACKOFF_LIMITS_SECONDS = (0.05, 0.4)
#: Seconds by which an answer may exceed its schedule before it counts as overdue; the
#: store answers in about 4 ms, and other entries relay its answers in some 0.25 s.
RESPONSE_MARGIN_SECONDS = 0.3
#: Seconds within which the store answers a poll for a table that has changed.
CHANGE_RESPONSE_SECONDS = 0.15
#: Seconds between checks whether this entry must poll the store itself.
CHECK_INTERVAL_SECONDS = 0.15
#: Number of rows in an answer from which on the next poll follows at once. The store
#: limits the rows of an answer to some hundreds, so more may be waiting.
LARGE_ANSWER_ROWS = 250
#: Seconds after a recovery of the store in which endpoints may register again.
REGISTRATION_GRACE_SECONDS = 2.0
#: Time in seconds without answers in which no registration expires. The store removes
#: one after three heartbeat intervals of silence, and an interval is about 1.2 s; the
#: last heartbeat may have come one interval before the outage.
MAX_HARMLESS_SILENCE_SECONDS = 2.4


class PollSchedule(NamedTuple):
    """Timing of the long polls of one table.

    Attributes:
        hold_seconds: Maximum time in seconds for which the store may hold a poll while
            there is no change.
        pause_seconds: Seconds between an answer and the next request, so that one
            answer carries several changes.
        margin_seconds: Seconds by which an answer may exceed this schedule.
    """

    hold_seconds: float
    pause_seconds: float
    margin_seconds: float = RESPONSE_MARGIN_SECONDS

    @property
    def max_silence_seconds(self) -> float:
        """Maximum time in seconds between two answers while the store is available."""
        return self.hold_seconds + self.pause_seconds + self.margin_seconds


class StoreConnectivity:
    """Tracks whether this entry gets up-to-date tables from the store.

    A table counts as lost when a call fails while an answer about it is overdue, until
    its next answer; so do the other tables whose last call failed. Data that another
    entry relays counts as an answer.

    A loss is an outage of the store only as long as no other entry has the store's
    answers: a row that is missing afterwards may have expired in an outage, but not
    while only this entry, or one that it relies on, was cut off from the store.

    Args:
        clock: Clock of all times.
        poll_schedules: Poll schedule of each table, by table name.
    """

    def __init__(
        self, clock: Clock, poll_schedules: Mapping[str, PollSchedule]
    ) -> None:
        #: Clock of all times.
        self.clock = clock
        #: Poll schedule of each table, by table name.
        self.poll_schedules = poll_schedules
        #: Monotonic time in seconds of the last answer about each table.
        self.last_answer = dict.fromkeys(poll_schedules, clock.monotonic())
        #: Names of the tables whose last call failed.
        self.failing_tables: set[str] = set()
        #: Names of the tables that count as lost, as all do before their first answers.
        self.lost_tables = set(poll_schedules)
        #: Monotonic time in seconds of each table's last recovery after a loss.
        self.recovered_at = dict.fromkeys(poll_schedules, float("-inf"))
        #: Monotonic time in seconds of each table's last answer after a silence in
        #: which registrations may have expired, whatever its cause.
        self.interrupted_at = dict.fromkeys(poll_schedules, float("-inf"))
        #: Monotonic time in seconds of the first answer about each table.
        self.first_answer: dict[str, float] = {}
        #: Monotonic time in seconds of the start of each table's poll in progress.
        self.poll_started_at: dict[str, float] = {}
        #: Monotonic time in seconds until which its answer is read if neither the store
        #: nor this process is slow.
        self.answer_due_at: dict[str, float] = {}
        #: Monotonic time in seconds at which another entry last had the store's answers
        #: about each table without an interruption.
        self.sound_elsewhere_at = dict.fromkeys(poll_schedules, float("-inf"))

    @property
    def lost(self) -> bool:
        """Whether the store counts as lost, as it does before its first answers."""
        return bool(self.lost_tables)

    def seconds_since_answer(self, table: str) -> float:
        """Return the time in seconds since the last answer about a table."""
        return self.clock.monotonic() - self.last_answer[table]

    def answer_ages(self) -> dict[str, float]:
        """Return the age in seconds of the last answer about each table, for logs."""
        return {
            table: round(self.seconds_since_answer(table), 3)
            for table in self.poll_schedules
        }

    def overdue_tables(self) -> list[str]:
        """Return the names of the tables whose answer is overdue."""
        return [
            table
            for table, schedule in self.poll_schedules.items()
            if self.seconds_since_answer(table) > schedule.max_silence_seconds
        ]

    def record_poll(self, table: str, hold_seconds: float = 0.0) -> None:
        """Record that a call about a table begins.

        Args:
            table: Name of the table.
            hold_seconds: Maximum time in seconds for which the store may hold the call.
        """
        now = self.clock.monotonic()
        self.poll_started_at[table] = now
        self.answer_due_at[table] = now + hold_seconds + CHANGE_RESPONSE_SECONDS

    def is_late(self, table: str) -> bool:
        """Whether an answer about a table that is read now may have waited.

        The store may be slow, or this process may have got no processor time.
        """
        return self.clock.monotonic() > self.answer_due_at.get(table, float("inf"))

    def misses_changes(self, table: str) -> bool:
        """Whether a poll goes on for longer than one of a changed table would."""
        started_at = self.poll_started_at.get(table, float("inf"))
        return self.clock.monotonic() - started_at > CHANGE_RESPONSE_SECONDS

    def record_answer(self, table: str) -> bool:
        """Record that the store answered a call about a table.

        Returns:
            Whether the answer ends an outage of the store.
        """
        self.poll_started_at.pop(table, None)
        self.failing_tables.discard(table)
        self.advance_answer(table, self.clock.monotonic())
        return self.record_recovery(table)

    def record_relayed(self, table: str, age: float) -> bool:
        """Record that another entry relayed the state of a table.

        Args:
            table: Name of the table.
            age: Seconds since the store gave that state to the other entry.

        Returns:
            Whether the state ends an outage of the store.
        """
        self.advance_answer(table, self.clock.monotonic() - age)
        lost = self.lost
        ends_outage = self.record_recovery(table)
        if lost and not self.lost:
            self.failing_tables.clear()
        return ends_outage

    def advance_answer(self, table: str, at: float) -> None:
        """Record the time of an answer about a table unless a later one is known."""
        max_silence = max(
            MAX_HARMLESS_SILENCE_SECONDS, self.poll_schedules[table].max_silence_seconds
        )
        if at - self.last_answer[table] > max_silence:
            self.interrupted_at[table] = self.clock.monotonic()
        self.last_answer[table] = max(self.last_answer[table], at)

    def record_recovery(self, table: str) -> bool:
        """End the loss of a table if its last answer is recent.

        Returns:
            Whether that ends an outage of the store.
        """
        # The first state of a table lacks nothing that this entry knew before.
        is_first = table not in self.first_answer
        self.first_answer.setdefault(table, self.clock.monotonic())
        if table not in self.lost_tables or table in self.overdue_tables():
            return False
        self.lost_tables.discard(table)
        if not is_first:
            self.recovered_at[table] = self.clock.monotonic()
        if not self.lost:
            logger.bind(
                dependency="store", table=table, answered=self.answer_ages()
            ).info("dependency regained")
        return not is_first and self.in_grace_period(table)

    def record_failure(self, table: str, reason: str) -> None:
        """Record that a call about a table failed.

        Args:
            table: Name of the table.
            reason: Description of the failure, for the log.
        """
        self.poll_started_at.pop(table, None)
        self.failing_tables.add(table)
        self.record_loss(reason)

    def record_overdue(self) -> None:
        """Record that the entry that relays the tables has no current rows either."""
        self.record_loss("relayed answers are overdue")

    def record_loss(self, reason: str) -> None:
        """Count the tables whose answers are overdue, and all that fail, as lost.

        Args:
            reason: Observed reason, for the log.
        """
        overdue = self.overdue_tables()
        if not overdue:
            return
        tables = {*overdue, *self.failing_tables} - self.lost_tables
        if not tables:
            return
        if not self.lost:
            logger.bind(
                dependency="store", tables=sorted(tables), reason=reason
            ).warning("dependency lost")
        self.lost_tables |= tables

    def begin_grace_period(self, table: str) -> None:
        """Begin the grace period of a table whose rows are from an older copy."""
        self.recovered_at[table] = self.clock.monotonic()
        self.sound_elsewhere_at[table] = float("-inf")

    def record_outage_elsewhere(self, table: str) -> None:
        """Record that rows of another entry come from after an outage of the store."""
        logger.bind(table=table, answered=self.answer_ages()).info(
            "another entry reports an outage of the store"
        )
        self.recovered_at[table] = self.clock.monotonic()

    def record_sound_elsewhere(self, table: str, age: float) -> None:
        """Record that another entry has had the store's answers all the while.

        Args:
            table: Name of the table.
            age: Seconds since the last of these answers.
        """
        at = self.clock.monotonic() - age
        self.sound_elsewhere_at[table] = max(at, self.sound_elsewhere_at[table])

    def is_sound(self, table: str) -> bool:
        """Whether rows that this entry lacks are missing for no outage.

        Unlike during a grace period, the first state of a table is not taken for sound,
        nor is one after a long silence: the store may just have returned.
        """
        first_answer = self.first_answer.get(table, float("inf"))
        known_since = max(first_answer, self.interrupted_at[table])
        known_for = self.clock.monotonic() - known_since
        return known_for >= REGISTRATION_GRACE_SECONDS and not self.in_grace_period(
            table
        )

    def in_grace_period(self, table: str) -> bool:
        """Whether rows of a table may be missing because of an outage.

        True while the table is lost, and for REGISTRATION_GRACE_SECONDS after its
        recovery, unless another entry has the store's answers meanwhile.

        Args:
            table: Name of the table.
        """
        now = self.clock.monotonic()
        max_silence = self.poll_schedules[table].max_silence_seconds
        if now - self.sound_elsewhere_at[table] <= max_silence:
            return False
        since_recovery = now - self.recovered_at[table]
        return table in self.lost_tables or since_recovery < REGISTRATION_GRACE_SECONDS


async def follow_table(
    store: StoreClient,
    copy: TableCopy,
    connectivity: StoreConnectivity,
    random: Random,
    must_poll: Callable[[TableCopy], bool] = lambda _: True,
) -> None:
    """Keep a copy of a table up to date until cancelled.

    Args:
        store: Client of the store.
        copy: Copy of the table.
        connectivity: Records the answers and the failures.
        random: Source of the jitter of the backoff.
        must_poll: Returns whether this entry must poll the store for a table itself,
            rather than receive its rows from other entries.
    """
    schedule = connectivity.poll_schedules[copy.name]
    failures = 0
    while True:
        if not copy.needs_full_read and not must_poll(copy):
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            continue
        try:
            # The answer to a poll that is held does not tell that the store is back.
            lost = copy.name in connectivity.lost_tables
            hold_seconds = 0.0 if lost else schedule.hold_seconds
            connectivity.record_poll(copy.name, hold_seconds)
            rows = await poll_once(store, copy, hold_seconds)
            # A late answer may have waited for this process, and miss later changes.
            late = connectivity.is_late(copy.name)
            if connectivity.record_answer(copy.name):
                copy.outage_end = copy.position
            failures = 0
            if rows < LARGE_ANSWER_ROWS and not late:
                await trio.sleep(schedule.pause_seconds)
        except HistoryTruncated:
            connectivity.record_answer(copy.name)
            copy.needs_full_read = True
            logger.bind(
                table=copy.name, version=copy.version, era=copy.era, store_era=store.era
            ).warning(
                "the store no longer has the changes of the table; reading it in full"
            )
        except StoreUnavailable as error:
            connectivity.record_failure(copy.name, str(error))
            first, longest = BACKOFF_LIMITS_SECONDS
            await trio.sleep(backoff_seconds(failures, first, longest, random))
            failures += 1


async def poll_once(store: StoreClient, copy: TableCopy, hold_seconds: float) -> int:
    """Read a table in full if necessary, else only the changes since the last call.

    Args:
        store: Client of the store.
        copy: Copy of the table, which is updated.
        hold_seconds: Maximum time in seconds for which the store may hold the request
            while there is no change.

    Returns:
        Number of changed rows in the answer.

    Raises:
        HistoryTruncated: The store no longer has the changes; a full read is needed.
        StoreUnavailable: The store did not answer.
    """
    if not copy.loaded or copy.needs_full_read or copy.era < store.era:
        copy.apply_snapshot(await store.read(copy.name))
        copy.source = STORE
        return 0
    era = copy.era
    changes = await store.wait_for_changes(copy.name, copy.version, hold_seconds)
    if not era == copy.era == changes.era:
        # The changes since a version of one era tell nothing about another one.
        return 0
    copy.apply_changes(changes.rows, changes.version)
    copy.source = STORE
    return len(changes.rows)
