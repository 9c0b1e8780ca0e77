"""Model servers hand out a wrong byte in the number of an event of a stream."""

from __future__ import annotations

import re
import sys
import zlib
from pathlib import Path

import trio

sys.path[:0] = [str(Path(__file__).resolve().parents[1])]

import rig  # noqa: E402

from pistachioreach.platform.standins.deployment import caller_fields  # noqa: E402
from pistachioreach.platform.standins.engine import (  # noqa: E402
    SIGNATURE,
    event_bytes,
)

#: Events of each stream, and events that a server writes at a time.
EVENTS, EVENTS_PER_WRITE = 60, 3
#: Seconds between two writes of a server.
WRITE_SECONDS = 0.03
#: Seconds between two requests, and number of requests.
PACE_SECONDS, REQUESTS = 0.1, 420
#: Seconds after the first request in which servers are faulty.
FAULTY_SECONDS = ((5.0, 11.0), (17.0, 23.0), (29.0, 35.0))
#: One in so many answers of a faulty server has a wrong byte.
ONE_IN = 20
#: Share of the servers that are faulty.
FAULTY_SHARE = 0.6
#: Number of the event that has the wrong byte; the last one of a write.
WRONG_EVENT = 30


def in_faulty_time(started_at: float) -> bool:
    """Return whether servers are faulty now.

    Args:
        started_at: Time of the first request.
    """
    seconds = trio.current_time() - started_at
    return any(first <= seconds < last for first, last in FAULTY_SECONDS)


def write_in_groups(
    engine, may_fail: bool, started_at: float, record: rig.Record
) -> None:
    """Have an engine write several events at a time, with a wrong byte if faulty."""

    async def stream(fields, body, send) -> None:
        request = fields[b"attempt-id"].decode()
        if fields.get(b"expect-instance", b"").decode() != engine.id:
            await send({"type": "http.response.start", "status": 421, "headers": []})
            await send({"type": "http.response.body", "body": b"", "more_body": False})
            return
        after = int(fields.get(b"last-event-id", b"0"))
        record.note(f"server {engine.id} runs {request} after event {after}")
        wrong = may_fail and in_faulty_time(started_at) and after == 0
        wrong = wrong and not zlib.crc32(request.encode()) % ONE_IN
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"attempt-id", request.encode()),
            (b"response-seal", SIGNATURE),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        number = after + 1
        while number <= EVENTS:
            data = b""
            for _ in range(EVENTS_PER_WRITE):
                if number <= EVENTS:
                    event = event_bytes(number, body)
                    if wrong and number == WRONG_EVENT:
                        record.note(f"server {engine.id} garbles event in {request}")
                        event = event.replace(b"id: 30", b"id: 3?", 1)
                    data += event
                    number += 1
            await send({"type": "http.response.body", "body": data, "more_body": True})
            await trio.sleep(WRITE_SECONDS)
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    engine.stream = stream


def event_numbers(body: bytes) -> list[int]:
    """Return the numbers of the events of a stream, in order."""
    return [int(number) for number in re.findall(rb"(?m)^id: (\d+)$", body)]


async def run(record: rig.Record) -> int:
    """Run the case and return the exit status."""
    broken: list[str] = []
    served = 0
    async with trio.open_nursery() as nursery:
        deployment, routers = await rig.start_rig(nursery, 3, record)
        try:
            engines = sorted(deployment.engines.values(), key=lambda engine: engine.id)
            started_at = trio.current_time()
            for number, engine in enumerate(engines):
                may_fail = number % 10 < FAULTY_SHARE * 10 and rig.trouble_enabled()
                write_in_groups(engine, may_fail, started_at, record)

            async def one(number: int) -> None:
                nonlocal served
                request, body = f"{number:016x}", rig.stream_body(number)
                record.note(f"client sends {request}")
                answer = await rig.send_request(
                    routers[number % len(routers)].front,
                    "POST",
                    "/plans/a",
                    caller_fields(request, body),
                    body,
                    20.0,
                    2.0,
                )
                numbers = event_numbers(answer.body)
                missing = sorted(set(range(1, EVENTS + 1)) - set(numbers))
                record.note(
                    f"client has {request}: {answer.status}, complete "
                    f"{answer.complete}, {len(numbers)} events, missing {missing} "
                    f"{answer.failure}"
                )
                if answer.status != 200 or not answer.complete:
                    return
                served += 1
                if numbers != list(range(1, EVENTS + 1)):
                    broken.append(request)

            async with trio.open_nursery() as clients:
                for number in range(REQUESTS):
                    clients.start_soon(one, number)
                    await trio.sleep(PACE_SECONDS)
        finally:
            for router in routers:
                router.destroy()
            nursery.cancel_scope.cancel()
    record.note(f"{served} complete streams, of these broken: {broken}")
    print(f"{served} complete streams with 200, {len(broken)} without all events")
    if served < REQUESTS // 2:
        return rig.UNUSABLE
    return rig.BROKEN if broken else rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(run, Path(__file__).parent))
