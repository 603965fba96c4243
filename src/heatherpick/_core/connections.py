"""Selects the peers to connect to, and whether this node watches the platform."""

from heatherpick._core.effects import DropPeer, OpenPeer, SetWatch
from heatherpick._core.rendezvous import rank

__all__ = ["Connections"]

#: Members of each data centre that watch the platform and exchange heartbeats with
#: other data centres.
N_WATCHERS = 2

#: Members of another data centre to which a watcher keeps connections.
N_REMOTE_PEERS = 4


class Connections:
    """Connections to local members, remote owners, seeds and peers that connected."""

    def __init__(self, own, data_centre, documents, links, seeds):
        self._own = own
        self._data_centre = data_centre
        self._documents = documents
        self._links = links
        self._seeds = dict(seeds)
        self._inbound_addresses = {}
        self._outbound_addresses = {}
        self._owners_generation = -1
        self._owners = {}
        self.is_watching = False

    def add_inbound(self, node, address):
        """Record an inbound connection, so that this node connects back to the peer."""
        self._inbound_addresses[node] = address

    def remove_inbound(self, node):
        """Record that the newest connection from a peer was lost."""
        self._inbound_addresses.pop(node, None)

    def address_of(self, node):
        """Return the ``ip:port`` at which a node accepts peers, "" if unknown."""
        return self._outbound_addresses.get(node) or self._inbound_addresses.get(
            node, ""
        )

    def reconcile(self):
        """Return effects that open missing connections and drop unneeded ones."""
        wanted = self._list_wanted()
        wanted.pop(self._own.node, None)
        effects = []
        for node in sorted(self._outbound_addresses.keys() - wanted.keys()):
            self._links.mark_disconnected(node)
            effects.append(DropPeer(node))
        for node, address in sorted(wanted.items()):
            if self._outbound_addresses.get(node) != address:
                effects.append(OpenPeer(node, address))
        self._outbound_addresses = wanted
        return effects

    def update_watch(self, live):
        """Return the effect that starts or stops the platform watch, if it changes.

        ``live`` are the names of the live members of this data centre.
        """
        others = set(live) - {self._own.node}
        candidates = set(live) if others else {self._own.node}
        is_watching = self._own.node in self._select_watchers(
            self._data_centre, candidates
        )
        if is_watching == self.is_watching:
            return []
        self.is_watching = is_watching
        return [SetWatch(is_watching)]

    def list_remote_receivers(self, has_live_peers):
        """Return the remote nodes that receive heartbeats.

        Without live local peers these are the seeds; otherwise only a watcher has any.
        """
        if not has_live_peers:
            return tuple(self._seeds)
        if not self.is_watching:
            return ()
        return tuple(
            node
            for data_centre in sorted(self._documents.memberships)
            if data_centre != self._data_centre
            for node in self._list_reachable(data_centre)
        )

    def _list_reachable(self, data_centre):
        ranked = self._rank_remote(data_centre)
        reachable = [
            node for node in ranked if self._links.get_connected(node) is not None
        ]
        return reachable[:N_WATCHERS]

    def _list_wanted(self):
        wanted = dict(self._inbound_addresses)
        wanted.update(self._seeds)
        wanted.update(self._list_owners())
        for data_centre, membership in self._documents.memberships.items():
            addresses = {each.node: each.address for each in membership.members}
            if data_centre == self._data_centre:
                wanted.update(addresses)
            elif self.is_watching:
                peers = self._rank_remote(data_centre)[:N_REMOTE_PEERS]
                wanted.update({node: addresses[node] for node in peers})
        return wanted

    def _list_owners(self):
        if self._owners_generation == self._documents.generation:
            return self._owners
        self._owners_generation = self._documents.generation
        self._owners = {}
        for group in self._documents.declarations.groups.values():
            members = self._documents.membership_of(group.data_centre).members
            if members and group.data_centre != self._data_centre:
                addresses = {each.node: each.address for each in members}
                first = rank(group.name, addresses)[0]
                self._owners[first] = addresses[first]
        return self._owners

    def _rank_remote(self, data_centre):
        members = self._documents.membership_of(data_centre).members
        return rank(f"watch/{data_centre}", [each.node for each in members])

    @staticmethod
    def _select_watchers(data_centre, nodes):
        return rank(f"watch/{data_centre}", nodes)[:N_WATCHERS]
