"""Show how declarations differ from the live set."""

from heatherpick._commands.arguments import add_paths, add_platform
from heatherpick._commands.command import ExitCode, NetworkCommand
from heatherpick._commands.documents import (
    print_differences,
    read_declarations,
    read_drains,
)
from heatherpick._commands.platform import PlatformClient
from heatherpick.declarations import find_unsafe_changes, load_declarations

__all__ = ["DiffCommand"]


class DiffCommand(NetworkCommand):
    """Print what `publish` would change."""

    name = "diff"
    summary = "show how declarations differ from the live set"
    description = (
        "Prints every object that publishing the files would add, remove or change, "
        "and every change that is unsafe. Publishes nothing."
    )

    def add_arguments(self, parser):
        """Add the files and the platform."""
        add_paths(parser)
        add_platform(parser)

    async def execute(self, arguments, context):
        """Print the differences and the unsafe changes."""
        new = load_declarations(arguments.paths)
        platform = PlatformClient(context, arguments.platform)
        live, current = await read_declarations(platform)
        drains, _ = await read_drains(platform)
        n_differences = print_differences(live, new)
        for finding in find_unsafe_changes(live, new, drains):
            print(finding)
        print(f"differences from version {current.version}: {n_differences}")
        return ExitCode.OK
