"""`pistachioreach-fakes`: stand-ins for endpoints and platform; injects faults."""

from __future__ import annotations

import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed, ManifestError
from pistachioreach.fakes.engine import EngineTimes
from pistachioreach.fakes.faults import STREAM_CORRUPTIONS
from pistachioreach.fakes.servers import (
    ENGINE_FAULTS,
    PLATFORM_FAULTS,
    FakeServers,
    FaultBody,
)
from pistachioreach.logs import configure_logs
from pistachioreach.manifest import decode_manifest
from pistachioreach.settings import (
    ENV_PREFIX,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    add_log_flags,
    integer_between,
    make_parser,
    number_between,
    parse_address,
)

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

    import configargparse

__all__ = ["main"]


def fakes_parser() -> configargparse.ArgParser:
    """Return the command-line parser of `pistachioreach-fakes`."""
    parser = make_parser("pistachioreach-fakes", "Loopback stand-ins for a deployment.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="run the stand-ins until a signal")
    run.add_argument("manifest", type=Path, help="manifest of the deployment")
    run.add_argument(
        "--platform",
        type=parse_address,
        default="127.0.0.1:23000",
        env_var=f"{ENV_PREFIX}PLATFORM",
        help="address on which the platform listens",
    )
    run.add_argument(
        "--token-ms",
        type=number_between(0, 10_000),
        default="2",
        help="milliseconds that an engine takes to generate a token",
    )
    run.add_argument(
        "--prefill-ms",
        type=number_between(0, 10_000),
        default="0.1",
        help="milliseconds that an engine takes to process a token of the prompt",
    )
    run.add_argument(
        "--seed",
        type=integer_between(0, 2**32),
        default="1",
        help="seed that selects which answers are lost",
    )
    add_log_flags(run)
    fault = commands.add_parser("fault", help="set or clear a stand-in's fault")
    fault.add_argument("target", help="name of an endpoint or service, or 'platform'")
    fault.add_argument(
        "fault",
        help="of an engine: "
        + ", ".join(ENGINE_FAULTS + STREAM_CORRUPTIONS)
        + "; of the platform: "
        + ", ".join(PLATFORM_FAULTS)
        + "; of a service: lose-answers, slow",
    )
    fault.add_argument(
        "value",
        type=number_between(0, 1e6),
        nargs="?",
        default="1",
        help="strength of the fault; 0 clears a fault that stays until cleared",
    )
    for command in (run, fault):
        command.add_argument(
            "--faults",
            type=parse_address,
            default="127.0.0.1:23001",
            env_var=f"{ENV_PREFIX}FAULTS",
            help="address on which faults are set",
        )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command that the arguments select.

    Args:
        arguments: Command-line arguments, or None for those of the process.

    Returns:
        The exit status of the process.
    """
    parsed = fakes_parser().parse_args(arguments)
    if parsed.command == "fault":
        return trio.run(set_fault, parsed)
    configure_logs(parsed.log_format, parsed.log_level)
    try:
        manifest = decode_manifest(parsed.manifest.read_bytes())
    except (OSError, ManifestError) as error:
        print(f"manifest '{parsed.manifest}': {error}", file=sys.stderr)
        return EXIT_USAGE
    times = EngineTimes(parsed.prefill_ms / 1000, parsed.token_ms / 1000)
    servers = FakeServers(manifest, times, random.Random(parsed.seed))
    try:
        trio.run(servers.run, parsed.platform, parsed.faults)
    except* KeyboardInterrupt:
        pass
    return EXIT_OK


async def set_fault(parsed: argparse.Namespace) -> int:
    """Set or clear one fault of running stand-ins; return the exit status."""
    body = FaultBody(target=parsed.target, fault=parsed.fault, value=parsed.value)
    raw = msgspec.json.encode(body)
    connections = Connections()
    try:
        response = await connections.call(
            "stand-ins", str(parsed.faults), "POST", "/v1/faults", raw
        )
    except ConnectionFailed as error:
        print(error, file=sys.stderr)
        return EXIT_UNREACHABLE
    finally:
        await connections.close()
    print(response.body.decode())
    return EXIT_OK if response.status == 200 else EXIT_FAILED


if __name__ == "__main__":
    raise SystemExit(main())
