"""Diagnosis of the faulty part of a chain from its stages' stream states."""

from __future__ import annotations

import pytest
import trio

from pistachioreach.dispatch.diagnosis import diagnose
from pistachioreach.endpoints.wire import Stage, StreamState
from pistachioreach.errors import ConnectionFailed

STAGES = tuple(Stage(name, "", 8 * n, 8 * n + 8) for n, name in enumerate("abc"))


def state(received, produced, ended=False, waiting=False):
    return StreamState(
        received=received, produced=produced, ended=ended, waiting=waiting
    )


class ScriptedEngines:
    """Engines that give a fixed answer to the probe of each stage.

    An exception is raised, None means an unknown stream, and "silent" never answers.
    """

    def __init__(self, *answers):
        self.answers = dict(zip("abc", answers, strict=True))

    async def state(self, stage, stream):
        answer = self.answers[stage.endpoint]
        if answer == "silent":
            await trio.sleep_forever()
        if isinstance(answer, Exception):
            raise answer
        return answer


REFUSED = ConnectionFailed("x", False, "refused")
RESET = ConnectionFailed("x", True, "status 500")
UP_TO_DATE = state(5, 5)


@pytest.mark.parametrize(
    ("answers", "started", "culprit", "died", "slow"),
    [
        ((state(9, 9), state(9, 9), state(9, 9)), True, None, False, False),
        ((state(5, 5, ended=True), UP_TO_DATE, UP_TO_DATE), True, None, False, False),
        ((UP_TO_DATE, REFUSED, UP_TO_DATE), True, "b", True, False),
        ((UP_TO_DATE, RESET, UP_TO_DATE), True, "b", False, False),
        ((UP_TO_DATE, "silent", UP_TO_DATE), True, "b", False, False),
        (("silent", REFUSED, UP_TO_DATE), True, "a", False, False),
        ((None, UP_TO_DATE, UP_TO_DATE), True, "a", True, False),
        ((None, None, None), False, "a", False, False),
        ((UP_TO_DATE, None, None), True, "b", True, False),
        ((UP_TO_DATE, None, None), False, "a", False, True),
        ((state(5, 5, waiting=True), None, None), False, None, False, False),
        ((UP_TO_DATE, state(5, 5, waiting=True), None), False, None, False, False),
        ((state(7, 5), state(7, 7), state(7, 7)), True, "a", False, True),
        ((UP_TO_DATE, state(5, 8), state(8, 8)), True, "b", False, False),
        ((UP_TO_DATE, UP_TO_DATE, UP_TO_DATE), True, "c", False, True),
    ],
)
async def test_diagnosis_names_faulty_part(
    autojump_clock, answers, started, culprit, died, slow
):
    found = await diagnose(ScriptedEngines(*answers), STAGES, "s", 5, started, 0.1)
    assert (found.culprit, found.endpoint_died, found.slow) == (culprit, died, slow)


async def test_probes_run_concurrently(autojump_clock):
    started_at = trio.current_time()
    await diagnose(
        ScriptedEngines("silent", "silent", "silent"), STAGES, "s", 5, True, 0.1
    )
    assert trio.current_time() - started_at == pytest.approx(0.1)
