"""Read the platform's shared documents and print how sets differ."""

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

#: Differences that are printed.
MAX_DIFFERENCES_SHOWN = 100


async def read_declarations(platform, is_replaced=False):
    """Return the live `DeclarationSet`, empty if there is none, and its object.

    Parameters
    ----------
    platform : Platform
        Where to read.
    is_replaced : bool
        Take a set that cannot be decoded as empty, so that it can be replaced.

    Raises
    ------
    DeclarationError
        If the live set cannot be decoded and is not to be replaced.
    """
    current = await platform.read(DECLARATIONS_OBJECT)
    if current.version == 0:
        return DeclarationSet(), current
    try:
        return decode_declarations(current.body), current
    except DeclarationError:
        if not is_replaced:
            raise
        return DeclarationSet(), current


async def read_drains(platform):
    """Return the live `Drains`, empty if there are none, and their object."""
    current = await platform.read(DRAINS_OBJECT)
    drains = decode_drains(current.body) if current.version else Drains()
    return drains, current


def print_differences(old, new):
    """Print how to come from one `DeclarationSet` to another; return their number."""
    differences = find_differences(old, new)
    for difference in differences[:MAX_DIFFERENCES_SHOWN]:
        print(difference)
    n_hidden = len(differences) - MAX_DIFFERENCES_SHOWN
    if n_hidden > 0:
        print(f"... and {n_hidden} more, {len(differences)} differences in all")
    return len(differences)
