"""Bring a data centre or an upstream back into service."""

from heatherpick._commands.drains import DrainsCommand

__all__ = ["UndrainCommand"]


class UndrainCommand(DrainsCommand):
    """Allow new work for a data centre or an upstream again."""

    name = "undrain"
    summary = "bring a data centre or an upstream back into service"
    description = (
        "Allows new work again. Upstreams return with their cold slots and get more "
        "as they succeed."
    )

    def change_names(self, names, name):
        """Return ``names`` without ``name``."""
        return names - {name}
