"""The configuration in force and the endpoints, from the rows that hold them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from pistachioreach.endpoints.directory import Directory
from pistachioreach.errors import ConfigurationError
from pistachioreach.knowledge.follow import RETURN_SECONDS, Contact, Rhythm
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

__all__ = ["Knowledge", "rhythms"]

#: Share of the time in which a configuration must be in force that the store may
#: hold the answer about it; one that is overdue leaves time to ask other entries.
CONFIGURATION_SHARE = 0.75
#: Share of the time in which a leaving endpoint must get no new work that passes
#: between questions, so that several changes come in one answer. Heartbeats are
#: changes too, so the answer itself never waits long.
ENDPOINT_SHARE = 0.3
#: Seconds between an answer about the configuration and the next question.
CONFIGURATION_PAUSE = 0.02
#: Seconds that the store may hold an answer about the endpoints.
ENDPOINT_WAIT = 0.4


def rhythms(configuration_apply: float, drain: float) -> dict[str, Rhythm]:
    """Return how often the tables are asked for.

    Args:
        configuration_apply: Seconds within which a configuration is in force.
        drain: Seconds within which a leaving endpoint must get no new work.
    """
    return {
        CONFIGURATION_TABLE: Rhythm(
            CONFIGURATION_SHARE * configuration_apply, CONFIGURATION_PAUSE
        ),
        ENDPOINT_TABLE: Rhythm(ENDPOINT_WAIT, ENDPOINT_SHARE * drain),
    }


class Knowledge:
    """What one entry knows of the platform.

    Args:
        clock: Clock of all decisions.
        rhythms: How often each table is asked for, from `rhythms`.
        configured: Called with each configuration that comes into force.
    """

    def __init__(
        self,
        clock: Clock,
        rhythms: dict[str, Rhythm],
        configured: Callable[[RouteTable], None] = lambda _: None,
    ) -> None:
        #: Clock of all decisions.
        self.clock = clock
        #: Called with each configuration that comes into force.
        self.configured = configured
        #: Whether this entry reaches the store.
        self.contact = Contact(clock, rhythms)
        #: The configuration in force, or None before the first.
        self.routes: RouteTable | None = None
        #: The endpoints.
        self.directory = Directory()
        #: Copy of the operator's table.
        self.configuration_rows = TableCopy(
            CONFIGURATION_TABLE, self.configuration_changed
        )
        #: Copy of the endpoints' table.
        self.endpoint_rows = TableCopy(ENDPOINT_TABLE, self.endpoint_changed)
        #: Endpoints whose entry lapsed while the store was away, with the time
        #: until which they may register again.
        self.lapsed: dict[str, float] = {}

    @property
    def tables(self) -> tuple[TableCopy, TableCopy]:
        """The copies of both tables."""
        return self.configuration_rows, self.endpoint_rows

    def configuration_changed(self, row: StoredRow) -> bool:
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
        self.configured(routes)
        return True

    def endpoint_changed(self, row: StoredRow) -> bool:
        """Take over what an endpoint says of itself, or its end.

        Returns:
            Whether the change is more than a heartbeat.
        """
        if row.value is None:
            if self.contact.settling() and row.key in self.directory.endpoints:
                now = self.clock.monotonic()
                # While the store is away nothing shows when it will be back.
                self.lapsed.setdefault(row.key, now + RETURN_SECONDS)
            else:
                self.directory.remove(row.key, "its entry is gone")
            return True
        lapsed = self.lapsed.pop(row.key, None)
        registration = decode_registration(row.key, row.value)
        if registration is None:
            self.directory.remove(row.key, "its entry cannot be read")
            return True
        return self.directory.register(registration) or lapsed is not None

    def drop_lapsed(self) -> None:
        """Forget the endpoints that did not register again in time."""
        now = self.clock.monotonic()
        if self.contact.lost:
            return
        since = self.contact.returned + RETURN_SECONDS
        for id, until in list(self.lapsed.items()):
            if now >= max(until, since):
                del self.lapsed[id]
                self.directory.remove(id, "its entry lapsed with the store")
