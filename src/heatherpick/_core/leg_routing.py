"""Choice of a replica for each leg, and of the node that owns the replica."""

__all__ = ["LegRouter"]


class LegRouter:
    """Routes legs to the replicas in service, through their owners.

    Parameters
    ----------
    data_centre : str
        This node's data centre.
    documents : Documents
        Holds the declarations and drains in force.
    members : Members
        Knows which node owns each group of upstreams.
    selector : ReplicaSelector
        Selects the replica that is expected to answer first.
    """

    def __init__(self, data_centre, documents, members, selector):
        self._data_centre = data_centre
        self._documents = documents
        self._members = members
        self._selector = selector

    def choose_target(self, query, shard, is_hedge, now):
        """Return the upstream for a leg and its owner, or two empty strings for none.

        A retry goes to an untried replica while there is one. A hedge may also go to
        the replica that the open leg was sent to: one call there may straggle while
        the next does not, and the other replicas may be slow or out of service.
        """
        owner_by_name = self.get_usable_owners(query.snapshot.replicas[shard], now)
        if not owner_by_name:
            return "", ""
        tried = query.tried_upstreams.get(shard, ())
        candidates = (
            owner_by_name
            if is_hedge
            else query.list_untried(shard, owner_by_name) or owner_by_name
        )
        upstream = self._selector.choose(
            tuple(candidates), self._get_distance_ms, now, tried
        )
        return upstream, owner_by_name[upstream]

    def get_usable_owners(self, replicas, now):
        """Return the owner of each replica that is in service and has one, by name."""
        declarations = self._documents.declarations
        drains = self._documents.drains
        owner_by_name = {}
        for name in replicas:
            upstream = declarations.upstreams.get(name)
            if upstream is None or drains.covers(upstream):
                continue
            owner = self._members.owner_of(declarations.group_by_upstream[name], now)
            if owner:
                owner_by_name[name] = owner
        return owner_by_name

    def _get_distance_ms(self, name):
        declarations = self._documents.declarations
        data_centre = declarations.upstreams[name].data_centre
        if data_centre == self._data_centre:
            return 0.0
        region = declarations.regions[declarations.data_centres[data_centre].region]
        return region.between_data_centres_ms
