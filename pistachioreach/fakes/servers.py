"""Fakes of a whole deployment on loopback, with an HTTP interface to set faults."""

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

#: Faults of an engine, besides `STREAM_CORRUPTIONS`. The value 0 clears a lasting
#: fault and any other value sets the fault. For `slow`, the value is the factor on the
#: time per token, so that 1 clears the fault.
ENGINE_FAULTS = ("die", "revive", "silence", "stall", "refuse", "leave", "slow")
#: Faults of the platform. The value of `lose-answers` is the share of transactions
#: whose response is lost, from 0 to 1; the value of `delay` is in seconds.
PLATFORM_FAULTS = ("outage", "lose-answers", "delay")
#: Faults of a service. The value of `lose-answers` is the share of calls whose
#: response is lost, from 0 to 1; the value of `slow` is the time per call in seconds.
SERVICE_FAULTS = ("lose-answers", "slow")


class FaultBody(TypedDict):
    """Body of the request that sets or clears a fault.

    Attributes:
        target: Name of an endpoint or a service, or `platform`.
        fault: Name of the fault.
        value: Strength of the fault; 0 clears a lasting fault.
    """

    target: str
    fault: str
    value: float


class FakeServers:
    """Fake engines, services and platform of one manifest, on loopback sockets.

    Args:
        manifest: Manifest of the deployment to simulate.
        times: Service times of the engines.
        random: Random source that decides which responses are lost.
    """

    def __init__(
        self, manifest: ManifestDocument, times: EngineTimes, random: Random
    ) -> None:
        #: Manifest of the deployment to simulate.
        self.manifest = manifest
        #: Service times of the engines.
        self.engine_times = times
        #: Fake platform.
        self.platform = FakePlatform(random)
        #: Fake services by name.
        self.services = {
            service["name"]: FakeService(random) for service in manifest["services"]
        }
        #: Fake engines by name of their endpoint; a dead engine stays until revived.
        self.engines: dict[str, FakeEngine] = {}
        #: Connection pools by which engines call each other.
        self.connections = Connections()
        #: Nursery of the servers; None before `run`.
        self.nursery: trio.Nursery | None = None

    async def run(
        self,
        platform: Address,
        faults: Address,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Args:
            platform: Address on which the platform listens.
            faults: Address on which the interface to set faults listens.
            task_status: Reports the task as started once all servers are started.
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
        """Serve one engine until it dies.

        Args:
            endpoint: Endpoint of the engine.
            task_status: Reports the task as started once the server is started.
        """
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
        """Return the HTTP application that sets faults and reports counts."""

        async def post_fault(http: Request) -> JSONResponse:
            fault_body = msgspec.json.decode(await http.body(), type=FaultBody)
            problem = self.set_fault(
                fault_body["target"], fault_body["fault"], fault_body["value"]
            )
            if problem:
                return JSONResponse({"problem": problem}, 422)
            return JSONResponse({})

        async def get_counts(http: Request) -> JSONResponse:
            services = {
                name: len(fake.executions) for name, fake in self.services.items()
            }
            engines = {name: fake.opened_streams for name, fake in self.engines.items()}
            return JSONResponse({"services": services, "engines": engines})

        return Starlette(
            routes=[
                Route("/v1/faults", post_fault, methods=["POST"]),
                Route("/v1/counts", get_counts),
            ]
        )

    def set_fault(self, target: str, fault: str, value: float) -> str:
        """Set or clear a fault.

        Args:
            target: Name of an endpoint or a service, or `platform`.
            fault: Name of the fault.
            value: Strength of the fault; 0 clears a lasting fault.

        Returns:
            An error message if the target has no such fault, else the empty string.
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
        """Set or clear a fault of the platform, one of `PLATFORM_FAULTS`."""
        if fault == "outage":
            self.platform.down = bool(value)
        elif fault == "lose-answers":
            self.platform.lost_response_ratio = value
        else:
            self.platform.call_delay_seconds = value

    def set_engine_fault(self, target: str, fault: str, value: float) -> None:
        """Set or clear a fault of an engine.

        Args:
            target: Name of the engine's endpoint.
            fault: One of `ENGINE_FAULTS` or `STREAM_CORRUPTIONS`.
            value: Strength of the fault; 0 clears a lasting fault.
        """
        engine = self.engines[target]
        if fault == "die":
            engine.die()
        elif fault == "revive":
            endpoints = self.manifest["endpoints"]
            endpoint = next(
                candidate for candidate in endpoints if candidate["name"] == target
            )
            self.nursery.start_soon(self.run_engine, endpoint)
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
    """Parse the address of an endpoint, `host:port`."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


async def serve(app: Starlette, address: Address) -> None:
    """Serve an application on an address until cancelled."""
    listener = bind(address)
    await serve_app(app, listener, trio.sleep_forever, timedelta(0))
