"""Which part of a chain is at fault, from what its stages know of a stream."""

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


class Engines:
    """Engines that answer probes as told; an exception is raised, None is unknown."""

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
SAME = state(5, 5)


@pytest.mark.parametrize(
    ("answers", "started", "blame", "died", "slow"),
    [
        ((state(9, 9), state(9, 9), state(9, 9)), True, None, False, False),
        ((state(5, 5, ended=True), SAME, SAME), True, None, False, False),
        ((SAME, REFUSED, SAME), True, "b", True, False),
        ((SAME, RESET, SAME), True, "b", False, False),
        ((SAME, "silent", SAME), True, "b", False, False),
        (("silent", REFUSED, SAME), True, "a", False, False),
        ((None, SAME, SAME), True, "a", True, False),
        ((None, None, None), False, "a", False, False),
        ((SAME, None, None), True, "b", True, False),
        ((SAME, None, None), False, "a", False, True),
        ((state(5, 5, waiting=True), None, None), False, None, False, False),
        ((SAME, state(5, 5, waiting=True), None), False, None, False, False),
        ((state(7, 5), state(7, 7), state(7, 7)), True, "a", False, True),
        ((SAME, state(5, 8), state(8, 8)), True, "b", False, False),
        ((SAME, SAME, SAME), True, "c", False, True),
    ],
)
async def test_the_part_at_fault(autojump_clock, answers, started, blame, died, slow):
    found = await diagnose(Engines(*answers), STAGES, "s", 5, started, 0.1)
    assert (found.culprit, found.endpoint_died, found.slow) == (blame, died, slow)


async def test_probes_run_side_by_side(autojump_clock):
    since = trio.current_time()
    await diagnose(Engines("silent", "silent", "silent"), STAGES, "s", 5, True, 0.1)
    assert trio.current_time() - since == pytest.approx(0.1)
