"""Whole numbers in HTTP headers, which peers may spell with any number of digits."""

__all__ = ["parse_digits"]

#: Most digits that are read; every number that a peer may mean has fewer.
MAX_DIGITS = 15


def parse_digits(text):
    """Return the number that a header's value spells.

    Parameters
    ----------
    text : bytes or None
        The value; None if the header is missing.

    Returns
    -------
    int or None
        None if it is missing, holds anything but digits, or too many of them.

    Examples
    --------
    >>> parse_digits(b" 25 ")
    25
    >>> parse_digits(b"9" * 400)
    """
    text = b"" if text is None else text.strip()
    return int(text) if len(text) <= MAX_DIGITS and text.isdigit() else None
