"""How much of unfinished answers a process holds in memory."""

__all__ = ["ReadBudget"]


class ReadBudget:
    """Bounds the bodies that many connections have read in part.

    Each answer has its own bound, but hundreds of peers in trouble may send bytes
    without end at once. The connection that holds most is then broken off, so that the
    small answers of sound peers are not.

    Parameters
    ----------
    max_bytes : int
        Most bytes that all connections hold together.

    Examples
    --------
    >>> class Connection:
    ...     def break_off(self, reason):
    ...         print(reason)
    >>> budget = ReadBudget(max_bytes=100)
    >>> budget.hold(Connection(), 90)
    >>> budget.hold(Connection(), 20)
    unfinished answers hold 110 bytes, at most 100 are kept
    >>> budget.n_bytes
    20
    """

    __slots__ = ("_held", "max_bytes", "n_bytes")

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self._held = {}

    def hold(self, connection, n_bytes):
        """Note that a connection now holds so many bytes of an unfinished answer.

        ``connection.break_off(reason)`` is called on the one that holds most if all
        together hold too many.
        """
        self.n_bytes += n_bytes - self._held.get(connection, 0)
        self._held[connection] = n_bytes
        if self.n_bytes > self.max_bytes:
            reason = (
                f"unfinished answers hold {self.n_bytes} bytes, "
                f"at most {self.max_bytes} are kept"
            )
            largest = max(self._held, key=self._held.get)
            self.release(largest)
            largest.break_off(reason)

    def release(self, connection):
        """Note that a connection holds nothing any more."""
        self.n_bytes -= self._held.pop(connection, 0)
