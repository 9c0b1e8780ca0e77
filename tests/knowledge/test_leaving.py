"""Endpoints that leave get no new work within the drain time, whatever happens."""

import random

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.knowledge.follow import follow_table
from pistachioreach.knowledge.platform import PlatformView, poll_schedules
from tests.platform_builders import (
    TimedStore,
    configuration_document,
    registration_document,
)

#: Seconds within which an endpoint that leaves must get no new work.
DRAIN_SECONDS = 2.0
#: Seconds after an outage from which on this holds.
CONTACT_SECONDS = 3.0


@pytest.fixture
def store():
    store = TimedStore()
    store.put("op", "config", configuration_document())
    for number in range(8):
        store.put("servers", f"i-{number}", registration_document())
    return store


@pytest.fixture
def view(nursery, store):
    """Return the view of an entry that polls the store itself."""
    view = PlatformView(TrioClock(), poll_schedules(2.0, DRAIN_SECONDS))
    for copy in view.tables:
        nursery.start_soon(
            follow_table, store, copy, view.connectivity, random.Random(1)
        )

    async def tick():
        while True:
            view.drop_expired()
            await trio.sleep(0.1)

    nursery.start_soon(tick)
    return view


def gets_work(view, id):
    """Return whether the endpoint may get new requests, as far as it has stated."""
    endpoint = view.directory.endpoints.get(id)
    return endpoint is not None and not endpoint.leaving


def leave(store, id, how):
    """Let an endpoint leave by a report, or by the removal of its registration."""
    leaving = registration_document(state="draining") if how == "draining" else None
    store.put("servers", id, leaving)


@pytest.mark.parametrize("how", ["removed", "draining"])
async def test_endpoint_that_left_after_an_outage_of_the_store_gets_no_work(
    autojump_clock, view, store, how
):
    for number, outage in enumerate([1.5, 4.0, 6.0, 9.0, 20.0]):
        await trio.sleep(6.0 + 1.3 * number)
        store.away = True
        await trio.sleep(outage)
        store.away = False
        await trio.sleep(CONTACT_SECONDS + 0.1)
        id = f"i-{number}"
        assert gets_work(view, id)
        leave(store, id, how)
        await trio.sleep(DRAIN_SECONDS)
        assert not gets_work(view, id), f"after an outage of {outage} s"
        assert gets_work(view, "i-7")


@pytest.mark.parametrize("how", ["removed", "draining"])
async def test_log_tells_how_old_the_news_of_a_leaving_endpoint_may_be(
    autojump_clock, view, store, log_lines, how
):
    # Guards against a late change that the log does not show to be late.
    await trio.sleep(5.0)
    leave(store, "i-3", how)
    await trio.sleep(DRAIN_SECONDS)
    messages = ("endpoint is leaving", "endpoint removed: its registration was removed")
    (line,) = [line for line in log_lines if line["message"] in messages]
    assert line["extra"]["row"] > 0
    assert line["extra"]["rows_of"] == "store"
    assert 0.0 < line["extra"]["unanswered"] < DRAIN_SECONDS


@pytest.mark.parametrize("how", ["draining", "draining and removed"])
async def test_late_row_of_a_leaving_run_makes_it_no_longer_ready(
    autojump_clock, view, store, how
):
    # Guards against a write before the leaving that the store applies after it.
    await trio.sleep(5.0)
    leave(store, "i-3", "draining")
    await trio.sleep(DRAIN_SECONDS)
    if how == "draining and removed":
        leave(store, "i-3", "removed")
        await trio.sleep(DRAIN_SECONDS)
    store.put("servers", "i-3", registration_document())
    await trio.sleep(DRAIN_SECONDS)
    assert not gets_work(view, "i-3")


async def test_later_run_of_a_leaving_endpoint_gets_work(autojump_clock, view, store):
    await trio.sleep(5.0)
    leave(store, "i-3", "draining")
    await trio.sleep(DRAIN_SECONDS)
    store.put("servers", "i-3", registration_document(born=1700000009000))
    await trio.sleep(DRAIN_SECONDS)
    assert gets_work(view, "i-3")


async def test_registration_that_was_removed_in_error_gets_work_again(
    autojump_clock, view, store
):
    await trio.sleep(5.0)
    leave(store, "i-3", "removed")
    await trio.sleep(DRAIN_SECONDS)
    store.put("servers", "i-3", registration_document())
    await trio.sleep(DRAIN_SECONDS)
    assert gets_work(view, "i-3")


@pytest.mark.parametrize("second", [0.3, 0.8, 1.5, 4.0])
async def test_endpoint_that_left_after_two_outages_in_a_row_gets_no_work(
    autojump_clock, view, store, second
):
    # Guards against a grace period that a second outage extends beyond its own.
    for number, pause in enumerate([0.2, 0.9, 1.6]):
        await trio.sleep(6.0)
        for outage in (4.0, second):
            await trio.sleep(pause)
            store.away = True
            await trio.sleep(outage)
            store.away = False
        await trio.sleep(CONTACT_SECONDS)
        leave(store, f"i-{number}", "removed")
        await trio.sleep(DRAIN_SECONDS)
        assert not gets_work(view, f"i-{number}"), f"{pause} s between the outages"


@pytest.mark.parametrize("how", ["removed", "draining"])
async def test_endpoint_that_was_kept_and_then_leaves_gets_no_work(
    autojump_clock, view, store, how
):
    # Guards against a leaving that is taken for a part of the expiry before it.
    await trio.sleep(6.0)
    store.away = True
    await trio.sleep(2.0)
    leave(store, "i-3", "removed")
    await trio.sleep(2.0)
    store.away = False
    await trio.sleep(0.7)
    assert gets_work(view, "i-3")
    store.put("servers", "i-3", registration_document())
    await trio.sleep(CONTACT_SECONDS - 0.7)
    leave(store, "i-3", how)
    await trio.sleep(DRAIN_SECONDS)
    assert not gets_work(view, "i-3")
