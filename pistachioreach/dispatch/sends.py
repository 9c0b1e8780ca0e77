"""Check of a request's endpoints just before the request is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from pistachioreach.errors import EndpointLeft

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Directory, Endpoint

__all__ = ["check_send"]


def check_send(
    request: str, endpoints: Sequence[Endpoint], directory: Directory, clock: Clock
) -> Callable[[], None]:
    """Return a callback for the moment at which a request is about to be sent.

    A request may wait for a permit or a connection after its endpoints have been
    chosen, and the news of a leaving endpoint takes most of the time within which
    requests must stop. The callback keeps a request from each of the endpoints that is
    leaving, has been removed or has restarted by then.

    Args:
        request: Identifier of the request.
        endpoints: Endpoints that have just been chosen for the request.
        directory: Directory of the registered endpoints.
        clock: Clock of all times.

    Returns:
        The callback, which raises `EndpointLeft` if the request must not be sent.
    """
    chosen_at = clock.monotonic()

    def on_send() -> None:
        for endpoint in endpoints:
            registered = directory.endpoints.get(endpoint.id) is endpoint
            if registered and not endpoint.leaving:
                continue
            logger.bind(
                request=request,
                endpoint=endpoint.id,
                address=endpoint.registration.address,
                registered=registered,
                since_choice=round(clock.monotonic() - chosen_at, 4),
            ).info("request not sent: its endpoint has left")
            raise EndpointLeft(endpoint.id)

    return on_send
