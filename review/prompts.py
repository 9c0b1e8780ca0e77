"""Traffic for the cases in which a part of prompts crashes engines.

Prompts have three parts: two that other prompts share, and one of their own. Sound
prompts begin with one first part, prompts that crash engines with another. The second
part is the same in both.
"""

from __future__ import annotations

import os
import random

import trio

from pistachioreach.platform.standins.engine import StandInEngine
from review.stage import KEY, RouterProcess, Stage, request

__all__ = ["CrashingEngine", "sound_requests_begin"]

#: Whether the disruption happens.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: Kind of accelerator, zone and number of the engines.
FLEET = (
    ("a100", "urubamba", 6),
    ("a100", "anta", 6),
    ("l40s", "urubamba", 6),
    ("l40s", "anta", 6),
)
ROUTERS = 7
#: Seconds between the requests of the batch that first holds the part.
BATCH_SECONDS = 0.01
#: Number of events of a stream; one is sent each 10 ms.
EVENTS = 60
#: First part of the prompts that crash engines, that of sound ones, the shared second.
CRASHING_PART, SOUND_PART, SECOND_PART = "b0b0b0b0", "a0a0a0a0", "c0c0c0c0"
#: Sound requests a second, and requests a second that crash engines.
SOUND_RATE, CRASHING_RATE = 8.0, 4.0
#: Seconds before the first request that crashes engines, and with such requests.
QUIET_SECONDS, CRASH_SECONDS = 8.0, 30.0
#: `contact-ms` of the deployment, in seconds.
CONTACT_SECONDS = 3.0
#: Crash from which the rule counts.
COUNTED_CRASH = 5
#: Smallest number of sound requests that the rule counts.
LEAST_REQUESTS = 20


class CrashingEngine(StandInEngine):
    """Engine that crashes as it begins to write an answer on one part of prompts."""

    #: The stage, which is set before the first start.
    stage: Stage
    #: Requests that began on any engine.
    begun: set[str] = set()
    #: Times of the crashes.
    crashes: list[float] = []

    def crash(self) -> None:
        """Crash: the connections end, and nothing listens until the engine is back."""
        self.stage.crash(self)

    async def stream(self, fields, body, send) -> None:
        """Run a request, or crash."""
        id = fields[b"attempt-id"].decode()
        if fields.get(b"expect-instance", b"").decode() == self.id:
            self.begun.add(id)
            if CRASHING_PART in fields.get(b"prefix-hash", b"").decode():
                self.crashes.append(trio.current_time())
                self.stage.record.note(f"{self.id} begins to answer {id} and crashes")
                self.crash()
                await trio.sleep_forever()
        await super().stream(fields, body, send)


async def sound_requests_begin(
    stage: Stage, engine_class: type[CrashingEngine], batch: int
) -> bool:
    """Return whether sound requests still begin half as often as before.

    Args:
        stage: The stage.
        engine_class: Class of the engines.
        batch: Number of the first requests that crash engines, which come at once.
    """
    CrashingEngine.stage = stage
    rng = random.Random()
    await stage.start(ROUTERS, EVENTS, FLEET, engine_class)
    await stage.wait_ready()
    sound: list[tuple[float, str]] = []

    async def send(first_part: str, router: RouterProcess) -> None:
        id = f"{rng.getrandbits(64):016x}"
        kind = "sound" if first_part == SOUND_PART else "crashing"
        if first_part == SOUND_PART:
            sound.append((trio.current_time(), id))
        body = f'{{"prompt": "{id}"}}'.encode()
        fields = [
            ("Host", "crews.example"),
            ("Attempt-Id", id),
            ("Deadline-Ms", "20000"),
            ("Authorization", f"Token {KEY}"),
            ("Model", "m"),
            ("Token-Usage", "440,180"),
            ("Prefix-Hash", f"{first_part}:40,{SECOND_PART}:300,{id[:8]}:100"),
            ("Content-Length", str(len(body))),
        ]
        answer = "no answer"
        try:
            with trio.move_on_after(20):
                status, _ = await request(
                    router.host, router.front, "POST", "/plans/x", fields, body
                )
                answer = str(status)
        except (EOFError, OSError, trio.BrokenResourceError) as error:
            answer = repr(error)
        run = "began" if id in CrashingEngine.begun else "did not begin"
        stage.record.note(f"{kind} {id} at {router.name}: {answer}, {run}")

    async def send_steadily(first_part: str, rate: float) -> None:
        while True:
            nursery.start_soon(send, first_part, rng.choice(stage.routers))
            await trio.sleep(rng.expovariate(rate))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_steadily, SOUND_PART, SOUND_RATE)
        await trio.sleep(QUIET_SECONDS)
        began_at = trio.current_time()
        if TROUBLE:
            for number in range(batch):
                router = stage.routers[number % ROUTERS]
                nursery.start_soon(send, CRASHING_PART, router)
                await trio.sleep(BATCH_SECONDS)
            nursery.start_soon(send_steadily, CRASHING_PART, CRASHING_RATE)
        await trio.sleep(CRASH_SECONDS)
        nursery.cancel_scope.cancel()
    counted = [began_at, *CrashingEngine.crashes[:COUNTED_CRASH]][-1]
    # A request of the last second may not have begun yet.
    ended_at = trio.current_time() - 1.0

    def count(first: float, last: float) -> tuple[int, int]:
        ids = [id for at, id in sound if first <= at < last]
        return sum(id in CrashingEngine.begun for id in ids), len(ids)

    before = count(0.0, began_at)
    after = count(counted + 2 * CONTACT_SECONDS, ended_at)
    stage.record.note(
        f"{len(CrashingEngine.crashes)} crashes; sound requests that began: "
        f"{before[0]} of {before[1]} before, {after[0]} of {after[1]} from "
        f"{2 * CONTACT_SECONDS:g} s after the last counted crash on"
    )
    if min(before[1], after[1]) < LEAST_REQUESTS:
        raise OSError("too few sound requests")
    return after[0] / after[1] >= 0.5 * before[0] / before[1]
