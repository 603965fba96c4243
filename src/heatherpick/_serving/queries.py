"""State of a request that is being served: its shards and their legs."""

__all__ = ["Leg", "Query", "Shard"]


class Leg:
    """One request to one upstream.

    Attributes
    ----------
    query : Query
        The request that the leg belongs to.
    shard : Shard
        The shard that it asks.
    upstream : Upstream
        The upstream that it is sent to.
    sent_at : float
        Time of sending in seconds.
    is_late : bool
        Whether it was found late, after which it is not hedged again.
    """

    __slots__ = ("is_late", "query", "sent_at", "shard", "upstream")

    def __init__(self, query, shard, upstream, now):
        self.query = query
        self.shard = shard
        self.upstream = upstream
        self.sent_at = now
        self.is_late = False

    def compute_age_ms(self, now):
        """Return the time since the leg was sent, in milliseconds."""
        return (now - self.sent_at) * 1000.0


class Shard:
    """One service that must answer, and the legs that were sent to it.

    Attributes
    ----------
    service : str
        The service.
    legs : list of Leg
        Open legs, oldest first.
    may_have_run_on : set of str
        Ids of upstreams on which the request may have run.
    not_run_on : set of str
        Ids of upstreams that provably did not run an earlier leg of the shard.
    n_sent, n_delivered : int
        Number of legs so far, and of those that may have reached an upstream.
    retry_at : float or None
        Time of the next attempt after no leg could be sent, in seconds.
    body, signature : bytes or None
        The part and its signature; None until it was received.
    is_missing : bool
        Whether no upstream is left to ask.
    failure_response : object or None
        Newest error response of an upstream, to forward if there is no better one.
    leg_errors : list of str
        Why legs failed or were cancelled, for the log.
    """

    __slots__ = (
        "leg_errors",
        "body",
        "failure_response",
        "is_missing",
        "legs",
        "n_delivered",
        "n_sent",
        "not_run_on",
        "may_have_run_on",
        "retry_at",
        "service",
        "signature",
    )

    def __init__(self, service):
        self.service = service
        self.legs = []
        self.may_have_run_on = set()
        self.not_run_on = set()
        self.n_sent = 0
        self.n_delivered = 0
        self.retry_at = None
        self.body = None
        self.signature = None
        self.is_missing = False
        self.failure_response = None
        self.leg_errors = []

    def add_leg_error(self, upstream, reason):
        """Record why a leg failed or was cancelled."""
        self.leg_errors.append(f"{upstream.entry.id}: {reason}")

    @property
    def is_open(self):
        """Whether the shard may still answer."""
        return self.body is None and not self.is_missing

    def list_asked(self):
        """Return the ids of upstreams that may have run the request or still may."""
        if not self.legs:
            return self.may_have_run_on
        return self.may_have_run_on.union([leg.upstream.entry.id for leg in self.legs])


class Query:
    """One request, of a caller or handed over by another node.

    Attributes
    ----------
    request : object
        The caller's request, or the search of another node.
    request_id : str
        The caller's id of this attempt.
    route : Route
        How the request is served.
    snapshot : Snapshot
        The declarations that apply to the request throughout.
    arrived_at : float
        Time of arrival in seconds.
    soft_deadline : float
        Time in seconds from which a partial answer is returned instead of waiting for
        a complete one; follows from the route's objective.
    deadline : float
        Latest time for an answer in seconds.
    network_reserve_ms : float
        Part of the objective that is reserved for the network between caller and node.
    shards : list of Shard
        The services that must answer; one for a request that is not a gather.
    n_answered, n_missing : int
        Number of shards that have answered, and of those with no upstream left to ask.
    n_hedges, n_retries : int
        Number of legs beyond the first of each shard, by reason.
    is_finished : bool
        Whether the caller was answered or has disconnected.
    is_for_peer : bool
        Whether another node handed the search over to this one.
    is_confirmed : bool
        Whether that node has confirmed that it received the acceptance.
    aggregator : str or None
        Search address of the node that was offered the search.
    had_unresponsive_aggregator : bool
        Whether an aggregator was offered the search and neither accepted nor declined.
    latency : LegLatency or None
        Latency of its legs; None until this node sends them.
    accept_deadline : float or None
        Time at which an offer is cancelled, in seconds; None once it was accepted.
    """

    __slots__ = (
        "accept_deadline",
        "aggregator",
        "arrived_at",
        "deadline",
        "request",
        "is_finished",
        "is_confirmed",
        "is_for_peer",
        "n_answered",
        "n_hedges",
        "n_missing",
        "n_retries",
        "latency",
        "request_id",
        "route",
        "soft_deadline",
        "shards",
        "snapshot",
        "had_unresponsive_aggregator",
        "network_reserve_ms",
    )

    def __init__(self, request, request_id, route, snapshot, services, now):
        self.request = request
        self.request_id = request_id
        self.route = route
        self.snapshot = snapshot
        self.arrived_at = now
        self.soft_deadline = now
        self.deadline = now
        self.network_reserve_ms = 0.0
        self.shards = [Shard(service) for service in services]
        self.n_answered = 0
        self.n_missing = 0
        self.n_hedges = 0
        self.n_retries = 0
        self.is_finished = False
        self.is_for_peer = False
        self.is_confirmed = False
        self.latency = None
        self.had_unresponsive_aggregator = False
        self.aggregator = None
        self.accept_deadline = None

    @property
    def max_upstreams(self):
        """Most upstreams that this node may ask for one shard.

        A node that does not receive an aggregator's acceptance serves the search
        itself, while the aggregator may run it too. So the aggregator asks only one
        upstream until its acceptance is confirmed, and the other node asks one less
        than the route allows.
        """
        if self.awaits_confirmation:
            return 1
        if self.had_unresponsive_aggregator:
            return self.route.max_upstreams - 1
        return self.route.max_upstreams

    @property
    def awaits_confirmation(self):
        """Whether this aggregator's acceptance has not been confirmed yet."""
        return self.is_for_peer and not self.is_confirmed

    @property
    def is_accepted(self):
        """Whether an aggregator runs the search."""
        return self.aggregator is not None and self.accept_deadline is None

    @property
    def n_open_shards(self):
        """Number of shards that may still answer."""
        return len(self.shards) - self.n_answered - self.n_missing

    def mark_missing(self, shard):
        """Record that no upstream is left to ask for an open shard."""
        shard.is_missing = True
        self.n_missing += 1

    @property
    def has_least_coverage(self):
        """Whether the shards that have answered suffice for a partial answer."""
        return self._meets_coverage(self.n_answered)

    @property
    def may_reach_coverage(self):
        """Whether the shards that have answered or still may would suffice."""
        return self._meets_coverage(self.n_answered + self.n_open_shards)

    def _meets_coverage(self, n_shards):
        return bool(n_shards) and (
            n_shards / len(self.shards) >= self.route.least_coverage
        )

    @property
    def was_sent(self):
        """Whether the request was sent to any node or upstream, delivered or not."""
        is_offered = self.aggregator is not None or self.had_unresponsive_aggregator
        return is_offered or any(shard.n_sent for shard in self.shards)

    @property
    def may_have_run(self):
        """Whether any upstream may have run the request."""
        return self.is_accepted or any(shard.may_have_run_on for shard in self.shards)
