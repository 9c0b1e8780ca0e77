"""Prompt beginnings that engines still hold, and their worth to a request.

Addresses streams whose prompts begin with the same parts. An engine that holds the
beginning of a prompt skips its prefill and sends the first event sooner. At low load,
streams follow the beginnings. As streams or prompts gather on an engine, their waits
and slowdowns outweigh the saving. Above `MAX_MEMORY_SHARE` nothing is expected to be
held, and chains are chosen as if prompts were not kept.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from pistachioreach.routing.paths import (
    EVENTS_PER_PROMPT,
    STREAMS_TO_DOUBLE,
    kv_cache_capacity,
    layer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Endpoint, LayerRange
    from pistachioreach.platform.requests import PromptPart
    from pistachioreach.routing.engine_load import EngineLoad
    from pistachioreach.routing.paths import Path, PathStage, StreamNeed
    from pistachioreach.routing.routes import EngineModel

__all__ = [
    "MAX_SUMMARY_PARTS",
    "NO_SUMMARY",
    "Beginning",
    "PromptCacheMap",
    "PromptSummary",
    "SummaryPart",
    "find_savings",
    "kept_prompt_value",
    "merge_summaries",
    "prefill_layer_ms",
    "prompt_beginnings",
]

#: Number of parts at the beginning of a prompt that are considered. Each one costs a
#: look-up per engine, and prompts of the two deployments have fewer.
MAX_PROMPT_PARTS = 8
#: Number of engines whose beginnings are recorded. The larger deployment has 93.
MAX_ENGINES = 256
#: Number of beginnings recorded for an engine. Those sent least recently are dropped.
MAX_BEGINNINGS = 128
#: Time in seconds after which a beginning that was not sent again is forgotten: three
#: times the deadline of a stream. Engines do not report what they evict.
MAX_AGE_SECONDS = 60.0
#: Share of an engine's KV cache in use by streams above which it is expected to hold
#: no beginning. Streams are admitted up to 0.92, and evict kept prompts. The expected
#: saving falls linearly to 0 at this mean share of all engines, since a constant one
#: made streams slower near full load (docs/design/prompts.md).
MAX_MEMORY_SHARE = 0.8
#: Share of the saving that is expected of the engine to which all entries send a
#: beginning that this entry does not know. Another entry may have sent it or not.
COLD_SHARE = 0.5
#: Number of beginnings in a summary. With 4 runs each, it takes less than 10 KB.
MAX_SUMMARY_PARTS = 64
#: Number of engine runs per beginning in a summary: a chain of 4 engines.
MAX_SUMMARY_RUNS = 4
#: Age in seconds from which on the summary of other entries is ignored; the same as for
#: load reports.
SUMMARY_TTL_SECONDS = 3.0


class Beginning(NamedTuple):
    """The first parts of a prompt, which other prompts may have too.

    Attributes:
        key: Digest of the identifiers of the parts, in order.
        tokens: Number of tokens in these parts.
    """

    key: str
    tokens: int


class SummaryPart(NamedTuple):
    """A beginning in a summary.

    Attributes:
        uses: Number of streams that were sent with the beginning.
        runs: Identifiers of engine runs that hold the beginning, sorted.
    """

    uses: int
    runs: tuple[str, ...]


class PromptSummary(NamedTuple):
    """The beginnings that were sent most, and the engine runs that hold them.

    Attributes:
        parts: At most `MAX_SUMMARY_PARTS` beginnings by key.
    """

    parts: dict[str, SummaryPart]


#: Summary of an entry that sent no prompts.
NO_SUMMARY = PromptSummary({})


class HeldBeginning(NamedTuple):
    """A beginning that was sent to an engine.

    Attributes:
        first: First layer that the engine ran.
        last: Layer after the last one that the engine ran.
        sent_at: Monotonic time in seconds at which it was last sent.
        uses: Number of streams that were sent with it.
    """

    first: int
    last: int
    sent_at: float
    uses: int


class EngineRecord:
    """What was sent to one run of an engine.

    Args:
        run: Identifier of the run.
        layers: Layers that the engine holds.
    """

    def __init__(self, run: str, layers: LayerRange | None) -> None:
        #: Identifier of the run.
        self.run = run
        #: Layers that the engine holds.
        self.layers = layers
        #: Beginnings by key, those sent least recently first.
        self.beginnings: dict[str, HeldBeginning] = {}
        #: Monotonic time in seconds at which the last prompt was sent.
        self.sent_at = -math.inf
        #: Monotonic time in seconds until which the engine is expected to prefill the
        #: prompts that this entry sent.
        self.prefills_until = -math.inf
        #: Number of those prompts whose first event has not arrived.
        self.prefilling = 0


class PromptCacheMap:
    """The beginnings that engines hold, as one entry knows them.

    The record of an engine is forgotten when the engine starts again, leaves, holds
    other layers, or its memory fills up. What remains can still be wrong, since engines
    evict without notice. A wrong record costs only the saving that it promised.

    Args:
        clock: Clock by which records expire.
    """

    def __init__(self, clock: Clock) -> None:
        #: Clock by which records expire.
        self.clock = clock
        #: Records by engine id, those with the least recent prompt first.
        self.engines: dict[str, EngineRecord] = {}
        #: Summary of the other entries.
        self.others = NO_SUMMARY
        #: Monotonic time in seconds at which that summary arrived.
        self.others_at = -math.inf

    def record_sent(
        self, path: Path, model: EngineModel, tokens: int, parts: Sequence[PromptPart]
    ) -> None:
        """Record that a stream was sent, whose prompt its engines now prefill.

        Args:
            path: Chain of the stream.
            model: Model that the engines run.
            tokens: Number of tokens to prefill if no engine holds a part.
            parts: Parts of the prompt.
        """
        beginnings = prompt_beginnings(parts)
        for stage in path.stages:
            record = self.touch(stage.endpoint)
            missing = max(0, tokens - self.held_tokens(stage.endpoint, beginnings))
            layers = stage.last - stage.first
            ms = missing * layers * prefill_layer_ms(stage.endpoint, model)
            now = self.clock.monotonic()
            if record.prefills_until <= now:
                record.prefills_until, record.prefilling = now, 0
            record.prefills_until += ms / 1000
            record.prefilling += 1

    def record_held(
        self, stages: Iterable[PathStage], parts: Sequence[PromptPart]
    ) -> None:
        """Record that engines have prefilled a prompt.

        Args:
            stages: Stages of the stream whose first event has arrived.
            parts: Parts of the prompt.
        """
        now, beginnings = self.clock.monotonic(), prompt_beginnings(parts)
        for stage in stages:
            layers = stage.endpoint.registration.layers
            if layers is None or not (
                layers.first <= stage.first and stage.last <= layers.last
            ):
                # The engine was ordered to hold other layers in the meantime.
                continue
            record = self.touch(stage.endpoint)
            held = record.beginnings
            record.prefilling -= 1
            if record.prefilling <= 0:
                # The engine was faster than expected.
                record.prefills_until = now
            # A beginning is useless without the shorter ones, which are dropped later.
            for beginning in reversed(beginnings):
                known = held.pop(beginning.key, None)
                held[beginning.key] = HeldBeginning(
                    stage.first, stage.last, now, 1 if known is None else known.uses + 1
                )
            while len(held) > MAX_BEGINNINGS:
                del held[next(iter(held))]

    def touch(self, endpoint: Endpoint) -> EngineRecord:
        """Return the record of an engine to which a prompt is sent, or a new one."""
        now = self.clock.monotonic()
        record = self.find_record(endpoint)
        if record is None:
            record = EngineRecord(endpoint.run_id, endpoint.registration.layers)
        self.engines.pop(endpoint.id, None)
        self.engines[endpoint.id] = record
        record.sent_at = now
        while True:
            oldest = next(iter(self.engines))
            expired = now - self.engines[oldest].sent_at > MAX_AGE_SECONDS
            if not expired and len(self.engines) <= MAX_ENGINES:
                return record
            del self.engines[oldest]

    def find_record(self, endpoint: Endpoint) -> EngineRecord | None:
        """Return the record of an engine's current run and layers, or None.

        Forgets the record of an engine that started again, leaves, or holds other
        layers.
        """
        record = self.engines.get(endpoint.id)
        if record is None:
            return None
        if (
            record.run != endpoint.run_id
            or record.layers != endpoint.registration.layers
            or endpoint.leaving
        ):
            del self.engines[endpoint.id]
            return None
        return record

    def forget(self, engine: str) -> None:
        """Forget what an engine holds, given its id."""
        record = self.engines.get(engine)
        if record is not None:
            record.beginnings.clear()

    def held_tokens(self, endpoint: Endpoint, beginnings: Sequence[Beginning]) -> float:
        """Return the prompt tokens that an engine is expected to hold.

        Args:
            endpoint: The engine.
            beginnings: Beginnings of the prompt, the shortest first.

        Returns:
            The mean number of tokens over the layers that the engine holds.
        """
        record, layers = self.find_record(endpoint), endpoint.registration.layers
        if layers is None:
            return 0.0
        now = self.clock.monotonic()
        for beginning in reversed(beginnings):
            held = record and record.beginnings.get(beginning.key)
            if held and now - held.sent_at <= MAX_AGE_SECONDS:
                share = (held.last - held.first) / (layers.last - layers.first)
                return beginning.tokens * share
            if self.others.parts and now - self.others_at <= SUMMARY_TTL_SECONDS:
                part = self.others.parts.get(beginning.key)
                if part is not None and endpoint.run_id in part.runs:
                    return beginning.tokens
        return 0.0

    def wait_ms(self, endpoint: Endpoint) -> float:
        """Return the expected wait for the prefill of earlier prompts, in ms.

        Only the prompts that this entry sent are counted.
        """
        record = self.find_record(endpoint)
        if record is None:
            return 0.0
        return max(0.0, record.prefills_until - self.clock.monotonic()) * 1000

    def summary(self) -> PromptSummary:
        """Return the beginnings that this entry sent most, for the other entries."""
        now, uses, runs = self.clock.monotonic(), {}, {}
        for record in self.engines.values():
            for key, held in record.beginnings.items():
                if now - held.sent_at <= MAX_AGE_SECONDS:
                    uses[key] = max(uses.get(key, 0), held.uses)
                    runs.setdefault(key, []).append((-held.uses, record.run))
        return bounded_summary(
            {
                key: SummaryPart(
                    count,
                    tuple(
                        sorted(run for _, run in sorted(runs[key])[:MAX_SUMMARY_RUNS])
                    ),
                )
                for key, count in uses.items()
            }
        )

    def record_summary(self, summary: PromptSummary) -> None:
        """Store the summary of the other entries."""
        self.others = bounded_summary(summary.parts)
        self.others_at = self.clock.monotonic()


def bounded_summary(parts: dict[str, SummaryPart]) -> PromptSummary:
    """Return a summary of the beginnings with the most uses, within the bounds."""
    most_used = sorted(parts.items(), key=lambda item: (-item[1].uses, item[0]))
    return PromptSummary(
        {
            key: part._replace(runs=part.runs[:MAX_SUMMARY_RUNS])
            for key, part in most_used[:MAX_SUMMARY_PARTS]
        }
    )


def merge_summaries(summaries: Iterable[PromptSummary]) -> PromptSummary:
    """Return the summary of several entries, in any order, within the bounds."""
    merged: dict[str, SummaryPart] = {}
    for summary in summaries:
        for key, part in summary.parts.items():
            known = merged.get(key, SummaryPart(0, ()))
            runs = tuple(sorted({*known.runs, *part.runs}))
            merged[key] = SummaryPart(known.uses + part.uses, runs)
    return bounded_summary(merged)


def prompt_beginnings(parts: Sequence[PromptPart]) -> tuple[Beginning, ...]:
    """Return the beginnings that other prompts may share, the shortest first.

    The last part belongs to the request alone.
    """
    key, tokens, beginnings = "", 0, []
    for part in parts[:-1][:MAX_PROMPT_PARTS]:
        text = f"{key}/{part.id}".encode()
        key = hashlib.blake2b(text, digest_size=8).hexdigest()
        tokens += part.tokens
        beginnings.append(Beginning(key, tokens))
    return tuple(beginnings)


def prefill_layer_ms(endpoint: Endpoint, model: EngineModel) -> float:
    """Return the time of the prefill of one token on one layer, in milliseconds."""
    card = model.cards.get(endpoint.registration.card)
    factor = 1.0 if card is None else card.prefill_factor
    return model.prefill_ms * factor / model.layers


def kept_prompt_value(
    saved_ms: float,
    wait_ms: float,
    slowing_ms: float,
    events: float = EVENTS_PER_PROMPT,
) -> float:
    """Return what a kept beginning is worth, in ms per event; 0 if it is outweighed.

    The unit is that of the cost of `find_path`. The saving and the wait occur once,
    before the first event, and are spread over as many events as the transfer of the
    prompt between failure domains is in that cost.

    Args:
        saved_ms: Time of the prefill that is skipped, in milliseconds.
        wait_ms: Expected wait for the prefill of earlier prompts, in milliseconds.
        slowing_ms: Time by which all streams that run on the engine together get slower
            for each event, beyond that on other engines, in milliseconds.
        events: Number of events over which a time before the first event is spread.
    """
    return max(0.0, (saved_ms - wait_ms) / events - slowing_ms)


def find_savings(
    prompts: PromptCacheMap,
    endpoints: Sequence[Endpoint],
    model: EngineModel,
    need: StreamNeed,
    parts: Sequence[PromptPart],
    load_of: Callable[[str], EngineLoad],
    events: float = EVENTS_PER_PROMPT,
) -> Callable[[Endpoint], float] | None:
    """Return a function that returns what a stream saves on an engine.

    Args:
        prompts: What engines are expected to hold.
        endpoints: Engines that may be used.
        model: Model that the engines run.
        need: Prompt and answer size of the stream. No more tokens than the prompt has
            are saved, whatever its parts state.
        parts: Parts of the stream's prompt.
        load_of: Function that returns the load of an engine, given its id.
        events: Number of events over which a time before the first event is spread.

    Returns:
        The function, which returns milliseconds per event and layer, or None if
        nothing is saved.
    """
    beginnings = prompt_beginnings(parts)
    if not beginnings:
        return None
    likely = 1 - mean_memory_share(endpoints, model, load_of) / MAX_MEMORY_SHARE
    if likely <= 0:
        return None
    candidates = free_engines(prompts, endpoints, model, load_of)
    tokens = {
        engine.id: held
        for engine in candidates
        if (held := prompts.held_tokens(engine, beginnings))
    }
    # The shortest unknown beginning decides: the longer ones follow it.
    longest = max(tokens.values(), default=0.0)
    unknown = next((item for item in beginnings if item.tokens > longest), None)
    if unknown is not None:
        for engine in preferred_engines(unknown.key, candidates):
            expected = COLD_SHARE * unknown.tokens
            tokens[engine.id] = max(expected, tokens.get(engine.id, 0.0))
    savings = {}
    for engine in candidates:
        if engine.id in tokens:
            layers = engine.registration.layers
            saved = min(tokens[engine.id], need.prompt_tokens)
            value = kept_prompt_value(
                likely * saved * prefill_layer_ms(engine, model),
                prompts.wait_ms(engine) / (layers.last - layers.first),
                excess_slowing(engine, candidates, model, load_of),
                events,
            )
            if value:
                savings[engine.id] = value
    if not savings:
        return None
    return lambda engine: savings.get(engine.id, 0.0)


def free_engines(
    prompts: PromptCacheMap,
    endpoints: Sequence[Endpoint],
    model: EngineModel,
    load_of: Callable[[str], EngineLoad],
) -> list[Endpoint]:
    """Return the engines with memory for kept prompts; forget what the others hold."""
    free = []
    for endpoint in endpoints:
        capacity = kv_cache_capacity(endpoint, model)
        if load_of(endpoint.id).memory < MAX_MEMORY_SHARE * capacity:
            free.append(endpoint)
        else:
            prompts.forget(endpoint.id)
    return free


def mean_memory_share(
    endpoints: Sequence[Endpoint],
    model: EngineModel,
    load_of: Callable[[str], EngineLoad],
) -> float:
    """Return the share of the KV cache of all engines that streams use."""
    capacity = sum(kv_cache_capacity(endpoint, model) for endpoint in endpoints)
    used = sum(load_of(endpoint.id).memory for endpoint in endpoints)
    return used / capacity if capacity else 1.0


def preferred_engines(key: str, engines: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the engines to which all entries send an unknown beginning.

    These are chosen by rendezvous hashing among the engines that hold the middle of
    each range of layers, all in the failure domain of the first one where possible: the
    transfer of a prompt between domains costs more than its prefill saves. The loss of
    an engine changes only what was sent to it or, if it was the first, to its domain.

    Args:
        key: Key of the beginning.
        engines: Engines with free memory.
    """
    if not engines:
        return []
    middles = {middle_layer(engine) for engine in engines}
    ranks = {
        engine.id: xxhash.xxh3_64_intdigest(f"{key}/{engine.run_id}".encode())
        for engine in engines
    }
    ranked = sorted(engines, key=lambda engine: ranks[engine.id], reverse=True)
    domain = ranked[0].registration.failure_domain
    ranked.sort(key=lambda engine: engine.registration.failure_domain != domain)
    chosen = []
    for engine in ranked:
        layers = engine.registration.layers
        covered = {m for m in middles if layers.first <= m < layers.last}
        if covered:
            chosen.append(engine)
            middles -= covered
        if not middles:
            break
    return chosen


def middle_layer(engine: Endpoint) -> int:
    """Return the middle of the layers that an engine holds."""
    layers = engine.registration.layers
    return (layers.first + layers.last) // 2


def excess_slowing(
    engine: Endpoint,
    engines: Sequence[Endpoint],
    model: EngineModel,
    load_of: Callable[[str], EngineLoad],
) -> float:
    """Return how much more a stream slows others here than on similar engines.

    Args:
        engine: The engine.
        engines: Engines that may be used.
        model: Model that the engines run.
        load_of: Function that returns the load of an engine, given its id.

    Returns:
        Milliseconds per event and layer, summed over the streams that run on the
        engine, beyond the mean of the engines that hold its middle layer.
    """
    middle = middle_layer(engine)
    slowing = [
        stream_slowing(other, model, load_of(other.id).streams)
        for other in engines
        if other.registration.layers.first <= middle < other.registration.layers.last
    ]
    own = stream_slowing(engine, model, load_of(engine.id).streams)
    return max(0.0, own - sum(slowing) / len(slowing))


def stream_slowing(engine: Endpoint, model: EngineModel, streams: int) -> float:
    """Return the time that one more stream adds to those running, in ms per layer."""
    return streams * layer_ms(engine, model, 0) / STREAMS_TO_DOUBLE
