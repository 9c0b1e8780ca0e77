"""The table service client under malformed responses and outages."""

from __future__ import annotations

import random

import pytest

from pistachioreach.clock import TrioClock
from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.errors import ConnectionFailed, StoreConflict, StoreUnavailable
from pistachioreach.platform.breaker import FAILURES_TO_OPEN, CircuitBreaker
from pistachioreach.platform.table import HttpTableClient
from pistachioreach.platform.wire import Check


class FixedConnections:
    """Connections on which each call gets the same response, or fails."""

    def __init__(self, response):
        self.response = response
        self.calls = 0

    async def call(self, *args):
        self.calls += 1
        if self.response is None:
            raise ConnectionFailed("table-service", True, "reset")
        return self.response

    async def close_idle(self, address):
        pass


def make_table(response):
    connections = FixedConnections(response)
    breaker = CircuitBreaker(random.Random(1))
    return connections, HttpTableClient(connections, "", breaker, TrioClock())


@pytest.mark.parametrize(
    "response",
    [
        HttpResponse(200, {}, b"{"),
        HttpResponse(200, {}, b"[1]"),
        HttpResponse(500, {}, b""),
        None,
    ],
)
async def test_a_malformed_or_missing_response_is_an_outage(autojump_clock, response):
    _, table = make_table(response)
    with pytest.raises(StoreUnavailable):
        await table.read("t", "k")


async def test_a_conflict_names_the_row(autojump_clock):
    _, table = make_table(HttpResponse(409, {}, b'["t", "k", 0]'))
    with pytest.raises(StoreConflict, match="row 'k' of table 't'"):
        await table.transact([Check("t", "k", 0)], [])


async def test_consecutive_failures_open_the_circuit_breaker(autojump_clock):
    connections, table = make_table(None)
    for _ in range(FAILURES_TO_OPEN + 20):
        with pytest.raises(StoreUnavailable):
            await table.read("t", "k")
    assert connections.calls == FAILURES_TO_OPEN
    connections.response = HttpResponse(200, {}, b"null")
    with pytest.raises(StoreUnavailable):
        await table.read("t", "k")


async def test_a_success_closes_the_circuit_breaker(autojump_clock):
    breaker = CircuitBreaker(random.Random(1))
    for _ in range(FAILURES_TO_OPEN):
        breaker.record_failure(0.0)
    assert not breaker.allows_call(0.01)
    assert breaker.allows_call(10.0)
    assert not breaker.allows_call(10.01)
    breaker.record_success()
    assert breaker.allows_call(10.02)
