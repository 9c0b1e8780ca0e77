"""Exhaustive exploration of the rule for reporting a configuration as in force.

Run `python -m bench.fence_model`. The model is a small form of the protocol in
docs/design/configuration.md, with a few entries (router processes), successive
configuration changes and restarts of entries. A change may proceed without a minority
of entries that does not answer, and may drop this minority from the roster. Message
loss, delays, pauses, store outages, lost answers and a crash of the coordinator are
modelled as events that do not happen, or as a new coordinator that knows of no
acknowledgements. Every order of events is explored. A permit to admit requests lasts
one tick. The safety property is that no entry admits requests under an older version
once a version is reported as in force. Each variant leaves out one part of the rule.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["VARIANTS", "Exploration", "State", "explore", "main"]

#: Variants of the rule, each without one part; the empty string is the full rule.
VARIANTS = (
    "",
    "reported at once",
    "reported without the wait",
    "next change before the previous one is settled",
    "dropped entries keep their permit",
    "any run of a restarted entry counts",
)
#: Number of ticks that the coordinator waits if some entries have not acknowledged the
#: version: the lifetime of a permit, and one tick of margin.
WAIT_TICKS = 2
#: Explored sizes, each a number of entries, of changes and of restarts.
SIZES = ((3, 1, 0), (3, 2, 0), (3, 1, 1), (4, 1, 0))
#: Known version of an entry that has restarted and has not learned any version yet.
NO_VERSION = -1


class State(NamedTuple):
    """One state of the model.

    Attributes:
        version: Committed version in the store.
        settled: Whether `version` is settled and has been reported as in force.
        rosters: Roster of each version. The members are runs of an entry's process, as
            pairs of the entry and the number of the run.
        known_versions: Highest version that each entry knows.
        current_runs: Number of the current run of each entry; 1 after a restart.
        store_permits: Whether each entry has a permit from a read of the store.
        confirmed_by: For each entry, the runs that have answered with no newer version
            within the lifetime of a permit.
        reported_version: Highest version reported as in force.
        acknowledged: Entries from which the coordinator has an acknowledgement of
            `version`.
        wait_ticks: Number of ticks that the coordinator still has to wait.
        remaining_changes: Number of changes that may still follow.
        remaining_restarts: Number of restarts that may still follow.
    """

    version: int
    settled: bool
    rosters: tuple[frozenset, ...]
    known_versions: tuple[int, ...]
    current_runs: tuple[int, ...]
    store_permits: tuple[bool, ...]
    confirmed_by: tuple[frozenset, ...]
    reported_version: int
    acknowledged: frozenset
    wait_ticks: int
    remaining_changes: int
    remaining_restarts: int


class Exploration(NamedTuple):
    """Result of an exploration.

    Attributes:
        states: Number of states found.
        trace: Events that lead to a violation of the safety property, or None.
        complete: Whether every reachable state was visited.
    """

    states: int
    trace: list[str] | None
    complete: bool


def replace_item(values: tuple, index: int, value: object) -> tuple:
    """Return a copy of a tuple with the item at an index replaced."""
    return values[:index] + (value,) + values[index + 1 :]


def is_below_quorum(count: int, roster: frozenset) -> bool:
    """Return whether `count` entries are too few to confirm a permit to each other."""
    return 2 * count < len(roster)


def admits(state: State, entry: int, variant: str) -> bool:
    """Return whether an entry admits requests."""
    version = state.known_versions[entry]
    if version == NO_VERSION:
        return False
    roster = state.rosters[version]
    member = (entry, state.current_runs[entry]) in roster
    if not member and variant != "dropped entries keep their permit":
        return False
    confirming_runs = (state.confirmed_by[entry] & roster) | {
        (entry, state.current_runs[entry])
    }
    if variant == "any run of a restarted entry counts":
        names = {name for name, _ in roster}
        confirming_runs = {
            name for name, _ in state.confirmed_by[entry] if name in names
        } | {entry}
    return state.store_permits[entry] or 2 * len(confirming_runs) >= len(roster)


def learn(state: State, entry: int, version: int) -> State:
    """Return the state after an entry has received a version."""
    if version <= state.known_versions[entry]:
        return state
    return state._replace(
        known_versions=replace_item(state.known_versions, entry, version)
    )


def tick_events(state: State) -> Iterator[tuple[str, State]]:
    """Yield the passing of one tick, after which every permit has expired."""
    entry_count = len(state.known_versions)
    yield (
        "tick",
        state._replace(
            store_permits=(False,) * entry_count,
            confirmed_by=(frozenset(),) * entry_count,
            wait_ticks=max(0, state.wait_ticks - 1),
        ),
    )


def store_read_events(state: State) -> Iterator[tuple[str, State]]:
    """Yield a read of the store by each entry, which gives the entry a permit."""
    for entry in range(len(state.known_versions)):
        after = learn(state, entry, state.version)
        yield (
            f"{entry} reads",
            after._replace(
                store_permits=replace_item(after.store_permits, entry, True)
            ),
        )


def poll_events(state: State) -> Iterator[tuple[str, State]]:
    """Yield a request of each entry to each other entry, with the answer."""
    entry_count = len(state.known_versions)
    for entry in range(entry_count):
        for other in range(entry_count):
            if entry == other:
                continue
            asker_version, answerer_version = (
                state.known_versions[entry],
                state.known_versions[other],
            )
            after = learn(state, entry, answerer_version)
            # The request carries only a version number and not the content of that
            # version, so the answering entry does not learn the version.
            confirmed_by = after.confirmed_by
            if answerer_version <= asker_version:
                run = (other, state.current_runs[other])
                confirmed_by = replace_item(
                    confirmed_by, entry, confirmed_by[entry] | {run}
                )
            yield f"{entry} asks {other}", after._replace(confirmed_by=confirmed_by)


def commit_message_events(state: State) -> Iterator[tuple[str, State]]:
    """Yield acknowledgements of the version, and a change of the coordinator."""
    if state.settled:
        return
    for entry in range(len(state.known_versions)):
        if entry in state.acknowledged:
            continue
        after = learn(state, entry, state.version)
        yield (
            f"{entry} acknowledges {state.version}",
            after._replace(
                acknowledged=state.acknowledged | {entry}, wait_ticks=WAIT_TICKS
            ),
        )
    if state.acknowledged:
        yield (
            "new coordinator",
            state._replace(acknowledged=frozenset(), wait_ticks=WAIT_TICKS),
        )


def settle_events(state: State, variant: str) -> Iterator[tuple[str, State]]:
    """Yield the report that the version is in force, if the rule allows the report."""
    if state.settled:
        return
    previous_roster = state.rosters[state.version - 1]
    missing = [run for run in previous_roster if run[0] not in state.acknowledged]
    allowed = not missing or (
        is_below_quorum(len(missing), previous_roster) and state.wait_ticks == 0
    )
    if variant == "reported at once":
        allowed = True
    if variant == "reported without the wait":
        allowed = is_below_quorum(len(missing), previous_roster)
    if allowed:
        yield (
            "reported in force",
            state._replace(settled=True, reported_version=state.version),
        )


def change_events(state: State, variant: str) -> Iterator[tuple[str, State]]:
    """Yield the commits of the next version, one for each possible roster.

    The roster stays as it is, loses one run if one entry is a minority, or gets the
    current run of an entry in place of an older one.
    """
    unsettled_allowed = variant == "next change before the previous one is settled"
    if not state.remaining_changes or not (state.settled or unsettled_allowed):
        return
    roster = state.rosters[state.version]
    next_rosters = {frozenset(roster)}
    next_rosters |= {roster - {run} for run in roster if is_below_quorum(1, roster)}
    for entry, run in enumerate(state.current_runs):
        other_members = frozenset(member for member in roster if member[0] != entry)
        next_rosters.add(other_members | {(entry, run)})
    for after in next_rosters:
        yield (
            f"commit {state.version + 1} with {sorted(after)}",
            state._replace(
                version=state.version + 1,
                settled=False,
                rosters=(*state.rosters, after),
                acknowledged=frozenset(),
                wait_ticks=WAIT_TICKS,
                remaining_changes=state.remaining_changes - 1,
            ),
        )


def restart_events(state: State) -> Iterator[tuple[str, State]]:
    """Yield the restart of each entry, which loses all of the entry's state."""
    if not state.remaining_restarts:
        return
    for entry in range(len(state.known_versions)):
        yield (
            f"{entry} restarts",
            state._replace(
                known_versions=replace_item(state.known_versions, entry, NO_VERSION),
                current_runs=replace_item(state.current_runs, entry, 1),
                store_permits=replace_item(state.store_permits, entry, False),
                confirmed_by=replace_item(state.confirmed_by, entry, frozenset()),
                remaining_restarts=state.remaining_restarts - 1,
            ),
        )


def successors(state: State, variant: str) -> Iterator[tuple[str, State]]:
    """Yield every event that can follow a state, with the state after the event."""
    yield from tick_events(state)
    yield from store_read_events(state)
    yield from poll_events(state)
    yield from commit_message_events(state)
    yield from settle_events(state, variant)
    yield from change_events(state, variant)
    yield from restart_events(state)


def is_violated(state: State, variant: str) -> bool:
    """Return whether an entry admits requests under an outdated version.

    A version is outdated if a newer one has been reported as in force.
    """
    return any(
        version < state.reported_version and admits(state, entry, variant)
        for entry, version in enumerate(state.known_versions)
    )


def explore(
    entry_count: int,
    changes: int,
    restarts: int,
    variant: str = "",
    limit: int = 4_000_000,
) -> Exploration:
    """Explore all reachable states, breadth first, up to the first violation.

    Args:
        entry_count: Number of entries.
        changes: Number of successive changes.
        restarts: Number of restarts of entries.
        variant: One of `VARIANTS`.
        limit: Number of states after which the exploration is given up.
    """
    roster = frozenset((entry, 0) for entry in range(entry_count))
    start = State(
        version=0,
        settled=True,
        rosters=(roster,),
        known_versions=(0,) * entry_count,
        current_runs=(0,) * entry_count,
        store_permits=(True,) * entry_count,
        confirmed_by=(frozenset(),) * entry_count,
        reported_version=0,
        acknowledged=frozenset(),
        wait_ticks=0,
        remaining_changes=changes,
        remaining_restarts=restarts,
    )
    predecessors: dict[State, tuple[str, State] | None] = {start: None}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        if is_violated(state, variant):
            return Exploration(len(predecessors), trace_to(state, predecessors), False)
        if len(predecessors) > limit:
            return Exploration(len(predecessors), None, False)
        for event, after in successors(state, variant):
            if after not in predecessors:
                predecessors[after] = (event, state)
                queue.append(after)
    return Exploration(len(predecessors), None, True)


def trace_to(state: State, predecessors: dict) -> list[str]:
    """Return the events that lead from the start to a state."""
    events = []
    predecessor = predecessors[state]
    while predecessor is not None:
        events.append(predecessor[0])
        predecessor = predecessors[predecessor[1]]
    return events[::-1]


def main() -> int:
    """Explore the rule and its variants.

    Returns:
        The exit status, which is 0 if the rule holds and every variant is violated.
    """
    as_expected = True
    for entry_count, changes, restarts in SIZES:
        as_expected = (
            report(entry_count, changes, restarts, "") == "holds" and as_expected
        )
    for variant in VARIANTS[1:]:
        as_expected = report(3, 2, 1, variant) == "violated" and as_expected
    return 0 if as_expected else 1


def report(entry_count: int, changes: int, restarts: int, variant: str) -> str:
    """Explore one size and variant, print the result and return the verdict."""
    start_time = time.monotonic()
    exploration = explore(entry_count, changes, restarts, variant)
    verdict = "violated" if exploration.trace else "holds"
    if not exploration.trace and not exploration.complete:
        verdict = "not exhausted"
    print(
        f"{entry_count} entries, {changes} changes, {restarts} restarts, "
        f"{variant or 'the rule'}: {verdict}, {exploration.states} states, "
        f"{time.monotonic() - start_time:.0f} s",
        flush=True,
    )
    if exploration.trace:
        print("    " + "; ".join(exploration.trace))
    return verdict


if __name__ == "__main__":
    raise SystemExit(main())
