"""Log of requests that are sent to endpoints which have left since they were chosen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pistachioreach.clock import Clock
    from pistachioreach.endpoints.directory import Directory, Endpoint

__all__ = ["observe_send"]


def observe_send(
    request: str, endpoints: Sequence[Endpoint], directory: Directory, clock: Clock
) -> Callable[[], None]:
    """Return a callback for the moment at which a request is sent.

    The callback logs each of the endpoints that is leaving, or has been removed, by
    then. A request may wait for a connection after its endpoints have been chosen.

    Args:
        request: Identifier of the request.
        endpoints: Endpoints that have just been chosen for the request.
        directory: Directory of the registered endpoints.
        clock: Clock of all times.
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
            ).warning("request sent to an endpoint that is leaving")

    return on_send
