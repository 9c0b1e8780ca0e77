"""Exhaustive exploration of the rule by which a version is told in force.

Run `python -m bench.fence_model`. A small model of docs/design/configuration.md:
some entries, changes one after the other, each of which may pass a silent
minority and drop it from the roster, and a restart. Loss, delay, pause, store
outage, lost answers and the death of the coordinator are the absence of events,
or a forgotten coordinator; every order of events is explored. A permit lasts one
tick. The promise: once a version is told in force, nobody admits under an older
one. The variants each leave out one part of the rule.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["VARIANTS", "Found", "State", "explore", "main"]

#: Parts of the rule that can be left out.
VARIANTS = (
    "",
    "told at once",
    "told without the wait",
    "next change before the last is settled",
    "dropped entries keep their permit",
    "any run of a restarted entry counts",
)
#: Ticks to wait while some entries do not know: one permit, and one of margin.
WAIT = 2
#: Explored sizes: entries, changes, restarts.
SIZES = ((3, 1, 0), (3, 2, 0), (3, 1, 1), (4, 1, 0))
#: Knowledge of an entry that has restarted and read nothing yet.
NOTHING = -1


class State(NamedTuple):
    """One state of the model.

    Attributes:
        version: Version in the store.
        settled: Whether it is settled.
        rosters: For each version the runs that are in its roster, as pairs of
            entry and run.
        knows: Highest version that each entry knows.
        runs: Run of each entry; 1 after a restart.
        fresh: Whether each entry has read the store within the permit.
        heard: For each entry the runs heard within the permit, with nothing newer.
        told: Highest version told in force.
        aware: Entries that the coordinator has heard to know the version.
        wait: Ticks that the coordinator still has to wait.
        changes: Changes that may still follow.
        restarts: Restarts that may still follow.
    """

    version: int
    settled: bool
    rosters: tuple[frozenset, ...]
    knows: tuple[int, ...]
    runs: tuple[int, ...]
    fresh: tuple[bool, ...]
    heard: tuple[frozenset, ...]
    told: int
    aware: frozenset
    wait: int
    changes: int
    restarts: int


class Found(NamedTuple):
    """What an exploration found.

    Attributes:
        states: States visited.
        trace: Events to the first broken promise, or None.
        complete: Whether every state was visited.
    """

    states: int
    trace: list[str] | None
    complete: bool


def put(values: tuple, index: int, value: object) -> tuple:
    """Return a tuple with one value replaced."""
    return values[:index] + (value,) + values[index + 1 :]


def few(count: int, roster: frozenset) -> bool:
    """Whether some entries are too few to admit among themselves."""
    return 2 * count < len(roster)


def admits(state: State, entry: int, variant: str) -> bool:
    """Whether an entry admits requests."""
    known = state.knows[entry]
    if known == NOTHING:
        return False
    roster = state.rosters[known]
    member = (entry, state.runs[entry]) in roster
    if not member and variant != "dropped entries keep their permit":
        return False
    in_touch = (state.heard[entry] & roster) | {(entry, state.runs[entry])}
    if variant == "any run of a restarted entry counts":
        names = {name for name, _ in roster}
        in_touch = {name for name, _ in state.heard[entry] if name in names} | {entry}
    return state.fresh[entry] or 2 * len(in_touch) >= len(roster)


def learn(state: State, entry: int, version: int) -> State:
    """Return the state after an entry learned of a version."""
    if version <= state.knows[entry]:
        return state
    return state._replace(knows=put(state.knows, entry, version))


def ticks(state: State) -> Iterator[tuple[str, State]]:
    """Yield the passing of time: every permit ends."""
    count = len(state.knows)
    yield (
        "tick",
        state._replace(
            fresh=(False,) * count,
            heard=(frozenset(),) * count,
            wait=max(0, state.wait - 1),
        ),
    )


def reads(state: State) -> Iterator[tuple[str, State]]:
    """Yield the reads of the store."""
    for entry in range(len(state.knows)):
        after = learn(state, entry, state.version)
        yield f"{entry} reads", after._replace(fresh=put(after.fresh, entry, True))


def questions(state: State) -> Iterator[tuple[str, State]]:
    """Yield the answers of entries to others; both tell what they know."""
    count = len(state.knows)
    for entry in range(count):
        for other in range(count):
            if entry == other:
                continue
            asker, answerer = state.knows[entry], state.knows[other]
            after = learn(state, entry, answerer)
            # A question tells only a version number, not yet its content.
            heard = after.heard
            if answerer <= asker:
                run = (other, state.runs[other])
                heard = put(heard, entry, heard[entry] | {run})
            yield f"{entry} asks {other}", after._replace(heard=heard)


def tellings(state: State) -> Iterator[tuple[str, State]]:
    """Yield the coordinator's telling of the version to each entry."""
    if state.settled:
        return
    for entry in range(len(state.knows)):
        if entry in state.aware:
            continue
        after = learn(state, entry, state.version)
        yield (
            f"{entry} is told {state.version}",
            after._replace(aware=state.aware | {entry}, wait=WAIT),
        )
    if state.aware:
        yield "another coordinates", state._replace(aware=frozenset(), wait=WAIT)


def settlements(state: State, variant: str) -> Iterator[tuple[str, State]]:
    """Yield the settling of the version, where the rule allows it."""
    if state.settled:
        return
    old = state.rosters[state.version - 1]
    missing = [run for run in old if run[0] not in state.aware]
    allowed = not missing or (few(len(missing), old) and state.wait == 0)
    if variant == "told at once":
        allowed = True
    if variant == "told without the wait":
        allowed = few(len(missing), old)
    if allowed:
        yield "told in force", state._replace(settled=True, told=state.version)


def commits(state: State, variant: str) -> Iterator[tuple[str, State]]:
    """Yield the next change: it drops a silent minority, or takes in a new run."""
    early = variant == "next change before the last is settled"
    if not state.changes or not (state.settled or early):
        return
    roster = state.rosters[state.version]
    changed = {frozenset(roster)}
    changed |= {roster - {run} for run in roster if few(1, roster)}
    for entry, run in enumerate(state.runs):
        without = frozenset(member for member in roster if member[0] != entry)
        changed.add(without | {(entry, run)})
    for after in changed:
        yield (
            f"commit {state.version + 1} with {sorted(after)}",
            state._replace(
                version=state.version + 1,
                settled=False,
                rosters=(*state.rosters, after),
                aware=frozenset(),
                wait=WAIT,
                changes=state.changes - 1,
            ),
        )


def restarts(state: State) -> Iterator[tuple[str, State]]:
    """Yield the restart of an entry."""
    if not state.restarts:
        return
    for entry in range(len(state.knows)):
        yield (
            f"{entry} restarts",
            state._replace(
                knows=put(state.knows, entry, NOTHING),
                runs=put(state.runs, entry, 1),
                fresh=put(state.fresh, entry, False),
                heard=put(state.heard, entry, frozenset()),
                restarts=state.restarts - 1,
            ),
        )


def nexts(state: State, variant: str) -> Iterator[tuple[str, State]]:
    """Yield every event that can follow, with the state after it."""
    yield from ticks(state)
    yield from reads(state)
    yield from questions(state)
    yield from tellings(state)
    yield from settlements(state, variant)
    yield from commits(state, variant)
    yield from restarts(state)


def broken(state: State, variant: str) -> bool:
    """Whether an entry admits under a version older than one told in force."""
    return any(
        known < state.told and admits(state, entry, variant)
        for entry, known in enumerate(state.knows)
    )


def explore(
    count: int, changes: int, restarts: int, variant: str = "", limit: int = 4_000_000
) -> Found:
    """Explore all states.

    Args:
        count: Number of entries.
        changes: Changes that follow one another.
        restarts: Restarts of entries.
        variant: One of `VARIANTS`.
        limit: States after which the exploration is given up.
    """
    roster = frozenset((entry, 0) for entry in range(count))
    start = State(
        version=0,
        settled=True,
        rosters=(roster,),
        knows=(0,) * count,
        runs=(0,) * count,
        fresh=(True,) * count,
        heard=(frozenset(),) * count,
        told=0,
        aware=frozenset(),
        wait=0,
        changes=changes,
        restarts=restarts,
    )
    came_from: dict[State, tuple[str, State] | None] = {start: None}
    todo = deque([start])
    while todo:
        state = todo.popleft()
        if broken(state, variant):
            return Found(len(came_from), trace_to(state, came_from), False)
        if len(came_from) > limit:
            return Found(len(came_from), None, False)
        for event, after in nexts(state, variant):
            if after not in came_from:
                came_from[after] = (event, state)
                todo.append(after)
    return Found(len(came_from), None, True)


def trace_to(state: State, came_from: dict) -> list[str]:
    """Return the events that lead to a state."""
    events = []
    step = came_from[state]
    while step is not None:
        events.append(step[0])
        step = came_from[step[1]]
    return events[::-1]


def main() -> int:
    """Explore the rule and its variants; the exit status tells the verdict."""
    good = True
    for count, changes, restarts in SIZES:
        good = report(count, changes, restarts, "") == "holds" and good
    for variant in VARIANTS[1:]:
        good = report(3, 2, 1, variant) == "broken" and good
    return 0 if good else 1


def report(count: int, changes: int, restarts: int, variant: str) -> str:
    """Explore once, print what was found and return the verdict."""
    since = time.monotonic()
    found = explore(count, changes, restarts, variant)
    verdict = "broken" if found.trace else "holds"
    if not found.trace and not found.complete:
        verdict = "not exhausted"
    print(
        f"{count} entries, {changes} changes, {restarts} restarts, "
        f"{variant or 'the rule'}: {verdict}, {found.states} states, "
        f"{time.monotonic() - since:.0f} s",
        flush=True,
    )
    if found.trace:
        print("    " + "; ".join(found.trace))
    return verdict


if __name__ == "__main__":
    raise SystemExit(main())
