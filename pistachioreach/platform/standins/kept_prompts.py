"""KV cache of a stand-in engine: running streams, and beginnings of earlier prompts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pistachioreach.routing.prompt_cache import Beginning

__all__ = ["KeptPrompts"]


class KeptPrompts:
    """The memory of one engine, in tokens times layers.

    Running streams evict kept beginnings, those used least recently first.

    Args:
        capacity: Size of the memory.
    """

    def __init__(self, capacity: float) -> None:
        #: Size of the memory.
        self.capacity = capacity
        #: Memory that running streams take.
        self.running = 0.0
        #: Memory of each kept beginning beyond the one before it, by key, those used
        #: least recently first.
        self.kept: dict[str, float] = {}
        #: Number of beginnings that were evicted.
        self.evictions = 0

    def start_stream(self, size: float) -> None:
        """Take memory for a stream that begins to run."""
        self.running += size
        self.evict(self.capacity - self.running)

    def end_stream(self, size: float) -> None:
        """Free the memory of a stream that ended."""
        self.running = max(0.0, self.running - size)

    def held_tokens(self, beginnings: Sequence[Beginning]) -> int:
        """Return the number of tokens of a prompt that need no prefill.

        Args:
            beginnings: Beginnings of the prompt, the shortest first.
        """
        tokens = 0
        for beginning in beginnings:
            if beginning.key not in self.kept:
                break
            tokens = beginning.tokens
        return tokens

    def keep(self, beginnings: Sequence[Beginning], layers: int) -> None:
        """Keep the beginnings of a prompt, as far as there is room beside streams.

        Args:
            beginnings: Beginnings of the prompt, the shortest first.
            layers: Number of layers that the engine runs.
        """
        sizes, tokens = {}, 0
        for beginning in beginnings:
            sizes[beginning.key] = float((beginning.tokens - tokens) * layers)
            tokens = beginning.tokens
        # A beginning is useless without the shorter ones, which are evicted later.
        for key in reversed(sizes):
            self.kept.pop(key, None)
            self.kept[key] = sizes[key]
        self.evict(self.capacity - self.running)

    def evict(self, room: float) -> None:
        """Evict beginnings until the others fit into some memory."""
        total = sum(self.kept.values())
        while self.kept and total > room:
            total -= self.kept.pop(next(iter(self.kept)))
            self.evictions += 1

    def clear(self) -> None:
        """Forget everything, as at a restart."""
        self.running = 0.0
        self.kept.clear()
