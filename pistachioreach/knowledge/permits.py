"""Permits for requests to endpoints that state a limit, as one entry obtains them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.errors import ConnectionFailed, FrameError
from pistachioreach.isolation import isolate_errors
from pistachioreach.knowledge.hierarchy import choose_by_hash
from pistachioreach.peers.permit import (
    PERMIT,
    PermitRequest,
    decode_permit,
    decode_permit_request,
    encode_permit,
    encode_permit_request,
)
from pistachioreach.peers.wire import REPLY, Frame
from pistachioreach.routing.rate_limits import Permit

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.knowledge.entries import KnownEntries
    from pistachioreach.peers.connection import PeerClient
    from pistachioreach.routing.rate_limits import PermitIssuer, StatedLimits

__all__ = ["Permits"]

#: Timeout in seconds of a request for a permit. Entries are within milliseconds.
REQUEST_TIMEOUT_SECONDS = 0.1
#: Maximum number of entries that are asked for one permit, each after the one before
#: could not be reached.
MAX_ISSUERS = 2
#: Seconds for which an entry that did not answer in time is not asked for permits. It
#: may only be slow, so that it does not count as unreachable for other purposes.
SILENT_SECONDS = 2.0
#: Seconds until a permit is requested again if no issuer was reached.
UNREACHED_WAIT_SECONDS = 0.25
#: Seconds for which a permit that was obtained may be used.
PERMIT_SECONDS = 1.0
#: Seconds without a message of any entry after which this entry counts as isolated.
ISOLATED_SECONDS = 2.0


class Permits:
    """Permits of one entry for requests to endpoints that state a limit.

    The issuer of an endpoint's permits is one of the entries, the same one at all
    entries that can reach it.

    Args:
        limits: Limits that the endpoints state.
        issuer: Issuer of the permits of endpoints that fall to this entry.
        entries: The other entries.
        peers: Client for requests to the other entries.
        incarnation: Identifier of this run of the entry's process.
        clock: Clock of all times.
    """

    def __init__(
        self,
        limits: StatedLimits,
        issuer: PermitIssuer,
        entries: KnownEntries,
        peers: PeerClient,
        incarnation: str,
        clock: Clock,
    ) -> None:
        #: Limits that the endpoints state.
        self.limits = limits
        #: Issuer of the permits of endpoints that fall to this entry.
        self.issuer = issuer
        #: The other entries.
        self.entries = entries
        #: Client for requests to the other entries.
        self.peers = peers
        #: Identifier of this run of the entry's process.
        self.incarnation = incarnation
        #: Clock of all times.
        self.clock = clock
        #: Monotonic time until which each unused permit holds, by run of the endpoint.
        self.held: dict[str, list[float]] = {}
        #: Monotonic time until which no permit is requested, by run of the endpoint.
        self.refused_until: dict[str, float] = {}
        #: Monotonic time until which an entry is not asked for permits, by its name.
        self.silent_until: dict[str, float] = {}
        #: Endpoints for which waiting requests need a permit.
        self.wanted: dict[str, Endpoint] = {}
        #: Set when an endpoint is added to these.
        self.wanted_added = trio.Event()
        #: Number of the last request.
        self.sequence = 0

    def needs_permit(self, endpoint: Endpoint) -> bool:
        """Return whether a request to an endpoint needs a permit that is not held."""
        if self.limits.limit(endpoint.run_id) is None:
            return False
        now = self.clock.monotonic()
        held = [until for until in self.held.get(endpoint.run_id, ()) if until > now]
        self.held[endpoint.run_id] = held
        return not held

    def refused(self, endpoint: Endpoint) -> bool:
        """Return whether a permit was refused that cannot be requested again yet."""
        until = self.refused_until.get(endpoint.run_id, float("-inf"))
        return self.needs_permit(endpoint) and self.clock.monotonic() < until

    def wait_seconds(self, endpoint: Endpoint) -> float:
        """Return the seconds until a permit for an endpoint may be requested."""
        if not self.refused(endpoint):
            return 0.0
        return self.refused_until[endpoint.run_id] - self.clock.monotonic()

    def use(self, endpoint: Endpoint) -> None:
        """Use up a permit for a request that is about to be sent to an endpoint."""
        if self.held.get(endpoint.run_id):
            self.held[endpoint.run_id].pop(0)

    async def obtain(self, endpoint: Endpoint) -> bool:
        """Obtain a permit for a request to an endpoint, if one is needed.

        Returns:
            Whether the request may be sent.
        """
        if not self.needs_permit(endpoint):
            return True
        if self.refused(endpoint):
            return False
        run = endpoint.run_id
        permit = await self.request(run, self.limits.limit(run))
        now = self.clock.monotonic()
        if permit.granted:
            self.held.setdefault(run, []).append(now + PERMIT_SECONDS)
        else:
            self.refused_until[run] = now + permit.wait_seconds
            logger.bind(
                endpoint=run,
                per_second=self.limits.limit(run),
                wait=round(permit.wait_seconds, 3),
            ).info("permit refused")
        return permit.granted

    async def request(self, run: str, per_second: float) -> Permit:
        """Request a permit from the issuer of an endpoint's permits.

        Args:
            run: Identifier of the run of the endpoint.
            per_second: Limit that the endpoint states.
        """
        own = self.entries.own_member
        for _ in range(MAX_ISSUERS):
            name = self.choose_issuer(run)
            if name == own.name:
                if self.is_isolated():
                    # Each of the other entries may issue permits as well.
                    per_second /= self.entries.registered_count()
                return self.issuer.issue(run, per_second, own.name)
            self.sequence += 1
            body = encode_permit_request(PermitRequest(run, per_second))
            frame = Frame(own.name, self.incarnation, self.sequence, PERMIT, body=body)
            try:
                reply = await self.peers.request(
                    self.entries.members[name], frame, REQUEST_TIMEOUT_SECONDS
                )
                return decode_permit(reply.body)
            except (ConnectionFailed, FrameError) as error:
                logger.bind(endpoint=run, entry=name, reason=str(error)).info(
                    "no answer to a request for a permit"
                )
                self.silent_until[name] = self.clock.monotonic() + SILENT_SECONDS
        return Permit(False, UNREACHED_WAIT_SECONDS)

    def choose_issuer(self, run: str) -> str:
        """Return the name of the entry that issues the permits of an endpoint.

        Args:
            run: Identifier of the run of the endpoint.
        """
        now = self.clock.monotonic()
        names = {
            name
            for name in self.entries.members
            if self.silent_until.get(name, now) <= now
            and self.entries.contacts.may_try(name)
        }
        return choose_by_hash(run, names | {self.entries.own_member.name})

    def is_isolated(self) -> bool:
        """Return whether no other entry was heard lately, though there are others."""
        contacts = self.entries.contacts
        return self.entries.registered_count() > 1 and not any(
            contacts.heard_within(name, ISOLATED_SECONDS)
            for name in contacts.last_heard
        )

    async def handle_frame(self, frame: Frame) -> Frame:
        """Answer the request of another entry for a permit.

        Raises:
            FrameError: The request is malformed.
        """
        request = decode_permit_request(frame.body)
        permit = self.issuer.issue(request.run, request.per_second, frame.sender)
        own = self.entries.own_member.name
        body = encode_permit(permit)
        return Frame(own, self.incarnation, frame.sequence, REPLY, body=body)

    def want(self, endpoint: Endpoint) -> None:
        """Have a permit requested for a request that waits to be sent."""
        if endpoint.run_id not in self.wanted:
            self.wanted[endpoint.run_id] = endpoint
            self.wanted_added.set()

    async def run(self) -> None:
        """Obtain the permits that waiting requests need, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.wanted_added.wait()
                self.wanted_added = trio.Event()
                for endpoint in self.wanted.values():
                    nursery.start_soon(self.obtain_isolated, endpoint)
                self.wanted.clear()

    async def obtain_isolated(self, endpoint: Endpoint) -> None:
        """Obtain a permit for waiting requests, whatever the issuer sends."""
        with isolate_errors("request for a permit", endpoint=endpoint.id):
            await self.obtain(endpoint)
