"""Client of the table service, which holds all shared and all durable state."""

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
    decode_body,
)

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.platform.breaker import CircuitBreaker

__all__ = ["HttpTableClient", "TableClient"]

#: Timeout of a request; the service responds in about 10 ms.
TABLE_TIMEOUT_SECONDS = 1.0


class TableClient(Protocol):
    """Operations of the table service that the router uses."""

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Apply all writes in one transaction, if all checks hold.

        Raises:
            StoreConflict: A check did not hold; nothing was written.
            StoreUnavailable: The service did not respond or reported an error; the
                writes may have taken effect.
        """

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist.

        Raises:
            StoreUnavailable: The service did not respond or reported an error.
        """


class HttpTableClient:
    """Client of the table service over HTTP.

    Args:
        connections: HTTP connections to the service.
        address: Address of the service, `ip:port`.
        breaker: Circuit breaker that suspends requests after consecutive failures.
        clock: Clock for the circuit breaker.
    """

    def __init__(
        self,
        connections: Connections,
        address: str,
        breaker: CircuitBreaker,
        clock: Clock,
    ) -> None:
        #: HTTP connections to the service.
        self.connections = connections
        #: Address of the service, `ip:port`.
        self.address = address
        #: Circuit breaker that suspends requests after consecutive failures.
        self.breaker = breaker
        #: Clock for the circuit breaker.
        self.clock = clock

    async def transact(self, checks: list[Check], writes: list[Write]) -> None:
        """Apply all writes in one transaction, if all checks hold."""
        body = TransactBody(checks=checks, writes=writes)
        status, response_body = await self.post("/v1/transact", body)
        if status == 409:
            conflict = decode_body(response_body, Check)
            raise StoreConflict(conflict.table, conflict.key)

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        _, response_body = await self.post("/v1/read", ReadBody(table=table, key=key))
        return decode_body(response_body, Row | None)

    async def post(self, path: str, body: object) -> tuple[int, bytes]:
        """Send one request, subject to the timeout and the circuit breaker.

        Args:
            path: Path of the request.
            body: Body of the request, encoded as JSON.

        Returns:
            The status code, 200 or 409, and the body of the response.

        Raises:
            StoreUnavailable: The circuit breaker is open, or the service did not
                respond or reported an error.
        """
        if not self.breaker.allows_call(self.clock.monotonic()):
            raise StoreUnavailable("calls to the table service are suspended")
        raw = msgspec.json.encode(body)
        try:
            with trio.fail_after(TABLE_TIMEOUT_SECONDS):
                response = await self.connections.call(
                    "table-service", self.address, "POST", path, raw
                )
        except (ConnectionFailed, trio.TooSlowError) as error:
            self.breaker.record_failure(self.clock.monotonic())
            await self.connections.close_idle(self.address)
            raise StoreUnavailable(f"table service {path}: {error!r}") from error
        if response.status not in (200, 409):
            self.breaker.record_failure(self.clock.monotonic())
            raise StoreUnavailable(f"table service {path}: status {response.status}")
        self.breaker.record_success()
        return response.status, response.body
