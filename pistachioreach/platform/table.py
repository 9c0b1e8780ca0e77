"""Client of the table service, which holds all that must be agreed or kept."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from pistachioreach.errors import ConnectionFailed, StoreConflict, StoreUnavailable
from pistachioreach.platform.wire import (
    Check,
    ReadBody,
    Row,
    TransactBody,
    Write,
    decode_store,
)

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.platform.breaker import CircuitBreaker

__all__ = ["HttpTableClient", "TableClient"]

#: Seconds after which an answer counts as lost; the service answers in about 10 ms.
TABLE_TIMEOUT_SECONDS = 1.0


class TableClient(Protocol):
    """What the router asks of the table service."""

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Apply all writes if all checks hold.

        Raises:
            StoreConflict: A check did not hold; nothing was written.
            StoreUnavailable: No answer; the writes may have taken effect.
        """

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None when it is absent.

        Raises:
            StoreUnavailable: No answer.
        """


class HttpTableClient:
    """The table service met over HTTP.

    Args:
        connections: Connections to use.
        address: Address of the service, `ip:port`.
        breaker: Stops calls for a while after failures in a row.
        clock: Clock that the breaker reads.
    """

    def __init__(
        self,
        connections: Connections,
        address: str,
        breaker: CircuitBreaker,
        clock: Clock,
    ) -> None:
        #: Connections to the service.
        self.connections = connections
        #: Address of the service.
        self.address = address
        #: Stops calls for a while after failures in a row.
        self.breaker = breaker
        #: Clock that the breaker reads.
        self.clock = clock

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Apply all writes if all checks hold."""
        body = TransactBody(checks=checks, writes=writes)
        status, answer = await self.post("/v1/transact", body)
        if status == 409:
            conflict = decode_store(answer, Check)
            raise StoreConflict(conflict.table, conflict.key)

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None when it is absent."""
        _, answer = await self.post("/v1/read", ReadBody(table=table, key=key))
        return decode_store(answer, Row | None)

    async def post(self, path: str, body: object) -> tuple[int, bytes]:
        """Send one request, within the time limit and the breaker.

        Returns:
            The status code, 200 or 409, and the answer's body.

        Raises:
            StoreUnavailable: No answer, or one that tells of a fault.
        """
        if not self.breaker.allows(self.clock.monotonic()):
            raise StoreUnavailable("calls to the table service are suspended")
        raw = msgspec.json.encode(body)
        try:
            with trio.fail_after(TABLE_TIMEOUT_SECONDS):
                answer = await self.connections.call(
                    "table-service", self.address, "POST", path, raw
                )
        except (ConnectionFailed, trio.TooSlowError) as error:
            self.breaker.record_failure(self.clock.monotonic())
            await self.connections.close_idle(self.address)
            raise StoreUnavailable(f"table service {path}: {error!r}") from error
        if answer.status not in (200, 409):
            self.breaker.record_failure(self.clock.monotonic())
            raise StoreUnavailable(f"table service {path}: status {answer.status}")
        self.breaker.record_success()
        return answer.status, answer.body
