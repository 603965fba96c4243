"""Base class of the commands `drain` and `undrain`."""

from abc import abstractmethod
from dataclasses import replace

from heatherpick._commands.arguments import add_confirmation, add_platform
from heatherpick._commands.command import NetworkCommand
from heatherpick._commands.confirmation import wait_for_confirmation
from heatherpick._commands.documents import read_declarations, read_drains
from heatherpick._commands.platform import PlatformClient
from heatherpick.declarations import DRAINS_OBJECT, encode_drains
from heatherpick.errors import WriteConflict

__all__ = ["FIELD_BY_KIND", "ChangeDrainsCommand"]

#: Field of `Drains` and of `DeclarationSet`, by the kind on the command line.
FIELD_BY_KIND = {"data-centre": "data_centres", "upstream": "upstreams"}

#: Write conflicts with other operators after which a command fails.
MAX_ATTEMPTS = 10


class ChangeDrainsCommand(NetworkCommand):
    """A command that adds a name to the drained ones or removes it.

    Two operators who drain different things do not contradict each other, so after
    a write conflict the command reads the drains again and repeats its change.
    """

    def add_arguments(self, parser):
        """Add kind and name of the object, the platform and the nodes."""
        parser.add_argument("kind", choices=FIELD_BY_KIND, help="kind of object")
        parser.add_argument("object", metavar="NAME", help="name of the object")
        add_platform(parser)
        add_confirmation(parser)

    @abstractmethod
    def change_names(self, names, name):
        """Return the drained ``names``, a frozenset, after the command's change."""

    def check_change(self, arguments, declarations, before, after):
        """Raise a `HeatherpickError` if the change is not allowed."""

    async def execute(self, arguments, context):
        """Change the drains and wait for confirmation."""
        platform = PlatformClient(context, arguments.platform)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                written = await self._try_change(arguments, platform)
            except WriteConflict:
                if attempt == MAX_ATTEMPTS:
                    raise
                continue
            break
        return await wait_for_confirmation(arguments, context, written)

    async def _try_change(self, arguments, platform):
        declarations, _ = await read_declarations(platform)
        before, current = await read_drains(platform)
        after = self._apply(arguments, before)
        subject = f"{arguments.kind} {arguments.object}"
        if after == before:
            print(f"{self.name} {subject}: nothing to change")
            return current
        self.check_change(arguments, declarations, before, after)
        body = encode_drains(after)
        written = await platform.write(DRAINS_OBJECT, current.version, body)
        print(f"{self.name} {subject}: version {written.version}")
        return written

    def _apply(self, arguments, drains):
        field = FIELD_BY_KIND[arguments.kind]
        names = self.change_names(getattr(drains, field), arguments.object)
        return replace(drains, **{field: names})
