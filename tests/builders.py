"""Test fixtures: small deployments on a virtual clock or on loopback sockets."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager

import trio

from pistachioreach.callers.client import Caller
from pistachioreach.clock import TrioClock
from pistachioreach.configuration import index_manifest
from pistachioreach.dispatch.calls import CallRequest
from pistachioreach.dispatch.cursor import body_digest
from pistachioreach.dispatch.generation import Generation, GenerationRequest
from pistachioreach.dispatch.keys import new_key
from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.wire import LayerRun, TokenEvent
from pistachioreach.entry import Clients, Entry
from pistachioreach.fakes.deployment import (
    DEMO_CREDENTIAL,
    demo_manifest,
    demo_settings,
)
from pistachioreach.fakes.engine import EngineTimes
from pistachioreach.fakes.fleet import FakeFleet
from pistachioreach.fakes.platform import FakePlatform
from pistachioreach.fakes.servers import FakeServers
from pistachioreach.fakes.service import FakeService
from pistachioreach.manifest import encode_manifest
from pistachioreach.metrics import Metrics
from pistachioreach.node import Node
from pistachioreach.platform.objects import sha256_digest
from pistachioreach.ports import free_ports
from pistachioreach.settings import Address

#: Engine times with which a token takes 10 ms on the slowest stage of a chain.
TIMES = EngineTimes(prefill_seconds=0.001, token_seconds=0.01)
#: Engine times for tests on sockets.
FAST_TIMES = EngineTimes()
PORTS = range(40000, 41000)
KEY = b"key-of-the-tests"


def token_event(position=0, attempt=1, request="r", cuts=(0, 8, 16, 24), text="t"):
    trace = [
        LayerRun(f"e{index}", first, last)
        for index, (first, last) in enumerate(zip(cuts, cuts[1:], strict=False))
    ]
    return TokenEvent(
        request=request, attempt=attempt, position=position, text=text, trace=trace
    )


class World:
    """Entries, engines, a service and the platform on the virtual clock of a test."""

    def __init__(self, nursery, seed=1, manifest=None):
        self.nursery = nursery
        self.random = random.Random(seed)
        self.manifest = manifest or demo_manifest(ports=PORTS)
        self.fleet = FakeFleet(nursery)
        self.platform = FakePlatform(random.Random(seed))
        self.service = FakeService(random.Random(seed))
        self.clock = TrioClock()
        self.entries = []

    def add_entry(self, table=None, service=None, nursery=None):
        number = len(self.entries)
        entry = Entry(
            f"entry-{number}",
            "urubamba",
            (KEY,),
            Clients(self.fleet, service or self.service, table or self.platform),
            self.clock,
            random.Random(self.random.random()),
            Metrics(),
        )
        entry.nursery = nursery or self.nursery
        entry.nursery.start_soon(entry.watchdog.run)
        raw = encode_manifest(self.manifest)
        entry.activate(index_manifest(1, sha256_digest(raw), self.manifest))
        self.entries.append(entry)
        return entry

    @property
    def entry(self):
        return self.entries[0]

    def engine(self, name):
        return self.fleet.engines[name]

    def call_request(self, entry, key=None, call="confirm", body=b"{}", seconds=5.0):
        declared = entry.configuration.find_call("bookings", call)
        return CallRequest(
            request_id=entry.new_id(),
            workspace="crews",
            service="bookings",
            call=declared,
            key=key or new_key(self.clock.now()),
            digest=body_digest(body),
            body=body,
            deadline=self.clock.monotonic() + seconds,
        )


@asynccontextmanager
async def make_world(entries=1, seed=1, times=TIMES, **manifest):
    async with trio.open_nursery() as nursery:
        world = World(nursery, seed, demo_manifest(ports=PORTS, **manifest))
        await world.fleet.start_all(world.manifest, times)
        for _ in range(entries):
            world.add_entry()
        yield world
        nursery.cancel_scope.cancel()


class GenerationRun:
    """One generation under test, with the tokens that it has delivered."""

    def __init__(self, entry, prompt="a plan", tokens=20, **fields):
        request = GenerationRequest(
            request_id=entry.new_id(),
            workspace="crews",
            model="clearance",
            prompt=prompt,
            max_tokens=tokens,
            priority=9,
            deadline=entry.clock.monotonic() + 60,
            digest="d",
        )
        self.generation = Generation(entry, request._replace(**fields), self.deliver)
        self.texts = []
        self.times = []
        self.cursor = b""
        self.hooks = {}
        self.result = None

    def at(self, position, hook):
        """Call a hook when the token at a position is delivered."""
        self.hooks[position] = hook
        return self

    async def deliver(self, tokens, writer):
        # Like a write to a caller's connection, this may be cancelled before any token
        # is taken.
        await trio.lowlevel.checkpoint()
        for token in tokens:
            self.texts.append(token["text"])
            self.times.append(trio.current_time())
            self.cursor = writer.write(token["position"] + 1)
            hook = self.hooks.pop(token["position"], None)
            if hook:
                hook()

    async def run(self):
        self.result = await self.generation.run()
        return self.result

    def chains(self):
        """Return the names of the endpoints in the chain of each attempt."""
        generation = self.generation
        decisions = generation.entry.journal.explain(generation.request.request_id)
        return [
            [stage.split("[")[0] for stage in decision.choice.split()]
            for decision in decisions
            if decision.kind == "chain"
        ]


def entry_settings(platform, name="entry-0", domain="urubamba", **fields):
    settings = demo_settings(name, domain, platform)
    return settings._replace(keys=(KEY,), operator_token="operators", **fields)


class Loopback:
    """Entries and fake servers on loopback sockets."""

    def __init__(self, manifest, servers, nodes):
        self.manifest = manifest
        self.servers = servers
        self.nodes = nodes
        self.connections = Connections()

    def addresses(self):
        return [f"127.0.0.1:{node.port}" for node in self.nodes]

    def caller(self, workspace="crews", credential=DEMO_CREDENTIAL):
        return Caller(self.connections, self.addresses(), workspace, credential)

    async def post(self, path, body, headers=()):
        defaults = (
            ("Workspace", "crews"),
            ("Authorization", f"Bearer {DEMO_CREDENTIAL}"),
        )
        names = {name.lower() for name, _ in headers}
        kept = tuple(item for item in defaults if item[0].lower() not in names)
        return await self.connections.call(
            "entry", self.addresses()[0], "POST", path, body, kept + tuple(headers)
        )

    async def get(self, path):
        return await self.connections.call("entry", self.addresses()[0], "GET", path)


def is_ready(node):
    """Return whether an entry has a configuration and may admit requests."""
    return node.entry.configuration is not None and node.entry.may_admit()


@asynccontextmanager
async def make_loopback(entries=1, times=FAST_TIMES, apply=True):
    manifest = demo_manifest()
    platform, faults = (Address("127.0.0.1", port) for port in free_ports(2))
    servers = FakeServers(manifest, times, random.Random(1))
    async with trio.open_nursery() as nursery:
        await nursery.start(servers.run, platform, faults)
        nodes = []
        for number in range(entries):
            node = Node(entry_settings(platform, f"entry-{number}"))
            await nursery.start(node.run)
            nodes.append(node)
        if apply:
            report = await nodes[0].changes.apply(manifest, encode_manifest(manifest))
            assert report.result == "in force"
        for node in nodes:
            # The balancer sends no requests to an entry before that either.
            while apply and not is_ready(node):
                await trio.sleep(0.02)
        loopback = Loopback(manifest, servers, nodes)
        yield loopback
        await loopback.connections.close()
        nursery.cancel_scope.cancel()
