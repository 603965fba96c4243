"""Command line of heatherpick."""

import argparse
import sys

from heatherpick import __version__
from heatherpick._commands import COMMANDS
from heatherpick._commands.command import ExitCode
from heatherpick.errors import (
    DeclarationError,
    HeatherpickError,
    InvalidArgument,
    PlatformUnavailable,
    SettingsError,
    WriteConflict,
    WriteOutcomeUnknown,
)

__all__ = ["main"]

EXIT_CODES = """\
exit codes:
  0  done
  1  the operation failed or was refused
  2  the input is faulty; every finding is printed
  3  another operator's change came first
  4  the platform cannot be reached, or it is unknown whether a write took effect
"""


def main(argv=None):
    """Run one command and return its exit code.

    Parameters
    ----------
    argv : list of str, optional
        Arguments, by default those of the process.
    """
    # A path or message may hold characters that the terminal cannot encode.
    for stream in (sys.stdout, sys.stderr):
        if hasattr(stream, "reconfigure"):
            stream.reconfigure(errors="backslashreplace")
    arguments = _build_parser().parse_args(argv)
    try:
        return int(arguments.command.run(arguments))
    except HeatherpickError as error:
        print(error, file=sys.stderr)
        return int(_choose_exit_code(error))


def _choose_exit_code(error):
    match error:
        case SettingsError() | DeclarationError() | InvalidArgument():
            return ExitCode.BAD_INPUT
        case WriteConflict():
            return ExitCode.CONFLICT
        case PlatformUnavailable() | WriteOutcomeUnknown():
            return ExitCode.NO_PLATFORM
        case _:
            return ExitCode.FAILED


def _build_parser():
    parser = argparse.ArgumentParser(
        prog="heatherpick",
        description="A query tier that spreads each search over many shards.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)
    for command in COMMANDS:
        subparser = subparsers.add_parser(
            command.name,
            help=command.summary,
            description=command.description,
            epilog=EXIT_CODES,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(subparser)
        subparser.set_defaults(command=command)
    return parser


if __name__ == "__main__":
    sys.exit(main())
