"""Finds chains for streams among the engines that one entry knows."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

from pistachioreach.routing.engine_load import NO_LOAD
from pistachioreach.routing.paths import StreamNeed, find_path, kv_cache_capacity

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.work import Work
    from pistachioreach.endpoints.directory import Directory, Endpoint
    from pistachioreach.routing.engine_load import LoadTracker
    from pistachioreach.routing.link import LinkShare
    from pistachioreach.routing.paths import Path, PathStage
    from pistachioreach.routing.progress import Progress

__all__ = ["ChainFinder", "addressed", "chain_text", "need_of"]

#: Factor on the caller's estimate of the output tokens.
ESTIMATE_FACTOR = 1.2


class ChainFinder:
    """Finds chains for streams.

    Args:
        directory: The endpoints.
        ledger: Work on the engines.
        progress: What events tell of the engines.
        pipe: This entry's part of the pipe between failure domains.
        clock: Clock of all decisions.
    """

    def __init__(
        self,
        directory: Directory,
        ledger: LoadTracker,
        progress: Progress,
        pipe: LinkShare,
        clock: Clock,
    ) -> None:
        #: The endpoints.
        self.directory = directory
        #: Work on the engines.
        self.ledger = ledger
        #: What events tell of the engines.
        self.progress = progress
        #: This entry's part of the pipe between failure domains.
        self.pipe = pipe
        #: Clock of all decisions.
        self.clock = clock

    def find(self, work: Work, avoid: frozenset[str]) -> Path | None:
        """Return the best chain with room for a stream to take, or None.

        An engine that failed a moment ago is better than no chain at all.
        """
        path = self.find_usable(work, avoid)
        if path is None and not self.covers(work, self.usable(work), avoid):
            path = self.search(work, self.listed(work), avoid)
        if path is not None:
            self.claim(work, path)
        return path

    def claim(self, work: Work, path: Path) -> None:
        """Count what a chain that is taken puts into the pipe between domains."""
        self.pipe.record_transfers(work.service.engine, need_of(work), path.crossings)

    def find_usable(
        self, work: Work, avoid: frozenset[str], head: PathStage | None = None
    ) -> Path | None:
        """Return the best chain over engines that are well, or None.

        Args:
            work: The stream.
            avoid: Ids of engines that must not be used.
            head: First stage that the chain must begin with, or None.
        """
        return self.search(work, self.usable(work), avoid, head)

    def search(
        self,
        work: Work,
        endpoints: list[Endpoint],
        avoid: frozenset[str],
        head: PathStage | None = None,
    ) -> Path | None:
        """Return the best chain with room over some engines, or None.

        It leaves a failure domain only while the pipe between them has room.
        """
        model, need = work.service.engine, need_of(work)
        find = functools.partial(
            find_path,
            endpoints,
            model,
            need,
            self.ledger.load,
            self.progress.slowdown,
            avoid,
            head,
        )
        path = find()
        if path is None or not path.crossings or self.pipe.may_transfer(model, need):
            return path
        return find(allow_crossings=False)

    def fill(self, work: Work, endpoint: Endpoint) -> float:
        """Return the share of an engine's memory that is known to be taken."""
        room = kv_cache_capacity(endpoint, work.service.engine)
        if not room:
            return 1.0
        return self.ledger.load(endpoint.id).memory / room

    def covered(self, work: Work, avoid: frozenset[str]) -> bool:
        """Whether engines cover all layers, with or without room."""
        return self.covers(work, self.listed(work), avoid)

    def covers(
        self, work: Work, endpoints: list[Endpoint], avoid: frozenset[str]
    ) -> bool:
        """Whether some engines cover all layers, with or without room."""
        model, need = work.service.engine, StreamNeed(1, 0)
        empty = find_path(endpoints, model, need, lambda _: NO_LOAD, avoid=avoid)
        return empty is not None

    def listed(self, work: Work) -> list[Endpoint]:
        """Return the engines that are not leaving."""
        return [
            endpoint
            for endpoint in self.directory.of_service(work.service.name)
            if not endpoint.registration.leaving
        ]

    def usable(self, work: Work) -> list[Endpoint]:
        """Return the engines that may get new work now."""
        now = self.clock.monotonic()
        return [endpoint for endpoint in self.listed(work) if endpoint.usable(now)]


def need_of(work: Work) -> StreamNeed:
    """Return the memory that a stream needs of each layer."""
    size = work.request.size
    model = work.service.engine
    if size is None:
        return StreamNeed(math.ceil(model.prompt), math.ceil(model.answer))
    estimate = math.ceil(size.answer_estimate * ESTIMATE_FACTOR)
    return StreamNeed(size.prompt, min(size.answer_limit, estimate))


def addressed(path: Path) -> list[tuple[str, int, int]]:
    """Return address, first layer and the layer after the last of each stage."""
    return [
        (stage.endpoint.registration.address, stage.first, stage.last)
        for stage in path.stages
    ]


def chain_text(path: Path) -> str:
    """Return a chain as it stands in logs: `a[0:16] b[16:32]`."""
    return " ".join(f"{s.endpoint.id}[{s.first}:{s.last}]" for s in path.stages)
