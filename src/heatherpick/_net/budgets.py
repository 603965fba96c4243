"""Limits on the memory that incomplete responses occupy."""

__all__ = ["ReadBudget"]


class ReadBudget:
    """Limits the total size of partly read bodies over many connections.

    Each response has its own limit, but hundreds of faulty peers may send endless
    bodies at the same time. The connection with the largest body is then closed, so
    that the small responses of healthy peers are still read.

    Parameters
    ----------
    max_bytes : int
        Most bytes that the partly read bodies may occupy together.

    Examples
    --------
    >>> class Connection:
    ...     def fail(self, reason):
    ...         print(reason)
    >>> budget = ReadBudget(max_bytes=100)
    >>> budget.record_usage(Connection(), 90)
    >>> budget.record_usage(Connection(), 20)
    unfinished responses hold 110 bytes, at most 100 are kept
    >>> budget.n_bytes
    20
    """

    __slots__ = ("_n_bytes_by_connection", "max_bytes", "n_bytes")

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self._n_bytes_by_connection = {}

    def record_usage(self, connection, n_bytes):
        """Set the size of the partly read body of a connection, in bytes.

        If the total exceeds the budget, ``connection.fail(reason)`` is called on
        the connection with the largest body.
        """
        self.n_bytes += n_bytes - self._n_bytes_by_connection.get(connection, 0)
        self._n_bytes_by_connection[connection] = n_bytes
        if self.n_bytes > self.max_bytes:
            reason = (
                f"unfinished responses hold {self.n_bytes} bytes, "
                f"at most {self.max_bytes} are kept"
            )
            largest = max(
                self._n_bytes_by_connection, key=self._n_bytes_by_connection.get
            )
            self.release(largest)
            largest.fail(reason)

    def release(self, connection):
        """Remove a connection, whose body is complete or dropped, from the total."""
        self.n_bytes -= self._n_bytes_by_connection.pop(connection, 0)
