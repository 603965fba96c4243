"""Chooses whether a search runs on this node or on one with a faster link."""

from heatherpick._core.rendezvous import rank

__all__ = ["Aggregators"]

#: How many times faster a link must be for a search to be worth handing over. A search
#: fetches a part from every shard, so a slow link determines how long it takes, whereas
#: its merged answer is small.
MIN_LINK_RATIO = 3.0
#: Bandwidth from which a node is an aggregator, as a share of the fastest link.
MIN_AGGREGATOR_LINK_SHARE = 0.5
#: Time for which an aggregator that did not accept a search is offered no other, in
#: seconds. It may be frozen or cut off, so the pause is as long as a short freeze.
UNRESPONSIVE_PAUSE_S = 2.0
#: The same for one that declined, as it is busy or has another version of the routes,
#: in seconds.
DECLINED_PAUSE_S = 0.25
#: Share of the fleet's extra legs that the aggregators divide among themselves, as they
#: send nearly all legs of searches.
AGGREGATORS_EXTRA_SHARE = 0.7


class Aggregators:
    """The aggregators: nodes that run searches for nodes with slow links.

    All nodes with the same list agree on which of them are aggregators. In a fleet of
    equal VMs there are none, and each node runs its own searches.

    Parameters
    ----------
    own_address : str
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

    def __init__(self, own_address):
        self._own_address = own_address
        self._local = ()
        self._remote = ()
        self._paused_until = {}
        self._n_chosen = 0
        #: Number of aggregators on the list.
        self.n_aggregators = 0
        #: Whether this node is one of them.
        self.is_aggregator = False

    def set_nodes(self, nodes):
        """Set the list of nodes, and derive the aggregators from it.

        Parameters
        ----------
        nodes : iterable of NodeEntry
            All nodes, including this one.
        """
        nodes = [node for node in nodes if node.search_address and node.link_mbps > 0]
        max_link_mbps = max((node.link_mbps for node in nodes), default=0.0)
        has_narrow = any(
            MIN_LINK_RATIO * node.link_mbps <= max_link_mbps for node in nodes
        )
        chosen = [
            node
            for node in nodes
            if has_narrow
            and node.link_mbps >= MIN_AGGREGATOR_LINK_SHARE * max_link_mbps
        ]
        own = next((node for node in nodes if node.address == self._own_address), None)
        self.n_aggregators = len(chosen)
        self.is_aggregator = own in chosen
        self._local = self._remote = ()
        if own is None or MIN_LINK_RATIO * own.link_mbps > max_link_mbps:
            return
        data_centres = {node.search_address: node.data_centre for node in chosen}
        # Each node has its own order, so that they do not all choose the same one.
        ordered = rank(self._own_address, data_centres)
        self._local = tuple(
            address for address in ordered if data_centres[address] == own.data_centre
        )
        self._remote = tuple(
            address for address in ordered if data_centres[address] != own.data_centre
        )

    def compute_extra_leg_share(self, n_nodes):
        """Return this node's share of the extra legs of ``n_nodes`` nodes, 0 to 1."""
        if not self.n_aggregators or self.n_aggregators >= n_nodes:
            return 1.0 / n_nodes
        if self.is_aggregator:
            return AGGREGATORS_EXTRA_SHARE / self.n_aggregators
        return (1.0 - AGGREGATORS_EXTRA_SHARE) / (n_nodes - self.n_aggregators)

    def choose(self, now):
        """Return the search address of the aggregator to offer a search, or None.

        Aggregators in this node's data centre come first; within a data centre they are
        chosen in turn.
        """
        for group in (self._local, self._remote):
            available = [
                address
                for address in group
                if self._paused_until.get(address, 0.0) <= now
            ]
            if available:
                self._n_chosen += 1
                return available[self._n_chosen % len(available)]
        return None

    def record_unresponsive(self, address, now):
        """Record that an aggregator did not accept a search, or failed while it ran."""
        self._paused_until[address] = now + UNRESPONSIVE_PAUSE_S

    def record_decline(self, address, now):
        """Record that an aggregator declined a search."""
        self._paused_until[address] = now + DECLINED_PAUSE_S
