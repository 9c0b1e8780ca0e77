"""The configuration in force and the endpoints, decoded from the store's tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio
from loguru import logger

from pistachioreach.configuration.row import Member
from pistachioreach.decoding import (
    INVALID_DOCUMENT_ERRORS,
    check_number,
    split_address,
)
from pistachioreach.endpoints.directory import Directory
from pistachioreach.errors import ConfigurationError
from pistachioreach.knowledge.follow import (
    PollSchedule,
    StoreConnectivity,
)
from pistachioreach.knowledge.table import TableCopy
from pistachioreach.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from pistachioreach.platform.directory import decode_registration
from pistachioreach.platform.store import CONFIGURATION_TABLE, ENDPOINT_TABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Registration
    from pistachioreach.platform.store import StoredRow
    from pistachioreach.routing.routes import RouteTable

__all__ = ["ENTRY_TABLE", "PlatformView", "poll_schedules"]

#: Table in which the entries register themselves.
ENTRY_TABLE = "entries"
#: Poll schedule of that table, which changes only when an entry starts that had not
#: run before. Its answers may be later than others, so that entries to which they are
#: relayed twice do not read the store themselves.
ENTRY_POLL_SCHEDULE = PollSchedule(
    hold_seconds=5.0, pause_seconds=0.5, margin_seconds=1.0
)

#: For how long the store may hold a poll for the configuration, and by how much its
#: answer may be late, as shares of the time within which a configuration must be in
#: force; the rest is for reading it in another way when an answer is overdue.
CONFIGURATION_HOLD_SHARE = 0.4
CONFIGURATION_MARGIN_SHARE = 0.2
#: Pause between polls for the endpoints, as a share of the time within which a leaving
#: endpoint must get no new work; one answer thus carries several changes. Heartbeats
#: are changes too, so the store never holds such a poll for long.
ENDPOINT_PAUSE_SHARE = 0.3
#: Seconds between an answer about the configuration and the next poll.
CONFIGURATION_PAUSE_SECONDS = 0.02
#: Seconds between checks during a start whether the tables have been read.
START_CHECK_SECONDS = 0.02
#: Maximum time in seconds for which the store may hold a poll for the endpoints.
ENDPOINT_HOLD_SECONDS = 0.4


def poll_schedules(configuration_apply: float, drain: float) -> dict[str, PollSchedule]:
    """Return the poll schedules of the tables, by table name.

    Args:
        configuration_apply: Seconds within which a new configuration must be in force.
        drain: Seconds within which a leaving endpoint must get no new work.
    """
    return {
        CONFIGURATION_TABLE: PollSchedule(
            CONFIGURATION_HOLD_SHARE * configuration_apply,
            CONFIGURATION_PAUSE_SECONDS,
            CONFIGURATION_MARGIN_SHARE * configuration_apply,
        ),
        ENDPOINT_TABLE: PollSchedule(
            ENDPOINT_HOLD_SECONDS, ENDPOINT_PAUSE_SHARE * drain
        ),
        ENTRY_TABLE: ENTRY_POLL_SCHEDULE,
    }


class PlatformView:
    """One entry's view of the platform: the configuration and the endpoints.

    Args:
        clock: Clock of all decisions.
        poll_schedules: Poll schedule of each table, from the function
            `poll_schedules`.
        on_configuration: Called with each configuration that is put in force.
    """

    def __init__(
        self,
        clock: Clock,
        poll_schedules: dict[str, PollSchedule],
        on_configuration: Callable[[RouteTable], None] = lambda _: None,
    ) -> None:
        #: Clock of all decisions.
        self.clock = clock
        #: Called with each configuration that is put in force.
        self.on_configuration = on_configuration
        #: Tracks whether this entry gets up-to-date tables from the store.
        self.connectivity = StoreConnectivity(clock, poll_schedules)
        #: Configuration in force, or None before the first one.
        self.routes: RouteTable | None = None
        #: Registered endpoints.
        self.directory = Directory()
        #: Copy of the operator's table, which holds the configuration.
        self.configuration_rows = TableCopy(
            CONFIGURATION_TABLE, self.apply_configuration_row, latest_configuration
        )
        #: Copy of the table in which the endpoints register.
        self.endpoint_rows = TableCopy(ENDPOINT_TABLE, self.apply_endpoint_row)
        #: Copy of the table in which the entries register.
        self.entry_rows = TableCopy(ENTRY_TABLE, self.apply_entry_row, latest_entry)
        #: Registered entries by name, including entries that have ended.
        self.members: dict[str, Member] = {}
        #: Ids of the endpoints whose registration may have expired during an outage of
        #: the store; they may register again until the grace period ends.
        self.expired: set[str] = set()
        #: Registrations of an older copy of the store by endpoint. What was known of
        #: these endpoints holds until the grace period ends.
        self.outdated: dict[str, Registration] = {}

    @property
    def tables(self) -> tuple[TableCopy, ...]:
        """Copies of all tables."""
        return self.configuration_rows, self.endpoint_rows, self.entry_rows

    @property
    def complete(self) -> bool:
        """Whether a configuration is in force and the endpoints are known."""
        return self.routes is not None and self.endpoint_rows.loaded

    async def wait_complete(self, seconds: float) -> None:
        """Wait until the view is complete, for some seconds at most."""
        with trio.move_on_after(seconds):
            while not self.complete:
                await trio.sleep(START_CHECK_SECONDS)

    def apply_configuration_row(self, row: StoredRow) -> bool:
        """Put a configuration in force unless it is invalid or not newer.

        Returns:
            Whether the configuration has been put in force.
        """
        if row.key != CONFIGURATION_KEY or row.value is None:
            return False
        try:
            routes = decode_configuration(row.value)
        except ConfigurationError as error:
            logger.bind(version=row.version, reason=str(error)).error(
                "configuration refused; the previous one stays in force"
            )
            return False
        known = self.routes
        if known is not None and routes.version <= known.version:
            return False
        self.routes = routes
        logger.bind(
            version=routes.version,
            before=known and known.version,
            row=row.version,
        ).info("configuration in force")
        self.on_configuration(routes)
        return True

    def apply_endpoint_row(self, row: StoredRow) -> bool:
        """Apply a changed or removed registration of an endpoint.

        A registration that disappears during an outage of the store, or shortly after
        it, counts as expired: the endpoint is kept for a grace period, in which it may
        register again.

        Returns:
            Whether the change is more than a heartbeat.
        """
        # The change is younger than that answer, unless the answer was read late.
        unanswered = self.connectivity.seconds_since_answer(ENDPOINT_TABLE)
        rows_of = self.endpoint_rows.source.entry or "store"
        with logger.contextualize(
            row=row.version, unanswered=round(unanswered, 3), rows_of=rows_of
        ):
            return self.apply_registration(row)

    def apply_registration(self, row: StoredRow) -> bool:
        """Apply a changed or removed registration, see `apply_endpoint_row`."""
        self.outdated.pop(row.key, None)
        if self.endpoint_rows.restoring:
            self.connectivity.begin_grace_period(ENDPOINT_TABLE)
        if row.value is None:
            if (
                self.connectivity.in_grace_period(ENDPOINT_TABLE)
                and row.key in self.directory.endpoints
            ):
                self.expired.add(row.key)
                logger.bind(
                    endpoint=row.key,
                    lost=ENDPOINT_TABLE in self.connectivity.lost_tables,
                    answered=self.connectivity.answer_ages(),
                ).info("endpoint kept: its registration may have expired in an outage")
            else:
                self.directory.remove(row.key, "its registration was removed")
            return True
        was_expired = row.key in self.expired
        self.expired.discard(row.key)
        registration = decode_registration(row.key, row.value)
        if registration is None:
            self.directory.remove(row.key, "its registration cannot be decoded")
            return True
        if self.endpoint_rows.restoring and self.keep_known(registration):
            return True
        return self.directory.register(registration) or was_expired

    def keep_known(self, registration: Registration) -> bool:
        """Return whether what is known of an endpoint holds, and not an older copy.

        An endpoint that was leaving does so for the rest of its run. One that was
        removed, or whose registration differs from the known one, writes it again if it
        is alive.

        Args:
            registration: Registration in a store that came back from an older copy.
        """
        if self.directory.was_removed(registration):
            return True
        known = self.directory.endpoints.get(registration.id)
        if known is None or known.registration == registration:
            return False
        if known.leaving and known.registration.started_ms == registration.started_ms:
            known.states_leaving = True
        self.outdated[registration.id] = registration
        return True

    def adopt_configuration(self, row: StoredRow) -> None:
        """Put the configuration of another entry in force if it is newer.

        The operator's own versions order the configurations of all eras of the store.

        Args:
            row: Row of the operator's table, as another entry has it.
        """
        known = self.configuration_rows.rows.get(row.key)
        if self.apply_configuration_row(row) and known is not None:
            kept = known._replace(value=row.value)
            self.configuration_rows.rows[row.key] = kept
            self.configuration_rows.significant_rows[row.key] = kept

    def apply_entry_row(self, row: StoredRow) -> bool:
        """Record an entry from its row in the table of entries.

        Returns:
            Whether the row differs from what was known.
        """
        if row.value is None:
            return self.members.pop(row.key, None) is not None
        try:
            member = decode_member(row.key, row.value)
        except INVALID_DOCUMENT_ERRORS as error:
            logger.bind(entry=row.key, reason=str(error)).warning(
                "cannot decode the row of an entry"
            )
            return False
        if self.members.get(row.key) == member:
            return False
        self.members[row.key] = member
        logger.bind(entry=row.key, address=member.address).info("entry discovered")
        return True

    def drop_expired(self) -> None:
        """Remove the endpoints that did not register again within the grace period.

        During an outage of the store no endpoint is removed. Registrations of an older
        copy of the store are used from then on.
        """
        if not self.expired and not self.outdated:
            return
        if self.connectivity.in_grace_period(ENDPOINT_TABLE):
            return
        for registration in self.outdated.values():
            self.directory.register(registration)
        self.outdated.clear()
        for id in sorted(self.expired):
            self.directory.remove(
                id, "its registration expired during an outage of the store"
            )
        self.expired.clear()


def latest_configuration(known: StoredRow, restored: StoredRow | None) -> bytes | None:
    """Return the configuration to use after a restore: the one of the later version."""
    if restored is None or restored.value is None:
        return known.value
    if known.key != CONFIGURATION_KEY:
        return restored.value
    try:
        version = decode_configuration(known.value).version
    except ConfigurationError:
        return restored.value
    try:
        if decode_configuration(restored.value).version >= version:
            return restored.value
    except ConfigurationError as error:
        logger.bind(reason=str(error)).error("restored configuration refused")
    return known.value


def latest_entry(known: StoredRow, restored: StoredRow | None) -> bytes | None:
    """Return the row of an entry to use after a restore.

    An entry whose row the store lacks writes it again if it is alive.
    """
    return restored.value if restored is not None else known.value


def decode_member(name: str, raw: bytes) -> Member:
    """Decode the row by which an entry registers itself; ignore unknown fields.

    Args:
        name: Key of the row, which is the name of the entry.
        raw: Value of the row.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has the wrong type, or the row is not an object.
        ValueError: An address is not `ip:port`, the name is not the key of the row, or
            the value is not JSON.
        RecursionError: The value is nested too deeply.
    """
    document = msgspec.json.decode(raw)
    texts = {field: document[field] for field in Member._fields[:4]}
    # Entries of earlier releases do not state it.
    texts["callers"] = document.get("callers", "")
    if not all(isinstance(text, str) for text in texts.values()):
        raise TypeError(f"fields of an entry must be strings: {texts!r:.200}")
    member = Member(**texts, joined=check_number(document["joined"]))
    if member.name != name:
        raise ValueError(f"the row has the name of another entry, {member.name!r:.80}")
    split_address(member.address)
    if member.callers:
        split_address(member.callers)
    return member
