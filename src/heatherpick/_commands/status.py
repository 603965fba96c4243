"""Show what a node says of itself."""

import json

from heatherpick._commands.arguments import add_node
from heatherpick._commands.command import ExitCode, NetworkCommand
from heatherpick._commands.http import HTTP_OK, request
from heatherpick.errors import OperationFailed

__all__ = ["StatusCommand"]


class StatusCommand(NetworkCommand):
    """Print a node's status."""

    name = "status"
    summary = "show the status of a node"
    description = "Prints what a node says of itself, as JSON."

    def add_arguments(self, parser):
        """Add the node."""
        add_node(parser)

    async def execute(self, arguments, context):
        """Ask and print."""
        answer = await request(context, "GET", f"http://{arguments.node}/-/status")
        if answer.status != HTTP_OK or answer.content is None:
            raise OperationFailed(
                f"{arguments.node} answers with status {answer.status}; is it the "
                "caller address of a node?"
            )
        print(json.dumps(answer.content, indent=2, sort_keys=True))
        return ExitCode.OK
