"""The upstreams of each service, and what this node has seen of them."""

__all__ = ["Directory", "Upstream"]

#: Time for which an upstream stays the last resort whose entry may have lapsed in an
#: outage of the store, in seconds. The platform promises that such entries are back in
#: about two seconds.
LAPSE_GRACE_S = 2.0
#: Part of all upstreams that never leaves at once, so that its entries have lapsed.
MASS_PART = 0.34
#: Weight of the newest sample in an upstream's relative latency.
SCALE_WEIGHT = 0.3
#: Largest relative latency that one sample may state.
MAX_SCALE = 20.0
#: Time after which half of a deviation from the usual latency is forgotten, in seconds.
SCALE_HALF_LIFE_S = 3.0
#: First and longest time for which an upstream that stalled or failed is passed over,
#: in seconds; each further stall doubles it.
FIRST_AVOID_S = 0.4
MAX_AVOID_S = 3.2
#: Weight of the newest outcome in an upstream's share of failures, and the relative
#: cost of one that always fails.
FAILURE_WEIGHT = 0.3
FAILURE_COST = 4.0
#: Age at which half of an upstream's own report of its load counts, in seconds.
LOAD_HALF_LIFE_S = 0.2
#: Relative cost of an upstream whose slots are all busy, and the load, in slots, from
#: which work queues and each slot's worth of load costs as much as the request itself.
BUSY_COST = 0.2
QUEUEING_LOAD = 0.7
#: Relative cost of a cold upstream, of one whose entry has lapsed and of one that is
#: passed over.
COLD_COST = 1.0
LAPSED_COST = 50.0
AVOIDED_COST = 3.0


class Upstream:
    """One upstream, as the platform lists it and as this node has seen it.

    Attributes
    ----------
    entry : UpstreamEntry
        Newest entry.
    scale : float
        Latency relative to the usual of each route; 1 is usual.
    n_open : int
        Legs of this node that it has not answered.
    """

    __slots__ = (
        "_avoid_until",
        "_failure_at",
        "_failure_share",
        "_load",
        "_load_at",
        "_n_avoids",
        "_scale_at",
        "cold_until",
        "entry",
        "is_remote",
        "lapsed_at",
        "n_open",
        "scale",
    )

    def __init__(self, entry, is_remote, now):
        self.entry = entry
        self.is_remote = is_remote
        self.cold_until = now + entry.cold_ms / 1000.0
        self.lapsed_at = None
        self.scale = 1.0
        self.n_open = 0
        self._scale_at = now
        self._load = 0.0
        self._load_at = now
        self._avoid_until = 0.0
        self._n_avoids = 0
        self._failure_share = 0.0
        self._failure_at = now

    def learn_outcome(self, has_failed, now):
        """Take in whether an answer came that is of use."""
        share = self._compute_failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (float(has_failed) - share)
        self._failure_at = now

    def learn_latency(self, ratio, now):
        """Take in a latency relative to the route's usual one."""
        faded = self._fade(now)
        self.scale = faded + SCALE_WEIGHT * (min(ratio, MAX_SCALE) - faded)
        self._scale_at = now

    def learn_load(self, n_running, n_waiting, n_slots, now):
        """Take in the upstream's own report of its load."""
        self._load = (n_running + n_waiting) / max(1, n_slots)
        self._load_at = now

    def avoid(self, now):
        """Pass the upstream over for a while; longer each time in a row."""
        if now < self._avoid_until:
            return
        pause_s = min(MAX_AVOID_S, FIRST_AVOID_S * 2**self._n_avoids)
        self._n_avoids = min(self._n_avoids + 1, 8)
        self._avoid_until = now + pause_s

    def trust(self):
        """Forget that the upstream stalled or failed."""
        self._avoid_until = 0.0
        self._n_avoids = 0

    def is_avoided(self, now):
        """Return whether the upstream stalled or failed a short while ago."""
        return now < self._avoid_until

    def rate(self, border_cost, now):
        """Return the expected cost of one more request; 1 is an idle upstream.

        Parameters
        ----------
        border_cost : float
            Cost of a request that leaves the data centre, on the same scale.
        now : float
            Time in seconds.
        """
        load = self.n_open / max(1, self.entry.n_slots)
        age = now - self._load_at
        if age < 5 * LOAD_HALF_LIFE_S:
            load = max(load, self._load * 0.5 ** (age / LOAD_HALF_LIFE_S))
        queueing = BUSY_COST * load + max(0.0, load - QUEUEING_LOAD)
        cost = self._fade(now) * (1.0 + queueing)
        if self.is_remote:
            cost += border_cost
        if now < self.cold_until:
            cost += COLD_COST
        if self.lapsed_at is not None:
            cost += LAPSED_COST
        if now < self._avoid_until:
            cost += AVOIDED_COST
        if self._failure_share:
            cost += FAILURE_COST * self._compute_failure_share(now)
        return cost

    def _compute_failure_share(self, now):
        age = now - self._failure_at
        return self._failure_share * 0.5 ** (age / SCALE_HALF_LIFE_S)

    def _fade(self, now):
        # A slow upstream is asked less, so its memory must fade for it to be found
        # well again.
        excess = self.scale - 1.0
        age = now - self._scale_at
        if age > 10 * SCALE_HALF_LIFE_S:
            return 1.0
        return 1.0 + excess * 0.5 ** (age / SCALE_HALF_LIFE_S)


class Directory:
    """Usable upstreams by service.

    Parameters
    ----------
    data_centre : str
        This node's data centre; upstreams elsewhere cost more.
    """

    def __init__(self, data_centre):
        self._data_centre = data_centre
        self._upstreams = {}
        self._usable = {}
        self._drained = frozenset()
        self.is_known = False

    def __len__(self):
        return len(self._upstreams)

    def get(self, upstream_id):
        """Return the upstream of that id, or None."""
        return self._upstreams.get(upstream_id)

    def replace(self, entries, now):
        """Take in the whole list; an upstream that is missing has lapsed."""
        self.is_known = True
        listed = set()
        for entry in entries:
            listed.add(entry.id)
            self.put(entry, now)
        for upstream_id in self._upstreams.keys() - listed:
            self.remove(upstream_id, now, may_have_lapsed=True)

    def put(self, entry, now):
        """Take in one entry; return the upstream, new or updated."""
        known = self._upstreams.get(entry.id)
        if known is not None and _is_same_start(known.entry, entry):
            known.entry = entry
            known.lapsed_at = None
            known.cold_until = now + entry.cold_ms / 1000.0
        else:
            is_remote = entry.data_centre != self._data_centre
            known = Upstream(entry, is_remote, now)
            self._upstreams[entry.id] = known
        self._usable.clear()
        return known

    def remove(self, upstream_id, now, may_have_lapsed):
        """Note that an entry is gone from the platform's list.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        now : float
            Time in seconds.
        may_have_lapsed : bool
            Whether the store was away, so that the entry may come back. The upstream
            is then the last resort until `expire`.
        """
        known = self._upstreams.get(upstream_id)
        if known is None:
            return
        self._usable.clear()
        if known.entry.is_draining or not may_have_lapsed:
            del self._upstreams[upstream_id]
        elif known.lapsed_at is None:
            known.lapsed_at = now

    def is_mass(self, n_upstreams):
        """Return whether so many upstreams hardly leave at once."""
        return n_upstreams > 2 and n_upstreams >= MASS_PART * len(self._upstreams)

    def discard(self, upstream_id):
        """Forget an upstream at once, as another has its address."""
        if self._upstreams.pop(upstream_id, None) is not None:
            self._usable.clear()

    def expire(self, now):
        """Forget upstreams that lapsed long ago; return the ids."""
        gone = [
            upstream_id
            for upstream_id, upstream in self._upstreams.items()
            if upstream.lapsed_at is not None
            and now >= upstream.lapsed_at + LAPSE_GRACE_S
        ]
        for upstream_id in gone:
            del self._upstreams[upstream_id]
            self._usable.clear()
        return gone

    def drain_data_centres(self, names):
        """Use no upstream of these data centres from now on."""
        self._drained = frozenset(names)
        self._usable.clear()

    def list_usable(self, service):
        """Return the upstreams of a service that may get new requests."""
        usable = self._usable.get(service)
        if usable is None:
            usable = self._usable[service] = tuple(
                upstream
                for upstream in self._upstreams.values()
                if upstream.entry.service == service
                and not upstream.entry.is_draining
                and upstream.entry.data_centre not in self._drained
            )
        return usable


def _is_same_start(old, new):
    return (
        old.host == new.host
        and old.port == new.port
        and old.service == new.service
        and old.started_ms == new.started_ms
    )
