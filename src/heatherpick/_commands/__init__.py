"""Private package; the subcommands of the program, one per module."""

from heatherpick._commands.check import CheckCommand
from heatherpick._commands.diff import DiffCommand
from heatherpick._commands.drain import DrainCommand
from heatherpick._commands.explain import ExplainCommand
from heatherpick._commands.node import NodeCommand
from heatherpick._commands.publish import PublishCommand
from heatherpick._commands.query import QueryCommand
from heatherpick._commands.status import StatusCommand
from heatherpick._commands.undrain import UndrainCommand

__all__ = ["COMMANDS"]

#: Every `Command`, in the order in which ``--help`` lists them.
COMMANDS = (
    NodeCommand(),
    CheckCommand(),
    DiffCommand(),
    PublishCommand(),
    DrainCommand(),
    UndrainCommand(),
    StatusCommand(),
    QueryCommand(),
    ExplainCommand(),
)
