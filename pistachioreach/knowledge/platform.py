"""The configuration in force and the endpoints, from the rows that hold them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from pistachioreach.endpoints.directory import Directory
from pistachioreach.errors import ConfigurationError
from pistachioreach.knowledge.follow import (
    REGISTRATION_GRACE_SECONDS,
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
    from pistachioreach.platform.store import StoredRow
    from pistachioreach.routing.routes import RouteTable

__all__ = ["PlatformView", "poll_schedules"]

#: Share of the time in which a configuration must be in force that the store may
#: hold the answer about it; one that is overdue leaves time to ask other entries.
CONFIGURATION_HOLD_SHARE = 0.75
#: Share of the time in which a leaving endpoint must get no new work that passes
#: between questions, so that several changes come in one answer. Heartbeats are
#: changes too, so the answer itself never waits long.
ENDPOINT_PAUSE_SHARE = 0.3
#: Seconds between an answer about the configuration and the next question.
CONFIGURATION_PAUSE_SECONDS = 0.02
#: Seconds that the store may hold an answer about the endpoints.
ENDPOINT_HOLD_SECONDS = 0.4


def poll_schedules(configuration_apply: float, drain: float) -> dict[str, PollSchedule]:
    """Return how often the tables are asked for.

    Args:
        configuration_apply: Seconds within which a configuration is in force.
        drain: Seconds within which a leaving endpoint must get no new work.
    """
    return {
        CONFIGURATION_TABLE: PollSchedule(
            CONFIGURATION_HOLD_SHARE * configuration_apply, CONFIGURATION_PAUSE_SECONDS
        ),
        ENDPOINT_TABLE: PollSchedule(
            ENDPOINT_HOLD_SECONDS, ENDPOINT_PAUSE_SHARE * drain
        ),
    }


class PlatformView:
    """What one entry knows of the platform.

    Args:
        clock: Clock of all decisions.
        poll_schedules: How often each table is asked for, from `poll_schedules`.
        on_configuration: Called with each configuration that comes into force.
    """

    def __init__(
        self,
        clock: Clock,
        poll_schedules: dict[str, PollSchedule],
        on_configuration: Callable[[RouteTable], None] = lambda _: None,
    ) -> None:
        #: Clock of all decisions.
        self.clock = clock
        #: Called with each configuration that comes into force.
        self.on_configuration = on_configuration
        #: Whether this entry reaches the store.
        self.connectivity = StoreConnectivity(clock, poll_schedules)
        #: The configuration in force, or None before the first.
        self.routes: RouteTable | None = None
        #: The endpoints.
        self.directory = Directory()
        #: Copy of the operator's table.
        self.configuration_rows = TableCopy(
            CONFIGURATION_TABLE, self.apply_configuration_row
        )
        #: Copy of the endpoints' table.
        self.endpoint_rows = TableCopy(ENDPOINT_TABLE, self.apply_endpoint_row)
        #: Endpoints whose entry lapsed while the store was away, with the time
        #: until which they may register again.
        self.expired: dict[str, float] = {}

    @property
    def tables(self) -> tuple[TableCopy, TableCopy]:
        """The copies of both tables."""
        return self.configuration_rows, self.endpoint_rows

    def apply_configuration_row(self, row: StoredRow) -> bool:
        """Put a configuration in force, unless it is older or unreadable."""
        if row.key != CONFIGURATION_KEY or row.value is None:
            return False
        try:
            routes = decode_configuration(row.value)
        except ConfigurationError as error:
            logger.bind(version=row.version, reason=str(error)).error(
                "configuration refused; the one before stays in force"
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
        """Take over what an endpoint says of itself, or its end.

        Returns:
            Whether the change is more than a heartbeat.
        """
        if row.value is None:
            if (
                self.connectivity.in_grace_period()
                and row.key in self.directory.endpoints
            ):
                now = self.clock.monotonic()
                # While the store is away nothing shows when it will be back.
                self.expired.setdefault(row.key, now + REGISTRATION_GRACE_SECONDS)
            else:
                self.directory.remove(row.key, "its entry is gone")
            return True
        expired_until = self.expired.pop(row.key, None)
        registration = decode_registration(row.key, row.value)
        if registration is None:
            self.directory.remove(row.key, "its entry cannot be read")
            return True
        return self.directory.put(registration) or expired_until is not None

    def drop_expired(self) -> None:
        """Forget the endpoints that did not register again in time."""
        now = self.clock.monotonic()
        if self.connectivity.lost:
            return
        since = self.connectivity.returned_at + REGISTRATION_GRACE_SECONDS
        for id, until in list(self.expired.items()):
            if now >= max(until, since):
                del self.expired[id]
                self.directory.remove(id, "its entry lapsed with the store")
