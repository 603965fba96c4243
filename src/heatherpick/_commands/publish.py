"""Publish declarations to the platform."""

from heatherpick._commands.arguments import add_confirmation, add_paths, add_platform
from heatherpick._commands.command import ExitCode, NetworkCommand
from heatherpick._commands.confirmation import wait_for_confirmation
from heatherpick._commands.documents import (
    print_differences,
    read_declarations,
    read_drains,
)
from heatherpick._commands.platform import PlatformClient
from heatherpick.declarations import (
    DECLARATIONS_OBJECT,
    decode_declarations,
    encode_declarations,
    find_unsafe_changes,
    load_declarations,
)
from heatherpick.errors import DeclarationError, OperationFailed, WriteConflict

__all__ = ["PublishCommand"]


class PublishCommand(NetworkCommand):
    """Check declarations against the live set and replace it with them."""

    name = "publish"
    summary = "publish declarations as one set"
    description = (
        "Checks all files together and against the live set, then replaces that set "
        "unless another operator has changed it meanwhile. In that case prints their "
        "change and exits 3."
    )

    def add_arguments(self, parser):
        """Add the files, the platform and ``--allow-unsafe``."""
        add_paths(parser)
        add_platform(parser)
        add_confirmation(parser)
        parser.add_argument(
            "--allow-unsafe",
            action="store_true",
            help="publish changes that are unsafe against the live set",
        )

    async def execute(self, arguments, context):
        """Publish the set and wait for confirmation."""
        new = load_declarations(arguments.paths)
        body = encode_declarations(new)
        platform = PlatformClient(context, arguments.platform)
        live, current = await read_declarations(
            platform, is_undecodable_allowed=arguments.allow_unsafe
        )
        if current.body == body:
            print(f"version {current.version} is already live; nothing to publish")
            return await wait_for_confirmation(arguments, context, current)
        if not arguments.allow_unsafe:
            await _check_safe(platform, live, new)
        try:
            written = await platform.write(DECLARATIONS_OBJECT, current.version, body)
        except WriteConflict as conflict:
            _print_conflict(live, conflict.current)
            return ExitCode.CONFLICT
        print_differences(live, new)
        print(f"published version {written.version}")
        return await wait_for_confirmation(arguments, context, written)


async def _check_safe(platform, live, new):
    drains, _ = await read_drains(platform)
    unsafe = find_unsafe_changes(live, new, drains)
    if unsafe:
        raise OperationFailed(
            f"{DeclarationError(unsafe)}\n"
            "nothing is published; --allow-unsafe publishes it anyway"
        )


def _print_conflict(live, current):
    print(
        f"conflict: another operator has published version {current.version}; none "
        "of your changes is live. Their change:"
    )
    try:
        print_differences(live, decode_declarations(current.body))
    except DeclarationError as error:
        print(error)
    print("merge their change into your files, then publish again")
