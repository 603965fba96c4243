"""Chooses the node of each request, as the platform's balancer does."""

import re

__all__ = ["Balancer", "check_address"]

_ADDRESS = re.compile(r"[0-9.]+:[0-9]{1,5}")


def check_address(text):
    """Return ``text`` if it has the form ``ip:port``.

    Raises
    ------
    ValueError
        If it has not.
    """
    if not _ADDRESS.fullmatch(text):
        raise ValueError(f"{text!r} is no address; write ip:port")
    return text


class Balancer:
    """Goes round the nodes that said last that they are ready.

    Parameters
    ----------
    addresses : sequence of str
        ``ip:port`` of every node. None is ready until `mark` says so.
    """

    def __init__(self, addresses):
        self.addresses = tuple(addresses)
        self._ready = set()
        self._next = 0

    def mark(self, address, ready):
        """Note whether a node is ready."""
        if ready:
            self._ready.add(address)
        else:
            self._ready.discard(address)

    def choose(self, avoid=()):
        """Return the next ready node that is not in ``avoid``, None if none is."""
        for _ in self.addresses:
            address = self.addresses[self._next % len(self.addresses)]
            self._next += 1
            if address in self._ready and address not in avoid:
                return address
        return None
