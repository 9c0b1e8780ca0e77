"""The product's own interface on connections on which an endpoint repeats an answer."""

import pytest

from pistachioreach.endpoints.connections import Connections
from pistachioreach.endpoints.service import HttpServiceClient, ServiceCall
from tests.platform_builders import StutteringServer, answer_bytes


@pytest.mark.parametrize("status", [200, 404])
async def test_second_outcome_of_a_call_is_not_the_outcome_of_another(nursery, status):
    server = StutteringServer(answer_bytes(200, b"first"), answer_bytes(status, b"own"))
    await server.start(nursery)
    client = HttpServiceClient(Connections())
    first, second = (
        ServiceCall("s", server.address, "/outcomes/book", f"crews.{key}", b"")
        for key in ("1", "2")
    )
    assert (await client.look_up(first)).body == b"first"
    found = await client.look_up(second)
    assert (found and found.body) == (b"own" if status == 200 else None)
