"""Decides which peers a node polls for changes, and when it calls the store itself."""

from heatherpick._core.rendezvous import rank

__all__ = ["CHECK_INTERVAL_S", "RelayPolicy"]

#: Relays that each node polls.
N_POLLED_RELAYS = 2
#: Nodes for which a fleet has one relay; each of them polls two.
N_NODES_PER_RELAY = 64
#: Key of the ranking by which all nodes choose the same relays.
RANKING_KEY = "relay"
#: Time for which a peer is not polled after a timeout, in seconds.
TIMEOUT_AVOID_S = 5.0
#: The same after a refused connection, as from a process that is starting, or after a
#: response of a peer that has no recent contact with the store itself, in seconds.
AVOID_S = 1.0
#: Most sources named in a response to a peer.
N_SOURCES_SENT = 4
#: Probes of the store per second by all nodes together while no source is known.
FLEET_PROBES_PER_S = 16.0
#: Interval between two checks for polls and probes that are due, in seconds.
CHECK_INTERVAL_S = 0.25
#: Shortest mean interval between two probes of one node, in seconds, and the mean
#: interval of a node that does not know the number of nodes.
MIN_PROBE_INTERVAL_S = 0.5
UNKNOWN_SIZE_PROBE_INTERVAL_S = 2.0
#: Time that a starting node gives its seeds before it counts as stale, in seconds.
SEED_WAIT_S = 1.0
#: Recent requesters kept as candidates for polls while no node list is known.
N_RECENT_REQUESTERS = 8


class RelayPolicy:
    """Decisions of one node about relays; does no I/O and reads no clock.

    The first nodes of a ranking that all nodes share are the relays: they follow the
    store, and the other nodes poll them. A node in direct contact with the store is a
    *source*. A node is *stale* if the last contact of any source with the store that it
    knows of is too old. While it is, or while no relay can be polled, it polls any peer
    and now and then probes the store itself, at a rate that is bounded for the whole
    fleet. A node whose probe succeeds becomes a *temporary relay* until a relay is in
    contact with the store again.

    Parameters
    ----------
    address : str
        Address of this node among its peers.
    data_centre : str
        Data centre of this node; relays there are polled first.
    seeds : iterable of str
        Addresses of peers to poll while no node list is known.
    stale_after_s : float
        Age of the last known store contact from which a node is stale, in seconds.
    now : float
        Time of the start, in seconds.
    rng : random.Random
        Spreads the probes and polls of many nodes.
    """

    def __init__(self, address, data_centre, seeds, stale_after_s, now, rng):
        self._stale_after_s = stale_after_s
        self._address = address
        self._data_centre = data_centre
        self._rng = rng
        self._seeds = tuple(seeds)
        self._data_centre_by_address = {}
        self._members = {}
        # Ranked on demand, as a node list arrives with thousands of nodes at once.
        self._ranked_addresses = None
        self._preferred_relays = None
        self._recent_requesters = {}
        self._avoided_until = {}
        self._last_contact_at = now + SEED_WAIT_S - stale_after_s
        #: Time of the last known store contact of each other source.
        self._sources = {}
        #: When each peer last claimed to be a source in a request.
        self._claimed_sources = {}
        #: When each peer last responded without being a source.
        self._lost_sources = {}
        self._is_temporary_relay = False
        self._has_store_contact = False
        self._own_contact_at = now
        self._next_probe_at = None
        self._uses_members = False

    # Node list

    @property
    def n_nodes(self):
        """Nodes on the list, this one included; 0 while no list is known."""
        return len(self._members)

    def use_members(self):
        """Choose relays from the node list from now on.

        Until then seeds serve as relays: while a fleet starts, the list still grows.
        """
        self._invalidate_relays()
        self._uses_members = True

    def set_member(self, name, node):
        """Add or replace the `NodeEntry` of a node; None removes it."""
        self._invalidate_relays()
        if node is None:
            self._members.pop(name, None)
        else:
            self._members[name] = node

    def _invalidate_relays(self):
        # A node that may cease to be a relay remains a temporary one until it learns of
        # another source, as the new relay may not have received the change yet. This
        # is evaluated once, before the first of thousands of changes to the list.
        if self._ranked_addresses is not None:
            self._is_temporary_relay = self._is_temporary_relay or self.is_source
            self._ranked_addresses = self._preferred_relays = None

    def _list_relays(self):
        """Return the addresses of the relays, the same at all nodes with one list."""
        is_listed = self._uses_members and self._members
        if self._ranked_addresses is None:
            if is_listed:
                self._data_centre_by_address = {
                    node.address: node.data_centre for node in self._members.values()
                }
                self._ranked_addresses = list(
                    rank(RANKING_KEY, set(self._data_centre_by_address))
                )
            else:
                self._ranked_addresses = list(self._seeds) or [self._address]
        if not is_listed:
            return self._ranked_addresses
        return self._ranked_addresses[
            : max(2, -(-len(self._ranked_addresses) // N_NODES_PER_RELAY))
        ]

    def _sort_relays(self):
        """Return the other relays in the order in which this node prefers them."""
        if self._preferred_relays is None:
            relays = [each for each in self._list_relays() if each != self._address]
            # The order differs between nodes, so that each relay is polled by some.
            preferred = list(rank(self._address, relays))
            preferred.sort(
                key=lambda each: (
                    self._data_centre_by_address.get(each) != self._data_centre
                )
            )
            self._preferred_relays = preferred
        return self._preferred_relays

    # Contact with the store

    def list_sources(self, now):
        """Return sources with recent store contact, and the ages of these contacts.

        Returns
        -------
        list of (str, float)
            Addresses by rank, so that all nodes prefer the same ones, and ages in
            seconds; includes this node if it is a source.
        """
        sources = self._find_fresh_sources(now)
        if self.is_source:
            sources[self._address] = self._own_contact_at
        first = rank(RANKING_KEY, sources)[:N_SOURCES_SENT]
        return [(each, now - sources[each]) for each in first]

    def _find_fresh_sources(self, now):
        return {
            source: contact_at
            for source, contact_at in self._sources.items()
            if now - contact_at <= self._stale_after_s
        }

    @property
    def is_source(self):
        """Whether this node follows the store and is in contact with it."""
        return self.follows_store and self._has_store_contact

    def knows_source(self, now):
        """Return whether this node or a known peer is in contact with the store."""
        return self._has_store_contact or bool(self._find_fresh_sources(now))

    def is_store_reported_lost(self, now):
        """Return whether a relay has recently responded without store contact.

        Relays that do not respond do not count: they may have failed themselves.
        """
        times = [self._lost_sources.get(each) for each in self._list_relays()]
        oldest = now - self._stale_after_s - AVOID_S
        return any(time is not None and time >= oldest for time in times)

    def is_stale(self, now):
        """Return whether the last known store contact is too old to rely on."""
        return now - self._last_contact_at > self._stale_after_s

    def record_store_contact(self, now):
        """Record that the store has responded to this node."""
        self._last_contact_at = self._own_contact_at = max(self._last_contact_at, now)
        self._has_store_contact = True
        if not self.is_relay:
            self._is_temporary_relay = True

    def record_store_loss(self):
        """Record that the store does not respond to this node."""
        self._is_temporary_relay = self._has_store_contact = False

    def record_response(self, address, sources, now):
        """Record the response of a peer.

        Parameters
        ----------
        address : str
            Address of the peer.
        sources : dict of str to float
            Time of the last store contact of each source that the peer knows, in
            seconds; includes the peer if it is a source.
        now : float
            Time in seconds.
        """
        sources = {
            source: contact_at
            for source, contact_at in sources.items()
            if source != self._address
            and now - contact_at <= self._stale_after_s
            # The source may itself have reported since that it lost the store.
            and contact_at > self._lost_sources.get(source, float("-inf"))
        }
        if address in sources:
            self._avoided_until.pop(address, None)
        else:
            # The sources that it names are better polled directly.
            self._avoided_until[address] = now + AVOID_S
            self._sources.pop(address, None)
            self._lost_sources[address] = now
        for source, contact_at in sources.items():
            self._sources[source] = max(
                contact_at, self._sources.get(source, contact_at)
            )
            self._last_contact_at = max(self._last_contact_at, contact_at)
        if self._is_temporary_relay and self._has_enough_sources(now):
            self._is_temporary_relay = False

    def record_failure(self, address, now, is_timeout):
        """Record a failed poll of a peer, which is avoided longer after a timeout."""
        self._avoided_until[address] = now + (
            TIMEOUT_AVOID_S if is_timeout else AVOID_S
        )
        self._sources.pop(address, None)

    def record_request(self, address, is_source, now):
        """Record a request of a peer, which may not be on the node list.

        A peer that claims to be a source may be polled in turn: the age of its store
        contact is only in its response.
        """
        if is_source:
            self._claimed_sources[address] = now
        if address and address != self._address:
            self._recent_requesters[address] = None
            if len(self._recent_requesters) > N_RECENT_REQUESTERS:
                del self._recent_requesters[next(iter(self._recent_requesters))]

    def _has_enough_sources(self, now):
        """Return whether the fleet has enough sources without this temporary relay."""
        relays = self._list_relays()
        fresh = self._find_fresh_sources(now)
        if not fresh.keys().isdisjoint(relays):
            return True
        n_ranked_before = rank(RANKING_KEY, {*fresh, self._address}).index(
            self._address
        )
        return n_ranked_before >= N_POLLED_RELAYS

    # Decisions

    def choose_relays(self, now):
        """Return the addresses of the peers to poll now, never this node's own."""
        available = [
            each for each in self._sort_relays() if not self._is_avoided(each, now)
        ]
        if len(available) >= N_POLLED_RELAYS:
            return available[:N_POLLED_RELAYS]
        claimed = {
            each
            for each, at in self._claimed_sources.items()
            if now - at <= self._stale_after_s
        }
        other_sources = [
            each
            for each in claimed.union(self._find_fresh_sources(now))
            if each not in available and not self._is_avoided(each, now)
        ]
        # All nodes poll the same ones, so that other temporary relays learn of these
        # and stop.
        return [*available, *rank(RANKING_KEY, other_sources)][:N_POLLED_RELAYS]

    def choose_random_peer(self, now):
        """Return a random peer to poll; None if a source is known or none was found."""
        if not self.lacks_source(now):
            return None
        candidates = [node.address for node in self._members.values()]
        candidates = candidates or [*self._seeds, *self._recent_requesters]
        for _ in range(N_POLLED_RELAYS):
            if candidates:
                address = self._rng.choice(candidates)
                if address != self._address and not self._is_avoided(address, now):
                    return address
        return None

    def needs_source_from(self, address, now):
        """Return whether a peer should respond at once if it knows a source.

        This holds while this node lacks a source, and for the relays while it is a
        temporary relay, which ends when it learns that one of them is a source.
        """
        may_be_replaced = self._is_temporary_relay and address in self._list_relays()
        return may_be_replaced or self.lacks_source(now)

    def lacks_source(self, now):
        """Return whether this node has to find a source."""
        if self.is_source:
            return False
        return self.is_stale(now) or not self.choose_relays(now)

    def _is_avoided(self, address, now):
        return self._avoided_until.get(address, 0.0) > now

    @property
    def is_relay(self):
        """Whether this node is one of the relays that all nodes choose."""
        return self._address in self._list_relays()

    @property
    def follows_store(self):
        """Whether this node follows the store directly."""
        return self._is_temporary_relay or self.is_relay

    def is_probe_due(self, now):
        """Return whether this node should probe the store now; schedules the next."""
        if self.follows_store or not self.lacks_source(now):
            self._next_probe_at = None
            return False
        if self._next_probe_at is None:
            # A probe that would be due before the next check is sent now.
            first_s = self._rng.random() * self._probe_interval_s
            self._next_probe_at = now + first_s - CHECK_INTERVAL_S
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + (0.5 + self._rng.random()) * self._probe_interval_s
        return True

    @property
    def _probe_interval_s(self):
        if not self._members:
            return UNKNOWN_SIZE_PROBE_INTERVAL_S
        return max(MIN_PROBE_INTERVAL_S, len(self._members) / FLEET_PROBES_PER_S)
