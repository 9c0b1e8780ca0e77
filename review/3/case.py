"""A model server hands out wrong bytes in its report."""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec
import trio

sys.path[:0] = [str(Path(__file__).resolve().parents[1])]

import rig  # noqa: E402

from pistachioreach.platform.standins.deployment import caller_fields  # noqa: E402
from pistachioreach.platform.standins.engine import StandInEngine  # noqa: E402

#: Clients of each router, and requests of each client.
CLIENTS_PER_ROUTER, REQUESTS = 8, 70
#: Seconds that a booking takes at its server, and seconds between an answer and the
#: next request of the client.
WORK_SECONDS, PAUSE_SECONDS = 0.15, 0.15
#: Seconds after the first request at which an empty server is added.
ADDED_SECONDS = 4.0
#: Seconds for which the answers of that server hold wrong bytes.
FAULTY_SECONDS = 6.75
#: Seconds after which the platform starts a process again that has ended.
RESTART_SECONDS = 0.5
#: Requests that a machine may pass on to a sound server and not answer.
ALLOWED_LOST = 3


class FaultyEngine(StandInEngine):
    """Engine whose report holds wrong bytes for some time.

    It has begun one order before, so that it refuses the first one of a placer, who
    then asks for its report.
    """

    faulty_until = 0.0
    record: rig.Record

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "http" and scope["path"] == "/report":
            faulty = trio.current_time() < self.faulty_until
            document = msgspec.json.encode(self.report())
            if faulty:
                # A run of one digit in place of a number.
                document = document.replace(
                    b'"kv-used":0', b'"kv-used":' + b"1" * 400, 1
                )
            self.record.note(f"server {self.id} is asked for its report: {faulty}")
            fields = [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(document)).encode()),
            ]
            await send(
                {"type": "http.response.start", "status": 200, "headers": fields}
            )
            await send({"type": "http.response.body", "body": document})
            return
        await super().__call__(scope, receive, send)


def work_for_some_time(service) -> None:
    """Have an endpoint of the plain service take some time for each request."""
    answer = service.__class__.__call__

    class SlowService(service.__class__):
        """Endpoint that answers after some time."""

        async def __call__(self, scope, receive, send) -> None:
            """Serve one ASGI scope."""

            async def send_later(message) -> None:
                if message["type"] == "http.response.start":
                    await trio.sleep(WORK_SECONDS)
                await send(message)

            await answer(
                self, scope, receive, send_later if scope["type"] == "http" else send
            )

    service.__class__ = SlowService


async def run(record: rig.Record) -> int:
    """Run the case and return the exit status."""
    lost: list[str] = []
    ends: list[str] = []
    served = 0
    async with trio.open_nursery() as nursery:
        deployment, routers = await rig.start_rig(nursery, 3, record)
        try:
            for service in deployment.services.values():
                work_for_some_time(service)

            async def add_server() -> None:
                await trio.sleep(ADDED_SECONDS)
                engine = FaultyEngine("i-added", "a100", "anta", deployment.engines)
                engine.order_count, engine.record = 1, record
                if rig.trouble_enabled():
                    engine.faulty_until = trio.current_time() + FAULTY_SECONDS
                deployment.engines[deployment.listen(engine)] = engine
                record.note("an empty server is added")

            async def restart_ended(number: int) -> None:
                while True:
                    await trio.sleep(0.02)
                    status = routers[number].process.poll()
                    if status is not None:
                        record.note(f"router {number} has ended with {status}")
                        ends.append(f"{number}: {status}")
                        await trio.sleep(RESTART_SECONDS)
                        routers[number].start()

            async def client(number: int, taker: int) -> None:
                """Send bookings on one kept connection after the other."""
                nonlocal served
                connection = rig.KeptConnection(routers[taker].front)
                for count in range(REQUESTS):
                    request = f"{number:08x}{count:08x}"
                    body = rig.stream_body(number * REQUESTS + count)
                    fields = caller_fields(request, body)
                    was_kept = connection.stream is not None
                    record.note(f"client {number} sends {request} to router {taker}")
                    try:
                        answer = await connection.send(
                            "POST", "/bookings/a", fields, body
                        )
                    except OSError as error:
                        record.note(f"client {number}: no connection: {error!r}")
                        await trio.sleep(PAUSE_SECONDS)
                        continue
                    runs = sum(
                        service.runs.get(request, 0)
                        for service in deployment.services.values()
                    )
                    record.note(
                        f"client {number} has {request} from router {taker}: "
                        f"{answer.status}, complete {answer.complete}, runs {runs} "
                        f"{answer.failure}"
                    )
                    served += answer.complete and answer.status == 200
                    if was_kept and answer.status is None and runs:
                        lost.append(request)
                    await trio.sleep(PAUSE_SECONDS)

            for number in range(len(routers)):
                nursery.start_soon(restart_ended, number)
            nursery.start_soon(add_server)
            async with trio.open_nursery() as clients:
                for number in range(CLIENTS_PER_ROUTER * len(routers)):
                    clients.start_soon(client, number, number % len(routers))
                    await trio.sleep(PAUSE_SECONDS / 3)
        finally:
            nursery.cancel_scope.cancel()
            for router in routers:
                router.destroy()
    record.note(f"{served} served; ended by themselves: {ends}; lost: {lost}")
    print(f"{served} served, {len(lost)} passed on and cut off, ends: {ends}")
    if served < REQUESTS:
        return rig.UNUSABLE
    return rig.BROKEN if ends and len(lost) > ALLOWED_LOST else rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(run, Path(__file__).parent))
