"""Stand-ins of a whole deployment on loopback, with faults on demand."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, TypedDict

import msgspec
import trio
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.engine import HttpEngineClient
from pistachioreach.fakes.engine import EngineTimes, FakeEngine
from pistachioreach.fakes.faults import STREAM_CORRUPTIONS
from pistachioreach.fakes.http import engine_app, platform_app, service_app
from pistachioreach.fakes.platform import FakePlatform
from pistachioreach.fakes.service import FakeService
from pistachioreach.server import bind, serve_app
from pistachioreach.settings import Address

if TYPE_CHECKING:
    from random import Random

    from starlette.requests import Request

    from pistachioreach.manifest import EndpointDocument, ManifestDocument

__all__ = ["ENGINE_FAULTS", "PLATFORM_FAULTS", "FakeServers", "FaultBody"]

#: Faults of an engine. A value other than 0 sets a lasting one, 0 clears it;
#: for `slow` the value is the factor on the time of a token.
ENGINE_FAULTS = ("die", "revive", "silence", "stall", "refuse", "leave", "slow")
#: Faults of the platform. `lose-answers` takes a share from 0 to 1.
PLATFORM_FAULTS = ("outage", "lose-answers", "delay")
#: Faults of a service.
SERVICE_FAULTS = ("lose-answers", "slow")


class FaultBody(TypedDict):
    """A fault to set.

    Attributes:
        target: Name of an endpoint or a service, or `platform`.
        fault: Name of the fault.
        value: Its strength; 0 clears a lasting fault.
    """

    target: str
    fault: str
    value: float


class FakeServers:
    """Engines, services and platform of one manifest.

    Args:
        manifest: The deployment to stand in for.
        times: Service times of the engines.
        random: Source of the lost answers.
    """

    def __init__(
        self, manifest: ManifestDocument, times: EngineTimes, random: Random
    ) -> None:
        #: The deployment to stand in for.
        self.manifest = manifest
        #: Service times of the engines.
        self.engine_times = times
        #: The platform.
        self.platform = FakePlatform(random)
        #: Services by name.
        self.services = {
            service["name"]: FakeService(random) for service in manifest["services"]
        }
        #: Engines by name of the endpoint; a dead one stays until revived.
        self.engines: dict[str, FakeEngine] = {}
        #: Pools by which engines reach each other.
        self.connections = Connections()
        #: Runs the servers.
        self.nursery: trio.Nursery | None = None

    async def run(
        self,
        platform: Address,
        faults: Address,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Args:
            platform: Where the platform listens.
            faults: Where faults can be set.
            task_status: Started once everything listens.
        """
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(serve, platform_app(self.platform), platform)
            nursery.start_soon(serve, self.faults_app(), faults)
            for service in self.manifest["services"]:
                fake = self.services[service["name"]]
                for server in service["endpoints"]:
                    app = service_app(fake, server["name"])
                    address = parse_endpoint_address(server["address"])
                    nursery.start_soon(serve, app, address)
            for endpoint in self.manifest["endpoints"]:
                await nursery.start(self.run_engine, endpoint)
            task_status.started()

    async def run_engine(
        self,
        endpoint: EndpointDocument,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve one engine until it dies."""
        client = HttpEngineClient(self.connections)
        async with trio.open_nursery() as nursery:
            engine = FakeEngine(
                endpoint["name"],
                endpoint["concurrency"],
                self.engine_times,
                client,
                nursery,
            )
            self.engines[endpoint["name"]] = engine
            address = parse_endpoint_address(endpoint["address"])
            nursery.start_soon(serve, engine_app(engine), address)
            task_status.started()
            await engine.wait_until_stopped()

    def faults_app(self) -> Starlette:
        """Return the application by which faults are set."""

        async def set_fault(http: Request) -> JSONResponse:
            body = msgspec.json.decode(await http.body(), type=FaultBody)
            problem = self.set_fault(body["target"], body["fault"], body["value"])
            if problem:
                return JSONResponse({"problem": problem}, 422)
            return JSONResponse({})

        async def counts(http: Request) -> JSONResponse:
            services = {
                name: len(fake.executions) for name, fake in self.services.items()
            }
            engines = {name: fake.opened_streams for name, fake in self.engines.items()}
            return JSONResponse({"services": services, "engines": engines})

        return Starlette(
            routes=[
                Route("/v1/faults", set_fault, methods=["POST"]),
                Route("/v1/counts", counts),
            ]
        )

    def set_fault(self, target: str, fault: str, value: float) -> str:
        """Set or clear a fault.

        Returns:
            What is wrong with the arguments, or the empty string.
        """
        if target == "platform" and fault in PLATFORM_FAULTS:
            self.set_platform_fault(fault, value)
            return ""
        if target in self.services and fault in SERVICE_FAULTS:
            service = self.services[target]
            if fault == "slow":
                service.call_seconds = value
            else:
                service.lost_response_ratio = value
            return ""
        if target in self.engines and fault in ENGINE_FAULTS + STREAM_CORRUPTIONS:
            self.set_engine_fault(target, fault, value)
            return ""
        return f"target '{target}' has no fault '{fault}'"

    def set_platform_fault(self, fault: str, value: float) -> None:
        """Set or clear a fault of the platform."""
        if fault == "outage":
            self.platform.down = bool(value)
        elif fault == "lose-answers":
            self.platform.lost_response_ratio = value
        else:
            self.platform.call_delay_seconds = value

    def set_engine_fault(self, target: str, fault: str, value: float) -> None:
        """Set or clear a fault of an engine."""
        engine = self.engines[target]
        if fault == "die":
            engine.die()
        elif fault == "revive":
            documents = self.manifest["endpoints"]
            document = next(doc for doc in documents if doc["name"] == target)
            self.nursery.start_soon(self.run_engine, document)
        elif fault == "silence":
            engine.faults.silence_connections()
        elif fault == "slow":
            engine.faults.slow_factor = value
        elif fault in STREAM_CORRUPTIONS:
            engine.faults.corruption = fault if value else None
        else:
            fields = {"stall": "stalled", "refuse": "refusing", "leave": "leaving"}
            setattr(engine.faults, fields[fault], bool(value))


def parse_endpoint_address(text: str) -> Address:
    """Return the address that a manifest holds."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


async def serve(app: Starlette, address: Address) -> None:
    """Serve an application until cancelled."""
    listener = bind(address)
    await serve_app(app, listener, trio.sleep_forever, timedelta(0))
