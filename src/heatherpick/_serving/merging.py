"""Merges the parts of a search into its greatest records."""

__all__ = ["RECORD_BYTES", "merge_parts"]

#: Size of one record in bytes.
RECORD_BYTES = 16


def merge_parts(bodies, n_records):
    """Return the greatest records of several parts, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Parts, each a sequence of records in any order. Trailing bytes that do not fill
        a record are ignored.
    n_records : int
        Most records to return; duplicates each count.

    Returns
    -------
    bytes

    Examples
    --------
    >>> merge_parts([b"a" * 16 + b"c" * 16, b"b" * 16 + b"rest"], 2)[::16]
    b'cb'
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:n_records])
