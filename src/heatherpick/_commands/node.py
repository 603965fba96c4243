"""Run a node."""

from heatherpick._commands.command import Command, ExitCode
from heatherpick.settings import NodeSettings

__all__ = ["NodeCommand"]


class NodeCommand(Command):
    """Run a node until it is asked to stop."""

    name = "node"
    summary = "run a node, the process of one entry VM"
    description = (
        "Serves callers, peers and operators until SIGTERM asks it to stop; then it "
        "finishes the work it has accepted and exits."
    )

    def add_arguments(self, parser):
        """Add ``--settings``."""
        parser.add_argument(
            "--settings", metavar="FILE", required=True, help="INI file of the node"
        )

    def run(self, arguments):
        """Run the node."""
        settings = NodeSettings.from_file(arguments.settings)
        # Imported late: the other commands do not need the node's modules.
        from heatherpick._shell.node import run_node

        return run_node(settings) or ExitCode.OK
