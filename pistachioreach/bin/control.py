"""`pistachioreach`: the operators' control command."""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed, ManifestError
from pistachioreach.manifest import decode_manifest, manifest_schema
from pistachioreach.operators.client import OperatorClient
from pistachioreach.operators.timeline import format_timeline, read_timeline
from pistachioreach.settings import (
    ENV_PREFIX,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    make_parser,
    parse_addresses,
)

if TYPE_CHECKING:
    import argparse
    from collections.abc import Awaitable, Callable, Sequence

    import configargparse

__all__ = ["main"]


def control_parser() -> configargparse.ArgParser:
    """Return the parser of `pistachioreach`."""
    parser = make_parser(
        "pistachioreach", "Checks and applies manifests; asks entries."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser("check", help="check a manifest, without any entry")
    check.add_argument("manifest", type=Path, help="file of the manifest")
    commands.add_parser("schema", help="print the JSON Schema of the manifest")
    apply = commands.add_parser("apply", help="put a manifest in force everywhere")
    apply.add_argument("manifest", type=Path, help="file of the manifest")
    status = commands.add_parser("status", help="show what every entry says of itself")
    explain = commands.add_parser("explain", help="show the decisions on a request")
    explain.add_argument("request", help="identifier, as in the logs")
    explain.add_argument(
        "--logs",
        nargs="+",
        metavar="FILE",
        help="read these logs, - for standard input, and ask no entry",
    )
    for command in (apply, status):
        add_entry_flags(command, required=True)
    add_entry_flags(explain, required=False)
    return parser


def add_entry_flags(parser: configargparse.ArgParser, required: bool) -> None:
    """Add the flags that say which entries to ask, and how."""
    parser.add_argument(
        "--entries",
        type=parse_addresses,
        required=required,
        default=(),
        env_var=f"{ENV_PREFIX}ENTRIES",
        help="addresses of the entries, separated by commas",
    )
    parser.add_argument(
        "--operator-token",
        required=required,
        default="",
        env_var=f"{ENV_PREFIX}OPERATOR_TOKEN",
        help="the operators' credential (better set by the environment)",
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command.

    Args:
        arguments: Command line, or None for the process's own.

    Returns:
        The exit status.
    """
    parsed = control_parser().parse_args(arguments)
    if parsed.command == "schema":
        print(pretty(manifest_schema()))
        return EXIT_OK
    if parsed.command == "check":
        return check(parsed.manifest)
    if parsed.command == "explain" and parsed.logs:
        return show_timeline(parsed.request, parsed.logs)
    if not parsed.entries:
        print("--entries or --logs is needed", file=sys.stderr)
        return EXIT_USAGE
    commands = {"apply": apply, "status": status, "explain": explain}
    try:
        return trio.run(with_client, parsed, commands[parsed.command])
    except ConnectionFailed as error:
        print(error, file=sys.stderr)
        return EXIT_UNREACHABLE


async def with_client(
    parsed: argparse.Namespace,
    command: Callable[[argparse.Namespace, OperatorClient], Awaitable[int]],
) -> int:
    """Run a command that asks entries."""
    connections = Connections()
    entries = [str(address) for address in parsed.entries]
    try:
        client = OperatorClient(connections, entries, parsed.operator_token)
        return await command(parsed, client)
    finally:
        await connections.close()


def pretty(value: object) -> str:
    """Return readable JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def read_file(path: Path) -> bytes | None:
    """Return the content of a file; reports on standard error when it cannot."""
    try:
        return path.read_bytes()
    except OSError as error:
        print(f"manifest '{path}': {error.strerror}", file=sys.stderr)
        return None


def check(path: Path) -> int:
    """Check a manifest offline."""
    raw = read_file(path)
    if raw is None:
        return EXIT_USAGE
    try:
        manifest = decode_manifest(raw)
    except ManifestError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_FAILED
    print(
        f"{path}: build {manifest['build']} of '{manifest['deployment']}', "
        f"{len(manifest['endpoints'])} model servers, "
        f"{len(manifest['workspaces'])} workspaces"
    )
    return EXIT_OK


def show_timeline(request: str, files: list[str]) -> int:
    """Show what logs say of a request."""
    with contextlib.ExitStack() as stack:
        try:
            logs = [
                (name, sys.stdin if name == "-" else stack.enter_context(open(name)))
                for name in files
            ]
        except OSError as error:
            print(f"log '{error.filename}': {error.strerror}", file=sys.stderr)
            return EXIT_USAGE
        story = read_timeline(logs, request)
    if not story:
        print(f"request '{request}' is in none of the logs", file=sys.stderr)
        return EXIT_FAILED
    print(format_timeline(story))
    return EXIT_OK


async def apply(parsed: argparse.Namespace, client: OperatorClient) -> int:
    """Apply a manifest."""
    raw = read_file(parsed.manifest)
    if raw is None:
        return EXIT_USAGE
    answer = await client.apply(raw)
    print(pretty(msgspec.json.decode(answer.body)))
    return EXIT_OK if answer.status == 200 else EXIT_FAILED


async def status(parsed: argparse.Namespace, client: OperatorClient) -> int:
    """Show what every entry says of itself."""
    answers = await client.ask_all("/v1/status")
    print(pretty(answers))
    reached = [answer for answer in answers.values() if isinstance(answer, dict)]
    if len(reached) < len(answers):
        return EXIT_UNREACHABLE
    versions = {answer.get("version") for answer in reached}
    return EXIT_OK if len(versions) == 1 else EXIT_FAILED


async def explain(parsed: argparse.Namespace, client: OperatorClient) -> int:
    """Show the decisions on a request, from whichever entries took them."""
    answers = await client.ask_all(f"/v1/explain/{parsed.request}")
    found = {
        address: answer
        for address, answer in answers.items()
        if isinstance(answer, list) and answer
    }
    if not found:
        print(f"request '{parsed.request}' is not known", file=sys.stderr)
        return EXIT_FAILED
    for address, decisions in found.items():
        print(f"entry {address}")
        for decision in decisions:
            details = msgspec.json.encode(decision["details"]).decode()
            print(
                f"  {decision['at']} {decision['kind']}: {decision['choice']} "
                f"({decision['reason']}) {details}"
            )
    return EXIT_OK


if __name__ == "__main__":
    raise SystemExit(main())
