"""Arguments that several commands share."""

import argparse

from heatherpick._commands.command import check_address
from heatherpick.errors import InvalidArgument

__all__ = ["add_node", "add_paths", "add_platform", "parse_address"]


def add_paths(parser):
    """Add the files of a set of declarations."""
    parser.add_argument(
        "paths",
        metavar="PATH",
        nargs="+",
        help="INI file, or directory whose *.ini files are taken",
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


def parse_address(text):
    """Return ``text`` if it is ``ip:port``, else fail as argparse wants it."""
    try:
        return check_address(text)
    except InvalidArgument as error:
        raise argparse.ArgumentTypeError(str(error)) from None
