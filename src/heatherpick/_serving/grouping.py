"""Chooses which legs of a search other data centres gather, and which nodes there.

A part from another data centre crosses the border whole, with the heads of a request
and a response. A node beside the upstreams that gathers several parts and merges them
sends back at most one answer's records and one signature for each part. The rule is
made for searches over many shards, some of which have no upstream nearby.
"""

from collections import defaultdict

from heatherpick._core.rendezvous import rank

__all__ = ["Gatherers", "plan_groups"]

#: Fewest legs of a group.
MIN_GROUP_LEGS = 2
#: Bandwidth from which a node gathers for others, as a share of the fastest link of its
#: data centre.
MIN_LINK_SHARE = 0.5
#: First and longest time for which a node that failed to answer a group is given no
#: other, in seconds; each further failure in a row doubles it. Records of nodes that
#: are gone remain in the store.
FIRST_PAUSE_S = 2.0
MAX_PAUSE_S = 32.0
#: The same for a node that declined, as it stops or is isolated, in seconds.
DECLINED_PAUSE_S = 0.25


def plan_groups(candidates):
    """Divide legs among few data centres.

    Parameters
    ----------
    candidates : dict of object to dict of str to object
        For each shard, the upstreams that may be asked for it by data centre, at most
        one for each.

    Returns
    -------
    dict of str to list of tuple
        Pairs of a shard and its upstream by data centre. Shards that are in no group
        are left out.

    Examples
    --------
    >>> plan_groups({1: {"b": "b1", "c": "c1"}, 2: {"b": "b2"}, 3: {"b": "b3"}})
    {'b': [(1, 'b1'), (2, 'b2'), (3, 'b3')]}
    >>> plan_groups({1: {"b": "b1"}, 2: {"c": "c2"}})
    {}
    """
    groups = {}
    remaining = dict(candidates)
    while remaining:
        counts = defaultdict(int)
        for by_data_centre in remaining.values():
            for data_centre in by_data_centre:
                counts[data_centre] += 1
        best = max(counts, key=counts.get, default=None)
        if best is None or counts[best] < MIN_GROUP_LEGS:
            return groups
        groups[best] = [
            (shard, by_data_centre[best])
            for shard, by_data_centre in remaining.items()
            if best in by_data_centre
        ]
        for shard, _ in groups[best]:
            del remaining[shard]
    return groups


class Gatherers:
    """The nodes of other data centres that may gather legs for this node.

    Parameters
    ----------
    own_address : str
        This node's address among its peers.

    Examples
    --------
    >>> from heatherpick._fleet.nodes import NodeEntry
    >>> gatherers = Gatherers("10.0.0.1:1")
    >>> gatherers.set_nodes([NodeEntry("10.0.0.2:1", "10.0.0.2:7", "south", 10.0)])
    >>> gatherers.choose("south", now=0.0), gatherers.choose("north", now=0.0)
    ('10.0.0.2:7', None)
    """

    def __init__(self, own_address):
        self._own_address = own_address
        self._by_data_centre = {}
        self._paused_until = {}
        self._n_failures = {}
        self._n_chosen = 0

    def set_nodes(self, nodes):
        """Set the list of nodes, an iterable of `NodeEntry`."""
        by_data_centre = defaultdict(list)
        for node in nodes:
            if node.search_address and node.address != self._own_address:
                by_data_centre[node.data_centre].append(node)
        self._by_data_centre = {}
        for data_centre, members in by_data_centre.items():
            min_link_mbps = MIN_LINK_SHARE * max(each.link_mbps for each in members)
            addresses = [
                each.search_address
                for each in members
                if each.link_mbps >= min_link_mbps
            ]
            # Each node has its own order, so that they do not all choose the same one.
            self._by_data_centre[data_centre] = rank(self._own_address, addresses)

    def choose(self, data_centre, now):
        """Return the search address of a node of a data centre, in turn, or None."""
        available = [
            address
            for address in self._by_data_centre.get(data_centre, ())
            if self._paused_until.get(address, 0.0) <= now
        ]
        if not available:
            return None
        self._n_chosen += 1
        return available[self._n_chosen % len(available)]

    def record_answer(self, address):
        """Record that a node answered a group."""
        self._n_failures.pop(address, None)

    def record_decline(self, address, now):
        """Record that a node declined a group."""
        self._paused_until[address] = now + DECLINED_PAUSE_S

    def record_failure(self, address, now):
        """Record that a node was lost or silent."""
        n_failures = self._n_failures.get(address, 0)
        self._n_failures[address] = n_failures + 1
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(n_failures, 8))
        self._paused_until[address] = now + pause_s
