"""Streams of an entry that is cut off, whose crashes are not certain."""

import trio

from tests.dispatch.test_relay import cut_off, receivers
from tests.dispatch.test_streams import StreamEntry
from tests.platform_builders import ScriptedResponse, events


async def test_entry_that_is_cut_off_relays_a_stream_whose_crashes_are_not_certain(
    autojump_clock,
):
    # Guards against streams that are held until their deadline, as the links of this
    # entry were lost one after the other: without links it finds no evidence.
    entry = cut_off(StreamEntry(ScriptedResponse(events(1, 3))))
    suspects = entry.deaths.suspects
    for engine in list(entry.directory.endpoints.values())[:2]:
        suspects.record_crash("request/f", engine)
    assert suspects.blocks_request("f")
    with trio.move_on_after(1.0):
        assert await entry.run() is None
    assert len(receivers(entry)) == 1
    assert entry.reply.data == events(1, 3)
