"""Which node runs a search: the one that has it, or one with a wider link."""

from heatherpick._core.rendezvous import rank

__all__ = ["Aggregators"]

#: How many times wider a link must be for a search to be worth handing over. A search
#: fetches a part from every shard, so that a narrow link decides how long it takes,
#: while its merged answer is small.
LEAST_GAIN = 3.0
#: Width of a link, as a share of the widest, from which on its node is an aggregator.
AGGREGATOR_SHARE = 0.5
#: Time for which an aggregator that did not accept a search is not asked, in seconds.
#: It may be frozen or cut off, so the pause is as long as a short freeze.
SILENT_PAUSE_S = 2.0
#: The same for one that declined, because it is busy or has other routes, in seconds.
DECLINED_PAUSE_S = 0.25
#: Part of the fleet's extra legs that the aggregators divide among them, as they send
#: nearly all legs of searches.
EXTRAS_PART = 0.7


class Aggregators:
    """The nodes that run searches for nodes with narrow links.

    All nodes that know the same list agree on who is an aggregator. In a fleet of
    equal VMs nobody is, and each node runs its own searches.

    Parameters
    ----------
    own : str
        This node's address among its peers.

    Examples
    --------
    >>> from heatherpick._fleet.nodes import NodeEntry
    >>> aggregators = Aggregators("small")
    >>> aggregators.set_nodes(
    ...     [
    ...         NodeEntry("small", "10.0.0.1:7380", "north", 10.0),
    ...         NodeEntry("large", "10.0.0.2:7380", "north", 100.0),
    ...     ]
    ... )
    >>> aggregators.choose(now=0.0)
    '10.0.0.2:7380'
    """

    def __init__(self, own):
        self._own = own
        self._near = ()
        self._far = ()
        self._paused = {}
        self._n_chosen = 0
        #: Aggregators on the list.
        self.n_aggregators = 0
        #: Whether this node is one of them.
        self.is_aggregator = False

    def set_nodes(self, nodes):
        """Take in all nodes.

        Parameters
        ----------
        nodes : iterable of NodeEntry
            The list, this node included.
        """
        nodes = [node for node in nodes if node.search_address and node.link_mbps > 0]
        widest = max((node.link_mbps for node in nodes), default=0.0)
        has_narrow = any(LEAST_GAIN * node.link_mbps <= widest for node in nodes)
        chosen = [
            node
            for node in nodes
            if has_narrow and node.link_mbps >= AGGREGATOR_SHARE * widest
        ]
        own = next((node for node in nodes if node.address == self._own), None)
        self.n_aggregators = len(chosen)
        self.is_aggregator = own in chosen
        self._near = self._far = ()
        if own is None or LEAST_GAIN * own.link_mbps > widest:
            return
        places = {node.search_address: node.data_centre for node in chosen}
        # Each node has an order of its own, so that they do not move together.
        ordered = rank(self._own, places)
        self._near = tuple(each for each in ordered if places[each] == own.data_centre)
        self._far = tuple(each for each in ordered if places[each] != own.data_centre)

    def compute_extras_part(self, n_nodes):
        """Return this node's part of what ``n_nodes`` may send beyond first legs."""
        if not self.n_aggregators or self.n_aggregators >= n_nodes:
            return 1.0 / n_nodes
        if self.is_aggregator:
            return EXTRAS_PART / self.n_aggregators
        return (1.0 - EXTRAS_PART) / (n_nodes - self.n_aggregators)

    def choose(self, now):
        """Return the search address of the node to hand a search to, or None.

        Those of the own data centre go first, in turn.
        """
        for group in (self._near, self._far):
            able = [each for each in group if self._paused.get(each, 0.0) <= now]
            if able:
                self._n_chosen += 1
                return able[self._n_chosen % len(able)]
        return None

    def note_silence(self, address, now):
        """Learn that an aggregator did not accept, or was lost."""
        self._paused[address] = now + SILENT_PAUSE_S

    def note_decline(self, address, now):
        """Learn that an aggregator did not want a search."""
        self._paused[address] = now + DECLINED_PAUSE_S
