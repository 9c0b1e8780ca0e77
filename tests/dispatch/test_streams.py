"""Streams over chains: complete answers despite silence, broken streams, refusals."""

import random
from contextlib import suppress

import pytest
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.dispatch.deaths import DeathTracker
from pistachioreach.dispatch.events import EventError, EventSplitter
from pistachioreach.dispatch.finder import ChainFinder
from pistachioreach.dispatch.prompts import MAX_DEATHS
from pistachioreach.dispatch.reachability import ReachabilityProbe
from pistachioreach.dispatch.silence import StallMonitor
from pistachioreach.dispatch.silent_engines import CONFIRM_SECONDS, SilentEngines
from pistachioreach.dispatch.streams import StreamDispatcher
from pistachioreach.dispatch.work import CompleteResponse, RoutedRequest
from pistachioreach.endpoints.directory import Directory
from pistachioreach.endpoints.health import HealthTracker, QuarantineNotice
from pistachioreach.endpoints.link_monitor import LinkMonitor
from pistachioreach.errors import ConnectionFailed, ResponseAborted
from pistachioreach.journal import Journal
from pistachioreach.metrics import Metrics
from pistachioreach.platform.requests import decode_request
from pistachioreach.routing.engine_load import LoadTracker
from pistachioreach.routing.link import LinkShare
from pistachioreach.routing.progress import Progress
from pistachioreach.routing.retries import RetryLimit
from pistachioreach.routing.stream_slots import StreamSlots
from pistachioreach.routing.suspects import MAX_PART_CRASHES
from pistachioreach.verdict import NO_CHAIN, Failure, Verdict
from tests.platform_builders import (
    RecordedResponse,
    ScriptedConnections,
    ScriptedResponse,
    caller_fields,
    endpoint,
    events,
    lone_permits,
    lone_relay,
    route_document,
    route_table,
)


class StreamEntry:
    """One entry with two chains of two engines each."""

    def __init__(self, *scripts, slack=100.0):
        self.clock = TrioClock()
        self.entries = 1
        self.directory = Directory()
        for id, first, last in (
            ("a", 0, 40),
            ("b", 40, 80),
            ("c", 0, 40),
            ("d", 40, 80),
        ):
            self.directory.endpoints[id] = endpoint(
                id, first, last, "big", address=f"10.0.0.{ord(id)}:80"
            )
        self.connections = ScriptedConnections(*scripts)
        # Addresses at which nothing listens, and those that drop all packets.
        self.refusing = set()
        self.dark = set()
        self.load_tracker = LoadTracker()
        self.deaths = DeathTracker("entry-1", self.clock)
        self.progress = Progress(self.clock)
        self.slots = StreamSlots(self.load_tracker, self.clock)
        self.health = HealthTracker(self.clock)
        link_share = LinkShare(lambda: 1, self.clock, random.Random(1))
        self.permits = lone_permits(self.clock, self.health.limits)
        self.finder = ChainFinder(
            self.directory,
            self.load_tracker,
            self.progress,
            link_share,
            self.permits,
            self.clock,
            lambda: self.entries,
            random.Random(1),
        )
        self.links = LinkMonitor(
            self.directory, self.accepts_connection, self.clock, random.Random(1)
        )
        self.relay = lone_relay(self.clock, self.connections, self.links)
        common = {
            "connections": self.connections,
            "slots": self.slots,
            "progress": self.progress,
            "retries": RetryLimit(0.2, slack, 10.0, lambda: 1, self.clock),
            "journal": Journal(self.clock),
            "clock": self.clock,
        }
        reachability = ReachabilityProbe(
            self.accepts_connection, self.links, self.health, self.clock
        )
        self.silent_engines = SilentEngines(
            self.deaths,
            self.directory,
            self.progress,
            reachability,
            self.links,
            self.clock,
        )
        self.dispatcher = StreamDispatcher(
            finder=self.finder,
            stall_monitor=StallMonitor(
                finder=self.finder,
                reachability=reachability,
                relay=self.relay,
                **common,
            ),
            silent_engines=self.silent_engines,
            links=self.links,
            relay=self.relay,
            health=self.health,
            deaths=self.deaths,
            metrics=Metrics(),
            **common,
        )

    async def accepts_connection(self, address):
        if address in self.dark:
            await trio.sleep(1.0)
        return address not in self.refusing

    def restart_engines(self):
        """Have all engines start again, as the runs that crashed would."""
        for engine in self.directory.endpoints.values():
            known = engine.registration
            started_ms = known.started_ms + 1
            engine.registration = known._replace(started_ms=started_ms)

    def routed_request(
        self,
        seconds=20.0,
        last_event=None,
        usage="800,200",
        hint=None,
        relayed_by=None,
        **route,
    ):
        routes = route_table(routes=[route_document(**route)])
        service = routes.services["engines"]
        model = service.engine
        card = model.cards["a100"]._replace(memory_mb=150000.0)
        model = model._replace(cards=model.cards | {"big": card})
        request = decode_request(
            "POST",
            b"/plans/x",
            caller_fields(
                token_usage=usage,
                length_hint=hint,
                last_event_id=last_event,
            ),
        )._replace(relayed_by=relayed_by)
        now = self.clock.monotonic()
        return RoutedRequest(
            request=request,
            body=b"{}",
            route=routes.routes["crews.example"][0],
            service=service._replace(engine=model),
            workspace="crews",
            priority=1,
            arrived=now,
            deadline=now + seconds,
            fingerprint="f",
        )

    async def run(self, reply=None, **fields):
        self.reply = reply or RecordedResponse()
        outcome = await self.dispatcher.run(self.routed_request(**fields), self.reply)
        assert self.load_tracker.own == {}
        assert self.slots.running == 0
        return outcome


def stalled_report(stage):
    """Return an engine report that says that the stream waits for a stage."""
    address = stage.endpoint.registration.address
    stalled = [{"id": "9c41d07be2a35f68", "address": address}]
    return {"seq-no": 1, "busy": False, "kv-used": 0, "kv-total": 1, "stalled": stalled}


def lost_notice(endpoint):
    """Return the notice by which another entry tells that an endpoint is lost."""
    return QuarantineNotice(4.0, True, endpoint.registration.digest())


def connection_failure(sent=True):
    return ConnectionFailed("a", sent, "reset")


async def test_stream_is_passed_on_unchanged(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(events(1, 3), 0.02, events(4, 5)[:7], events(4, 5)[7:])
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 5)
    assert entry.reply.ended


async def test_broken_stream_resumes_after_last_complete_event(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(events(1, 3), events(4, 4)[:9], connection_failure()),
        ScriptedResponse(events(4, 6)),
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 6)
    first, second = entry.connections.sent
    assert second[1][b"last-event-id"] == b"3"
    assert second[0] != first[0]


async def test_slow_caller_does_not_abandon_stream(autojump_clock):
    # The silence limit passes while an event is being sent to the caller. An event that
    # was counted and then cancelled would be missing from the answer.
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), 0.05, events(3, 3), 0.05, events(4, 4))
    )
    assert await entry.run(reply=RecordedResponse(delay=0.3)) is None
    assert entry.reply.data == events(1, 4)
    assert len(entry.connections.sent) == 1


async def test_silent_stage_is_replaced_within_allowed_pause(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), 30.0), ScriptedResponse(events(3, 6))
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 6)
    pauses = [
        b - a for a, b in zip(entry.reply.times, entry.reply.times[1:], strict=False)
    ]
    assert max(pauses) < 0.2


async def test_slow_stream_is_not_sent_again(autojump_clock):
    # Other streams make progress through all engines in the meantime.
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), 0.4, events(3, 3), 0.4, events(4, 4))
    )

    async def run_other_streams():
        path = entry.finder.find(entry.routed_request(), frozenset())
        while True:
            entry.progress.record_event(path, entry.clock.monotonic(), 0.02)
            for id in "abcd":
                entry.progress.last_events[id] = entry.clock.monotonic()
            await trio.sleep(0.03)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_other_streams)
        assert await entry.run() is None
        nursery.cancel_scope.cancel()
    assert entry.reply.data == events(1, 4)
    assert len(entry.connections.sent) == 1


async def test_silent_stream_is_kept_if_no_retry_is_left(autojump_clock):
    entry = StreamEntry(ScriptedResponse(events(1, 2), 3.0, events(3, 3)), slack=0.0)
    assert await entry.run() is None
    assert entry.reply.data == events(1, 3)


async def test_missing_or_repeated_event_does_not_reach_caller(autojump_clock):
    for wrong in (events(4, 4), events(2, 2)):
        entry = StreamEntry(
            ScriptedResponse(events(1, 2), wrong), ScriptedResponse(events(3, 5))
        )
        assert await entry.run() is None
        assert entry.reply.data == events(1, 5)


@pytest.mark.parametrize(
    "wrong",
    [
        b"id: 4?\ndata: t4\n\n",
        b"id: 4\ndata: t4\nid: 4?\n\n",
        events(5, 5),
        events(3, 3),
    ],
)
async def test_sound_events_in_one_read_with_a_malformed_one_are_not_lost(
    autojump_clock, wrong
):
    # Guards against events that are counted as delivered but were never sent.
    entry = StreamEntry(
        ScriptedResponse(events(1, 1), events(2, 3) + wrong),
        ScriptedResponse(events(4, 5)),
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 5)
    assert entry.connections.sent[1][1][b"last-event-id"] == b"3"


async def test_stream_that_does_not_begin_with_its_first_event_fails_over(
    autojump_clock,
):
    # Guards against streams that lack their first events and end as a success.
    entry = StreamEntry(
        ScriptedResponse(b"id: 7\ndata: t1\n\n", events(2, 5)),
        ScriptedResponse(events(1, 5)),
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 5)
    assert b"last-event-id" not in entry.connections.sent[1][1]


@pytest.mark.parametrize("sound", [events(1, 2), b""])
async def test_error_page_inside_a_stream_does_not_reach_the_caller(
    autojump_clock, sound
):
    # Guards against bytes of a faulty engine inside a stream that ends as a success.
    page = b"<html>\n<body>502 Bad Gateway</body>\n</html>\n\n"
    entry = StreamEntry(
        ScriptedResponse(sound, *[page, 0.01] * 100), ScriptedResponse(events(1, 5))
    )
    if sound:
        entry.connections.responses[1] = ScriptedResponse(events(3, 5))
    assert await entry.run() is None
    assert entry.reply.data == events(1, 5)


async def test_error_page_without_end_is_left_at_once_if_no_retry_is_left(
    autojump_clock, nursery
):
    # Guards against an engine that is read without end, until the request's deadline.
    page = b"<html>\n<body>502 Bad Gateway</body>\n</html>\n\n"
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), *[page, 0.01] * 1000),
        ScriptedResponse(events(3, 4)),
        slack=0.0,
    )

    async def allow_a_retry():
        await trio.sleep(0.9)
        assert entry.reply.data == events(1, 2)
        assert entry.slots.running == 0
        assert len(entry.connections.sent) == 1
        entry.dispatcher.retries.slack = 1.2

    nursery.start_soon(allow_a_retry)
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert trio.current_time() < 1.1


async def test_stream_that_ends_inside_event_is_not_complete(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(events(1, 2) + b"id: 3\ndata"), ScriptedResponse(events(3, 3))
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 3)


async def test_response_is_aborted_after_last_attempt(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), connection_failure()),
        ScriptedResponse(events(3, 3), connection_failure()),
    )
    with pytest.raises(ResponseAborted):
        await entry.run()
    assert not entry.reply.ended


async def test_refused_stream_goes_to_another_chain(autojump_clock):
    refusal = ScriptedResponse(status=503, not_run=True)
    entry = StreamEntry(refusal, ScriptedResponse(events(1, 2)))
    assert await entry.run() is None
    entry = StreamEntry(*[ScriptedResponse(status=503, not_run=True) for _ in range(5)])
    failure = await entry.run()
    assert isinstance(failure, Failure)
    assert failure.verdict is Verdict.NOT_RUN
    assert len(entry.connections.sent) <= 4


async def test_stream_that_is_not_resumable_runs_once(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(connection_failure()), ScriptedResponse(events(1, 2))
    )
    failure = await entry.run(resumable=False)
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert len(entry.connections.sent) == 1


async def test_response_to_another_request_is_not_passed_on(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(events(1, 9), request="other"), ScriptedResponse(events(1, 2))
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 2)


async def test_late_refusal_of_an_earlier_request_says_nothing_of_this_one(
    autojump_clock,
):
    late = ScriptedResponse(status=503, not_run=True, request="0" * 16)
    entry = StreamEntry(late, ScriptedResponse(events(1, 2)))
    outcome = await entry.run(resumable=False)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert len(entry.connections.sent) == 1


async def test_stream_that_runs_once_uses_a_new_connection(autojump_clock):
    entry = StreamEntry(ScriptedResponse(events(1, 2)))
    await entry.run(resumable=False)
    assert entry.connections.fresh == [True]


@pytest.mark.parametrize("last", [0, 3])
async def test_comments_do_not_hide_a_stall(autojump_clock, last):
    """A stalled server that sends comments now and then must not hold a caller."""
    comments = [step for _ in range(200) for step in (b": still here\n\n", 0.1)]
    entry = StreamEntry(
        ScriptedResponse(events(1, last), *comments),
        ScriptedResponse(events(last + 1, 9)),
    )
    assert await entry.run() is None
    assert entry.reply.data.endswith(events(last + 1, 9))
    assert trio.current_time() < 2.0


async def test_server_error_is_passed_on(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(b"sorry", status=500), ScriptedResponse(b"sorry", status=500)
    )
    outcome = await entry.run()
    assert isinstance(outcome, CompleteResponse)
    assert (outcome.status, outcome.body) == (500, b"sorry")


async def test_stream_leaves_an_engine_that_answers_with_an_error(autojump_clock):
    """Two engines answer every stream with an error although they report health.

    Such an engine is soon free again and so looks like the best choice.
    """
    entry = StreamEntry(
        ScriptedResponse(b"sorry", status=500), ScriptedResponse(events(1, 2))
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 2)
    failing, other = (peer for peer, _ in entry.connections.sent)
    assert failing != other
    endpoints = entry.directory.endpoints
    # The next streams of this entry and of the others leave it alone for a while.
    assert not endpoints[failing].usable(entry.clock.monotonic())
    assert failing in entry.health.quarantine_notices(endpoints.values())


@pytest.mark.parametrize("status", [404, 504])
async def test_answer_that_blames_nobody_quarantines_nobody(autojump_clock, status):
    scripts = [ScriptedResponse(b"sorry", status=status) for _ in range(2)]
    entry = StreamEntry(*scripts)
    outcome = await entry.run()
    assert outcome.status == status
    now = entry.clock.monotonic()
    assert all(e.usable(now) for e in entry.directory.endpoints.values())


@pytest.mark.parametrize("start", [(), (b"id: 1\ndata: x",), (b": comment\n\n",)])
async def test_answer_without_a_length_that_ends_early_is_not_complete(
    autojump_clock, start
):
    entry = StreamEntry(ScriptedResponse(*start), ScriptedResponse(events(1, 3)))
    assert await entry.run() is None
    assert entry.reply.data.endswith(events(1, 3))
    assert len(entry.connections.sent) == 2


async def test_resumed_stream_without_further_events_is_complete(autojump_clock):
    entry = StreamEntry(ScriptedResponse())
    assert await entry.run(last_event="7") is None
    assert entry.reply.ended
    assert entry.reply.data == b""


async def test_request_is_not_sent_after_three_endpoint_deaths(
    autojump_clock,
):
    entry = StreamEntry(ScriptedResponse(events(1, 1)))
    for number in range(3):
        entry.deaths.suspects.record_death("f", f"death-{number}")
    failure = await entry.run()
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert entry.connections.sent == []


async def test_endpoint_deaths_count_against_the_request_that_ran(autojump_clock):
    """A request that crashes its endpoints is sent to three of them at most."""
    steps = [step for n in range(1, 6) for step in (events(n, n), 0.1)]
    entry = StreamEntry(
        *(ScriptedResponse(*steps, connection_failure()) for _ in range(6))
    )
    for _ in range(6):
        with suppress(ResponseAborted):
            await entry.run(resumable=False, **{"max-attempts": 1})
        entry.restart_engines()
        await trio.sleep(5.0)
    assert entry.deaths.suspects.death_count("f") == MAX_DEATHS
    assert len(entry.connections.sent) == MAX_DEATHS


@pytest.mark.parametrize("state", ["back", "dark", "restarted", "cut off"])
async def test_silence_counts_as_death_only_if_the_engine_stays_away(
    autojump_clock, nursery, state
):
    # Guards against answers that end because three sound engines were silent.
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), 30.0), ScriptedResponse(events(3, 4))
    )
    nursery.start_soon(entry.silent_engines.run)
    first = entry.finder.find(entry.routed_request(), frozenset()).stages
    report = stalled_report(first[0])
    entry.connections.call_responses = {"/report": (200, report)}
    engines = list(entry.directory.endpoints.values())
    (lost,) = [engine for engine in engines if engine is first[0].endpoint]
    entry.dark = {lost.registration.address}
    entry.deaths.request_started("g", [lost.id])
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert entry.deaths.suspects.death_count("g") == 0
    if state in ("back", "restarted"):
        entry.dark.clear()
    if state == "restarted":
        registration = lost.registration
        entry.directory.register(registration._replace(started_ms=2))
    if state == "cut off":
        entry.dark = {engine.registration.address for engine in engines}
    await trio.sleep(CONFIRM_SECONDS + 0.5)
    count = int(state in ("dark", "restarted"))
    assert entry.deaths.suspects.death_count("g") == count


async def test_request_that_crashes_engines_at_once_reaches_two_of_them(
    autojump_clock,
):
    entry = StreamEntry(*(connection_failure() for _ in range(6)))
    for _ in range(6):
        await entry.run(**{"max-attempts": 2})
        entry.restart_engines()
        await trio.sleep(5.0)
    assert len(entry.connections.sent) == MAX_PART_CRASHES


@pytest.mark.parametrize("max_attempts", [1, 2])
async def test_stream_runs_on_no_more_engines_than_its_route_allows(
    autojump_clock, max_attempts
):
    # Guards against a further run after answers that were lost on the way.
    entry = StreamEntry(*(connection_failure() for _ in range(6)))
    entry.connections.call_responses["/report"] = 200, {}
    failure = await entry.run(**{"max-attempts": max_attempts})
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert len(entry.connections.sent) == max_attempts


async def test_engine_that_died_does_not_count_as_a_run(autojump_clock):
    entry = StreamEntry(connection_failure(), ScriptedResponse(events(1, 3)))
    assert await entry.run(**{"max-attempts": 1}) is None
    assert entry.reply.data == events(1, 3)


async def test_stream_is_aborted_at_deadline(autojump_clock):
    entry = StreamEntry(ScriptedResponse(events(1, 2), 30.0), slack=0.0)
    with pytest.raises(ResponseAborted):
        await entry.run(seconds=2.0)


def test_events_do_not_depend_on_chunk_boundaries():
    complete = events(1, 30)
    source = random.Random(7)
    for _ in range(200):
        splitter, passed, rest = EventSplitter(None), b"", complete
        while rest:
            size = source.randrange(1, 40)
            passed += b"".join(splitter.split(rest[:size]))
            assert passed == complete[: len(passed)]
            rest = rest[size:]
        assert passed == complete


def test_comments_pass():
    splitter = EventSplitter(3)
    data = b": still working\n\n" + events(4, 4)
    assert list(splitter.split(data)) == [data]


@pytest.mark.parametrize(
    "event",
    [
        b"data: x",
        b"id: five\ndata: x",
        b"id: +4\ndata: x",
        b"id: 4_0\ndata: x",
        b"id: " + b"4" * 5000 + b"\ndata: x",
        b"id: 4\nid: 5\ndata: x",
        b"id: 4\nda?a: x",
        b"id: 4\n<html>",
        b"<html>\n<body>502 Bad Gateway</body>\n</html>",
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r",
        b"\n",
        b"",
    ],
)
def test_bytes_that_are_no_event_are_an_error(event):
    splitter = EventSplitter(3)
    with pytest.raises(EventError):
        list(splitter.split(event + b"\n\n"))
    assert splitter.last_number == 3


def test_event_with_the_version_of_the_weights_passes():
    splitter = EventSplitter(3)
    data = b"weight-versions: 2\nid: 4\ndata: t4\n\n"
    assert list(splitter.split(data)) == [data]


@pytest.mark.parametrize("seed", range(8))
async def test_stalled_process_abandons_no_stream(autojump_clock, seed):
    # The whole process freezes for 3 s while events wait to be read. The scheduler's
    # seed decides which of the due tasks wakes first.
    trio._core._run._r.seed(seed)
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), 0.05, events(3, 3), 0.05, events(4, 4))
    )
    async with trio.open_nursery() as nursery:

        async def freeze():
            await trio.sleep(0.04)
            autojump_clock.jump(3.0)

        nursery.start_soon(freeze)
        assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert len(entry.connections.sent) == 1


async def test_unreachable_engine_costs_no_retry(autojump_clock):
    # An engine is gone but still listed, and the retry limit allows no retry.
    entry = StreamEntry(
        connection_failure(sent=False), ScriptedResponse(events(1, 2)), slack=0.0
    )
    assert await entry.run() is None
    assert entry.reply.data == events(1, 2)
    gone = entry.connections.sent[0][0]
    assert not entry.directory.endpoints[gone].usable(entry.clock.monotonic())


@pytest.mark.parametrize("slack", [100.0, 0.0])
async def test_stream_is_rerouted_around_reported_stage(autojump_clock, slack):
    # The stream is rerouted even if no retry is left: rerouting is not a second run.
    entry = StreamEntry(ScriptedResponse(events(1, 2), 0.22, events(3, 4)), slack=slack)
    chains = []
    move = entry.slots.move

    def record(slot, path, need):
        chains.append([stage.endpoint.id for stage in path.stages])
        move(slot, path, need)

    entry.slots.move = record
    first = entry.finder.find(entry.routed_request(), frozenset()).stages
    report = stalled_report(first[1])
    entry.connections.call_responses = {"/report": (200, report), "/order": (200, {})}
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert len(entry.connections.sent) == 1
    (chain,) = chains
    assert chain[0] == first[0].endpoint.id
    assert chain[1] != first[1].endpoint.id
    (order,) = [call for call in entry.connections.calls if call[1] == "/order"]
    assert order[0] == chain[0]
    assert order[2]["id"] == "9c41d07be2a35f68"


async def test_stream_moves_on_if_engine_refuses_reroute(autojump_clock):
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), 30.0), ScriptedResponse(events(3, 4))
    )
    first = entry.finder.find(entry.routed_request(), frozenset()).stages
    report = stalled_report(first[1])
    entry.connections.call_responses = {"/report": (200, report), "/order": (409, {})}
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert len(entry.connections.sent) == 2


@pytest.mark.parametrize("loss", ["told", "gone"])
async def test_stream_is_rerouted_around_lost_engine(autojump_clock, loss):
    """The stream continues within the allowed pause, although its silence is short."""
    entry = StreamEntry(ScriptedResponse(events(1, 2), 0.13, events(3, 4)))
    first = entry.finder.find(entry.routed_request(), frozenset()).stages
    lost = first[1].endpoint
    # Streams through the engine were slow, so silence alone is no sign of a fault.
    entry.progress.event_gaps[lost.id] = 1.0
    moved = []
    move = entry.slots.move

    def record(slot, path, need):
        moved.append((trio.current_time(), path.stages[1].endpoint.id))
        move(slot, path, need)

    entry.slots.move = record
    entry.connections.call_responses = {"/order": (200, {})}
    start = trio.current_time()

    async def lose_engine():
        await trio.sleep(0.05)
        if loss == "told":
            entry.health.apply_notice(lost, lost_notice(lost))
        else:
            entry.directory.remove(lost.id, "its entry is gone")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(lose_engine)
        assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    ((at, replacement),) = moved
    assert at - start <= 0.12
    assert replacement != lost.id


@pytest.mark.parametrize("loss", ["refusing", "dark"])
async def test_stream_leaves_engine_that_accepts_no_connection_within_the_pause(
    autojump_clock, loss
):
    """Silence alone shows a lost engine only after four usual times of an event."""
    entry = StreamEntry(ScriptedResponse(events(1, 2), 0.2, events(3, 4)))
    first = entry.finder.find(entry.routed_request(), frozenset()).stages
    lost = first[1].endpoint
    entry.progress.event_gaps = {stage.endpoint.id: 0.045 for stage in first}
    getattr(entry, loss).add(lost.registration.address)
    entry.connections.call_responses = {"/order": (200, {})}
    moved = []
    move = entry.slots.move

    def record(slot, path, need):
        moved.append((trio.current_time(), path.stages[1].endpoint.id))
        move(slot, path, need)

    entry.slots.move = record
    start = trio.current_time()
    assert await entry.run() is None
    ((at, replacement),) = moved
    assert at - start <= 0.15
    assert replacement != lost.id
    # Other entries are told only of an engine that certainly does not listen.
    told = entry.health.quarantine_notices(entry.directory.endpoints.values())
    assert list(told) == ([lost.id] if loss == "refusing" else [])


async def test_engine_that_is_usually_slow_is_not_probed(autojump_clock):
    """Each pause of a slow chain would cost new connections to all its engines."""
    entry = StreamEntry(ScriptedResponse(events(1, 2), 0.13, events(3, 4)))
    first = entry.finder.find(entry.routed_request(), frozenset()).stages
    entry.progress.event_gaps = {stage.endpoint.id: 0.1 for stage in first}
    entry.refusing = {stage.endpoint.registration.address for stage in first}
    assert await entry.run() is None
    assert not entry.connections.calls
    assert len(entry.connections.sent) == 1


async def test_engines_get_one_probe_a_second_from_each_entry(autojump_clock):
    entry = StreamEntry()
    probed = []

    async def is_listening(address):
        probed.append(address)
        return True

    probe = ReachabilityProbe(is_listening, entry.links, entry.health, entry.clock)
    engines = list(entry.directory.endpoints.values())
    for _ in range(20):
        assert await probe.find_unreachable(engines) == set()
        await trio.sleep(0.099)
    assert len(probed) == 2 * len(engines)
    await trio.sleep(1.1)
    await probe.find_unreachable([])
    assert probe.results == {}


async def test_streams_that_fall_silent_together_share_a_probe(autojump_clock):
    # Guards against streams that take an engine for reachable while it is probed.
    entry = StreamEntry()
    engine = entry.directory.endpoints["a"]
    entry.dark = {engine.registration.address}
    probe = ReachabilityProbe(
        entry.accepts_connection, entry.links, entry.health, entry.clock
    )
    found = []

    async def find():
        found.append(await probe.find_unreachable([engine]))

    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(find)
            await trio.sleep(0.01)
    assert found == [{"a"}] * 3


async def test_silent_run_is_kept_if_no_other_engine_accepts_a_connection(
    autojump_clock,
):
    # Guards against answers that end because the entry loses its links for a moment.
    entry = StreamEntry(ScriptedResponse(events(1, 2), 1.2, events(3, 4)))
    engines = entry.directory.endpoints.values()
    entry.dark = {engine.registration.address for engine in engines}
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    assert len(entry.connections.sent) == 1


async def test_probe_during_a_stall_of_the_process_finds_no_engine_unreachable(
    autojump_clock,
):
    # Guards against streams that leave live engines because this process did not run
    # while they accepted the connection.
    entry = StreamEntry()
    stalls = [0.06]

    async def is_listening(address):
        await trio.sleep(0.002)
        if stalls:
            autojump_clock.jump(stalls.pop())
        await trio.lowlevel.checkpoint()
        return True

    probe = ReachabilityProbe(is_listening, entry.links, entry.health, entry.clock)
    engines = [entry.directory.endpoints["a"]]
    assert await probe.find_unreachable(engines) == set()
    # An engine that is lost is still found by the next check of the stream.
    probe.is_listening = entry.accepts_connection
    entry.dark = {engines[0].registration.address}
    assert await probe.find_unreachable(engines) == {"a"}


async def test_answer_that_has_begun_waits_for_a_chain_until_its_deadline(
    autojump_clock,
):
    """On a calm day, a caller lost an answer that found no chain for 1.5 s."""
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), connection_failure()),
        ScriptedResponse(events(3, 4)),
    )
    entry.connections.listening = True
    find = entry.finder.find
    start = trio.current_time()

    def find_late(routed, avoid):
        is_full = entry.reply.started and trio.current_time() < start + 3.0
        return None if is_full else find(routed, avoid)

    async def admit_waiting():
        while True:
            await trio.sleep(0.1)
            entry.slots.admit_waiting()

    entry.finder.find = find_late
    async with trio.open_nursery() as nursery:
        nursery.start_soon(admit_waiting)
        assert await entry.run() is None
        nursery.cancel_scope.cancel()
    assert trio.current_time() - start > 2.9
    assert entry.reply.data == events(1, 4)


async def test_answer_that_has_begun_waits_while_no_engine_can_be_reached(
    autojump_clock,
):
    # Guards against an entry that loses its links for a moment and ends the answer.
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), connection_failure()),
        *[connection_failure(sent=False)] * 12,
        ScriptedResponse(events(3, 4)),
    )
    entry.connections.listening = True
    assert await entry.run() is None
    assert entry.reply.data == events(1, 4)
    # The attempts in between are spread over time.
    assert trio.current_time() >= 0.5


async def test_answer_that_has_begun_ends_at_its_deadline_if_no_engine_is_reached(
    autojump_clock,
):
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), connection_failure()),
        *[connection_failure(sent=False)] * 100,
    )
    entry.connections.listening = True
    with pytest.raises(ResponseAborted):
        await entry.run(seconds=2.0)
    assert trio.current_time() == pytest.approx(2.0, abs=0.2)


@pytest.mark.parametrize("second", ["no chain", "refused", "late"])
async def test_stream_that_may_have_run_is_not_answered_as_not_run(
    autojump_clock, second
):
    # Guards against a caller who sends a request again that an engine may still run,
    # because the router's own next attempt found no chain, was refused or came late.
    script = ScriptedResponse(status=503, not_run=True)
    entry = StreamEntry(connection_failure(), *(script for _ in range(6)))
    entry.connections.call_responses["/report"] = 200, {}
    find = entry.finder.find

    async def wait_for_deadline(routed, avoid):
        if avoid:
            await trio.sleep_until(20.0 + trio.current_time())

    if second == "no chain":
        entry.finder.find = lambda routed, avoid: None if avoid else find(routed, avoid)
    elif second == "late":
        entry.dispatcher.obtain_permit = wait_for_deadline
    outcome = await entry.run(**{"max-attempts": 2})
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def test_withdrawn_key_does_not_end_an_answer_that_has_begun(autojump_clock):
    # Guards against a broken answer of a caller whose key was withdrawn while the
    # router looked for another chain: other running streams are not ended either.
    entry = StreamEntry(
        ScriptedResponse(events(1, 2), connection_failure()),
        ScriptedResponse(events(3, 4)),
    )
    entry.connections.listening = True
    find = entry.finder.find
    start = trio.current_time()

    def find_late(routed, avoid):
        is_full = entry.reply.started and trio.current_time() < start + 1.0
        return None if is_full else find(routed, avoid)

    async def withdraw_keys():
        await trio.sleep(0.5)
        assert len(entry.slots.waiters) == 1
        entry.slots.withdraw({})
        await trio.sleep(1.0)
        entry.slots.admit_waiting()

    entry.finder.find = find_late
    async with trio.open_nursery() as nursery:
        nursery.start_soon(withdraw_keys)
        assert await entry.run() is None
    assert entry.reply.data == events(1, 4)


async def test_stream_that_no_engines_can_hold_is_refused_at_once(autojump_clock):
    # Guards against a stream that waits in vain: all entries hold back less urgent
    # streams for it, and refuse others because of the tokens that wait ahead.
    entry = StreamEntry()
    start = trio.current_time()
    outcome = await entry.run(usage="10000000,200")
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason is NO_CHAIN
    assert trio.current_time() == start


async def test_event_overrules_report_of_another_entry(autojump_clock):
    entry = StreamEntry(ScriptedResponse(events(1, 2), 0.13, events(3, 4)))
    first = entry.finder.find(entry.routed_request(), frozenset()).stages
    entry.progress.event_gaps = {stage.endpoint.id: 1.0 for stage in first}

    async def report_and_progress():
        await trio.sleep(0.05)
        entry.health.apply_notice(first[1].endpoint, lost_notice(first[1].endpoint))
        entry.progress.last_events[first[1].endpoint.id] = entry.clock.monotonic()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(report_and_progress)
        assert await entry.run() is None
    assert not entry.connections.calls


def test_event_in_parts_without_end_is_an_error():
    splitter = EventSplitter(None)
    with pytest.raises(EventError, match="parts"):
        for _ in range(10_000):
            list(splitter.split(b"x"))


def test_number_of_parts_of_a_whole_stream_is_not_limited():
    splitter = EventSplitter(None)
    data = events(1, 1000)
    received = b"".join(
        event for byte in data for event in splitter.split(bytes([byte]))
    )
    assert received == data
    assert splitter.last_number == 1000
