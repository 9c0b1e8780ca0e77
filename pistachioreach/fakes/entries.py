"""Entries that agree on a configuration in memory, with cuts and restarts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import trio

from pistachioreach.clock import TrioClock
from pistachioreach.configuration.agreement import ConfigurationReplica
from pistachioreach.configuration.change import ChangeCoordinator
from pistachioreach.configuration.join import stay_joined
from pistachioreach.configuration.row import Member
from pistachioreach.entry import Clients, Entry
from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.metrics import Metrics
from pistachioreach.peers.news import NewsGossip
from pistachioreach.peers.wire import decode_frame, encode_frame
from pistachioreach.platform.wire import VmEntry

if TYPE_CHECKING:
    from pistachioreach.fakes.fleet import FakeFleet
    from pistachioreach.fakes.platform import FakePlatform
    from pistachioreach.fakes.service import FakeService
    from pistachioreach.peers.wire import Frame

__all__ = ["FakeEntries", "FakeNode", "PlatformLink"]

#: Seconds after which a question over a cut link fails.
LINK_TIMEOUT_SECONDS = 0.3
#: Key and salt of the frames; the codec is part of what is tested.
FRAME_KEY = b"key-of-the-fakes"
FRAME_SALT = b"salt"


class PlatformLink:
    """The platform as one entry sees it, which may be cut off from it.

    Args:
        platform: The platform.
    """

    def __init__(self, platform: FakePlatform) -> None:
        #: The platform.
        self.platform = platform
        #: Whether this entry cannot reach it.
        self.disconnected = False

    async def check(self) -> None:
        """Fail after a while when cut off."""
        if self.disconnected:
            await trio.sleep(LINK_TIMEOUT_SECONDS)
            raise StoreUnavailable("the platform cannot be reached")

    async def transact(self, *args: Any) -> None:
        """Apply a transaction."""
        await self.check()
        await self.platform.transact(*args)

    async def read(self, *args: Any) -> Any:
        """Read a row."""
        await self.check()
        return await self.platform.read(*args)

    async def put(self, *args: Any) -> Any:
        """Store an object."""
        await self.check()
        return await self.platform.put(*args)

    async def get(self, *args: Any) -> Any:
        """Read an object."""
        await self.check()
        return await self.platform.get(*args)

    async def list_vms(self) -> Any:
        """Read the list of VMs."""
        await self.check()
        return await self.platform.list_vms()


class FakeNode:
    """One entry with its agreement, changes and news.

    Args:
        entries: The entries that it is one of.
        name: Name of the VM.
    """

    def __init__(self, entries: FakeEntries, name: str) -> None:
        #: The entries that it is one of.
        self.entries = entries
        #: Name of the VM.
        self.name = name
        #: The platform as it sees it.
        self.store = PlatformLink(entries.platform)
        source = random.Random(entries.random.random())
        #: Its state.
        self.entry = Entry(
            name,
            "anta",
            (FRAME_KEY,),
            Clients(entries.fleet, entries.service, self.store),
            TrioClock(),
            source,
            Metrics(),
        )
        member = Member(name, name, "anta", self.entry.new_id(), 0.0)
        #: What it knows of the agreed configuration.
        self.agreement = ConfigurationReplica(self.entry, member, self.store, self)
        #: Makes changes.
        self.changes = ChangeCoordinator(self.agreement)
        #: Spreads news.
        self.news = NewsGossip(self.entry, self.agreement)
        self.agreement.receive_news = self.news.receive
        self.entry.broadcast = self.news.publish
        self.entry.may_admit = self.agreement.may_admit
        #: Ends this run of the entry.
        self.scope = trio.CancelScope()
        #: Versions that were in force here, in order.
        self.versions: list[int] = []

    async def run(self) -> None:
        """Run the entry's tasks until it is stopped."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.entry.nursery = nursery
                nursery.start_soon(self.agreement.run)
                nursery.start_soon(self.news.run)
                nursery.start_soon(stay_joined, self.changes)

    async def request(self, member: Member, frame: Frame) -> Frame:
        """Ask another entry, as its peer client."""
        other = self.entries.nodes.get(member.name)
        linked = other is not None and not self.entries.is_link_cut(
            self.name, member.name
        )
        if not linked or self.scope.cancel_called:
            await trio.sleep(LINK_TIMEOUT_SECONDS)
            raise ConnectionFailed(member.name, True, "no answer")
        await trio.sleep(self.entries.random.uniform(0.0, 0.004))
        sent = decode_frame(
            encode_frame(frame, FRAME_KEY, FRAME_SALT), [FRAME_KEY], FRAME_SALT
        )
        reply = await other.agreement.handle_frame(sent)
        await trio.sleep(self.entries.random.uniform(0.0, 0.004))
        if self.entries.is_link_cut(self.name, member.name):
            await trio.sleep(LINK_TIMEOUT_SECONDS)
            raise ConnectionFailed(member.name, True, "the answer was lost")
        return decode_frame(
            encode_frame(reply, FRAME_KEY, FRAME_SALT), [FRAME_KEY], FRAME_SALT
        )

    def transferred_bytes(self) -> int:
        """Return no bytes: nothing is sent."""
        return 0

    def admission_version(self) -> int | None:
        """Return the version under which it admits requests, or None."""
        return self.agreement.active_version if self.agreement.may_admit() else None


class FakeEntries:
    """Some entries of one deployment.

    Args:
        nursery: Runs them.
        platform: The platform.
        fleet: The engines.
        service: The plain service.
        seed: Seed of all delays.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        platform: FakePlatform,
        fleet: FakeFleet,
        service: FakeService,
        seed: int,
    ) -> None:
        #: Runs them.
        self.nursery = nursery
        #: The platform.
        self.platform = platform
        #: The engines.
        self.fleet = fleet
        #: The plain service.
        self.service = service
        #: Source of all delays.
        self.random = random.Random(seed)
        #: The entries that run, by name.
        self.nodes: dict[str, FakeNode] = {}
        #: Pairs of names between which nothing passes.
        self.cut_links: set[frozenset[str]] = set()

    def start(self, name: str) -> FakeNode:
        """Start an entry, or start it anew."""
        self.stop(name)
        node = FakeNode(self, name)
        self.nodes[name] = node
        self.platform.vm_list.append(
            VmEntry(name=name, address=name, failure_domain="anta", leaving=False)
        )
        self.nursery.start_soon(node.run)
        return node

    def stop(self, name: str) -> None:
        """End an entry at once; the platform takes it off its list."""
        node = self.nodes.pop(name, None)
        listed = self.platform.vm_list
        self.platform.vm_list = [vm for vm in listed if vm["name"] != name]
        if node is not None:
            node.scope.cancel()

    def is_link_cut(self, one: str, other: str) -> bool:
        """Whether nothing passes between two entries."""
        return frozenset((one, other)) in self.cut_links

    def isolate(self, names: set[str], store: bool = True) -> None:
        """Cut some entries off from all the others, and from the store."""
        for name in names:
            if store and name in self.nodes:
                self.nodes[name].store.disconnected = True
            for other in set(self.nodes) - names:
                self.cut_links.add(frozenset((name, other)))

    def heal(self) -> None:
        """Mend all cuts."""
        self.cut_links.clear()
        self.platform.down = False
        for node in self.nodes.values():
            node.store.disconnected = False

    async def wait_until_joined(self, count: int) -> None:
        """Wait until all of some entries are in the roster and may admit."""
        while not all(
            node.agreement.may_admit() and len(node.agreement.roster) == count
            for node in self.nodes.values()
        ):
            await trio.sleep(0.05)
