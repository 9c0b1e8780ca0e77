"""Diagnosis of a stream that broke or went silent: connection, link or stage."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from pistachioreach.endpoints.engine import EngineClient
    from pistachioreach.endpoints.wire import Stage, StreamState

__all__ = ["Diagnosis", "diagnose"]


#: Detail of a stage that answers but produces nothing.
STALLED = "stage stalled"


class Diagnosis(NamedTuple):
    """What is wrong with a stream.

    Attributes:
        culprit: Name of the endpoint to avoid, or None when only the connection
            to the first stage is at fault.
        endpoint_died: Whether that endpoint no longer runs, or runs anew.
        detail: What was seen.
        slow: Whether every stage answers, and the endpoint may only be slow.
    """

    culprit: str | None
    endpoint_died: bool
    detail: str
    slow: bool = False


class Probe(NamedTuple):
    """Answer of one stage.

    Attributes:
        state: What it knows of the stream, or None.
        failure: Why it gave no answer, or the empty string.
        refused: Whether its connection was refused, not merely silent.
    """

    state: StreamState | None
    failure: str
    refused: bool


async def diagnose(
    client: EngineClient,
    stages: tuple[Stage, ...],
    stream: str,
    position: int,
    started: bool,
    limit: float,
) -> Diagnosis:
    """Ask every stage over a fresh connection what it knows of a stream.

    Args:
        client: Client of the engines.
        stages: The chain.
        stream: Name of the stream.
        position: Position of the next token that the entry needs.
        started: Whether the stream has given any token.
        limit: Seconds to wait for each answer.

    Returns:
        The finding; the stage furthest down the chain that explains it.
    """
    probes: list[Probe] = [Probe(None, "", False)] * len(stages)

    async def ask(index: int) -> None:
        probes[index] = await probe(client, stages[index], stream, limit)

    async with trio.open_nursery() as nursery:
        for index in range(len(stages)):
            nursery.start_soon(ask, index)
    for stage, answer in zip(stages, probes, strict=True):
        if answer.failure:
            return Diagnosis(stage.endpoint, answer.refused, answer.failure)
    first = probes[0].state
    if first is not None and (first["produced"] > position or first["ended"]):
        return Diagnosis(None, False, "connection silent, stream alive")
    for index, (stage, answer) in enumerate(zip(stages, probes, strict=True)):
        if answer.state is None and index and not started:
            # A stage opens the next one only once it has run the prompt.
            before = stages[index - 1].endpoint
            return Diagnosis(before, False, "still runs the prompt", slow=True)
        if answer.state is None:
            # A stream that gave nothing may never have arrived there.
            return Diagnosis(stage.endpoint, started, "stream not known there")
        if answer.state["waiting"]:
            # The stages after it do not know the stream yet.
            return Diagnosis(None, False, f"waits for a place at '{stage.endpoint}'")
    return slowest_stage(stages, [answer.state for answer in probes])


def slowest_stage(stages: tuple[Stage, ...], states: list[StreamState]) -> Diagnosis:
    """Find the stage that holds up a stream that all stages know."""
    for index in range(len(stages) - 1):
        if states[index]["produced"] < states[index]["received"]:
            return Diagnosis(stages[index].endpoint, False, STALLED, slow=True)
        if states[index]["received"] < states[index + 1]["produced"]:
            detail = f"link from '{stages[index].endpoint}' silent"
            return Diagnosis(stages[index + 1].endpoint, False, detail)
    return Diagnosis(stages[-1].endpoint, False, STALLED, slow=True)


async def probe(client: EngineClient, stage: Stage, stream: str, limit: float) -> Probe:
    """Ask one stage, within a time limit."""
    try:
        with trio.fail_after(limit):
            return Probe(await client.state(stage, stream), "", False)
    except trio.TooSlowError:
        return Probe(None, f"no answer within {limit:.2f} s", False)
    except ConnectionFailed as error:
        return Probe(None, str(error), not error.sent)
