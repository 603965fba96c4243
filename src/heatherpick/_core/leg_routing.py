"""Where a leg goes: a replica of its shard, and the node that admits to it."""

__all__ = ["LegRouter"]


class LegRouter:
    """Replicas in service and their owners.

    Parameters
    ----------
    data_centre : str
        This node's data centre.
    documents : Documents
        Gives the declarations and drains in force.
    members : Members
        Tells which node owns a group.
    replicas : Replicas
        Tells which replica should answer first.
    """

    def __init__(self, data_centre, documents, members, replicas):
        self._data_centre = data_centre
        self._documents = documents
        self._members = members
        self._selector = replicas

    def choose_target(self, query, shard, is_hedge, now):
        """Return the upstream and the owner for a leg; "" and "" for none.

        A retry goes to a replica that was not tried while there is one. A hedge may
        also go to the replica that it doubles: a call there may straggle while the
        next one does not, and the other replica may be known as slow or be gone.
        """
        usable = self.get_usable_owners(query.snapshot.replicas[shard], now)
        if not usable:
            return "", ""
        tried = query.tried_upstreams.get(shard, ())
        candidates = usable if is_hedge else query.list_untried(shard, usable) or usable
        upstream = self._selector.choose(
            tuple(candidates), self._get_distance_ms, now, tried
        )
        return upstream, usable[upstream]

    def get_usable_owners(self, replicas, now):
        """Return the owner of each replica that is in service and owned, by name."""
        declarations = self._documents.declarations
        drains = self._documents.drains
        usable = {}
        for name in replicas:
            upstream = declarations.upstreams.get(name)
            if upstream is None or drains.covers(upstream):
                continue
            owner = self._members.owner_of(declarations.group_by_upstream[name], now)
            if owner:
                usable[name] = owner
        return usable

    def _get_distance_ms(self, name):
        declarations = self._documents.declarations
        data_centre = declarations.upstreams[name].data_centre
        if data_centre == self._data_centre:
            return 0.0
        region = declarations.regions[declarations.data_centres[data_centre].region]
        return region.between_data_centres_ms
