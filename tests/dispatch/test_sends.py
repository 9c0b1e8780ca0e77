"""Check of a request's endpoints just before the request is sent."""

import pytest

from pistachioreach.dispatch.sends import check_send
from pistachioreach.endpoints.directory import Directory
from pistachioreach.errors import EndpointLeft
from tests.platform_builders import FakeClock, endpoint


def state_leaving(directory, chosen):
    chosen.states_leaving = True


def register_as_leaving(directory, chosen):
    directory.register(chosen.registration._replace(leaving=True))


def remove(directory, chosen):
    directory.remove(chosen.id, "test")


def restart(directory, chosen):
    directory.register(chosen.registration._replace(started_ms=2))


@pytest.mark.parametrize("leave", [state_leaving, register_as_leaving, remove, restart])
def test_request_to_an_endpoint_that_left_since_the_choice_is_not_sent(
    leave, log_lines
):
    clock, directory = FakeClock(), Directory()
    for id in ("e0", "e1"):
        directory.register(endpoint(id).registration)
    stays, leaves = directory.endpoints.values()
    on_send = check_send("r1", [stays, leaves], directory, clock)
    on_send()
    assert "request not sent" not in str([line["message"] for line in log_lines])
    clock.advance(0.5)
    leave(directory, leaves)
    with pytest.raises(EndpointLeft, match="e1"):
        on_send()
    last = log_lines[-1]
    assert last["message"] == "request not sent: its endpoint has left"
    assert last["extra"]["request"] == "r1"
    assert last["extra"]["endpoint"] == "e1"
    assert last["extra"]["since_choice"] == 0.5
    assert last["extra"]["registered"] == (leave not in (remove, restart))
