"""Fault plans, drawn reproducibly from a seed."""

from __future__ import annotations

import random
from typing import NamedTuple

__all__ = [
    "ADDED_FAULT_SECONDS",
    "FAULT_DURATION_SECONDS",
    "REGRESSION_SEEDS",
    "Fault",
    "Plan",
    "draw_plan",
]

#: Minimum and maximum duration in seconds of each kind of fault.
FAULT_DURATION_SECONDS = {
    "router killed": (0.3, 3.0),
    "router stopped for a while": (0.3, 4.0),
    "router terminated": (0.2, 1.0),
    "all routers terminated in turn": (0.2, 1.0),
    "all routers killed": (0.2, 1.5),
    "callers' link reset": (0.0, 0.0),
    "callers' link slow": (0.5, 3.0),
    "store down": (0.5, 5.0),
    "store silent": (0.5, 5.0),
    "store slow": (0.5, 5.0),
    "store loses answers": (0.0, 0.0),
    "store forgets its history": (0.0, 0.0),
    "store turns some away": (1.0, 6.0),
    "store link reset": (0.0, 0.0),
    "store link one way": (0.5, 5.0),
    "store link silent": (0.5, 5.0),
    "engine killed": (0.5, 4.0),
    "engine hangs": (0.5, 4.0),
    "engine leaves": (3.0, 6.0),
    "engine link reset": (0.0, 0.0),
    "engine link one way": (0.3, 3.0),
    "engine link slow": (0.5, 3.0),
    "service loses answers": (0.0, 0.0),
    "service leaves": (3.0, 6.0),
    "service link reset": (0.0, 0.0),
    "service link silent": (0.3, 3.0),
    "keys change": (0.0, 0.0),
}
#: The same for groups of kinds that were added later. Each group is drawn apart from
#: the others, so that the other faults of a seed that has failed before stay the same.
ADDED_FAULT_SECONDS = {
    "added faults": {"engine sends wrong bytes": (1.0, 6.0)},
    "repeated responses": {
        "engine link repeats responses": (1.0, 6.0),
        "service link repeats responses": (1.0, 6.0),
    },
    "cuts of routers": {
        "router cut off silently": (0.5, 4.0),
        "router cut off by resets": (0.5, 4.0),
        "router cut off from new connections": (0.5, 4.0),
    },
    "sound endpoints": {
        "links silent together": (0.3, 1.5),
        "links reset together": (0.3, 1.0),
    },
    "odd callers": {"odd callers send requests": (2.0, 6.0)},
    "drills of the store": {"store comes back from a copy": (1.0, 8.0)},
    "cuts of readers": {"store cut off from its readers": (1.0, 6.0)},
    "changing lists": {"keys in other workspaces change": (0.0, 0.0)},
    "ways of leaving": {
        "leaving of an engine": (3.0, 6.0),
        "leaving of several engines": (3.0, 6.0),
        "leaving of a service's endpoint": (3.0, 6.0),
    },
}
#: Maximum number of faults of each of these groups per 10 seconds of a plan.
MAX_ADDED_FAULTS = 3
#: Seeds that have failed, with the cause; `--regressions` runs them again.
REGRESSION_SEEDS = {
    1: "settings of an upgrade to HTTP/2, or an upgrade to WebSocket, ended a router",
    2: "error in the soak test: it counted as interrupted the connections to a closed "
    "port, and the requests that reached a process while it closed its connections "
    "and that the process did not log",
    5: "the exit cut a request that had just been read; and bytes behind a request "
    "ended its answer in a shutdown",
    8: "a begun answer was broken off at its second lost connection while the links of "
    "many engines were reset: lost links counted as attempts of the route",
    12: "same cause as seed 8; error in the soak test: it took a restart for an "
    "unexpected exit",
    15: "a request was read and passed on while its connection was closed as idle",
    20: "with 4 routers and 12 s: a router followed the changes of several others, and "
    "never learned of the return of endpoints whose expiry only it had seen",
    22: "with 4 routers and 12 s: a router took the start of a repeated response, cut "
    "off in its head, for the start of the next response on the connection",
    23: "error in the soak test: it changed the keys twice within 0.3 s, so that no "
    "key was valid in both configurations",
    24: "error in the soak test: same cause as seed 23",
    30: "same cause as seed 8",
    34: "a call ran once at an entry that then lost its links, and twice through "
    "another entry, which counts the attempts of the route anew; not mended",
    52: "error in the soak test: it took the end of a process by SIGTERM before its "
    "program had begun for a failed shutdown",
}
#: Minimum and maximum number of faults per 10 seconds of a plan, without repeats.
MIN_FAULTS, MAX_FAULTS = 5, 11
#: Share of the faults that start at the same time as the previous fault.
SIMULTANEOUS_SHARE = 0.3
#: Share of the faults that are repeated some seconds later.
REPEAT_SHARE = 0.2
#: Maximum seconds between the start of a fault and the start of its repeat.
MAX_REPEAT_DELAY_SECONDS = 4.0


class Fault(NamedTuple):
    """One fault that a run injects.

    Attributes:
        start_seconds: Seconds from the start of the traffic to the fault.
        kind: Kind of the fault, a key of `FAULT_DURATION_SECONDS` or of a
            group in `ADDED_FAULT_SECONDS`.
        duration_seconds: Seconds that the fault lasts.
        target: Number that selects the target, modulo the number of targets.
    """

    start_seconds: float
    kind: str
    duration_seconds: float
    target: int


class Plan(NamedTuple):
    """Parameters and faults of a run.

    Attributes:
        seed: Seed of all random choices.
        router_count: Number of routers.
        fault_seconds: Length in seconds of the period in which faults start.
        faults: The faults, sorted by start time.
    """

    seed: int
    router_count: int
    fault_seconds: float
    faults: tuple[Fault, ...]


def draw_plan(
    seed: int,
    fault_seconds: float = 12.0,
    router_count: int = 4,
    without: str | None = None,
) -> Plan:
    """Return the plan of a seed, always the same for the same arguments.

    Args:
        seed: Seed of all random choices.
        fault_seconds: Length in seconds of the period in which faults start.
        router_count: Number of routers.
        without: Group in `ADDED_FAULT_SECONDS` that is left out, or None.
    """
    generator = random.Random(seed)
    count = round(generator.randint(MIN_FAULTS, MAX_FAULTS) * fault_seconds / 10)
    faults: list[Fault] = []
    for _ in range(count):
        kind = generator.choice(sorted(FAULT_DURATION_SECONDS))
        start = generator.uniform(0.0, fault_seconds)
        if faults and generator.random() < SIMULTANEOUS_SHARE:
            start = faults[-1].start_seconds
        fault = Fault(
            round(start, 3),
            kind,
            round(generator.uniform(*FAULT_DURATION_SECONDS[kind]), 3),
            generator.randrange(1000),
        )
        faults.append(fault)
        if generator.random() < REPEAT_SHARE:
            repeat = round(start + generator.uniform(0.1, MAX_REPEAT_DELAY_SECONDS), 3)
            faults.append(fault._replace(start_seconds=min(repeat, fault_seconds)))
    for group in ADDED_FAULT_SECONDS:
        if group != without:
            faults += draw_added_faults(group, seed, fault_seconds)
    return Plan(seed, router_count, fault_seconds, tuple(sorted(faults)))


def draw_added_faults(group: str, seed: int, fault_seconds: float) -> list[Fault]:
    """Return the faults of a plan that are drawn apart from the others.

    Args:
        group: Group of the kinds of faults, a key of `ADDED_FAULT_SECONDS`.
        seed: Seed of the plan.
        fault_seconds: Length in seconds of the period in which faults start.
    """
    durations = ADDED_FAULT_SECONDS[group]
    generator = random.Random(f"{group} {seed}")
    count = round(generator.randint(0, MAX_ADDED_FAULTS) * fault_seconds / 10)
    kinds = [generator.choice(sorted(durations)) for _ in range(count)]
    return [
        Fault(
            round(generator.uniform(0.0, fault_seconds), 3),
            kind,
            round(generator.uniform(*durations[kind]), 3),
            generator.randrange(1000),
        )
        for kind in kinds
    ]
