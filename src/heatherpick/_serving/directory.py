"""The upstreams of each service, with this node's measurements of them."""

__all__ = ["Directory", "Upstream"]

#: Time for which an upstream is kept as a last resort after its entry may have lapsed
#: in an outage of the store, in seconds. The platform guarantees that such entries
#: return within about two seconds.
LAPSE_GRACE_S = 2.0
#: Share of all upstreams that never leave together, so that the removal of as many
#: means that their entries have lapsed.
MASS_REMOVAL_SHARE = 0.34
#: Weight of the newest sample in an upstream's latency ratio.
LATENCY_WEIGHT = 0.3
#: Largest latency ratio of one sample.
MAX_LATENCY_RATIO = 20.0
#: Half-life of a deviation from the expected latency and of the failure rate, in
#: seconds.
HISTORY_HALF_LIFE_S = 3.0
#: First and longest time for which an upstream that stalled or failed is avoided, in
#: seconds; each further stall or failure in a row doubles it.
FIRST_AVOID_S = 0.4
MAX_AVOID_S = 3.2
#: Weight of the newest outcome in an upstream's failure rate, and the relative cost of
#: an upstream that always fails.
FAILURE_WEIGHT = 0.3
FAILURE_COST = 4.0
#: Half-life of the load that an upstream reports of itself, in seconds.
LOAD_HALF_LIFE_S = 0.2
#: Relative cost of an upstream whose slots are all busy, and the load from which
#: requests queue, as a share of its slots. From there on, load of as many requests as
#: there are slots costs as much as the request itself.
BUSY_COST = 0.2
QUEUEING_LOAD = 0.7
#: Relative cost of a cold upstream, of one whose entry has lapsed and of one that is
#: being avoided.
COLD_COST = 1.0
LAPSED_COST = 50.0
AVOIDED_COST = 3.0


class Upstream:
    """One upstream, as listed by the platform and as measured by this node.

    Attributes
    ----------
    entry : UpstreamEntry
        Newest entry.
    is_remote : bool
        Whether it is in another data centre than this node.
    cold_until : float
        Time in seconds until which it is cold.
    lapsed_at : float or None
        Time in seconds at which its entry may have lapsed, that is, expired in an
        outage of the store; None while it is listed.
    latency_ratio : float
        Latency relative to the expected one, at the newest sample; 1 is as expected.
    n_open_legs : int
        Number of this node's legs that it has not answered.
    """

    __slots__ = (
        "_avoid_until",
        "_failure_at",
        "_failure_share",
        "_load",
        "_load_at",
        "_n_avoids",
        "_latency_at",
        "cold_until",
        "entry",
        "is_remote",
        "lapsed_at",
        "n_open_legs",
        "latency_ratio",
    )

    def __init__(self, entry, is_remote, now):
        self.entry = entry
        self.is_remote = is_remote
        self.cold_until = now + entry.cold_ms / 1000.0
        self.lapsed_at = None
        self.latency_ratio = 1.0
        self.n_open_legs = 0
        self._latency_at = now
        self._load = 0.0
        self._load_at = now
        self._avoid_until = 0.0
        self._n_avoids = 0
        self._failure_share = 0.0
        self._failure_at = now

    def record_outcome(self, has_failed, now):
        """Record whether a leg failed."""
        share = self._compute_failure_share(now)
        self._failure_share = share + FAILURE_WEIGHT * (float(has_failed) - share)
        self._failure_at = now

    def record_latency(self, ratio, now):
        """Record a latency as a ratio to the expected one."""
        decayed = self._compute_decayed_ratio(now)
        self.latency_ratio = decayed + LATENCY_WEIGHT * (
            min(ratio, MAX_LATENCY_RATIO) - decayed
        )
        self._latency_at = now

    def record_load(self, n_running, n_waiting, n_slots, now):
        """Record the load that the upstream reports of itself."""
        self._load = (n_running + n_waiting) / max(1, n_slots)
        self._load_at = now

    def avoid(self, now):
        """Avoid the upstream for a while, and for longer each time in a row."""
        if now < self._avoid_until:
            return
        pause_s = min(MAX_AVOID_S, FIRST_AVOID_S * 2**self._n_avoids)
        self._n_avoids = min(self._n_avoids + 1, 8)
        self._avoid_until = now + pause_s

    def clear_avoidance(self):
        """Stop avoiding the upstream, and restart from the shortest time."""
        self._avoid_until = 0.0
        self._n_avoids = 0

    def is_avoided(self, now):
        """Return whether the upstream recently stalled or failed."""
        return now < self._avoid_until

    def is_healthy(self, now):
        """Return whether it is listed, not cold and not being avoided."""
        return (
            self.lapsed_at is None
            and now >= self.cold_until
            and not self.is_avoided(now)
        )

    def compute_cost(self, remote_cost, now):
        """Return the relative cost of one more request; 1 at an idle upstream.

        Parameters
        ----------
        remote_cost : float
            Cost of leaving the data centre, on the same scale.
        now : float
            Time in seconds.
        """
        load = self.n_open_legs / max(1, self.entry.n_slots)
        age = now - self._load_at
        if age < 5 * LOAD_HALF_LIFE_S:
            load = max(load, self._load * 0.5 ** (age / LOAD_HALF_LIFE_S))
        queueing = BUSY_COST * load + max(0.0, load - QUEUEING_LOAD)
        cost = self._compute_decayed_ratio(now) * (1.0 + queueing)
        if self.is_remote:
            cost += remote_cost
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
        return self._failure_share * 0.5 ** (age / HISTORY_HALF_LIFE_S)

    def _compute_decayed_ratio(self, now):
        # A slow upstream is asked less often, so its ratio must decay on its own for it
        # to be tried again.
        excess = self.latency_ratio - 1.0
        age = now - self._latency_at
        if age > 10 * HISTORY_HALF_LIFE_S:
            return 1.0
        return 1.0 + excess * 0.5 ** (age / HISTORY_HALF_LIFE_S)


class Directory:
    """Usable upstreams by service.

    Parameters
    ----------
    data_centre : str
        This node's data centre; upstreams elsewhere cost more.

    Attributes
    ----------
    is_loaded : bool
        Whether a complete list has been received.
    """

    def __init__(self, data_centre):
        self._data_centre = data_centre
        self._upstreams = {}
        self._usable = {}
        self._drained = frozenset()
        self.is_loaded = False

    def __len__(self):
        return len(self._upstreams)

    def get(self, upstream_id):
        """Return the upstream of that id, or None."""
        return self._upstreams.get(upstream_id)

    def replace(self, entries, now):
        """Set the complete list; an upstream that is not on it has lapsed."""
        self.is_loaded = True
        listed = set()
        for entry in entries:
            listed.add(entry.id)
            self.put(entry, now)
        for upstream_id in self._upstreams.keys() - listed:
            self.remove(upstream_id, now, may_have_lapsed=True)

    def put(self, entry, now):
        """Add or update one entry; return its upstream."""
        upstream = self._upstreams.get(entry.id)
        if upstream is not None and _is_same_instance(upstream.entry, entry):
            upstream.entry = entry
            upstream.lapsed_at = None
            upstream.cold_until = now + entry.cold_ms / 1000.0
        else:
            is_remote = entry.data_centre != self._data_centre
            upstream = Upstream(entry, is_remote, now)
            self._upstreams[entry.id] = upstream
        self._usable.clear()
        return upstream

    def remove(self, upstream_id, now, may_have_lapsed):
        """Remove an entry that is no longer on the platform's list.

        Parameters
        ----------
        upstream_id : str
            The upstream.
        now : float
            Time in seconds.
        may_have_lapsed : bool
            Whether the store was unreachable, so that the entry may return. The
            upstream is then kept as a last resort until `drop_lapsed`.
        """
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return
        self._usable.clear()
        if upstream.entry.is_draining or not may_have_lapsed:
            del self._upstreams[upstream_id]
        elif upstream.lapsed_at is None:
            upstream.lapsed_at = now

    def is_mass_removal(self, n_upstreams):
        """Return whether ``n_upstreams`` are too many to have left together."""
        return n_upstreams > 2 and n_upstreams >= MASS_REMOVAL_SHARE * len(
            self._upstreams
        )

    def discard(self, upstream_id):
        """Drop an upstream at once, as another one has its address."""
        if self._upstreams.pop(upstream_id, None) is not None:
            self._usable.clear()

    def drop_lapsed(self, now):
        """Drop the upstreams whose time as a last resort is over; return their ids."""
        expired = [
            upstream_id
            for upstream_id, upstream in self._upstreams.items()
            if upstream.lapsed_at is not None
            and now >= upstream.lapsed_at + LAPSE_GRACE_S
        ]
        for upstream_id in expired:
            del self._upstreams[upstream_id]
            self._usable.clear()
        return expired

    def drain_data_centres(self, names):
        """Set the names of the data centres whose upstreams are not used."""
        self._drained = frozenset(names)
        self._usable.clear()

    def list_usable(self, service):
        """Return the upstreams of a service that may receive new requests."""
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

    def has_local(self, service):
        """Return whether a usable upstream of a service is in this data centre."""
        return any(not upstream.is_remote for upstream in self.list_usable(service))


def _is_same_instance(old, new):
    return (
        old.host == new.host
        and old.port == new.port
        and old.service == new.service
        and old.started_ms == new.started_ms
    )
