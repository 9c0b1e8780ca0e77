"""Requests that state that another entry has sent them, with and without a proof."""

import pytest
import trio

from pistachioreach.platform.relay_proof import relay_field
from pistachioreach.platform.standins.deployment import KEY
from pistachioreach.platform.standins.endpoint import BY_STATEMENT
from tests.links import Link
from tests.test_partitioned_entry import CONTACT_SECONDS, ask_many
from tests.test_router import ask

#: Values of the field that a caller may send, for the request `b`.
UNPROVEN = {
    "none": "entry-1",
    "empty": "",
    "another key": relay_field("entry-1", "b", b"another-key-of-16").decode(),
    "another request": relay_field("entry-1", "a", KEY.encode()).decode(),
    "another entry": "entry-2 "
    + relay_field("entry-1", "b", KEY.encode()).decode().rpartition(" ")[2],
}
PROVEN = relay_field("entry-1", "b", KEY.encode()).decode()


@pytest.fixture
async def partitioned(deployment):
    """A router that is cut off from all endpoints and knows it."""
    first, _ = deployment.routers
    Link(first, deployment.engines | deployment.services).cut("refuse")
    await ask_many(first, 4, "early")
    await trio.sleep(CONTACT_SECONDS)
    return first


async def test_request_without_proof_is_served_as_one_of_a_caller(partitioned):
    # Guards against callers who are refused because they send the field themselves.
    for value in UNPROVEN.values():
        status, _, _ = await ask(partitioned, "/bookings/x", "b", relayed_by=value)
        assert status == 200
    assert (await ask(partitioned, "/bookings/x", "b", relayed_by=PROVEN))[0] == 421


async def test_request_without_proof_counts_for_the_retry_limit(deployment):
    router = deployment.routers[0]
    counted = router.retry_limit.first_attempts
    before = len(counted.get("bookings", ()))
    assert (await ask(router, "/bookings/x", "b", relayed_by=PROVEN))[0] == 200
    assert len(counted.get("bookings", ())) == before
    for value in UNPROVEN.values():
        assert (await ask(router, "/bookings/x", "b", relayed_by=value))[0] == 200
    assert len(counted["bookings"]) == before + len(UNPROVEN)


async def test_entry_that_does_not_know_the_proof_still_serves(
    partitioned, deployment, monkeypatch
):
    # Guards against callers who are refused beside an entry of an earlier release.
    other = deployment.routers[1]
    monkeypatch.setattr(other.gateway, "keys", ())
    answers = await ask_many(partitioned, 8, "late")
    assert [status for status, _ in answers.values()] == [200] * 8


async def test_probe_finds_out_which_entry_is_cut_off(partitioned, deployment):
    # Guards against a probe without proof, which any entry seems to accept.
    other = deployment.routers[1]
    members = other.platform_view.members
    assert await partitioned.relay.accepts_requests(members[other.settings.name])
    assert not await other.relay.accepts_requests(members[partitioned.settings.name])


async def test_entry_knows_at_once_who_left_by_an_answer_of_another_entry(
    partitioned, deployment, monkeypatch
):
    # Guards against calls to the endpoint if the other entry ends before it tells all.
    other = deployment.routers[1]
    monkeypatch.setattr(other.platform_view.directory, "leaving_runs", lambda: ())
    for service in deployment.services.values():
        service.leaving = BY_STATEMENT
    status, fields, _ = await ask(partitioned, "/bookings/x", "b")
    assert status == 200
    assert dict(fields)[b"server-leaving"] == b"1"
    assert b"leaving-run" not in dict(fields)
    (service,) = [s for s in deployment.services.values() if "b" in s.runs]
    assert partitioned.platform_view.directory.endpoints[service.id].leaving
