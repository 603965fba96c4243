"""Whom a node asks for what is new, and when it follows the store itself."""

from heatherpick._core.rendezvous import rank

__all__ = ["RelayPlan"]

#: Relays that each node asks.
N_ASKED = 2
#: Nodes that ask one relay, roughly; a fleet has as many relays as that takes.
N_ASKING = 64
#: Key by which all nodes rank the same relays first.
RANKING_KEY = "relay"
#: Time for which a relay that failed is not asked, in seconds.
AVOID_S = 5.0
#: The same for one that answers but has not heard the store, in seconds: a peer that
#: was not a relay becomes one by being asked.
STALE_AVOID_S = 1.0
#: Time for which a node that was asked stays a relay, in seconds.
ASKED_S = 4.0


class RelayPlan:
    """Decisions of one node about relays; no I/O and no clock.

    Parameters
    ----------
    address : str
        This node's own address among its peers.
    seeds : iterable of str
        Addresses of peers to ask while no list of the nodes is known.
    alone_s : float
        Age of the newest word from the store, in seconds, at which this node follows
        the store itself.
    now : float
        Time of the start, in seconds.
    """

    def __init__(self, address, seeds, alone_s, now):
        self._alone_s = alone_s
        self._address = address
        self._members = {}
        self._seeds = tuple(seed for seed in seeds if seed != address)
        # Ranked when it is asked for, as a list comes with thousands of nodes at once.
        self._ranked = None
        self._avoided = {}
        self._heard_at = now
        self._asked_at = None

    @property
    def n_nodes(self):
        """Nodes on the list, this one included; 0 while no list is known."""
        return len(self._members)

    def set_member(self, name, address):
        """Take in a node of the list, None for one that is gone."""
        if address is None:
            self._members.pop(name, None)
        else:
            self._members[name] = address
        self._ranked = None

    def _rank(self):
        """Return all nodes in the order in which they become relays."""
        if self._ranked is None:
            addresses = set(self._members.values()) or {*self._seeds, self._address}
            self._ranked = rank(RANKING_KEY, addresses)
        return self._ranked

    def note_answer(self, address, age_s, now):
        """Learn that a peer answered, ``age_s`` after it last heard the store."""
        if age_s <= self._alone_s:
            self._heard_at = max(self._heard_at, now - age_s)
            self._avoided.pop(address, None)
        else:
            self._avoided[address] = now + STALE_AVOID_S

    def note_failure(self, address, now):
        """Learn that a peer did not answer."""
        self._avoided[address] = now + AVOID_S

    @property
    def seeds(self):
        """Peers that may know everything while this node knows nothing yet."""
        return self._seeds

    def note_asked(self, now):
        """Learn that a peer asked this node."""
        self._asked_at = now

    def choose_relays(self, now):
        """Return the addresses of the peers to ask now, never this node's own."""
        others = [each for each in self._list_relays(now) if each != self._address]
        # Nodes rank the relays differently, so that each relay is asked by some.
        return rank(self._address, others)[:N_ASKED]

    def _list_relays(self, now):
        """Return the first nodes of the ranking that may be within reach."""
        ranked = self._rank()
        n_relays = max(2, -(-N_ASKED * len(ranked) // N_ASKING))
        relays = []
        for address in ranked:
            if address == self._address or self._avoided.get(address, 0.0) <= now:
                relays.append(address)
                if len(relays) == n_relays:
                    break
        return relays

    def is_relay(self, now):
        """Return whether others may count on this node."""
        was_asked = self._asked_at is not None and now - self._asked_at < ASKED_S
        return was_asked or self._address in self._list_relays(now)

    def follows_store(self, now):
        """Return whether this node follows the store itself."""
        if self.is_relay(now):
            return True
        return now - self._heard_at > self._alone_s
