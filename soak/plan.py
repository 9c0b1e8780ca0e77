"""Plans of faults, the same for the same seed."""

from __future__ import annotations

import random
from typing import NamedTuple

__all__ = ["KINDS", "REGRESSIONS", "Fault", "Plan", "draw_plan"]

#: Seconds that a fault of each kind lasts, at least and at most.
KINDS = {
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
#: Seeds that have failed, with the cause; they are run again by `--regressions`.
REGRESSIONS = {
    2: "the soak's: connections that met a closed port, or crossed the close of a "
    "process that said nothing of them, counted as cut off",
    12: "the soak's: a restart was taken for an exit that nobody asked for",
    23: "the soak's: keys changed twice in 0.3 s, so that no key was in both",
    24: "the soak's: as 23",
}
#: Faults of a plan, at least and at most, in 10 seconds.
FEWEST, MOST = 5, 11
#: Share of the faults that come at the moment of the one before.
TOGETHER_SHARE = 0.3
#: Share of the faults that come once more, some seconds later.
TWICE_SHARE = 0.2
#: Most seconds between a fault and its second coming.
TWICE_SECONDS = 4.0


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at: Seconds from the start of the traffic.
        kind: One of `KINDS`.
        seconds: How long it lasts.
        target: Number of what it hits, modulo how many there are.
    """

    at: float
    kind: str
    seconds: float
    target: int


class Plan(NamedTuple):
    """What a run does.

    Attributes:
        seed: Seed of all choices.
        routers: Number of routers.
        seconds: Seconds of faults.
        faults: The faults, in order.
    """

    seed: int
    routers: int
    seconds: float
    faults: tuple[Fault, ...]


def draw_plan(seed: int, seconds: float = 12.0, routers: int = 4) -> Plan:
    """Return the plan of a seed."""
    source = random.Random(seed)
    count = round(source.randint(FEWEST, MOST) * seconds / 10)
    faults: list[Fault] = []
    for _ in range(count):
        kind = source.choice(sorted(KINDS))
        at = source.uniform(0.0, seconds)
        if faults and source.random() < TOGETHER_SHARE:
            at = faults[-1].at
        fault = Fault(
            round(at, 3),
            kind,
            round(source.uniform(*KINDS[kind]), 3),
            source.randrange(1000),
        )
        faults.append(fault)
        if source.random() < TWICE_SHARE:
            later = round(at + source.uniform(0.1, TWICE_SECONDS), 3)
            faults.append(fault._replace(at=min(later, seconds)))
    return Plan(seed, routers, seconds, tuple(sorted(faults)))
