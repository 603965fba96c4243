"""Whom a node asks for what is new, and when it asks the platform's store itself."""

from heatherpick._core.rendezvous import rank

__all__ = ["LOOK_S", "RelayPlan"]

#: Relays that each node asks.
N_ASKED = 2
#: Nodes for which a fleet has one relay; each of them asks two.
N_NODES_PER_RELAY = 64
#: Key by which all nodes rank the same relays first.
RANKING_KEY = "relay"
#: Time for which a peer that said nothing is not asked, in seconds.
SILENT_AVOID_S = 5.0
#: The same for one that refused the connection, as a process that starts does, or that
#: has not heard the store lately, in seconds.
AVOID_S = 1.0
#: Nodes that follow the store of which a peer is told.
N_SOURCES_TOLD = 4
#: Questions a second that all nodes together put to the store to find out whether they
#: reach it, while they hear of it from nobody.
FLEET_PROBES_PER_S = 16.0
#: Pause between two looks at what is to be done, in seconds.
LOOK_S = 0.25
#: Shortest pause between two such questions of one node, in seconds, and the pause of a
#: node that does not know how many nodes there are.
LEAST_PROBE_S = 0.5
UNKNOWN_PROBE_S = 2.0
#: Time for which a node that starts waits for its seeds before it is alone, in seconds.
SEEDS_S = 1.0
#: Peers remembered because they asked while no list of the nodes was known.
N_STRANGERS = 8


class RelayPlan:
    """Decisions of one node about relays; no I/O and no clock.

    The first nodes of a ranking that all nodes share are the relays: they follow the
    store, and the others ask them. A node that hears of the store from no relay is
    *alone*. It asks any peer and puts a question to the store itself now and then, at a
    pace by which the whole fleet asks a bounded number of times. Whoever is answered
    stands in for the relays until one of them is heard again.

    Parameters
    ----------
    address : str
        This node's own address among its peers.
    data_centre : str
        Its place; relays there are asked first.
    seeds : iterable of str
        Addresses of peers to ask while no list of the nodes is known.
    alone_s : float
        Age of the newest word from the store from which on a node is alone, in seconds.
    now : float
        Time of the start, in seconds.
    rng : random.Random
        Spreads the questions of many nodes.
    """

    def __init__(self, address, data_centre, seeds, alone_s, now, rng):
        self._alone_s = alone_s
        self._address = address
        self._data_centre = data_centre
        self._rng = rng
        self._seeds = tuple(seeds)
        self._places = {}
        self._members = {}
        # Ranked when it is asked for, as a list comes with thousands of nodes at once.
        self._ranked = None
        self._asked_first = None
        self._strangers = {}
        self._avoided = {}
        self._heard_at = now + SEEDS_S - alone_s
        #: When each other node that follows the store last heard it, as far as known.
        self._sources = {}
        #: When others last asked and said that they hear the store.
        self._claims = {}
        #: When others last said that they do not hear the store.
        self._lost_sources = {}
        self._stands_in = False
        self._hears_store = False
        self._own_heard_at = now
        self._probe_at = None
        self._is_settled = False

    # The nodes

    @property
    def n_nodes(self):
        """Nodes on the list, this one included; 0 while no list is known."""
        return len(self._members)

    def settle(self):
        """Use the list of the nodes from now on; at a start it grows by the moment."""
        self._change_relays()
        self._is_settled = True

    def set_member(self, name, node):
        """Take in a `NodeEntry` of the list, None for one that is gone."""
        self._change_relays()
        if node is None:
            self._members.pop(name, None)
        else:
            self._members[name] = node

    def _change_relays(self):
        # A relay that is to be none any more goes on until it hears of another, which
        # may not have heard of the change yet. One look is enough for a list of
        # thousands, before its first change.
        if self._ranked is not None:
            self._stands_in = self._stands_in or self.is_source
            self._ranked = self._asked_first = None

    def _list_relays(self):
        """Return the addresses of the relays, the same at all nodes with one list."""
        is_listed = self._is_settled and self._members
        if self._ranked is None:
            if is_listed:
                self._places = {
                    node.address: node.data_centre for node in self._members.values()
                }
                self._ranked = list(rank(RANKING_KEY, set(self._places)))
            else:
                self._ranked = list(self._seeds) or [self._address]
        if not is_listed:
            return self._ranked
        return self._ranked[: max(2, -(-len(self._ranked) // N_NODES_PER_RELAY))]

    def _order_relays(self):
        """Return the relays in the order in which this node asks them."""
        if self._asked_first is None:
            relays = [each for each in self._list_relays() if each != self._address]
            # Nodes order them differently, so that each relay is asked by some.
            ordered = list(rank(self._address, relays))
            ordered.sort(key=lambda each: self._places.get(each) != self._data_centre)
            self._asked_first = ordered
        return self._asked_first

    # What is heard

    def list_sources(self, now):
        """Return nodes that have lately heard the store, with the ages of their words.

        Returns
        -------
        list of (str, float)
            Addresses, those first that stand in before others, and ages in seconds;
            this node is among them if it follows the store.
        """
        sources = self._find_fresh_sources(now)
        if self.is_source:
            sources[self._address] = self._own_heard_at
        first = rank(RANKING_KEY, sources)[:N_SOURCES_TOLD]
        return [(each, now - sources[each]) for each in first]

    def _find_fresh_sources(self, now):
        return {
            source: heard_at
            for source, heard_at in self._sources.items()
            if now - heard_at <= self._alone_s
        }

    @property
    def is_source(self):
        """Whether this node hears the store itself."""
        return self.follows_store and self._hears_store

    def has_word(self, now):
        """Return whether this node, or another that it knows of, hears the store."""
        return self._hears_store or bool(self._find_fresh_sources(now))

    def was_told_of_loss(self, now):
        """Return whether a relay has lately said that it does not hear the store.

        Relays that say nothing may be in trouble themselves.
        """
        times = [self._lost_sources.get(each) for each in self._list_relays()]
        oldest = now - self._alone_s - AVOID_S
        return any(time is not None and time >= oldest for time in times)

    def is_alone(self, now):
        """Return whether the newest word from the store is too old to rely on."""
        return now - self._heard_at > self._alone_s

    def note_store(self, now):
        """Learn that the store has answered this node."""
        self._heard_at = self._own_heard_at = max(self._heard_at, now)
        self._hears_store = True
        if not self.is_relay:
            self._stands_in = True

    def note_store_lost(self):
        """Learn that the store does not answer this node."""
        self._stands_in = self._hears_store = False

    def note_answer(self, address, sources, now):
        """Learn that a peer answered.

        Parameters
        ----------
        address : str
            The peer.
        sources : dict of str to float
            Nodes that have heard the store, and when at the latest, in seconds. The
            peer is among them if it follows the store.
        now : float
            Time in seconds.
        """
        sources = {
            source: heard_at
            for source, heard_at in sources.items()
            if source != self._address
            and now - heard_at <= self._alone_s
            # It may have said itself that it lost the store after that.
            and heard_at > self._lost_sources.get(source, float("-inf"))
        }
        if address in sources:
            self._avoided.pop(address, None)
        else:
            # What it tells it has from others, who are better asked themselves.
            self._avoided[address] = now + AVOID_S
            self._sources.pop(address, None)
            self._lost_sources[address] = now
        for source, heard_at in sources.items():
            self._sources[source] = max(heard_at, self._sources.get(source, heard_at))
            self._heard_at = max(self._heard_at, heard_at)
        if self._stands_in and self._is_covered(now):
            self._stands_in = False

    def note_failure(self, address, now, is_silent):
        """Learn that a peer did not answer; ``is_silent`` tells from a refusal."""
        self._avoided[address] = now + (SILENT_AVOID_S if is_silent else AVOID_S)
        self._sources.pop(address, None)

    def note_asked(self, address, is_source, now):
        """Learn that a peer asked, which may not be on the list.

        One that says that it hears the store is asked back: how old its word is shows
        only in its answer.
        """
        if is_source:
            self._claims[address] = now
        if address and address != self._address:
            self._strangers[address] = None
            if len(self._strangers) > N_STRANGERS:
                del self._strangers[next(iter(self._strangers))]

    def _is_covered(self, now):
        """Return whether others follow the store, so that standing in is needless."""
        relays = self._list_relays()
        fresh = self._find_fresh_sources(now)
        if not fresh.keys().isdisjoint(relays):
            return True
        before = rank(RANKING_KEY, {*fresh, self._address}).index(self._address)
        return before >= N_ASKED

    # What to do

    def choose_relays(self, now):
        """Return the addresses of the peers to ask now, never this node's own."""
        able = [
            each for each in self._order_relays() if not self._is_avoided(each, now)
        ]
        if len(able) >= N_ASKED:
            return able[:N_ASKED]
        claims = {
            each for each, at in self._claims.items() if now - at <= self._alone_s
        }
        stand_ins = [
            each
            for each in claims.union(self._find_fresh_sources(now))
            if each not in able and not self._is_avoided(each, now)
        ]
        # All ask the same ones, so that the others hear that they are not needed.
        return [*able, *rank(RANKING_KEY, stand_ins)][:N_ASKED]

    def choose_peer(self, now):
        """Return any peer if no relay tells of the store, None if there is no other."""
        if not self.is_searching(now):
            return None
        known = [node.address for node in self._members.values()]
        known = known or [*self._seeds, *self._strangers]
        for _ in range(N_ASKED):
            if known:
                address = self._rng.choice(known)
                if address != self._address and not self._is_avoided(address, now):
                    return address
        return None

    def needs_word(self, address, now):
        """Return whether a peer should tell at once whether it hears of the store."""
        is_relieved = self._stands_in and address in self._list_relays()
        return is_relieved or self.is_searching(now)

    def is_searching(self, now):
        """Return whether this node has to find out who hears of the store."""
        if self.is_source:
            return False
        return self.is_alone(now) or not self.choose_relays(now)

    def _is_avoided(self, address, now):
        return self._avoided.get(address, 0.0) > now

    @property
    def is_relay(self):
        """Whether others count on this node."""
        return self._address in self._list_relays()

    @property
    def follows_store(self):
        """Whether this node follows the store itself."""
        return self._stands_in or self.is_relay

    def is_probe_due(self, now):
        """Return whether this node is to put a question to the store now."""
        if self.follows_store or not self.is_searching(now):
            self._probe_at = None
            return False
        if self._probe_at is None:
            # Those that are due before they look again ask now.
            first_s = self._rng.random() * self._probe_pause_s
            self._probe_at = now + first_s - LOOK_S
        if now < self._probe_at:
            return False
        self._probe_at = now + (0.5 + self._rng.random()) * self._probe_pause_s
        return True

    @property
    def _probe_pause_s(self):
        if not self._members:
            return UNKNOWN_PROBE_S
        return max(LEAST_PROBE_S, len(self._members) / FLEET_PROBES_PER_S)
