"""Diagnosis of a stream that broke or stalled: connection, link or stage at fault."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from pistachioreach.endpoints.engine import EngineClient
    from pistachioreach.endpoints.wire import Stage, StreamState

__all__ = ["Diagnosis", "diagnose"]


#: Detail for a stage that answers the probe but produces no tokens.
STALLED_DETAIL = "stage stalled"


class Diagnosis(NamedTuple):
    """Probable cause of a broken or stalled stream.

    Attributes:
        culprit: Name of the endpoint at fault, or None if no stage is at fault and the
            stream can be read over a new connection.
        endpoint_died: Whether the endpoint at fault stopped or was restarted.
        detail: What was observed.
        slow: Whether all stages answer, so that the endpoint may only be slow.
    """

    culprit: str | None
    endpoint_died: bool
    detail: str
    slow: bool = False


class Probe(NamedTuple):
    """Result of a probe of one stage.

    Attributes:
        state: The stage's state of the stream, or None if it does not know the stream
            or did not answer.
        failure: Why the stage did not answer, or the empty string.
        refused: Whether no connection could be opened, as opposed to no answer.
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
    """Probe all stages of a chain to find out why a stream broke or stalled.

    Each stage is asked for its state of the stream over a new connection, all stages
    at the same time.

    Args:
        client: Client of the engines.
        stages: Stages of the chain.
        stream: Name of the attempt's stream.
        position: Position of the next token that the entry needs.
        started: Whether the stream has delivered any token.
        limit: Timeout in seconds for each probe.

    Returns:
        The first of these causes that applies: the first stage that did not answer;
        a silent connection to the first stage; the first stage that does not know
        the stream or queues it; the first stage or link that holds up the tokens.
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
            # A stage opens the stream at the next stage only after it has processed
            # the prompt.
            previous = stages[index - 1].endpoint
            return Diagnosis(previous, False, "still runs the prompt", slow=True)
        if answer.state is None:
            # The stage was restarted if the stream had delivered tokens. Otherwise
            # the stream may never have arrived at the stage.
            return Diagnosis(stage.endpoint, started, "stream not known there")
        if answer.state["waiting"]:
            # The stages after a stage that queues the stream do not know it yet.
            return Diagnosis(None, False, f"waits for a place at '{stage.endpoint}'")
    return slowest_stage(stages, [answer.state for answer in probes])


def slowest_stage(stages: tuple[Stage, ...], states: list[StreamState]) -> Diagnosis:
    """Return the stage or link that holds up a stream that all stages know.

    Tokens travel from the last stage to the first. A stage that received more tokens
    than it produced is slow. A stage that received fewer tokens than the next stage
    produced has a silent link to the next stage.
    """
    for index in range(len(stages) - 1):
        if states[index]["produced"] < states[index]["received"]:
            return Diagnosis(stages[index].endpoint, False, STALLED_DETAIL, slow=True)
        if states[index]["received"] < states[index + 1]["produced"]:
            detail = f"link from '{stages[index].endpoint}' silent"
            return Diagnosis(stages[index + 1].endpoint, False, detail)
    return Diagnosis(stages[-1].endpoint, False, STALLED_DETAIL, slow=True)


async def probe(client: EngineClient, stage: Stage, stream: str, limit: float) -> Probe:
    """Ask one stage for its state of a stream, with a timeout in seconds."""
    try:
        with trio.fail_after(limit):
            return Probe(await client.state(stage, stream), "", False)
    except trio.TooSlowError:
        return Probe(None, f"no answer within {limit:.2f} s", False)
    except ConnectionFailed as error:
        return Probe(None, str(error), not error.sent)
