"""Entries on loopback sockets: replacement under load, frames with a wrong key."""

from __future__ import annotations

import pytest
import trio

from pistachioreach.callers.client import Caller, Prompt
from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from pistachioreach.fakes.deployment import DEMO_CREDENTIAL
from pistachioreach.fakes.engine import EngineTimes, expected_answer
from pistachioreach.node import Node
from pistachioreach.peers.connection import TcpPeerClient
from tests.builders import KEY, entry_settings, make_loopback

SLOW_TIMES = EngineTimes(token_seconds=0.005)


async def read_answers(addresses, answers, running):
    """Read answers until `running[0]` is false.

    The list of addresses stands in for the balancer: each answer is read through the
    entry that is listed first at that time.
    """
    connections = Connections()
    while running[0]:
        text = f"plan {len(answers)}"
        caller = Caller(connections, list(addresses), "crews", DEMO_CREDENTIAL)
        answer = await caller.generate(Prompt("clearance", text, 40))
        answers.append((text, answer))
    await connections.close()


async def test_replacing_every_entry_under_load_interrupts_no_answer():
    async with make_loopback(entries=3, times=SLOW_TIMES) as loopback:
        addresses = loopback.addresses()
        answers = []
        running = [True]
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(read_answers, addresses, answers, running)
            for number, node in enumerate(list(loopback.nodes)):
                settings = entry_settings(node.settings.platform, f"new-{number}")
                replacement = Node(settings)
                await nursery.start(replacement.run)
                with trio.fail_after(20):
                    while not replacement.agreement.may_admit():
                        await trio.sleep(0.02)
                    addresses[number] = f"127.0.0.1:{replacement.port}"
                    node.stop()
                    while node.agreement.is_member():
                        await trio.sleep(0.02)
                loopback.nodes.append(replacement)
            running[0] = False
            with trio.fail_after(20):
                last = loopback.nodes[-1].agreement
                names = {"new-0", "new-1", "new-2"}
                while {member.name for member in last.roster} != names:
                    await trio.sleep(0.02)
            for node in loopback.nodes[3:]:
                node.stop()
        assert len(answers) > 10
        for text, answer in answers:
            # A draining entry may refuse a request before any part of it runs.
            if answer.problem is not None:
                assert answer.problem["type"].endswith("draining")
                assert answer.problem["verdict"] == "not-run"
                continue
            assert answer.tokens == expected_answer(text, 40)
            assert answer.connections == 1


async def send_frame(node, keys, frame=None):
    client = TcpPeerClient(keys)
    agreement = node.agreement
    frame = frame or agreement.make_frame("poll")
    try:
        return await client.request(agreement.member, frame)
    finally:
        await client.close()


async def test_frames_with_an_unknown_key_change_nothing():
    async with make_loopback() as loopback:
        node = loopback.nodes[0]
        before = node.status()["version"]
        frame = node.agreement.make_frame("commit")._replace(committed=99)
        with pytest.raises(ConnectionFailed):
            await send_frame(node, (b"a-key-of-a-stranger",), frame)
        assert node.status()["version"] == before
        assert node.agreement.reported_version == 0
        assert node.agreement.may_admit()


async def test_both_keys_are_valid_during_a_key_rotation():
    async with make_loopback(apply=False) as loopback:
        node = loopback.nodes[0]
        node.settings = node.settings._replace(keys=(KEY, b"the-next-key-of-all"))
        reply = await send_frame(node, (KEY,))
        assert reply.sender == node.entry.name
        # A client that uses the new key accepts answers that use the old key.
        reply = await send_frame(node, (b"the-next-key-of-all", KEY))
        assert reply.sender == node.entry.name


async def test_a_closed_peer_connection_is_replaced_at_once():
    async with make_loopback() as loopback:
        node = loopback.nodes[0]
        client = TcpPeerClient((KEY,))
        member = node.agreement.member
        await client.request(member, node.agreement.make_frame("poll"))
        frames = next(iter(client.streams.values()))
        await frames.stream.send_eof()
        await trio.sleep(0.05)
        reply = await client.request(member, node.agreement.make_frame("poll"))
        assert reply.sender == node.entry.name
        await client.close()
