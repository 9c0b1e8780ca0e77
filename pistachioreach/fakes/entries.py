"""Entries that agree on a configuration in memory, with partitions and restarts."""

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

#: Seconds after which a request over a cut link fails.
LINK_TIMEOUT_SECONDS = 0.3
#: Key and salt of the frames between entries. Frames are encoded and decoded although
#: they stay in memory, so that tests cover the codec.
FRAME_KEY = b"key-of-the-fakes"
FRAME_SALT = b"salt"


class PlatformLink:
    """Client by which one entry calls the platform, over a link that can be cut.

    Args:
        platform: Platform that the calls go to.
    """

    def __init__(self, platform: FakePlatform) -> None:
        #: Platform that the calls go to.
        self.platform = platform
        #: Whether the link is cut, so that all calls of this entry fail.
        self.disconnected = False

    async def check_link(self) -> None:
        """Fail after a timeout if the link is cut.

        Raises:
            StoreUnavailable: The link is cut.
        """
        if self.disconnected:
            await trio.sleep(LINK_TIMEOUT_SECONDS)
            raise StoreUnavailable("the platform cannot be reached")

    async def transact(self, *args: Any) -> None:
        """Apply a transaction of the table service."""
        await self.check_link()
        await self.platform.transact(*args)

    async def read(self, *args: Any) -> Any:
        """Return a row of the table service, or None."""
        await self.check_link()
        return await self.platform.read(*args)

    async def put(self, *args: Any) -> Any:
        """Store an object and return its digest."""
        await self.check_link()
        return await self.platform.put(*args)

    async def get(self, *args: Any) -> Any:
        """Return the object with a digest."""
        await self.check_link()
        return await self.platform.get(*args)

    async def list_vms(self) -> Any:
        """Return the VM list."""
        await self.check_link()
        return await self.platform.list_vms()


class FakeNode:
    """One entry, its replica of the configuration, and its peer client.

    Args:
        entries: All entries of the deployment, including this one.
        name: Name of the VM.
    """

    def __init__(self, entries: FakeEntries, name: str) -> None:
        #: All entries of the deployment, including this one.
        self.entries = entries
        #: Name of the VM.
        self.name = name
        #: Client of the platform.
        self.store = PlatformLink(entries.platform)
        random_source = random.Random(entries.random.random())
        #: State of the entry.
        self.entry = Entry(
            name,
            "anta",
            (FRAME_KEY,),
            Clients(entries.fleet, entries.service, self.store),
            TrioClock(),
            random_source,
            Metrics(),
        )
        member = Member(name, name, "anta", self.entry.new_id(), 0.0)
        #: Replica of the configuration that the entries agree on.
        self.agreement = ConfigurationReplica(self.entry, member, self.store, self)
        #: Applies changes of the configuration.
        self.changes = ChangeCoordinator(self.agreement)
        #: Exchanges news of endpoints and requests with the other entries.
        self.news = NewsGossip(self.entry, self.agreement)
        self.agreement.receive_news = self.news.receive
        self.entry.broadcast = self.news.publish
        self.entry.may_admit = self.agreement.may_admit
        #: Cancel scope of the entry's tasks; cancelling it stops the entry.
        self.scope = trio.CancelScope()
        #: Versions that were in force at this entry, in order.
        self.versions: list[int] = []

    async def run(self) -> None:
        """Run the tasks of the entry until the entry is stopped."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.entry.nursery = nursery
                nursery.start_soon(self.agreement.run)
                nursery.start_soon(self.news.run)
                nursery.start_soon(stay_joined, self.changes)

    async def request(self, member: Member, frame: Frame) -> Frame:
        """Send a frame to an entry and return the reply.

        Raises:
            ConnectionFailed: The other entry does not run, the link to it is cut, or
                this entry has been stopped.
        """
        other = self.entries.nodes.get(member.name)
        linked = other is not None and not self.entries.is_link_cut(
            self.name, member.name
        )
        if not linked or self.scope.cancel_called:
            await trio.sleep(LINK_TIMEOUT_SECONDS)
            raise ConnectionFailed(member.name, True, "no answer")
        await trio.sleep(self.entries.random.uniform(0.0, 0.004))
        received = decode_frame(
            encode_frame(frame, FRAME_KEY, FRAME_SALT), [FRAME_KEY], FRAME_SALT
        )
        reply = await other.agreement.handle_frame(received)
        await trio.sleep(self.entries.random.uniform(0.0, 0.004))
        if self.entries.is_link_cut(self.name, member.name):
            await trio.sleep(LINK_TIMEOUT_SECONDS)
            raise ConnectionFailed(member.name, True, "the answer was lost")
        return decode_frame(
            encode_frame(reply, FRAME_KEY, FRAME_SALT), [FRAME_KEY], FRAME_SALT
        )

    def transferred_bytes(self) -> int:
        """Return 0, because no frame is sent over a network."""
        return 0

    def admission_version(self) -> int | None:
        """Return the version under which this entry admits requests, or None."""
        return self.agreement.active_version if self.agreement.may_admit() else None


class FakeEntries:
    """All entries of one deployment, with links that can be cut.

    Args:
        nursery: Nursery of the entries.
        platform: Platform of the deployment.
        fleet: Engines of the deployment.
        service: Plain service of the deployment.
        seed: Seed of all random choices.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        platform: FakePlatform,
        fleet: FakeFleet,
        service: FakeService,
        seed: int,
    ) -> None:
        #: Nursery of the entries.
        self.nursery = nursery
        #: Platform of the deployment.
        self.platform = platform
        #: Engines of the deployment.
        self.fleet = fleet
        #: Plain service of the deployment.
        self.service = service
        #: Source of all random choices.
        self.random = random.Random(seed)
        #: Running entries by name.
        self.nodes: dict[str, FakeNode] = {}
        #: Pairs of names of entries between which the link is cut.
        self.cut_links: set[frozenset[str]] = set()

    def start(self, name: str) -> FakeNode:
        """Start an entry, or restart it if it runs."""
        self.stop(name)
        node = FakeNode(self, name)
        self.nodes[name] = node
        self.platform.vm_list.append(
            VmEntry(name=name, address=name, failure_domain="anta", leaving=False)
        )
        self.nursery.start_soon(node.run)
        return node

    def stop(self, name: str) -> None:
        """Stop an entry at once and remove it from the VM list."""
        node = self.nodes.pop(name, None)
        vm_list = self.platform.vm_list
        self.platform.vm_list = [vm for vm in vm_list if vm["name"] != name]
        if node is not None:
            node.scope.cancel()

    def is_link_cut(self, one: str, other: str) -> bool:
        """Return whether the link between two entries is cut."""
        return frozenset((one, other)) in self.cut_links

    def isolate(self, names: set[str], store: bool = True) -> None:
        """Cut the links between some entries and all others.

        Args:
            names: Names of the entries to isolate from the others.
            store: Whether to cut their links to the platform as well.
        """
        for name in names:
            if store and name in self.nodes:
                self.nodes[name].store.disconnected = True
            for other in set(self.nodes) - names:
                self.cut_links.add(frozenset((name, other)))

    def heal(self) -> None:
        """Restore all links and end an outage of the platform."""
        self.cut_links.clear()
        self.platform.down = False
        for node in self.nodes.values():
            node.store.disconnected = False

    async def wait_until_joined(self, count: int) -> None:
        """Wait until every entry may admit requests and sees a full roster.

        Args:
            count: Number of entries in a full roster.
        """
        while not all(
            node.agreement.may_admit() and len(node.agreement.roster) == count
            for node in self.nodes.values()
        ):
            await trio.sleep(0.05)
