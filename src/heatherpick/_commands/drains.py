"""Change what is drained, as the commands `drain` and `undrain` do."""

from abc import abstractmethod
from dataclasses import replace

from heatherpick._commands.arguments import add_confirmation, add_platform
from heatherpick._commands.command import NetworkCommand
from heatherpick._commands.confirm import confirm
from heatherpick._commands.documents import read_declarations, read_drains
from heatherpick._commands.platform import Platform
from heatherpick.declarations import DRAINS_OBJECT, encode_drains
from heatherpick.errors import WriteConflict

__all__ = ["FIELDS", "DrainsCommand"]

#: Field of `Drains` and of `DeclarationSet` by the word on the command line.
FIELDS = {"data-centre": "data_centres", "upstream": "upstreams"}

#: Conflicts with other operators after which a command gives up.
N_ATTEMPTS = 10


class DrainsCommand(NetworkCommand):
    """A command that adds or removes one name among what is drained.

    Two operators who drain different things do not contradict each other, so a
    conflict is met by reading again and changing what is there.
    """

    def add_arguments(self, parser):
        """Add what to drain, the platform, the nodes and ``--force``."""
        parser.add_argument("kind", choices=FIELDS, help="kind of object")
        parser.add_argument("object", metavar="NAME", help="name of the object")
        add_platform(parser)
        add_confirmation(parser)

    @abstractmethod
    def change_names(self, names, name):
        """Return the frozenset ``names`` after the command's change."""

    def check_change(self, arguments, declarations, before, after):
        """Raise a HeatherpickError if the change must not be made."""

    async def execute(self, arguments, context):
        """Change what is drained."""
        platform = Platform(context, arguments.platform)
        for attempt in range(1, N_ATTEMPTS + 1):
            try:
                written = await self._change(arguments, platform)
            except WriteConflict:
                if attempt == N_ATTEMPTS:
                    raise
                continue
            break
        return await confirm(arguments, context, written)

    async def _change(self, arguments, platform):
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
        field = FIELDS[arguments.kind]
        names = self.change_names(getattr(drains, field), arguments.object)
        return replace(drains, **{field: names})
