"""News of endpoints and requests, spread from entry to entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.errors import ConnectionFailed
from pistachioreach.peers.wire import NEWS, NewsItem
from pistachioreach.routing.fleet import NEWS as NEWS_SOURCE

if TYPE_CHECKING:
    from pistachioreach.configuration.agreement import ConfigurationReplica
    from pistachioreach.configuration.row import Member
    from pistachioreach.entry import Entry

__all__ = ["LEAVING", "SUSPECT", "NewsGossip"]

#: Kinds of news: an endpoint is leaving; a request was in flight at a death.
LEAVING = "leaving"
SUSPECT = "suspect"

#: Entries that each entry tells; of 7 all, of 410 enough for 4 rounds.
FANOUT = 6
#: Seconds between rounds in which recent news is told again to one entry, for
#: those that a first telling did not reach.
RESEND_INTERVAL_SECONDS = 1.0
#: Seconds for which news counts as recent.
RESEND_WINDOW_SECONDS = 10.0
#: Identifiers of news that are remembered, so that each is passed on once.
MAX_REMEMBERED_ITEMS = 10_000


class NewsGossip:
    """Tells the other entries what this one sees, and passes on what they tell.

    Args:
        entry: The entry.
        replica: Knows the roster.
    """

    def __init__(self, entry: Entry, replica: ConfigurationReplica) -> None:
        #: The entry.
        self.entry = entry
        #: Knows the roster.
        self.replica = replica
        #: News by identifier, with the monotonic time at which it came.
        self.seen: dict[str, tuple[NewsItem, float]] = {}
        #: News that is still to be passed on.
        self.pending: list[NewsItem] = []
        #: Set when there is something to pass on.
        self.item_arrived = trio.Event()

    def publish(self, kind: str, subject: str, detail: str) -> None:
        """Spread news that this entry has seen itself."""
        self.remember(NewsItem(self.entry.nonce(), kind, subject, detail))

    def receive(self, news: tuple[NewsItem, ...]) -> None:
        """Take news of another entry, apply it and pass it on."""
        for item in news:
            if self.remember(item):
                self.apply(item)

    def remember(self, item: NewsItem) -> bool:
        """Remember an item and pass it on; return whether it is new."""
        if item.id in self.seen:
            return False
        self.seen[item.id] = (item, self.entry.clock.monotonic())
        while len(self.seen) > MAX_REMEMBERED_ITEMS:
            self.seen.pop(next(iter(self.seen)))
        self.pending.append(item)
        self.item_arrived.set()
        return True

    def apply(self, item: NewsItem) -> None:
        """Let an item change what this entry knows."""
        if item.kind == LEAVING:
            self.entry.note_leaving(item.subject, NEWS_SOURCE, spread=False)
        elif item.kind == SUSPECT:
            self.entry.suspicion.add(item.subject, item.detail)

    async def run(self) -> None:
        """Pass on news as it arrives, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.resend_recent)
            while True:
                await self.item_arrived.wait()
                self.item_arrived = trio.Event()
                news, self.pending = tuple(self.pending), []
                for member in self.sample_members(FANOUT):
                    nursery.start_soon(self.send, member, news)

    async def resend_recent(self) -> None:
        """Tell recent news again to one entry a round, for ever."""
        while True:
            await trio.sleep(RESEND_INTERVAL_SECONDS)
            oldest = self.entry.clock.monotonic() - RESEND_WINDOW_SECONDS
            news = tuple(item for item, at in self.seen.values() if at >= oldest)
            if news:
                for member in self.sample_members(1):
                    await self.send(member, news)

    def sample_members(self, count: int) -> list[Member]:
        """Return some other entries of the roster, at random."""
        others = self.replica.other_members()
        if len(others) <= count:
            return others
        return self.entry.random.sample(others, count)

    async def send(self, member: Member, news: tuple[NewsItem, ...]) -> None:
        """Send news to one entry; one that cannot be reached is told later."""
        try:
            frame = self.replica.make_frame(NEWS, news=news)
            reply = await self.replica.peers.request(member, frame)
        except ConnectionFailed:
            return
        self.replica.record_reported_version(reply.committed)
