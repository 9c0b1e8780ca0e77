"""Kept connections to endpoints that send bytes that belong to no request."""

import pytest
import trio

from pistachioreach.dispatch.work import CompleteResponse
from pistachioreach.endpoints.connections import SINGLE_USE_SECONDS, Connections
from pistachioreach.verdict import Failure, Verdict
from tests.dispatch.test_plain import PlainEntry
from tests.raw_servers import RawServer, RepeatingServer, answer_bytes

OTHER = "7" * 16
FAILURE = answer_bytes(404, b"nothing")
#: An earlier answer, whose head is longer than its body.
EARLIER = answer_bytes(200, b"plan", OTHER)
HEAD_SIZE = EARLIER.index(b"\r\n\r\n") + 4
SUCCESS = answer_bytes(200, b"own")


async def entry_of(nursery, *answers):
    """Return an entry with one endpoint, which gives the answers in their order."""
    return await entry_before(nursery, RawServer(*answers))


async def entry_before(nursery, server):
    """Return an entry with one endpoint, and the endpoint's server."""
    await server.start(nursery)
    entry = PlainEntry(servers=1)
    [known] = entry.directory.endpoints.values()
    known.registration = known.registration._replace(address=server.address)
    entry.dispatcher.connections = Connections()
    return entry, server


async def second_outcome(nursery, first_parts, second_parts):
    """Return the outcome of the second of two requests on one connection."""
    entry, server = await entry_of(nursery, first_parts, second_parts)
    await entry.run("idempotent")
    # A copy that comes with the first answer has arrived.
    await trio.sleep(0.01)
    outcome = await entry.run("idempotent")
    return outcome, server


async def test_the_answer_names_its_endpoint_and_the_use_of_its_connection(nursery):
    entry, server = await entry_of(nursery, [SUCCESS])
    outcomes = [await entry.run("idempotent") for _ in range(3)]
    assert [outcome.earlier_responses for outcome in outcomes] == [0, 1, 2]
    assert {outcome.endpoint for outcome in outcomes} == {"s0"}
    assert server.connections == 1


@pytest.mark.parametrize("together", [False, True], ids=["late", "at once"])
async def test_a_cut_copy_does_not_give_an_answer_its_status(nursery, together):
    # Guards against an answer that is joined with the head of an earlier one.
    wrong = []
    for size in range(1, HEAD_SIZE):
        copy = EARLIER[:size]
        first, second = [SUCCESS], [copy, FAILURE]
        if together:
            first, second = [SUCCESS + copy], [FAILURE]
        outcome, _ = await second_outcome(nursery, first, second)
        if isinstance(outcome, CompleteResponse) and outcome.status != 404:
            wrong.append((size, outcome.status))
    assert not wrong


@pytest.mark.parametrize("body", [b"own", b"a body of an answer" * 9])
async def test_a_copy_between_head_and_body_does_not_reach_the_caller(nursery, body):
    # Guards against an earlier answer in place of the body.
    sound = answer_bytes(200, body)
    end = len(sound) - len(body)
    split = [sound[:end], EARLIER + EARLIER, sound[end:]]
    outcome, _ = await second_outcome(nursery, [SUCCESS], split)
    assert isinstance(outcome, Failure)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def test_an_answer_with_a_copy_after_it_reaches_the_caller(nursery):
    outcome, _ = await second_outcome(nursery, [SUCCESS], [SUCCESS + EARLIER])
    assert (outcome.status, outcome.body) == (200, b"own")


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param([SUCCESS + EARLIER], [SUCCESS], id="after an answer"),
        pytest.param([SUCCESS, EARLIER], [SUCCESS], id="on an idle connection"),
        pytest.param([SUCCESS], [EARLIER, SUCCESS], id="in place of an answer"),
        pytest.param([SUCCESS], [EARLIER[:40], SUCCESS], id="cut off in a value"),
        pytest.param([SUCCESS], [EARLIER[:50], SUCCESS], id="cut off in a name"),
    ],
)
async def test_connections_to_an_endpoint_that_repeats_answers_are_used_once(
    nursery, first, second
):
    # Guards against a copy between a head and its body, which no answer shows.
    entry, server = await entry_of(nursery, first, second, [SUCCESS])
    await entry.run("idempotent")
    await trio.sleep(0.02)
    await entry.run("idempotent")
    before = server.connections
    for _ in range(3):
        outcome = await entry.run("idempotent")
        assert (outcome.status, outcome.earlier_responses) == (200, 0)
    assert server.connections == before + 3
    until = entry.dispatcher.connections.single_use_until
    assert until[server.address] <= trio.current_time() + SINGLE_USE_SECONDS
    until[server.address] = trio.current_time()
    outcomes = [await entry.run("idempotent") for _ in range(3)]
    assert [outcome.earlier_responses for outcome in outcomes] == [0, 1, 2]


async def test_connections_to_sound_endpoints_stay_in_use(nursery):
    faulty = await RawServer([SUCCESS + EARLIER]).start(nursery)
    sound = await RawServer([SUCCESS]).start(nursery)
    pool = Connections()
    for _ in range(4):
        for server in (faulty, sound):
            await pool.call("e", server.address, "GET", "/x")
    assert (faulty.connections, sound.connections) == (4, 1)


@pytest.mark.parametrize("status", [421, 503])
async def test_second_refusal_without_identifier_refuses_no_other_call(nursery, status):
    refusal = answer_bytes(status, request=None, fields=(b"Not-Executed: 1",))
    own = answer_bytes(request="second")
    entry, _ = await entry_before(nursery, RepeatingServer(refusal, own))
    await entry.run("idempotent", request="first")
    outcome = await entry.run("idempotent", request="second")
    assert isinstance(outcome, CompleteResponse)
    assert (outcome.status, outcome.body) == (200, b"body")


async def test_head_that_joins_two_answers_is_the_answer_to_neither(nursery):
    first = answer_bytes(200, b"one", "first")
    # The copy ends inside a field after its identifier; the next head completes it.
    cut = first.index(b"Response-Seal: ") + len(b"Response-Seal: ") + 2
    second = answer_bytes(404, b"none", "second")
    entry, _ = await entry_before(nursery, RepeatingServer(first, second, cut=cut))
    await entry.run("idempotent", request="first")
    outcome = await entry.run("idempotent", request="second")
    assert isinstance(outcome, Failure) or outcome.status == 404
