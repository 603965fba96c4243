"""Arguments that several commands share."""

import argparse
from functools import partial

from returns.result import Success

from heatherpick._ini.value_types import AddressType, NumberType

__all__ = [
    "add_confirmation",
    "add_node",
    "add_paths",
    "add_platform",
    "make_number_parser",
    "parse_address",
]

DEFAULT_WAIT_MS = 10_000
MAX_WAIT_MS = 3_600_000

_ADDRESS = AddressType()


def add_paths(parser):
    """Add the files that hold a set of declarations."""
    parser.add_argument(
        "paths",
        metavar="PATH",
        nargs="+",
        help="INI file, or directory whose *.ini files are read",
    )


def add_platform(parser):
    """Add the platform's address."""
    parser.add_argument(
        "--platform",
        metavar="IP:PORT",
        required=True,
        type=parse_address,
        help="address of the platform's object service",
    )


def add_node(parser):
    """Add a node's address."""
    parser.add_argument(
        "--node",
        metavar="IP:PORT",
        required=True,
        type=parse_address,
        help="address at which the node serves callers",
    )


def add_confirmation(parser):
    """Add the nodes to wait for until they have a new version."""
    parser.add_argument(
        "--nodes",
        metavar="IP:PORT",
        nargs="+",
        default=[],
        type=parse_address,
        help="wait until these nodes have the new version",
    )
    parser.add_argument(
        "--wait-ms",
        metavar="MS",
        default=DEFAULT_WAIT_MS,
        type=make_number_parser(0, MAX_WAIT_MS),
        help="time to wait for --nodes (default: %(default)s)",
    )


def make_number_parser(minimum, maximum):
    """Return a function with which argparse parses a number within inclusive bounds."""
    return partial(_parse, NumberType(minimum, maximum))


def parse_address(text):
    """Return an ``ip:port`` in canonical form, or raise ArgumentTypeError."""
    return _parse(_ADDRESS, text)


def _parse(value_type, text):
    match value_type.parse(text):
        case Success(parsed):
            return parsed
        case failure:
            raise argparse.ArgumentTypeError(failure.failure())
