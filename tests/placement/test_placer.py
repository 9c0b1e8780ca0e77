"""Tests of the placer's orders: fencing, order counts, lost answers and handover."""

import itertools
import random

import msgspec
import trio

from pistachioreach.clock import TrioClock
from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.errors import ConnectionFailed
from pistachioreach.journal import Journal
from pistachioreach.knowledge.platform import PlatformView, poll_schedules
from pistachioreach.placement.lease import LEASE_SECONDS, PendingLoad
from pistachioreach.placement.placer import (
    DISCOVERY_QUIET_SECONDS,
    MOVES_AT_ONCE,
    Placer,
)
from tests.platform_builders import (
    SMALL_FLEET,
    UNEVEN_FLEET,
    endpoint,
    engine_model,
    engines_without_layers,
    route_table,
    uneven_model,
)

MODEL = engine_model()


class FakeLease:
    """A lease that is held until the placer drops it or the test ends it."""

    def __init__(self):
        self.fence, self.is_held, self.dropped = 5, True, []
        self.pending_loads = {}

    def held(self):
        return self.is_held

    def drop(self, reason):
        self.is_held = False
        self.dropped.append(reason)


class FakeEngines:
    """Connections to engines that handle orders as the platform's engines do.

    Args:
        directory: Directory in which the engines register the layers that they hold.
        load_seconds: Time that an engine takes to load a range, in seconds.
        model: Model that the engines run.
    """

    def __init__(self, directory, load_seconds=0.0, model=MODEL):
        self.directory = directory
        self.model = model
        self.load_seconds = load_seconds
        self.orders = {}
        self.order_counts = {}
        self.fences = {}
        self.lost_answers = set()
        self.loading = 0
        self.most_loading = 0

    async def call(self, id, address, method, path, body=b"", headers=(), fresh=False):
        assert dict(headers)["Expect-Instance"] == id
        if path == "/report":
            report = {"seq-no": self.order_counts.get(id, 0), "busy": False}
            return answer(200, report | {"kv-used": 0, "kv-total": 1})
        order = msgspec.json.decode(body)
        self.orders.setdefault(id, []).append(order)
        status = self.handle_order(id, order)
        if id in self.lost_answers:
            self.lost_answers.discard(id)
            raise ConnectionFailed(id, True, "the answer is lost")
        return answer(status, {})

    def handle_order(self, id, order):
        if order["fence"] < self.fences.get(id, 0):
            return 412
        if order["expected"] != self.order_counts.get(id, 0):
            return 409
        registration = self.directory.endpoints[id].registration
        size = self.model.cards[registration.card].memory_mb
        assert (order["target"] - order["from"]) * self.model.layer_mb < size
        self.order_counts[id] = self.order_counts.get(id, 0) + 1
        trio.lowlevel.spawn_system_task(self.load, id, order)
        return 202

    async def load(self, id, order):
        held = endpoint(id, order["from"], order["target"])
        await trio.sleep(self.load_seconds)
        known = self.directory.endpoints.get(id)
        if known is not None:
            layers = held.registration.layers
            self.directory.register(known.registration._replace(layers=layers))


def answer(status, document):
    return HttpResponse(status, {}, msgspec.json.encode(document))


class World:
    """A placer over engines without layers, by default of the smaller deployment."""

    def __init__(
        self, load_seconds=0.0, table=SMALL_FLEET, model=MODEL, demand=lambda: None
    ):
        clock = TrioClock()
        self.knowledge = PlatformView(clock, poll_schedules(2.0, 2.0))
        routes = route_table()
        service = routes.services["engines"]._replace(engine=model)
        services = routes.services | {"engines": service}
        self.knowledge.routes = routes._replace(services=services)
        self.knowledge.connectivity.lost_tables.clear()
        self.directory = self.knowledge.directory
        for engine in engines_without_layers(table):
            self.add(engine.id, engine.card, engine.failure_domain)
        self.engines = FakeEngines(self.directory, load_seconds, model)
        self.lease = FakeLease()
        self.placer = Placer(
            knowledge=self.knowledge,
            lease=self.lease,
            connections=self.engines,
            journal=Journal(clock),
            clock=clock,
            random=random.Random(1),
            demand=demand,
        )

    def hand_over(self):
        """Replace the placer by one that takes over its pending loads."""
        previous = self.lease
        self.lease = FakeLease()
        self.lease.fence, self.lease.pending_loads = 6, dict(previous.pending_loads)
        previous.is_held = False
        self.placer = Placer(
            knowledge=self.knowledge,
            lease=self.lease,
            connections=self.engines,
            journal=self.placer.journal,
            clock=self.placer.clock,
            random=random.Random(2),
        )

    def add(self, id, card, domain, born=1):
        registration = endpoint(id, 0, 0, card, domain, born=born).registration
        self.directory.register(registration)

    async def run(self, seconds):
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    if self.lease.held():
                        self.placer.place(nursery)
                    await trio.sleep(0.2)

    def lose_holders(self, layer, domain):
        """Remove all engines of a domain that hold a layer."""
        for id, e in list(self.directory.endpoints.items()):
            first, last = e.registration.layers[:2]
            if e.registration.failure_domain == domain and first <= layer < last:
                self.directory.remove(id, "lost")

    def all_layers_held(self, domain=None):
        held = {
            layer
            for e in self.directory.endpoints.values()
            if e.registration.layers and domain in (None, e.registration.failure_domain)
            for layer in range(*e.registration.layers[:2])
        }
        return held == set(range(80))


async def test_every_engine_gets_one_order_with_fence_and_order_count(autojump_clock):
    world = World()
    await world.run(3.0)
    assert world.all_layers_held()
    assert len(world.engines.orders) == 33
    for orders in world.engines.orders.values():
        (order,) = orders
        assert (order["fence"], order["expected"]) == (5, 0)


async def test_order_without_an_answer_is_checked_and_not_repeated(autojump_clock):
    world = World()
    ids = list(world.directory.endpoints)[:10]
    world.engines.lost_answers = set(ids)
    await world.run(5.0)
    assert all(len(world.engines.orders[id]) == 1 for id in ids)
    assert world.all_layers_held()


async def test_placer_stops_after_an_engine_rejects_its_fence(autojump_clock):
    world = World()
    world.engines.fences = dict.fromkeys(world.directory.endpoints, 6)
    await world.run(3.0)
    assert world.lease.dropped
    order_count = sum(len(orders) for orders in world.engines.orders.values())
    await world.run(3.0)
    assert sum(len(orders) for orders in world.engines.orders.values()) == order_count


async def test_engine_that_restarts_under_the_same_id_gets_a_new_order(autojump_clock):
    world = World()
    await world.run(3.0)
    id = next(iter(world.directory.endpoints))
    registration = world.directory.endpoints[id].registration
    world.engines.order_counts[id] = 0
    world.add(id, registration.card, registration.failure_domain, born=2)
    await world.run(3.0)
    assert world.directory.endpoints[id].registration.layers is not None
    assert world.engines.orders[id][-1]["expected"] == 0


async def test_number_of_engines_that_give_up_layers_at_once_is_limited(autojump_clock):
    world = World(load_seconds=3.0)
    await world.run(8.0)
    # All fast engines that hold the middle layers are lost permanently.
    for id, e in list(world.directory.endpoints.items()):
        layers = e.registration.layers
        if e.registration.card != "l4" and 24 <= layers.first < 56:
            world.directory.remove(id, "lost")
    moving = []
    for _ in range(60):
        await world.run(0.25)
        moving.append(len(world.placer.moving))
    assert world.all_layers_held()
    assert max(moving) <= MOVES_AT_ONCE


async def test_new_placer_does_not_repeat_pending_loads_of_the_last_one(autojump_clock):
    world = World(load_seconds=3.0)
    await world.run(DISCOVERY_QUIET_SECONDS + 0.5)
    assert len(world.engines.orders) == 33
    world.hand_over()
    await world.run(4.0)
    assert world.all_layers_held()
    assert all(len(orders) == 1 for orders in world.engines.orders.values())


async def test_overdue_pending_load_of_the_last_placer_is_ordered_again(
    autojump_clock,
):
    world = World(load_seconds=0.5)
    id = next(iter(world.directory.endpoints))
    world.lease.pending_loads[id] = PendingLoad(
        0, 24, world.placer.clock.monotonic() + 3, 1, 1
    )
    await world.run(DISCOVERY_QUIET_SECONDS + 0.5)
    assert id not in world.engines.orders
    await world.run(4.0)
    assert world.engines.orders[id]
    assert world.all_layers_held()


async def test_domain_without_a_chain_is_rebuilt_and_the_reason_is_recorded(
    autojump_clock,
):
    model = uneven_model()
    world = World(3.0, UNEVEN_FLEET, model)
    await world.run(20.0)
    assert all(world.all_layers_held(domain) for domain in UNEVEN_FLEET["a100"])
    world.lose_holders(40, "anta")
    assert not world.all_layers_held("anta")
    moving = []
    for _ in range(120):
        await world.run(0.25)
        moving.append(len(world.placer.moving))
    assert world.all_layers_held("anta")
    # More engines than MOVES_AT_ONCE may move while the domain lacks a chain.
    assert 1 <= max(moving) <= model.loads_at_once
    decisions = itertools.chain(*world.placer.journal.requests.values())
    details = [d.details for d in sorted(decisions, key=lambda d: d.at)]
    moves = [fields for fields in details if fields["held"] is not None]
    assert moves[0]["cause"] == "layers without a holder in the domain"
    assert moves[0]["streams_after"] > moves[0]["streams_before"] >= 0
    assert all("demand" in fields for fields in moves)


async def test_lease_is_read_at_once_after_a_restore(autojump_clock, nursery):
    # Guards against an entry that notes a restore only at its next planned attempt.
    world = World()
    renewals = []

    async def renew():
        renewals.append(trio.current_time())

    world.lease.is_held = False
    world.lease.renew, world.lease.renewal_delay = renew, lambda: LEASE_SECONDS
    nursery.start_soon(world.placer.keep_lease)
    await trio.sleep(1.0)
    world.placer.request_renewal()
    await trio.sleep(0.3)
    assert len(renewals) == 2
    await trio.sleep(LEASE_SECONDS - 0.5)
    assert len(renewals) == 2


async def test_demand_that_oscillates_moves_no_layers(autojump_clock):
    # The demand changes between two domains with a period of 15 s.
    demand = {}

    def oscillating_demand():
        first = trio.current_time() % 15.0 < 7.5
        demand.update(urubamba=float(first), anta=float(not first), paucartambo=0.0)
        return dict(demand)

    world = World(1.0, UNEVEN_FLEET, uneven_model(), oscillating_demand)
    await world.run(20.0)
    orders = {id: list(sent) for id, sent in world.engines.orders.items()}
    for number in range(8):
        # A restart makes the placer plan again under the demand of that time.
        id = f"anta-l4-{number}"
        world.engines.order_counts[id] = 0
        world.add(id, "l4", "anta", born=2 + number)
        await world.run(7.5)
        sent = world.engines.orders[id]
        assert len(sent) == len(orders.pop(id)) + 1
    for id, sent in orders.items():
        assert world.engines.orders[id] == sent
    assert demand


async def test_restarted_engine_gets_a_range_and_no_other_engine_moves(autojump_clock):
    world = World(1.0, UNEVEN_FLEET, uneven_model())
    await world.run(20.0)
    before = sum(len(sent) for sent in world.engines.orders.values())
    world.engines.order_counts["urubamba-a100-0"] = 0
    world.add("urubamba-a100-0", "a100", "urubamba", born=2)
    await world.run(20.0)
    assert world.directory.endpoints["urubamba-a100-0"].registration.layers is not None
    assert sum(len(sent) for sent in world.engines.orders.values()) == before + 1


async def test_engine_that_leaves_gets_no_order(autojump_clock):
    # Guards against layers that are gone by the time they are loaded.
    world = World()
    leaving, stating, *_ = world.directory.endpoints.values()
    registration = leaving.registration._replace(leaving=True)
    world.directory.register(registration)
    stating.states_leaving = True
    await world.run(3.0)
    ordered = set(world.engines.orders)
    assert len(ordered) == len(world.directory.endpoints) - 2
    assert not ordered & {leaving.id, stating.id}
