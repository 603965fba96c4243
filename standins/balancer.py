"""Load balancer that spreads requests over the ready nodes, as the platform's does."""

import re

__all__ = ["Balancer", "check_address"]

_ADDRESS = re.compile(r"[0-9.]+:[0-9]{1,5}")


def check_address(text):
    """Return ``text`` if it has the form ``ip:port``.

    Raises
    ------
    ValueError
        If it has another form.
    """
    if not _ADDRESS.fullmatch(text):
        raise ValueError(f"{text!r} is not an address; write ip:port")
    return text


class Balancer:
    """Chooses among the ready nodes in round-robin order.

    Parameters
    ----------
    addresses : sequence of str
        ``ip:port`` of every node. No node is ready until `set_ready` says so.
    """

    def __init__(self, addresses):
        self.addresses = tuple(addresses)
        self._ready = set()
        self._next_index = 0

    def set_ready(self, address, is_ready):
        """Record whether a node is ready."""
        if is_ready:
            self._ready.add(address)
        else:
            self._ready.discard(address)

    def choose(self, excluded=()):
        """Return the next ready node that is not excluded, None if there is none."""
        for _ in self.addresses:
            address = self.addresses[self._next_index % len(self.addresses)]
            self._next_index += 1
            if address in self._ready and address not in excluded:
                return address
        return None
