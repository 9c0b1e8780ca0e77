"""News of endpoints and requests, spread from entry to entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.errors import ConnectionFailed
from pistachioreach.peers.wire import NEWS, NewsItem
from pistachioreach.routing.fleet import PEER_ENTRY

if TYPE_CHECKING:
    from pistachioreach.configuration.agreement import Agreement
    from pistachioreach.configuration.row import Member
    from pistachioreach.entry import Entry

__all__ = ["LEAVING", "SUSPECT", "NewsSpreader"]

#: Kinds of news: an endpoint is leaving; a request was in flight at a death.
LEAVING = "leaving"
SUSPECT = "suspect"

#: Entries that each entry tells; of 7 all, of 410 enough for 4 rounds.
FANOUT = 6
#: Seconds between rounds in which recent news is told again to one entry, for
#: those that a first telling did not reach.
REPEAT_SECONDS = 1.0
#: Seconds for which news counts as recent.
RECENT_SECONDS = 10.0
#: Identifiers of news that are remembered, so that each is passed on once.
REMEMBERED = 10_000


class NewsSpreader:
    """Tells the other entries what this one sees, and passes on what they tell.

    Args:
        entry: The entry.
        agreement: Knows the roster.
    """

    def __init__(self, entry: Entry, agreement: Agreement) -> None:
        #: The entry.
        self.entry = entry
        #: Knows the roster.
        self.agreement = agreement
        #: News by identifier, with the monotonic time at which it came.
        self.known: dict[str, tuple[NewsItem, float]] = {}
        #: News that is still to be passed on.
        self.waiting: list[NewsItem] = []
        #: Set when there is something to pass on.
        self.arrived = trio.Event()

    def tell(self, kind: str, subject: str, detail: str) -> None:
        """Spread news that this entry has seen itself."""
        self.note(NewsItem(self.entry.new_id(), kind, subject, detail))

    def take(self, news: tuple[NewsItem, ...]) -> None:
        """Take news of another entry, apply it and pass it on."""
        for item in news:
            if self.note(item):
                self.apply(item)

    def note(self, item: NewsItem) -> bool:
        """Remember an item and pass it on; return whether it is new."""
        if item.id in self.known:
            return False
        self.known[item.id] = (item, self.entry.clock.monotonic())
        while len(self.known) > REMEMBERED:
            self.known.pop(next(iter(self.known)))
        self.waiting.append(item)
        self.arrived.set()
        return True

    def apply(self, item: NewsItem) -> None:
        """Let an item change what this entry knows."""
        if item.kind == LEAVING:
            self.entry.mark_leaving(item.subject, PEER_ENTRY, spread=False)
        elif item.kind == SUSPECT:
            self.entry.suspicion.record_death(item.subject, item.detail)

    async def run(self) -> None:
        """Pass on news as it arrives, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.repeat)
            while True:
                await self.arrived.wait()
                self.arrived = trio.Event()
                news, self.waiting = tuple(self.waiting), []
                for member in self.some_others(FANOUT):
                    nursery.start_soon(self.send, member, news)

    async def repeat(self) -> None:
        """Tell recent news again to one entry a round, for ever."""
        while True:
            await trio.sleep(REPEAT_SECONDS)
            oldest = self.entry.clock.monotonic() - RECENT_SECONDS
            news = tuple(item for item, at in self.known.values() if at >= oldest)
            if news:
                for member in self.some_others(1):
                    await self.send(member, news)

    def some_others(self, count: int) -> list[Member]:
        """Return some other entries of the roster, at random."""
        others = self.agreement.others()
        if len(others) <= count:
            return others
        return self.entry.random.sample(others, count)

    async def send(self, member: Member, news: tuple[NewsItem, ...]) -> None:
        """Send news to one entry; one that cannot be reached is told later."""
        try:
            frame = self.agreement.frame(NEWS, news=news)
            reply = await self.agreement.peers.ask(member, frame)
        except ConnectionFailed:
            return
        self.agreement.note_rumour(reply.committed)
