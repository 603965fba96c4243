"""Limits the rate at which this node sends requests to cold upstreams.

An upstream is cold for a time that its entry states, in which it accepts only a limited
rate of requests.
"""

from heatherpick._core.rendezvous import rank

__all__ = ["ColdRateLimiter"]

#: Nodes that may send to one cold upstream. While two disjoint lists of nodes are in
#: use, twice as many do.
N_SENDERS = 2
#: Share of a cold upstream's rate that the senders of one list use together. The
#: senders of two different lists then stay within one and a half times the rate.
USED_RATE_SHARE = 0.7
#: Number of cold upstreams above which those that may be sent to again are evicted.
MAX_TRACKED = 1000


class ColdRateLimiter:
    """Lets a few nodes send to a cold upstream, each at its share of the rate.

    The nodes need no messages to agree: each ranks the same node addresses for an
    upstream in the same order. A node without a list of nodes sends nothing to cold
    upstreams.

    Parameters
    ----------
    own_address : str
        This node's address among its peers.

    Examples
    --------
    >>> limiter = ColdRateLimiter("a")
    >>> limiter.try_acquire("upstream", rate=10.0, now=0.0)
    False
    >>> limiter.set_nodes(["a"])
    >>> [limiter.try_acquire("upstream", rate=10.0, now=0.0) for _ in range(2)]
    [True, False]
    """

    def __init__(self, own_address):
        self._own_address = own_address
        self._nodes = ()
        self._shares = {}
        self._next_at = {}

    def set_nodes(self, nodes):
        """Set the addresses of all nodes."""
        self._nodes = tuple(nodes)
        self._shares = {}

    def try_acquire(self, upstream_id, rate, now):
        """Return whether this node may send one request now, and count it if so.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        rate : float
            Requests per second that it accepts from all nodes while it is cold.
        now : float
            Time in seconds.
        """
        if len(self._next_at) > MAX_TRACKED:
            self._evict(now)
        share = self._find_share(upstream_id)
        if not share or now < self._next_at.get(upstream_id, 0.0):
            return False
        self._next_at[upstream_id] = now + 1.0 / (share * rate)
        return True

    def _evict(self, now):
        """Drop the upstreams that may be sent to again, including removed ones."""
        self._next_at = {name: at for name, at in self._next_at.items() if at > now}
        self._shares = {}

    def _find_share(self, upstream_id):
        share = self._shares.get(upstream_id)
        if share is None:
            senders = rank(upstream_id, self._nodes)[:N_SENDERS]
            share = (
                USED_RATE_SHARE / len(senders) if self._own_address in senders else 0.0
            )
            self._shares[upstream_id] = share
        return share
