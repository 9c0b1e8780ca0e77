"""Command-line flags of the programs; each flag is also an environment variable."""

from __future__ import annotations

import argparse
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

import configargparse

import pistachioreach
from pistachioreach.decoding import split_address
from pistachioreach.logs import LOG_FORMATS

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "ENV_PREFIX",
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_SIGNAL",
    "EXIT_UNREACHABLE",
    "EXIT_USAGE",
    "Address",
    "EntrySettings",
    "add_log_flags",
    "duration_between",
    "entry_parser",
    "entry_settings",
    "integer_between",
    "make_parser",
    "number_between",
    "parse_address",
    "parse_addresses",
    "parse_keys",
]

#: Prefix of the environment variables.
ENV_PREFIX = "PISTACHIOREACH_"
#: Exit status: success.
EXIT_OK = 0
#: Exit status: the operation was refused, or a check failed.
EXIT_FAILED = 1
#: Exit status: a flag or environment variable is invalid.
EXIT_USAGE = 2
#: Exit status: a peer could not be reached.
EXIT_UNREACHABLE = 3

#: Exit status: this value plus the number of the signal that ended a drain early.
EXIT_SIGNAL = 128

#: Last paragraph of the `--help` text of each program.
EPILOG = (
    "Exit status: 0 success; 1 refused, or a check failed; "
    "2 a flag or environment variable is invalid; 3 a peer cannot be reached; "
    "128 plus the signal number if a signal ended the program."
)
#: Smallest size of a key.
MIN_KEY_BYTES = 16
#: Largest size of a key, set by BLAKE2b.
MAX_KEY_BYTES = 64


class Address(NamedTuple):
    """A TCP or UDP address.

    Attributes:
        host: IP address.
        port: Port number.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Format the address as `ip:port`."""
        return f"{self.host}:{self.port}"


class EntrySettings(NamedTuple):
    """Settings of one entry.

    Attributes:
        name: Name of the VM.
        failure_domain: Failure domain of the VM.
        listen: Address on which callers and operators connect.
        peer_listen: Address on which other entries connect.
        platform: Address of the platform's services.
        keys: Keys shared by all entries; the first is the key in use.
        operator_token: Credential of operators.
        drain_limit: Longest time that a graceful shutdown takes.
        reuse_port: Whether several processes may share the port of `listen`.
    """

    name: str
    failure_domain: str
    listen: Address
    peer_listen: Address
    platform: Address
    keys: tuple[bytes, ...]
    operator_token: str
    drain_limit: timedelta
    reuse_port: bool


def parse_address(text: str) -> Address:
    """Parse an address of the form `ip:port`."""
    try:
        return Address(*split_address(text, least_port=0))
    except ValueError as error:
        message = f"'{text}' is not an IP address and port, as 10.0.0.1:8080"
        raise argparse.ArgumentTypeError(message) from error


def number_between(least: float, most: float) -> Callable[[str], float]:
    """Return an argparse type for numbers from `least` to `most`."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not least <= value <= most:
            message = f"'{text}' is not a number from {least:g} to {most:g}"
            raise argparse.ArgumentTypeError(message)
        return value

    return parse


def integer_between(least: int, most: int) -> Callable[[str], int]:
    """Return an argparse type for whole numbers from `least` to `most`."""

    def parse(text: str) -> int:
        if not text.isdigit() or not least <= int(text) <= most:
            message = f"'{text}' is not a whole number from {least} to {most}"
            raise argparse.ArgumentTypeError(message)
        return int(text)

    return parse


def duration_between(least: float, most: float) -> Callable[[str], timedelta]:
    """Return an argparse type for durations from `least` to `most` seconds."""

    def parse(text: str) -> timedelta:
        try:
            return timedelta(seconds=number_between(least, most)(text))
        except argparse.ArgumentTypeError:
            message = f"'{text}' is not a duration from {least:g} to {most:g} seconds"
            raise argparse.ArgumentTypeError(message) from None

    return parse


def parse_name(text: str) -> str:
    """Parse a name of lower-case letters, digits, dots, dashes and underscores."""
    allowed = set("abcdefghijklmnopqrstuvwxyz0123456789.-_")
    if not text or len(text) > 63 or not set(text) <= allowed:
        message = f"'{text}' is not a name of 1 to 63 characters out of a-z 0-9 . - _"
        raise argparse.ArgumentTypeError(message)
    return text


def parse_keys(text: str) -> tuple[bytes, ...]:
    """Parse one or two comma-separated keys; the first is the key in use."""
    keys = tuple(part.encode() for part in text.split(",") if part)
    lengths = range(MIN_KEY_BYTES, MAX_KEY_BYTES + 1)
    if not 1 <= len(keys) <= 2 or any(len(key) not in lengths for key in keys):
        message = (
            f"must hold one or two keys of at least {MIN_KEY_BYTES} characters "
            f"and at most {MAX_KEY_BYTES}"
        )
        raise argparse.ArgumentTypeError(message)
    return keys


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse comma-separated addresses."""
    return tuple(parse_address(part) for part in text.split(","))


def make_parser(program: str, description: str) -> configargparse.ArgParser:
    """Return a parser that also reads each flag from an environment variable.

    Args:
        program: Name of the program.
        description: What the program does.
    """
    parser = configargparse.ArgParser(
        prog=program,
        description=description,
        epilog=EPILOG,
        auto_env_var_prefix=ENV_PREFIX,
        add_config_file_help=False,
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    version = f"{program} {pistachioreach.__version__}"
    parser.add_argument("--version", action="version", version=version)
    return parser


def add_log_flags(parser: configargparse.ArgParser) -> None:
    """Add the flags that configure logging."""
    parser.add_argument(
        "--log-format", choices=LOG_FORMATS, default="json", help="format of log lines"
    )
    parser.add_argument(
        "--log-level",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
        default="INFO",
        help="lowest level that is logged",
    )


def entry_parser() -> configargparse.ArgParser:
    """Return the command-line parser of `pistachioreach-entry`."""
    parser = make_parser(
        "pistachioreach-entry", "Entry: routes callers' requests to endpoints."
    )
    add = parser.add_argument
    add("--name", type=parse_name, required=True, help="name of this VM")
    add(
        "--failure-domain",
        type=parse_name,
        required=True,
        help="failure domain of this VM",
    )
    add(
        "--listen",
        type=parse_address,
        default="127.0.0.1:8080",
        help="address on which callers and operators connect",
    )
    add(
        "--peer-listen",
        type=parse_address,
        default="127.0.0.1:8081",
        help="address on which other entries connect",
    )
    add(
        "--platform",
        type=parse_address,
        required=True,
        help="address of the platform's services",
    )
    add(
        "--keys",
        type=parse_keys,
        required=True,
        help="keys shared by all entries, separated by a comma; the first is in "
        "use, the second is still accepted (better set by the environment)",
    )
    add(
        "--operator-token",
        required=True,
        help="credential of operators (better set by the environment)",
    )
    add(
        "--drain-limit",
        type=duration_between(0, 86_400),
        default="600",
        help="longest time that a graceful shutdown takes, in seconds",
    )
    add(
        "--reuse-port",
        action="store_true",
        help="let several processes share the port of --listen",
    )
    add_log_flags(parser)
    return parser


def entry_settings(arguments: argparse.Namespace) -> EntrySettings:
    """Return the settings in parsed command-line flags."""
    values = {field: getattr(arguments, field) for field in EntrySettings._fields}
    return EntrySettings(**values)
