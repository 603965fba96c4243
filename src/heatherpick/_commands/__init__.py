"""Private package; the subcommands of the program, one a module."""

from heatherpick._commands.check import CheckCommand
from heatherpick._commands.node import NodeCommand
from heatherpick._commands.publish import PublishCommand

__all__ = ["COMMANDS"]

#: Every `Command`, in the order in which ``--help`` lists them.
COMMANDS = (
    NodeCommand(),
    CheckCommand(),
    PublishCommand(),
)
