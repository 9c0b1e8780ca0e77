"""The platform's clients under malformed answers and outages."""

from __future__ import annotations

import random

import pytest

from pistachioreach.clock import TrioClock
from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.errors import ConnectionFailed, StoreConflict, StoreUnavailable
from pistachioreach.platform.breaker import FAILURES_TO_OPEN, CircuitBreaker
from pistachioreach.platform.table import HttpTableClient
from pistachioreach.platform.wire import Check


class Scripted:
    """Connections that give one answer, or fail."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = 0

    async def call(self, *args):
        self.calls += 1
        if self.answer is None:
            raise ConnectionFailed("table-service", True, "reset")
        return self.answer

    async def close_idle(self, address):
        pass


def make_table(answer):
    connections = Scripted(answer)
    breaker = CircuitBreaker(random.Random(1))
    return connections, HttpTableClient(connections, "", breaker, TrioClock())


@pytest.mark.parametrize(
    "answer",
    [
        HttpResponse(200, {}, b"{"),
        HttpResponse(200, {}, b"[1]"),
        HttpResponse(500, {}, b""),
        None,
    ],
)
async def test_what_is_no_answer_is_an_outage(autojump_clock, answer):
    _, table = make_table(answer)
    with pytest.raises(StoreUnavailable):
        await table.read("t", "k")


async def test_a_conflict_names_the_row(autojump_clock):
    _, table = make_table(HttpResponse(409, {}, b'["t", "k", 0]'))
    with pytest.raises(StoreConflict, match="row 'k' of table 't'"):
        await table.transact([Check("t", "k", 0)], [])


async def test_failures_in_a_row_suspend_calls_for_a_while(autojump_clock):
    connections, table = make_table(None)
    for _ in range(FAILURES_TO_OPEN + 20):
        with pytest.raises(StoreUnavailable):
            await table.read("t", "k")
    assert connections.calls == FAILURES_TO_OPEN
    connections.answer = HttpResponse(200, {}, b"null")
    with pytest.raises(StoreUnavailable):
        await table.read("t", "k")


async def test_a_success_ends_the_suspension(autojump_clock):
    breaker = CircuitBreaker(random.Random(1))
    for _ in range(FAILURES_TO_OPEN):
        breaker.record_failure(0.0)
    assert not breaker.allows_call(0.01)
    assert breaker.allows_call(10.0)
    assert not breaker.allows_call(10.01)
    breaker.record_success()
    assert breaker.allows_call(10.02)
