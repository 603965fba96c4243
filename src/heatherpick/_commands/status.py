"""Show the status of a node."""

import json

from heatherpick._commands.arguments import add_node
from heatherpick._commands.command import ExitCode, NetworkCommand
from heatherpick._commands.http import HTTP_OK, request
from heatherpick.errors import OperationFailed

__all__ = ["StatusCommand"]


class StatusCommand(NetworkCommand):
    """Print the status of a node."""

    name = "status"
    summary = "show the status of a node"
    description = "Prints the status that a node reports, as JSON."

    def add_arguments(self, parser):
        """Add the node."""
        add_node(parser)

    async def execute(self, arguments, context):
        """Request the status and print it."""
        response = await request(context, "GET", f"http://{arguments.node}/-/status")
        if response.status != HTTP_OK or response.content is None:
            raise OperationFailed(
                f"{arguments.node} responds with status {response.status}; is it the "
                "caller address of a node?"
            )
        print(json.dumps(response.content, indent=2, sort_keys=True))
        return ExitCode.OK
