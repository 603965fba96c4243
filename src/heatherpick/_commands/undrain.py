"""Bring a data centre or an upstream back into service."""

from heatherpick._commands.drains import ChangeDrainsCommand

__all__ = ["UndrainCommand"]


class UndrainCommand(ChangeDrainsCommand):
    """Allow new work for a data centre or an upstream again."""

    name = "undrain"
    summary = "bring a data centre or an upstream back into service"
    description = (
        "Allows new work again. Upstreams start with their cold slots and get "
        "more as their calls succeed."
    )

    def change_names(self, names, name):
        """Return ``names`` without ``name``."""
        return names - {name}
