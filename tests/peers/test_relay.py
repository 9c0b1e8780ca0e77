"""Relay messages: demand reports, also malformed ones, and other releases."""

import random
from pathlib import Path

import capnp
import pytest

from pistachioreach.errors import FrameError
from pistachioreach.peers import relay
from pistachioreach.peers.relay import (
    NO_OUTAGE,
    RelayMessage,
    TableProgress,
    decode_relay,
    encode_relay,
)
from pistachioreach.routing.demand import (
    MAX_AMOUNT,
    MAX_REPORTED_CLASSES,
    MAX_REPORTED_WORKSPACES,
    NO_DEMAND,
    DemandReport,
    Usage,
    WorkspaceUsage,
)
from pistachioreach.routing.engine_load import EngineLoad, LoadReport
from tests.platform_builders import demand_report

#: Load report that comes with the demand.
LOADS = LoadReport(3, {"a": EngineLoad(2, 800.0)})
#: Bytes a second of control traffic that an entry may use.
MAX_BYTES_PER_SECOND = 11_000
#: Reports a second that an entry gets from its parent.
REPORTS_PER_SECOND = 4


def transmit(demand):
    """Return the demand that a receiver decodes."""
    message = RelayMessage(LOADS._replace(demand=demand), {})
    return decode_relay(encode_relay(message)).loads.demand


def message_with(**columns):
    """Return an encoded message whose demand has some columns replaced."""
    fields = relay.encode_demand(demand_report(random.Random(1), 3, 2, 2))
    loads = {
        "entries": 1,
        "engines": "",
        "streams": [],
        "memory": [],
        "demand": fields | columns,
    }
    return relay.PLAIN + relay._schema.Relay.new_message(loads=loads).to_bytes_packed()


@pytest.mark.parametrize("others", [False, True])
@pytest.mark.parametrize("workspaces", [0, 1, 64])
def test_demand_is_decoded_as_it_was_sent(workspaces, others):
    demand = demand_report(random.Random(2), workspaces, others=others)
    assert transmit(demand) == demand


def test_message_without_demand_has_none():
    loads = {"entries": 1, "engines": "a", "streams": [1], "memory": [2.0]}
    raw = relay._schema.Relay.new_message(loads=loads).to_bytes_packed()
    report = decode_relay(relay.PLAIN + raw).loads
    assert report == LoadReport(1, {"a": EngineLoad(1, 2.0)}, NO_DEMAND)
    assert transmit(NO_DEMAND) is NO_DEMAND


def test_unchanged_columns_are_accepted():
    assert decode_relay(message_with()).loads.demand.workspaces


@pytest.mark.parametrize(
    "columns",
    [
        {"priorities": [0, 1, 2]},
        {"priorities": [1, 1]},
        {"runningStreams": [1]},
        {"runningTokens": [1.0, -1.0]},
        {"waitingTokens": [1.0, float("nan"), 1.0, 1.0]},
        {"waitingStreams": []},
        {"tiers": []},
        {"workspaces": "a\nb"},
        {"workspaces": ""},
        {"workspaces": "a\na\nb\n"},
        {"workspaceRunning": [float("inf"), 0.0, 0.0, 0.0]},
        {"workspaceWaiting": [2 * MAX_AMOUNT, 0.0, 0.0, 0.0]},
        {"workspaceRunning": [], "workspaceWaiting": []},
        {"domains": "a\na"},
        {"arrivals": [1.0]},
        {"arrivals": []},
        {"arrivals": [1.0, -0.5]},
        {"transfers": -1.0},
        {"transfers": float("nan")},
        {
            "workspaces": "\n".join(map(str, range(MAX_REPORTED_WORKSPACES + 1))),
            "workspaceRunning": [1.0] * (MAX_REPORTED_WORKSPACES + 1),
            "workspaceWaiting": [1.0] * (MAX_REPORTED_WORKSPACES + 1),
        },
        {
            "tiers": list(range(MAX_REPORTED_CLASSES + 1)),
            "waitingStreams": [1] * (MAX_REPORTED_CLASSES + 1),
            "waitingTokens": [1.0] * (MAX_REPORTED_CLASSES + 1),
        },
    ],
)
def test_malformed_columns_are_refused(columns):
    # Guards against a faulty sender whose amounts enter the sums of all entries.
    with pytest.raises(FrameError):
        decode_relay(message_with(**columns))


def test_amounts_beyond_the_range_are_sent_as_its_limit():
    # Guards against sums that the receiver refuses together with the whole message.
    usage, huge = Usage(2**40, 4 * MAX_AMOUNT), 4 * MAX_AMOUNT
    workspaces = {"a": WorkspaceUsage(huge, huge)}
    report = transmit(
        DemandReport({0: usage}, {1: usage}, workspaces, {"d": huge}, huge)
    )
    assert report.running == {0: Usage(2**32 - 1, MAX_AMOUNT)}
    assert report.transfers == MAX_AMOUNT
    assert report.workspaces == {"a": WorkspaceUsage(MAX_AMOUNT, MAX_AMOUNT)}


def test_largest_report_fits_the_control_traffic():
    # Guards against reports whose size grows with the number of workspaces. With names
    # of 36 characters it is 3.2 KB.
    empty = len(encode_relay(RelayMessage(LOADS, {})))
    full = LOADS._replace(demand=demand_report(random.Random(3), characters=24))
    size = len(encode_relay(RelayMessage(full, {}))) - empty
    assert REPORTS_PER_SECOND * size <= MAX_BYTES_PER_SECOND


@pytest.mark.parametrize("memory", [float("nan"), float("inf"), float("-inf"), -1.0])
def test_memory_that_is_no_amount_is_refused(memory):
    # Guards against a sum that is not a number, by which all streams failed.
    loads = {"entries": 1, "engines": "a", "streams": [1], "memory": [memory]}
    raw = relay._schema.Relay.new_message(loads=loads).to_bytes_packed()
    with pytest.raises(FrameError):
        decode_relay(relay.PLAIN + raw)


def test_loads_beyond_the_range_are_sent_as_its_limit():
    # Guards against an entry that can send no message while a report is too large.
    largest = EngineLoad(2**32 - 1, float(MAX_AMOUNT))
    too_large = LoadReport(2**32, {"a": EngineLoad(2**32, 1e300)})
    message = decode_relay(encode_relay(RelayMessage(too_large, {})))
    assert message.loads == LoadReport(2**32 - 1, {"a": largest})


def test_memory_beyond_the_range_is_read_as_its_limit():
    loads = {"entries": 1, "engines": "a", "streams": [1], "memory": [1e300]}
    raw = relay._schema.Relay.new_message(loads=loads).to_bytes_packed()
    report = decode_relay(relay.PLAIN + raw).loads
    assert report.loads["a"].memory == MAX_AMOUNT


def test_progress_of_an_earlier_release_states_no_outage():
    known = [{"table": "servers", "version": 7, "age": 0.5, "changed": 5, "era": 2}]
    raw = relay._schema.Relay.new_message(known=known).to_bytes_packed()
    progress = decode_relay(relay.PLAIN + raw).known["servers"]
    assert progress == TableProgress(7, 0.5, 5, 2, sound=False, outage=NO_OUTAGE)


def test_earlier_release_reads_progress_that_states_an_outage(tmp_path):
    # Guards against a message of this release that earlier ones refuse as a whole.
    text = Path(relay.__file__).with_name("relay.capnp").read_text()
    earlier = tmp_path / "earlier.capnp"
    identifier = text.split(";", 1)[0]
    text = text.replace(identifier, "@0xb7d0a45e91c3f286", 1)
    earlier.write_text(text.replace("  outage @6 :Int64 = -1;\n", ""))
    schema = capnp.load(str(earlier))
    progress = TableProgress(7, 0.5, 5, 2, sound=False, outage=6)
    raw = encode_relay(RelayMessage(None, {"servers": progress}))
    (known,) = schema.Relay.from_bytes_packed(raw[1:]).known
    assert (known.table, known.version, known.changed) == ("servers", 7, 5)
    assert not known.sound
    assert decode_relay(raw).known["servers"] == progress
