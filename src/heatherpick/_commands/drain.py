"""Take a data centre or an upstream out of service."""

from heatherpick._commands.drains import FIELD_BY_KIND, ChangeDrainsCommand
from heatherpick.declarations import find_unserved_shards
from heatherpick.errors import InvalidArgument, OperationFailed

__all__ = ["DrainCommand"]


class DrainCommand(ChangeDrainsCommand):
    """Stop new work for a data centre or an upstream."""

    name = "drain"
    summary = "take a data centre or an upstream out of service"
    description = (
        "Stops new work for a data centre or an upstream; work in flight is finished. "
        "Refused if shards would be left without an upstream in service."
    )

    def add_arguments(self, parser):
        """Add the shared arguments and ``--force``."""
        super().add_arguments(parser)
        parser.add_argument(
            "--force",
            action="store_true",
            help="drain even what is not declared or leaves shards unserved",
        )

    def change_names(self, names, name):
        """Return ``names`` with ``name``."""
        return names | {name}

    def check_change(self, arguments, declarations, before, after):
        """Refuse undeclared names, and drains that leave shards without an upstream."""
        if arguments.force:
            return
        _check_declared(arguments, declarations)
        if declarations.data_centres.keys() <= after.data_centres:
            raise OperationFailed(
                f"{arguments.object} is the only data centre in service; undrain "
                "another first, or give --force"
            )
        _check_served(arguments, declarations, before, after)


def _check_declared(arguments, declarations):
    if arguments.object not in getattr(declarations, FIELD_BY_KIND[arguments.kind]):
        raise InvalidArgument(
            f"there is no {arguments.kind} {arguments.object}; give the name of one "
            "that is declared, or --force"
        )


def _check_served(arguments, declarations, before, after):
    unserved_before = find_unserved_shards(declarations, before)
    for name, shards in find_unserved_shards(declarations, after).items():
        lost = sorted(set(shards) - set(unserved_before.get(name, ())))
        if lost:
            raise OperationFailed(
                f"draining {arguments.kind} {arguments.object} leaves {len(lost)} "
                f"shards of {name} without an upstream in service, among them "
                f"{lost[0]}; undrain another upstream first, or give --force"
            )
