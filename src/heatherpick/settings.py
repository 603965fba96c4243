"""Settings of a node, read from an INI file and checked."""

from heatherpick._settings.node import NodeSettings

__all__ = ["NodeSettings"]
