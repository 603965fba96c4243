"""Read the platform's shared documents and print differences between sets."""

from heatherpick.declarations import (
    DECLARATIONS_OBJECT,
    DRAINS_OBJECT,
    DeclarationSet,
    Drains,
    decode_declarations,
    decode_drains,
    find_differences,
)
from heatherpick.errors import DeclarationError

__all__ = ["print_differences", "read_declarations", "read_drains"]

#: Number of differences that are printed.
MAX_DIFFERENCES_SHOWN = 100


async def read_declarations(platform, is_undecodable_allowed=False):
    """Return the live `DeclarationSet`, empty if there is none, and its object.

    Parameters
    ----------
    platform : PlatformClient
        Client of the platform to read from.
    is_undecodable_allowed : bool
        Return an empty set if the live one cannot be decoded, so that it can be
        replaced.

    Raises
    ------
    DeclarationError
        If the live set cannot be decoded and ``is_undecodable_allowed`` is False.
    """
    current = await platform.read(DECLARATIONS_OBJECT)
    if current.version == 0:
        return DeclarationSet(), current
    try:
        return decode_declarations(current.body), current
    except DeclarationError:
        if not is_undecodable_allowed:
            raise
        return DeclarationSet(), current


async def read_drains(platform):
    """Return the live `Drains`, empty if there are none, and their object."""
    current = await platform.read(DRAINS_OBJECT)
    drains = decode_drains(current.body) if current.version else Drains()
    return drains, current


def print_differences(old, new):
    """Print the differences between two sets and return their number."""
    differences = find_differences(old, new)
    for difference in differences[:MAX_DIFFERENCES_SHOWN]:
        print(difference)
    n_hidden = len(differences) - MAX_DIFFERENCES_SHOWN
    if n_hidden > 0:
        print(f"... and {n_hidden} more, {len(differences)} differences in all")
    return len(differences)
