"""Gossip of news about endpoints and requests between the entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.errors import ConnectionFailed
from pistachioreach.peers.wire import NEWS, NewsItem
from pistachioreach.routing.fleet import PEER_ENTRY

if TYPE_CHECKING:
    from pistachioreach.configuration.agreement import ConfigurationReplica
    from pistachioreach.configuration.row import Member
    from pistachioreach.entry import Entry

__all__ = ["LEAVING", "SUSPECT", "NewsGossip"]

#: Kinds of news: an endpoint is leaving; a request was in flight on an endpoint when
#: the endpoint died.
LEAVING = "leaving"
SUSPECT = "suspect"

#: Entries to which each entry sends a news item: all of the others in a deployment of
#: 7, and enough to reach all of 410 within 4 rounds.
FANOUT = 6
#: Seconds between the repetitions of recent news, each to one random entry, for entries
#: that the news did not reach at first.
RESEND_INTERVAL_SECONDS = 1.0
#: Seconds for which a news item is repeated after its arrival.
RESEND_WINDOW_SECONDS = 10.0
#: Number of news items remembered, so that each is forwarded only once.
MAX_REMEMBERED_ITEMS = 10_000


class NewsGossip:
    """Sends news of this entry to the others and forwards news that it receives.

    Args:
        entry: State of this entry.
        replica: Replica of the configuration, which has the roster and the
            peer client.
    """

    def __init__(self, entry: Entry, replica: ConfigurationReplica) -> None:
        #: State of this entry.
        self.entry = entry
        #: Replica of the configuration, which has the roster and the peer client.
        self.replica = replica
        #: Known news by identifier, with the monotonic time of arrival in seconds.
        self.seen: dict[str, tuple[NewsItem, float]] = {}
        #: News that is still to be sent.
        self.pending: list[NewsItem] = []
        #: Set when there is news to send.
        self.item_arrived = trio.Event()

    def publish(self, kind: str, subject: str, detail: str) -> None:
        """Send news that this entry has observed itself.

        Args:
            kind: `leaving` or `suspect`.
            subject: Name of the endpoint, or fingerprint of the request.
            detail: What was observed, or the identifier of an endpoint's death.
        """
        self.remember(NewsItem(self.entry.new_id(), kind, subject, detail))

    def receive(self, news: tuple[NewsItem, ...]) -> None:
        """Apply and forward the items of news from another entry that are new."""
        for item in news:
            if self.remember(item):
                self.apply(item)

    def remember(self, item: NewsItem) -> bool:
        """Queue an item for sending if it is new; return whether it is new."""
        if item.id in self.seen:
            return False
        self.seen[item.id] = (item, self.entry.clock.monotonic())
        while len(self.seen) > MAX_REMEMBERED_ITEMS:
            self.seen.pop(next(iter(self.seen)))
        self.pending.append(item)
        self.item_arrived.set()
        return True

    def apply(self, item: NewsItem) -> None:
        """Update the state of this entry according to an item of news."""
        if item.kind == LEAVING:
            self.entry.mark_leaving(item.subject, PEER_ENTRY, spread=False)
        elif item.kind == SUSPECT:
            self.entry.suspects.record_death(item.subject, item.detail)

    async def run(self) -> None:
        """Send news as it arrives, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.resend_recent)
            while True:
                await self.item_arrived.wait()
                self.item_arrived = trio.Event()
                news, self.pending = tuple(self.pending), []
                for member in self.sample_members(FANOUT):
                    nursery.start_soon(self.send, member, news)

    async def resend_recent(self) -> None:
        """Repeat recent news to one random entry per interval, until cancelled."""
        while True:
            await trio.sleep(RESEND_INTERVAL_SECONDS)
            oldest = self.entry.clock.monotonic() - RESEND_WINDOW_SECONDS
            news = tuple(item for item, at in self.seen.values() if at >= oldest)
            if news:
                for member in self.sample_members(1):
                    await self.send(member, news)

    def sample_members(self, count: int) -> list[Member]:
        """Return up to `count` other entries of the roster, chosen at random."""
        others = self.replica.other_members()
        if len(others) <= count:
            return others
        return self.entry.random.sample(others, count)

    async def send(self, member: Member, news: tuple[NewsItem, ...]) -> None:
        """Send news to one entry.

        A failure is ignored: repetitions and other entries deliver the news later.
        """
        try:
            frame = self.replica.make_frame(NEWS, news=news)
            reply = await self.replica.peers.request(member, frame)
        except ConnectionFailed:
            return
        self.replica.record_reported_version(reply.committed)
