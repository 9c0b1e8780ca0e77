"""`pistachioreach`: command-line tool for operators."""

from __future__ import annotations

import contextlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import (
    ConfigurationError,
    ConnectionFailed,
    ManifestError,
    StoreUnavailable,
)
from pistachioreach.manifest import decode_manifest, manifest_schema
from pistachioreach.operators.client import OperatorClient
from pistachioreach.operators.timeline import format_timeline, read_timeline
from pistachioreach.platform.configuration import CONFIGURATION_KEY
from pistachioreach.platform.configuration_check import check_configuration
from pistachioreach.platform.store import CONFIGURATION_TABLE, StoreClient
from pistachioreach.settings import (
    ENV_PREFIX,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    make_parser,
    parse_address,
    parse_addresses,
)

if TYPE_CHECKING:
    import argparse
    from collections.abc import Awaitable, Callable, Sequence

    import configargparse

    from pistachioreach.platform.configuration_check import ConfigurationReport

__all__ = ["main"]


def control_parser() -> configargparse.ArgParser:
    """Return the command-line parser of `pistachioreach`."""
    parser = make_parser(
        "pistachioreach",
        "Checks and applies manifests; shows the status and decisions of entries.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser(
        "check",
        help="check a manifest, or a configuration of the platform, without "
        "contacting an entry",
    )
    check.add_argument("manifest", type=Path, metavar="FILE", help="file to check")
    check.add_argument(
        "--platform",
        action="store_true",
        help="the file is a configuration in the platform's form, not a manifest",
    )
    in_force = check.add_mutually_exclusive_group()
    in_force.add_argument(
        "--against",
        type=Path,
        metavar="FILE",
        help="with --platform: show the differences from this configuration, the one "
        "in force",
    )
    in_force.add_argument(
        "--store",
        type=parse_address,
        metavar="ADDRESS",
        help="with --platform: show the differences from the configuration in force, "
        "read from the platform's store at this address",
    )
    check.add_argument(
        "--json", action="store_true", help="with --platform: print the report as JSON"
    )
    commands.add_parser("schema", help="print the JSON Schema of the manifest")
    apply = commands.add_parser("apply", help="put a manifest in force at all entries")
    apply.add_argument("manifest", type=Path, help="file of the manifest")
    status = commands.add_parser("status", help="show the status of every entry")
    explain = commands.add_parser("explain", help="show the decisions on a request")
    explain.add_argument("request", help="identifier of the request, as in the logs")
    explain.add_argument(
        "--logs",
        nargs="+",
        metavar="FILE",
        help="show the lines about the request in these log files, - for standard "
        "input; no entry is contacted",
    )
    for command in (apply, status):
        add_entry_flags(command, required=True)
    add_entry_flags(explain, required=False)
    return parser


def add_entry_flags(parser: configargparse.ArgParser, required: bool) -> None:
    """Add the flags for the entries' addresses and the credential of operators."""
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
        help="credential of operators (better set by the environment)",
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command that the arguments select.

    Args:
        arguments: Command-line arguments, or None for those of the process.

    Returns:
        The exit status of the process.
    """
    parsed = control_parser().parse_args(arguments)
    if parsed.command == "schema":
        print(format_json(manifest_schema()))
        return EXIT_OK
    if parsed.command == "check":
        if parsed.platform:
            return check_platform(parsed)
        if parsed.against or parsed.store or parsed.json:
            print("--against, --store and --json need --platform", file=sys.stderr)
            return EXIT_USAGE
        return check_manifest(parsed.manifest)
    if parsed.command == "explain" and parsed.logs:
        return show_timeline(parsed.request, parsed.logs)
    if not parsed.entries:
        print("--entries or --logs is needed", file=sys.stderr)
        return EXIT_USAGE
    commands = {
        "apply": apply_manifest,
        "status": show_status,
        "explain": show_decisions,
    }
    try:
        return trio.run(run_with_client, parsed, commands[parsed.command])
    except ConnectionFailed as error:
        print(error, file=sys.stderr)
        return EXIT_UNREACHABLE


async def run_with_client(
    parsed: argparse.Namespace,
    command: Callable[[argparse.Namespace, OperatorClient], Awaitable[int]],
) -> int:
    """Run a command that sends requests to entries.

    Args:
        parsed: Parsed arguments.
        command: Function that runs the command.

    Returns:
        The exit status of the process.
    """
    connections = Connections()
    addresses = [str(address) for address in parsed.entries]
    try:
        client = OperatorClient(connections, addresses, parsed.operator_token)
        return await command(parsed, client)
    finally:
        await connections.close()


def format_json(value: object) -> str:
    """Return a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def read_file(path: Path, name: str = "manifest") -> bytes | None:
    """Return the content of a file, or None after reporting an error.

    Args:
        path: Path of the file.
        name: What the file holds.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        print(f"{name} '{path}': {error.strerror}", file=sys.stderr)
        return None


def check_manifest(path: Path) -> int:
    """Check a manifest file and report the result; return the exit status."""
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


def check_platform(parsed: argparse.Namespace) -> int:
    """Check a configuration of the platform and print the report.

    Args:
        parsed: Parsed arguments.

    Returns:
        The exit status of the process; differences alone are no failure.
    """
    path, against = parsed.manifest, parsed.against or parsed.store
    raw = read_file(path, "configuration")
    in_force = None
    if parsed.against:
        in_force = read_file(parsed.against, "configuration")
    elif parsed.store:
        try:
            in_force = trio.run(read_configuration_in_force, str(parsed.store))
        except StoreUnavailable as error:
            print(f"store '{against}': {error}", file=sys.stderr)
            return EXIT_UNREACHABLE
        if in_force is None:
            print(f"store '{against}' holds no configuration", file=sys.stderr)
    if raw is None or (against and in_force is None):
        return EXIT_USAGE
    try:
        report = check_configuration(raw, in_force)
    except ConfigurationError as error:
        print(f"configuration '{against}': {error}", file=sys.stderr)
        return EXIT_USAGE
    if parsed.json:
        findings = [finding._asdict() for finding in report.findings]
        print(format_json(report._asdict() | {"findings": findings}))
    else:
        print_report(path, report)
    return EXIT_FAILED if report.findings else EXIT_OK


async def read_configuration_in_force(address: str) -> bytes | None:
    """Return the configuration in the platform's store, or None if it has none.

    Args:
        address: Address of the store, `ip:port`.

    Raises:
        StoreUnavailable: The store did not respond or reported an error.
    """
    connections = Connections()
    try:
        snapshot = await StoreClient(connections, address).read(CONFIGURATION_TABLE)
    finally:
        await connections.close()
    values = {row.key: row.value for row in snapshot.rows}
    return values.get(CONFIGURATION_KEY)


def print_report(path: Path, report: ConfigurationReport) -> None:
    """Print the report on a configuration of the platform."""
    for finding in report.findings:
        place = f"{finding.place}: " if finding.place else ""
        print(f"{path}: {finding.kind.value}: {place}{finding.message}")
    for difference in report.differences or ():
        print(f"{path}: difference: {difference}")
    version = "rejected by the router"
    if report.version is not None:
        version = f"version {report.version}"
    print(f"{path}: {version}, findings: {len(report.findings)}")


def show_timeline(request: str, files: list[str]) -> int:
    """Print the log lines about a request in order; return the exit status.

    Args:
        request: Identifier of the request.
        files: Paths of the log files; `-` is standard input.
    """
    with contextlib.ExitStack() as stack:
        try:
            logs = [
                (name, sys.stdin if name == "-" else stack.enter_context(open(name)))
                for name in files
            ]
        except OSError as error:
            print(f"log '{error.filename}': {error.strerror}", file=sys.stderr)
            return EXIT_USAGE
        records = read_timeline(logs, request)
    if not records:
        print(f"request '{request}' is in none of the logs", file=sys.stderr)
        return EXIT_FAILED
    print(format_timeline(records))
    return EXIT_OK


async def apply_manifest(parsed: argparse.Namespace, client: OperatorClient) -> int:
    """Apply a manifest file and print the report; return the exit status."""
    raw = read_file(parsed.manifest)
    if raw is None:
        return EXIT_USAGE
    response = await client.apply_manifest(raw)
    print(format_json(msgspec.json.decode(response.body)))
    return EXIT_OK if response.status == 200 else EXIT_FAILED


async def show_status(parsed: argparse.Namespace, client: OperatorClient) -> int:
    """Print the status of every entry; return the exit status.

    The exit status is `EXIT_FAILED` if entries have different versions in force.
    """
    results = await client.get_all("/v1/status")
    print(format_json(results))
    statuses = [result for result in results.values() if isinstance(result, dict)]
    if len(statuses) < len(results):
        return EXIT_UNREACHABLE
    versions = {status.get("version") for status in statuses}
    return EXIT_OK if len(versions) == 1 else EXIT_FAILED


async def show_decisions(parsed: argparse.Namespace, client: OperatorClient) -> int:
    """Print the decisions on a request, by entry; return the exit status."""
    results = await client.get_all(f"/v1/explain/{parsed.request}")
    decisions_by_entry = {
        address: result
        for address, result in results.items()
        if isinstance(result, list) and result
    }
    if not decisions_by_entry:
        print(f"request '{parsed.request}' is not known", file=sys.stderr)
        return EXIT_FAILED
    for address, decisions in decisions_by_entry.items():
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
