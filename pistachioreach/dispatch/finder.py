"""Finder of engine chains for streams, among the engines that an entry knows."""

from __future__ import annotations

import functools
import itertools
import math
import statistics
from contextlib import contextmanager
from random import Random
from typing import TYPE_CHECKING

from pistachioreach.routing.answer_lengths import INITIAL_RATIO, AnswerLengths
from pistachioreach.routing.engine_load import NO_LOAD
from pistachioreach.routing.link import transfer_mbit
from pistachioreach.routing.paths import (
    MAX_FILL_SHARE,
    STREAMS_TO_DOUBLE,
    Spread,
    StreamNeed,
    fewest_crossings,
    find_path,
    kv_cache_capacity,
)
from pistachioreach.routing.prompt_cache import PromptCacheMap, find_savings
from pistachioreach.routing.stream_waiters import CacheView

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.directory import Directory, Endpoint
    from pistachioreach.knowledge.permits import Permits
    from pistachioreach.routing.engine_load import LoadTracker
    from pistachioreach.routing.link import LinkShare
    from pistachioreach.routing.paths import Path, PathStage
    from pistachioreach.routing.progress import Progress

__all__ = [
    "ChainFinder",
    "events_tokens",
    "format_chain",
    "prompt_tokens",
    "stage_addresses",
    "stream_need",
]

#: Age of a load report of other entries, in seconds, with four reports per second and a
#: hierarchy of two levels.
REPORT_AGE_SECONDS = 1.0
#: Number of stages in a typical chain.
TYPICAL_STAGES = 5
#: Run time of a stream, in seconds, that is assumed until the first one has finished.
INITIAL_RUN_SECONDS = 2.0
#: Shortest assumed run time of a stream, in seconds.
MIN_RUN_SECONDS = 0.1
#: Weight of a new observation in the moving average of run times.
SMOOTHING = 0.1
#: Width of the random factor on the times of engines while the load that other entries
#: put on them is not known. If 100 entries start together and begin 400 streams within
#: the first second, engines reject none with 16, 3% with 8 and 50% with 0
#: (bench/spreading.py).
FRESH_WIDTH = 16.0
#: Maximum width. Beyond it, slow engines lengthen the time per event by more than a
#: better spread shortens it (bench/spreading.py).
MAX_WIDTH = 4.0
#: Seconds for which the number of streams that fill an engine is kept. Engines take
#: several seconds to load other layers.
ENGINE_STREAMS_TTL_SECONDS = 5.0
#: Seconds for which the result of a check is kept that tells whether a failure domain
#: has a whole chain: a request that needs the link can wait longer than that.
CROSSING_CHECK_SECONDS = 0.25
#: Maximum number of such results; all are dropped when there are more.
MAX_CROSSING_CHECKS = 256


class ChainFinder:
    """Finds the fastest chain of engines that has memory for a stream.

    Args:
        directory: Directory of the registered endpoints.
        load_tracker: Load on each engine, as this entry knows it.
        progress: Progress and speed of each engine, learned from stream events.
        link_share: This entry's share of the bandwidth between failure domains.
        permits: Permits for requests to engines that state a limit.
        clock: Clock of all decisions.
        entries: Function that returns the number of registered entries, those included
            whose load is not known.
        random: Source of the seed by which chains of similar cost are drawn.
    """

    def __init__(
        self,
        directory: Directory,
        load_tracker: LoadTracker,
        progress: Progress,
        link_share: LinkShare,
        permits: Permits,
        clock: Clock,
        entries: Callable[[], int],
        random: Random,
    ) -> None:
        #: Directory of the registered endpoints.
        self.directory = directory
        #: Load on each engine, as this entry knows it.
        self.load_tracker = load_tracker
        #: Progress and speed of each engine, learned from stream events.
        self.progress = progress
        #: This entry's share of the bandwidth between failure domains.
        self.link_share = link_share
        #: Permits for requests to engines that state a limit.
        self.permits = permits
        #: Clock of all decisions.
        self.clock = clock
        #: Function that returns the number of registered entries.
        self.entries = entries
        #: Draws chains of similar cost. 100 numbers take 3 us, and 41 us from
        #: `SystemRandom`.
        self.random = Random(random.getrandbits(64))
        #: Moving average of the run time of a complete stream, in seconds.
        self.run_seconds = INITIAL_RUN_SECONDS
        #: Answer lengths on each route, learned from complete answers.
        self.lengths = AnswerLengths()
        #: Number of streams that fill an engine of a service, and the monotonic time
        #: until which it is kept, by the service's name.
        self.engine_streams: dict[str, tuple[float, float]] = {}
        #: Data that requests in progress want to send over the link and have not been
        #: charged for, in Mbit by request id.
        self.wanted: dict[str, float] = {}
        #: Priority, and data in Mbit, of the streams that wait for the link, by
        #: request id.
        self.link_waiters: dict[str, tuple[int, float]] = {}
        #: Least number of steps between failure domains, and the monotonic time until
        #: which it is kept, by service and engines to avoid.
        self.crossing_checks: dict[
            tuple[str, frozenset[str]], tuple[float, int | None]
        ] = {}
        #: Beginnings of prompts that engines hold, if their service keeps prompts.
        self.prompts = PromptCacheMap(clock)

    def need(self, routed: RoutedRequest) -> StreamNeed:
        """Return the tokens for which a stream needs memory at each layer now."""
        return stream_need(routed, self.lengths, self.streams_per_engine(routed))

    def streams_per_engine(self, routed: RoutedRequest) -> float:
        """Return the number of mean streams that fill an engine of a service.

        This is the median over the engines, so that one with an unusual range of layers
        does not decide what all streams reserve.
        """
        name, model = routed.service.name, routed.service.engine
        known, expires_at = self.engine_streams.get(name, (1.0, -math.inf))
        now = self.clock.monotonic()
        if now < expires_at:
            return known
        # A configuration may state 0 for both.
        tokens = max(1.0, model.mean_prompt_tokens + model.mean_answer_tokens)
        counts = [
            kv_cache_capacity(engine, model) / (tokens * (held.last - held.first))
            for engine in self.directory.of_service(name)
            if (held := engine.registration.layers) is not None
        ]
        streams = statistics.median(counts) if counts else 1.0
        self.engine_streams[name] = (streams, now + ENGINE_STREAMS_TTL_SECONDS)
        return streams

    def spread(self) -> Spread | None:
        """Return how to draw one of the chains of similar cost, or None.

        A single entry knows the cost of each chain. An entry that knows the load of at
        most half of the entries, as until the first reply of its parent, does not know
        the costs: its children may have reported before.
        """
        entries = self.entries()
        if entries <= 1:
            return None
        if 2 * self.load_tracker.entry_count() <= entries:
            return Spread(FRESH_WIDTH, self.random.random)
        return Spread(self.cost_uncertainty(), self.random.random)

    def cost_uncertainty(self) -> float:
        """Return the share by which the time of an engine may exceed the known one.

        That is the increase if all streams that other entries have started since their
        reports run on the same engine. Costs that differ by less are nearly equal.
        """
        tracker = self.load_tracker
        own_stages = sum(load.streams for load in tracker.own.values())
        others = (tracker.stage_count() - own_stages) / TYPICAL_STAGES
        unreported = (
            others * REPORT_AGE_SECONDS / max(MIN_RUN_SECONDS, self.run_seconds)
        )
        return min(MAX_WIDTH, unreported / STREAMS_TO_DOUBLE)

    def record_answer(self, routed: RoutedRequest, events: int) -> None:
        """Record the number of events of a complete answer and its run time."""
        seconds = self.clock.monotonic() - routed.arrived
        self.run_seconds += SMOOTHING * (seconds - self.run_seconds)
        size = routed.request.size
        if size is not None:
            tokens = min(size.max_output_tokens, events_tokens(routed, events))
            self.lengths.record(routed.route.name, size.expected_output_tokens, tokens)

    def find(self, routed: RoutedRequest, avoid: frozenset[str]) -> Path | None:
        """Return the best chain with memory for a stream, or None.

        If the usable engines do not cover all layers, engines that failed recently
        are tried too: such a chain is better than no chain. The traffic of the
        returned chain is charged to this entry's share of the bandwidth, and the
        permit for its first engine is used up.
        """
        usable, active = self.usable_engines(routed), self.active_engines(routed)
        barred = self.engine_ids(active, self.refuses_start)
        search = functools.partial(
            self.search_engines,
            routed,
            avoid=avoid,
            barred=barred,
            max_event_ms=max_event_ms(routed),
        )
        path = search(usable)
        if path is None and not self.engines_cover_layers(routed, usable, avoid):
            path = search(active)
        if path is not None:
            self.charge_bandwidth(routed, path)
            self.permits.use(path.stages[0].endpoint)
        elif barred:
            start = self.start_without_permit(routed, avoid)
            if start is not None:
                self.permits.want(start)
        return path

    def start_without_permit(
        self, routed: RoutedRequest, avoid: frozenset[str]
    ) -> Endpoint | None:
        """Return the engine for which a stream first needs a permit, or None.

        That is the first engine of the best chain, unless a permit for it is held or
        not needed. Engines whose permits were refused are left out.
        """
        if not self.permits.limits.known:
            return None
        engines = self.usable_engines(routed)
        if not any(map(self.permits.needs_permit, engines)):
            return None
        barred = self.engine_ids(engines, self.permits.refused)
        path = self.search_engines(routed, engines, avoid, barred=barred)
        if path is None:
            return None
        start = path.stages[0].endpoint
        return start if self.permits.needs_permit(start) else None

    def refuses_start(self, engine: Endpoint) -> bool:
        """Return whether no stream may begin on an engine now."""
        accepts = engine.accepts(self.clock.monotonic())
        return not accepts or self.permits.needs_permit(engine)

    def engine_ids(
        self, engines: list[Endpoint], condition: Callable[[Endpoint], bool]
    ) -> frozenset[str]:
        """Return the ids of the engines that meet a condition."""
        return frozenset(engine.id for engine in engines if condition(engine))

    def charge_bandwidth(self, routed: RoutedRequest, path: Path) -> None:
        """Charge a chain's traffic between failure domains to this entry's share."""
        self.want_transfers(routed, path.crossings)
        if path.crossings:
            # A later attempt sends its data again.
            self.wanted.pop(routed.request.id, None)
        self.link_share.record_transfers(
            routed.service.engine, self.need(routed), path.crossings
        )

    def want_transfers(self, routed: RoutedRequest, crossings: int) -> None:
        """Count what a request wants to send over the link, once until it is charged.

        Args:
            routed: The request for the stream.
            crossings: Number of steps between failure domains in its chain.
        """
        model = routed.service.engine
        if not crossings or not model.link_mbps:
            return
        mbit = crossings * transfer_mbit(model, self.need(routed))
        more = mbit - self.wanted.get(routed.request.id, 0.0)
        if more > 0:
            now = self.clock.monotonic()
            self.load_tracker.demand.record_transfer(more, now)
            self.wanted[routed.request.id] = mbit

    def record_arrival(self, routed: RoutedRequest) -> None:
        """Count the prompt of a request that has arrived."""
        tokens = self.need(routed).prompt_tokens
        self.load_tracker.demand.record_arrival(tokens, self.clock.monotonic())

    def forget(self, routed: RoutedRequest) -> None:
        """Forget what a request that has ended wanted to send."""
        self.wanted.pop(routed.request.id, None)

    def transfer_wait(
        self, routed: RoutedRequest, avoid: frozenset[str]
    ) -> float | None:
        """Return the seconds until the link can carry the transfers of a stream.

        Streams of this entry that wait for the link are counted if they are at least
        as urgent. Free cache is not considered.

        Args:
            routed: The request for the stream.
            avoid: Ids of engines that the chain must not use.

        Returns:
            The seconds, or None if some failure domain has a whole chain, or all
            domains together have none.
        """
        crossings = self.crossings_needed(routed, avoid)
        if not crossings:
            return None
        self.want_transfers(routed, crossings)
        ahead = sum(
            mbit
            for priority, mbit in self.link_waiters.values()
            if priority <= routed.priority
        )
        return self.link_share.expected_wait(
            routed.service.engine, self.need(routed), ahead
        )

    @contextmanager
    def waiting_for_link(
        self, routed: RoutedRequest, avoid: frozenset[str]
    ) -> Iterator[None]:
        """Count a stream among those that wait for the link, until the context ends."""
        mbit = transfer_mbit(routed.service.engine, self.need(routed))
        mbit *= self.crossings_needed(routed, avoid) or 1
        waiter = (routed.priority, mbit)
        self.link_waiters[routed.request.id] = waiter
        try:
            yield
        finally:
            if self.link_waiters.get(routed.request.id) is waiter:
                del self.link_waiters[routed.request.id]

    def crossings_needed(
        self, routed: RoutedRequest, avoid: frozenset[str]
    ) -> int | None:
        """Return the least number of steps between failure domains of a chain.

        As in `find`, engines that failed recently count only if the others do not
        cover all layers.

        Returns:
            The number, or None if no engines cover all layers.
        """
        now = self.clock.monotonic()
        key = (routed.service.name, avoid)
        expires, crossings = self.crossing_checks.get(key, (now, None))
        if now < expires:
            return crossings
        model = routed.service.engine
        crossings = fewest_crossings(self.usable_engines(routed), model, avoid)
        if crossings is None:
            crossings = fewest_crossings(self.active_engines(routed), model, avoid)
        if len(self.crossing_checks) >= MAX_CROSSING_CHECKS:
            self.crossing_checks.clear()
        self.crossing_checks[key] = (now + CROSSING_CHECK_SECONDS, crossings)
        return crossings

    def find_usable(
        self,
        routed: RoutedRequest,
        avoid: frozenset[str],
        head: PathStage | None = None,
    ) -> Path | None:
        """Return the best chain over engines that may get new work, or None.

        Args:
            routed: The request for the stream.
            avoid: Ids of engines that the chain must not use.
            head: Stage that the chain must begin with, or None.
        """
        return self.search_engines(routed, self.usable_engines(routed), avoid, head)

    def cache_view(self, routed: RoutedRequest, avoid: frozenset[str]) -> CacheView:
        """Return functions that look up the free cache of the engines for a stream."""
        return CacheView(
            lambda tokens: self.search_engines(
                routed,
                self.usable_engines(routed),
                avoid,
                need=StreamNeed(tokens, 0),
            ),
            lambda tokens: self.free_tokens(routed, avoid, tokens),
        )

    def free_tokens(
        self, routed: RoutedRequest, avoid: frozenset[str], tokens: int
    ) -> float:
        """Return the free KV cache of all chains together, in tokens.

        Only whole streams of a number of tokens are counted on each engine, since
        smaller remainders are of no use to such a stream. The layer with the least
        free cache counts.
        """
        model = routed.service.engine
        # Change of the number of streams with room, at each layer boundary.
        changes = {0: 0}
        for engine in self.usable_engines(routed):
            held = engine.registration.layers
            if held is None or engine.id in avoid:
                continue
            load = self.load_tracker.load(engine.id)
            free = MAX_FILL_SHARE * kv_cache_capacity(engine, model) - load.memory
            streams = int(max(0.0, free) // (max(1, tokens) * (held.last - held.first)))
            changes[held.first] = changes.get(held.first, 0) + streams
            changes[held.last] = changes.get(held.last, 0) - streams
        room = itertools.accumulate(
            changes[layer] for layer in sorted(changes) if layer < model.layers
        )
        return min(room) * tokens

    def search_engines(
        self,
        routed: RoutedRequest,
        endpoints: list[Endpoint],
        avoid: frozenset[str],
        head: PathStage | None = None,
        barred: frozenset[str] = frozenset(),
        max_event_ms: float = math.inf,
        need: StreamNeed | None = None,
    ) -> Path | None:
        """Return the best chain with memory over some engines, or None.

        A chain may cross between failure domains only while this entry's share of the
        bandwidth between them allows it.
        """
        model, need = routed.service.engine, need or self.need(routed)
        if routed.starts is not None and head is None:
            barred |= {engine.id for engine in endpoints} - routed.starts
        find = functools.partial(
            find_path,
            endpoints,
            model,
            need,
            self.load_tracker.load,
            self.progress.slowdown,
            avoid,
            head,
            barred=barred,
            spread=self.spread(),
            max_event_ms=max_event_ms,
        )
        if model.keeps_prompts and routed.request.size is not None:
            find = functools.partial(
                find,
                saving_of=find_savings(
                    self.prompts,
                    endpoints,
                    model,
                    need,
                    routed.request.size.prompt_parts,
                    self.load_tracker.load,
                ),
            )
        path = find()
        if (
            path is None
            or not path.crossings
            or self.link_share.may_transfer(model, need)
        ):
            return path
        self.want_transfers(routed, path.crossings)
        return find(allow_crossings=False)

    def memory_use(self, routed: RoutedRequest, endpoint: Endpoint) -> float:
        """Return the share of an engine's KV cache memory known to be in use."""
        capacity = kv_cache_capacity(endpoint, routed.service.engine)
        if not capacity:
            return 1.0
        return self.load_tracker.load(endpoint.id).memory / capacity

    def layers_covered(self, routed: RoutedRequest, avoid: frozenset[str]) -> bool:
        """Return whether engines that accept requests can hold a stream at all layers.

        Streams that run are not considered: the engines must have enough cache for the
        stream if they run no others. An answer that has begun may wait for engines that
        load other layers.
        """
        now = self.clock.monotonic()
        engines = [
            engine for engine in self.active_engines(routed) if engine.accepts(now)
        ]
        need = None if routed.sent_tokens else self.need(routed)
        return self.engines_cover_layers(routed, engines, avoid, need)

    def engines_cover_layers(
        self,
        routed: RoutedRequest,
        endpoints: list[Endpoint],
        avoid: frozenset[str],
        need: StreamNeed | None = None,
    ) -> bool:
        """Return whether some engines without streams cover all layers.

        Args:
            routed: The request for the stream.
            endpoints: The engines.
            avoid: Ids of engines that do not count.
            need: Tokens for which the engines must have cache, or None for any.
        """
        model, need = routed.service.engine, need or StreamNeed(1, 0)
        path = find_path(endpoints, model, need, lambda _: NO_LOAD, avoid=avoid)
        return path is not None

    def active_engines(self, routed: RoutedRequest) -> list[Endpoint]:
        """Return the engines of the request's service that are not leaving."""
        return [
            endpoint
            for endpoint in self.directory.of_service(routed.service.name)
            if not endpoint.leaving
        ]

    def usable_engines(self, routed: RoutedRequest) -> list[Endpoint]:
        """Return the engines of the request's service that may get new work now."""
        now = self.clock.monotonic()
        return [
            endpoint for endpoint in self.active_engines(routed) if endpoint.usable(now)
        ]


def stream_need(
    routed: RoutedRequest, lengths: AnswerLengths, streams: float
) -> StreamNeed:
    """Return the tokens for which a stream needs memory at each layer.

    Args:
        routed: The request for the stream.
        lengths: Answer lengths on each route.
        streams: Number of streams that fill an engine.
    """
    size = routed.request.size
    sent = routed.sent_tokens
    if size is None:
        answer = max(routed.service.engine.mean_answer_tokens, INITIAL_RATIO * sent)
        return StreamNeed(prompt_tokens(routed), math.ceil(answer))
    answer = lengths.expected_tokens(
        routed.route.name,
        size.expected_output_tokens,
        size.max_output_tokens,
        streams,
        sent,
    )
    return StreamNeed(size.prompt_tokens, answer)


def max_event_ms(routed: RoutedRequest) -> float:
    """Return the time per event that a stream must not exceed, in milliseconds.

    A stream whose answer has begun continues in any case: its load is not new, and its
    caller waits for the next event.
    """
    target = routed.route.event_gap_target
    return math.inf if target is None or routed.sent_tokens else target * 1000


def prompt_tokens(routed: RoutedRequest) -> int:
    """Return the number of prompt tokens: the mean if the caller states none."""
    size = routed.request.size
    if size is None:
        return math.ceil(routed.service.engine.mean_prompt_tokens)
    return size.prompt_tokens


def events_tokens(routed: RoutedRequest, events: int | None) -> int:
    """Return the number of output tokens in a number of events."""
    return (events or 0) * routed.service.engine.steps_per_pass


def stage_addresses(path: Path) -> list[tuple[str, int, int]]:
    """Return the address, first layer and end layer (exclusive) of each stage."""
    return [
        (stage.endpoint.registration.address, stage.first, stage.last)
        for stage in path.stages
    ]


def format_chain(path: Path) -> str:
    """Return a chain as text for logs, for example `a[0:16] b[16:32]`."""
    return " ".join(f"{s.endpoint.id}[{s.first}:{s.last}]" for s in path.stages)
