"""Requests whose endpoints leave between the choice and the first byte."""

import pytest
import trio

from pistachioreach.errors import ConnectionFailed, ResponseAborted
from pistachioreach.verdict import NO_CHAIN
from tests.dispatch.test_begun_answers import broken
from tests.dispatch.test_plain import PlainEntry
from tests.dispatch.test_streams import StreamEntry, stalled_report
from tests.platform_builders import ScriptedResponse, endpoint, events

#: Paths of the requests.
PATHS = ("/b/x", "/plans/x")


def report(directory, id):
    """Have an endpoint register that it leaves."""
    known = directory.endpoints[id].registration
    directory.register(known._replace(leaving=True))


def remove(directory, id):
    """Have the registration of an endpoint removed."""
    directory.remove(id, "test")


def state(directory, id):
    """Have an endpoint state in another answer that it leaves."""
    directory.endpoints[id].states_leaving = True


def restart(directory, id):
    """Have an endpoint start again under its identifier."""
    known = directory.endpoints[id].registration
    directory.register(known._replace(started_ms=known.started_ms + 1))


every_way_to_leave = pytest.mark.parametrize("leave", [report, remove, state])


def leave_while_opening(entry, leave, *ids, seconds=0.2):
    """Have endpoints leave while the next connection is opened.

    Args:
        entry: The entry.
        leave: How they leave.
        *ids: The endpoints; by default, the one that is connected to.
        seconds: Time that it takes to open the connection.

    Returns:
        Identifiers of the endpoints that have left.
    """
    left = []

    async def opening(peer, path):
        if path in PATHS and not left:
            left.extend(ids or [peer])
            await trio.sleep(seconds)
            for id in left:
                leave(entry.directory, id)

    entry.connections.opening = opening
    return left


def first_chain(entry):
    """Return the identifiers of the engines of the first chain."""
    path = entry.finder.find(entry.routed_request(), frozenset())
    return [stage.endpoint.id for stage in path.stages]


@every_way_to_leave
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_call_is_not_sent_to_an_endpoint_that_leaves_while_it_connects(
    autojump_clock, leave, kind
):
    entry = PlainEntry(*[ScriptedResponse(b"read")] * 2)
    left = leave_while_opening(entry, leave)
    assert (await entry.run(kind)).body == b"read"
    assert [peer for peer, _ in entry.connections.sent] not in ([], left)


async def test_call_goes_to_the_new_run_of_an_endpoint_that_restarts_meanwhile(
    autojump_clock,
):
    entry = PlainEntry(ScriptedResponse(b"read"), servers=1)
    restarted = endpoint("s0", 0, 0, "", service="bookings", born=2, address="[::1]:9")
    addresses = []
    send = entry.connections.send

    async def opening(peer, path):
        entry.directory.register(restarted.registration)

    def record(peer, address, *args, **options):
        addresses.append(address)
        return send(peer, address, *args, **options)

    entry.connections.opening, entry.connections.send = opening, record
    assert (await entry.run()).body == b"read"
    assert addresses[-1] == "[::1]:9"


async def test_call_to_an_endpoint_that_left_is_neither_a_failure_nor_an_attempt(
    autojump_clock,
):
    # Guards against calls that are refused since several endpoints left in a row.
    entry = PlainEntry(ScriptedResponse(b"read"), servers=7, slack=0.0)
    left = []

    async def opening(peer, path):
        if path in PATHS and len(left) < 6:
            left.append(peer)
            entry.directory.endpoints[peer].states_leaving = True

    entry.connections.opening = opening
    outcome = await entry.run("idempotent", **{"max-attempts": 1})
    assert outcome.body == b"read"
    ((peer, _),) = entry.connections.sent
    assert len(left) == 6
    assert peer not in left
    assert not any(e.failures for e in entry.directory.endpoints.values())
    assert not any(e.quarantined_until for e in entry.directory.endpoints.values())
    assert not entry.dispatcher.retries.retries.get("bookings")


async def test_retry_whose_endpoint_left_is_charged_once(autojump_clock):
    # Guards against more repetitions, or fewer, than the retry limit allows.
    entry = PlainEntry(
        ConnectionFailed("s", True, "reset"), ScriptedResponse(b"read"), servers=4
    )
    left = []

    async def opening(peer, path):
        if path in PATHS and entry.connections.sent and not left:
            left.append(peer)
            entry.directory.endpoints[peer].states_leaving = True

    entry.connections.opening = opening
    assert (await entry.run("idempotent")).body == b"read"
    assert entry.connections.sent[-1][0] not in left
    assert len(entry.connections.sent) == 2
    assert len(entry.dispatcher.retries.retries["bookings"]) == 1


async def test_failure_of_an_endpoint_stays_if_the_last_other_one_leaves(
    autojump_clock,
):
    # Guards against a refusal, which promises that the request has not run.
    entry = PlainEntry(
        ScriptedResponse(b"broken", status=500), ScriptedResponse(b"read"), servers=2
    )

    async def opening(peer, path):
        if path in PATHS and entry.connections.sent:
            entry.directory.endpoints[peer].states_leaving = True

    entry.connections.opening = opening
    outcome = await entry.run("idempotent")
    assert (outcome.status, outcome.body) == (500, b"broken")


@every_way_to_leave
@pytest.mark.parametrize("hop", [0, 1])
async def test_stream_is_not_sent_over_an_engine_that_leaves_while_it_connects(
    autojump_clock, leave, hop
):
    entry = StreamEntry(*[ScriptedResponse(events(1, 2))] * 2)
    chain = first_chain(entry)
    address = entry.directory.endpoints[chain[hop]].registration.address.encode()
    leave_while_opening(entry, leave, chain[hop])
    assert await entry.run() is None
    assert entry.reply.data == events(1, 2)
    ((_, fields),) = entry.connections.sent
    assert address not in fields[b"hop-count"]


async def test_stream_to_an_engine_that_left_is_neither_a_failure_nor_an_attempt(
    autojump_clock,
):
    # Guards against streams that are refused or delayed since their engine left.
    entry = StreamEntry(ScriptedResponse(events(1, 2)), slack=0.0)
    left = leave_while_opening(entry, state)
    assert await entry.run(**{"max-attempts": 1}) is None
    assert [peer for peer, _ in entry.connections.sent] not in ([], left)
    assert trio.current_time() < 0.25
    assert not any(e.quarantined_until for e in entry.directory.endpoints.values())
    assert not entry.dispatcher.retries.retries.get("engines")


@every_way_to_leave
async def test_stream_is_not_resumed_on_engines_that_leave_meanwhile(
    autojump_clock, leave
):
    entry = StreamEntry(broken(1, 2), *[ScriptedResponse(events(3, 4))] * 2)
    entry.connections.listening = True
    left = []

    async def opening(peer, path):
        if path in PATHS and entry.connections.sent and not left:
            left.append(peer)
            leave(entry.directory, peer)
            entry.directory.register(endpoint("e", 0, 40, "big").registration)
            entry.directory.register(endpoint("f", 0, 40, "big").registration)

    entry.connections.opening = opening
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert len(entry.connections.sent) == 2
    assert left[0] not in [peer for peer, _ in entry.connections.sent[1:]]
    assert len(entry.dispatcher.retries.retries["engines"]) == 1


async def test_answer_does_not_go_back_to_the_engine_that_leaves_meanwhile(
    autojump_clock,
):
    # Guards against the engines on which an answer may be resumed as an exception.
    entry = StreamEntry(broken(1, 2), *[ScriptedResponse(events(3, 4))] * 2)
    entry.connections.listening = True

    async def opening(peer, path):
        if path in PATHS and entry.connections.sent:
            entry.directory.endpoints[peer].states_leaving = True

    entry.connections.opening = opening
    with pytest.raises(ResponseAborted):
        await entry.run(seconds=5.0, **{"max-attempts": 1})
    assert len(entry.connections.sent) == 1


@every_way_to_leave
async def test_stream_is_not_moved_to_an_engine_that_leaves_meanwhile(
    autojump_clock, leave
):
    entry = StreamEntry(ScriptedResponse(events(1, 2), 0.22, events(3, 4)))
    engine = endpoint("e", 40, 80, "big", address="10.0.0.101:80")
    entry.directory.endpoints["e"] = engine
    first = entry.finder.find(entry.routed_request(), frozenset()).stages
    entry.connections.call_responses = {
        "/report": (200, stalled_report(first[1])),
        "/order": (200, {}),
    }
    chosen, find = [], entry.finder.find_usable

    def record(routed, avoid, head=None):
        path = find(routed, avoid, head)
        if head is not None:
            chosen.append(path.stages[1].endpoint)
        return path

    async def opening(peer, path):
        if path == "/order" and len(chosen) == 1:
            leave(entry.directory, chosen[0].id)

    entry.finder.find_usable = record
    entry.connections.opening = opening
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    (order,) = [call for call in entry.connections.calls if call[1] == "/order"]
    assert chosen[0].registration.address not in order[2]["path"]


@every_way_to_leave
async def test_call_is_not_sent_to_an_endpoint_that_leaves_while_it_waits_for_a_permit(
    autojump_clock, leave
):
    entry = PlainEntry(*[ScriptedResponse(b"read")] * 2)
    left = []

    async def obtain(endpoint):
        if not left:
            left.append(endpoint.id)
            await trio.sleep(0.2)
            leave(entry.directory, endpoint.id)
        return True

    entry.dispatcher.permits.obtain = obtain
    assert (await entry.run()).body == b"read"
    assert [peer for peer, _ in entry.connections.sent] not in ([], left)


def fill(entry):
    """Have other streams use the memory of all engines; return a function to end them.

    Returns:
        The function that frees the memory.
    """
    find = entry.finder.find
    entry.finder.find = lambda routed, avoid: None

    def free():
        entry.finder.find = find
        entry.slots.admit_waiting()

    return free


@every_way_to_leave
async def test_stream_is_not_sent_over_an_engine_that_leaves_while_it_is_queued(
    autojump_clock, nursery, leave
):
    entry = StreamEntry(ScriptedResponse(events(1, 2)))
    free = fill(entry)

    async def leave_then_free():
        await trio.sleep(0.1)
        leave(entry.directory, "a")
        leave(entry.directory, "b")
        await trio.sleep(0.1)
        free()

    nursery.start_soon(leave_then_free)
    assert await entry.run() is None
    ((peer, fields),) = entry.connections.sent
    assert peer == "c"
    assert fields[b"hop-count"] == b"10.0.0.99:80=0-40,10.0.0.100:80=40-80"


@every_way_to_leave
async def test_stream_without_another_engine_for_some_layers_is_refused(
    autojump_clock, leave
):
    # Guards against the last copy of some layers as an exception.
    entry = StreamEntry(ScriptedResponse(events(1, 2)))
    for id in ("b", "d"):
        leave(entry.directory, id)
    outcome = await entry.run()
    assert outcome.reason is NO_CHAIN
    assert entry.connections.sent == []


@every_way_to_leave
async def test_answer_without_another_engine_for_some_layers_waits_for_one(
    autojump_clock, nursery, leave
):
    # Guards against the last copy of some layers as an exception.
    entry = StreamEntry(broken(1, 2), ScriptedResponse(events(3, 4)))
    entry.connections.listening = True

    async def leave_then_load():
        while not entry.connections.sent:
            await trio.sleep(0.0001)
        for id in ("b", "d"):
            leave(entry.directory, id)
        await trio.sleep(3.0)
        assert len(entry.connections.sent) == 1
        late = endpoint("e", 40, 80, "big", address="10.0.0.101:80")
        entry.directory.register(late.registration)
        entry.slots.admit_waiting()

    nursery.start_soon(leave_then_load)
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert b"10.0.0.101:80" in entry.connections.sent[1][1][b"hop-count"]


@every_way_to_leave
async def test_answer_whose_engines_all_leave_is_not_resumed_on_them(
    autojump_clock, nursery, leave
):
    # Guards against the engines on which an answer may be resumed as an exception.
    entry = StreamEntry(broken(1, 2), *[ScriptedResponse(events(3, 4))] * 9)
    entry.connections.listening = True

    async def leave_at_once():
        while not entry.connections.sent:
            await trio.sleep(0.0001)
        leave(entry.directory, entry.connections.sent[0][0])

    nursery.start_soon(leave_at_once)
    with pytest.raises(ResponseAborted):
        await entry.run(seconds=5.0, **{"max-attempts": 1})
    assert len(entry.connections.sent) == 1
