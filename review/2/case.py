"""A model server sends bytes that are no answer, without end, inside a stream."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

sys.path[:0] = [str(Path(__file__).resolve().parents[1])]

import rig  # noqa: E402

from pistachioreach.platform.standins.deployment import caller_fields  # noqa: E402
from pistachioreach.platform.standins.engine import (  # noqa: E402
    SIGNATURE,
    event_bytes,
)

#: Events of each stream, and the event after which the faulty server sends junk.
EVENTS, LAST_SOUND_EVENT = 60, 10
#: Seconds between two requests, and number of requests.
PACE_SECONDS, REQUESTS = 0.8, 50
#: Numbers of the requests during which one server is faulty.
FAULTY = range(15, 35)
#: What the faulty server sends in place of further events, again and again.
JUNK = b"<html>\n<body>502 Bad Gateway</body>\n</html>\n\n" * 20
#: Seconds between two pieces of that.
JUNK_SECONDS = 0.01
#: Seconds without a byte after which a client leaves a stream.
CLIENT_GAP_SECONDS = 2.0


def make_faulty(engine, state: dict, record: rig.Record) -> None:
    """Have an engine send junk in the streams that it heads while it is faulty."""
    sound = engine.stream

    async def stream(fields, body, send) -> None:
        request = fields[b"attempt-id"].decode()
        record.note(f"server {engine.id} runs {request}")
        if not state["faulty"] or b"last-event-id" in fields:
            await sound(fields, body, send)
            return
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"attempt-id", request.encode()),
            (b"response-seal", SIGNATURE),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for number in range(1, LAST_SOUND_EVENT + 1):
            event = event_bytes(number, body)
            await send({"type": "http.response.body", "body": event, "more_body": True})
            await trio.sleep(0.01)
        record.note(f"server {engine.id} sends junk in {request}")
        while True:
            await send({"type": "http.response.body", "body": JUNK, "more_body": True})
            await trio.sleep(JUNK_SECONDS)

    engine.stream = stream


async def run(record: rig.Record) -> int:
    """Run the case and return the exit status."""
    broken: list[str] = []
    served = 0
    async with trio.open_nursery() as nursery:
        deployment, routers = await rig.start_rig(nursery, 2, record)
        state = {"faulty": False}
        try:
            for engine in deployment.engines.values():
                engine.events = EVENTS

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
                    CLIENT_GAP_SECONDS,
                )
                whole = rig.whole_stream(EVENTS, body)
                foreign = answer.body.count(b"Bad Gateway")
                record.note(
                    f"client has {request}: {answer.status}, complete "
                    f"{answer.complete}, {len(answer.body)} bytes of {len(whole)}, "
                    f"{foreign} times junk {answer.failure}"
                )
                if answer.status != 200 or not answer.complete:
                    return
                served += 1
                if answer.body != whole:
                    broken.append(request)

            async with trio.open_nursery() as clients:
                for number in range(REQUESTS):
                    if number == FAULTY.start and rig.trouble_enabled():
                        # The server that heads most streams turns faulty.
                        engine = max(
                            deployment.engines.values(),
                            key=lambda engine: len(engine.chains),
                        )
                        make_faulty(engine, state, record)
                        state["faulty"] = True
                        record.note(f"server {engine.id} turns faulty")
                    if number == FAULTY.stop:
                        state["faulty"] = False
                    clients.start_soon(one, number)
                    await trio.sleep(PACE_SECONDS)
        finally:
            for router in routers:
                router.destroy()
            nursery.cancel_scope.cancel()
    record.note(f"{served} complete streams, of these broken: {broken}")
    print(f"{served} complete streams with 200, {len(broken)} with foreign bytes")
    if served < REQUESTS // 2:
        return rig.UNUSABLE
    return rig.BROKEN if broken else rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(run, Path(__file__).parent))
