"""State of a request that is being served: its shards and their legs.

A query is any request, also an order. A query of a gather route is a search. A shard
is the state of one service that the query asks: each service of a gather route, or the
one service that was chosen on any other route. A leg is one request to one upstream.

A node may hand a search over to an aggregator, which is a node too. The offering node
offers the search. The aggregator accepts it before it sends any leg, or declines it.
The offering node confirms that it received the acceptance, and from then on only the
aggregator serves the search. The offering node serves a search itself that is declined
or not accepted in time. If the acceptance was lost or late, both nodes may serve it.

All times are in seconds of the node's monotonic clock.
"""

__all__ = ["Leg", "Query", "Shard"]


class Leg:
    """One request to one upstream.

    Parameters
    ----------
    query, shard, upstream
        See the attributes.
    now : float
        Time of sending.

    Attributes
    ----------
    query : Query
        The request that the leg belongs to.
    shard : Shard
        The shard that it asks.
    upstream : Upstream
        The upstream that it is sent to.
    sent_at : float
        Time of sending.
    group : LegGroup or None
        The group in which another node sends it; None if this node does.
    is_late : bool
        Whether its age was found to reach ``query.latency.late_after_ms`` and it was
        hedged or cannot be. It is not hedged again.
    """

    __slots__ = ("group", "is_late", "query", "sent_at", "shard", "upstream")

    def __init__(self, query, shard, upstream, now):
        self.query = query
        self.shard = shard
        self.upstream = upstream
        self.sent_at = now
        self.group = None
        self.is_late = False

    def compute_age_ms(self, now):
        """Return the time from the sending of the leg to ``now``, in milliseconds."""
        return (now - self.sent_at) * 1000.0


class Shard:
    """One service that is asked for its part of the answer, and the legs sent to it.

    Parameters
    ----------
    service : str
        Name of the service.

    Attributes
    ----------
    service : str
        Name of the service.
    legs : list of Leg
        Open legs, oldest first: those that have not been answered, failed or cancelled.
    may_have_run_on : set of str
        Ids of upstreams on which the request may have run. An id enters when a leg is
        sent. It leaves while the leg waits for a connection, and when the leg provably
        did not run.
    not_run_on : set of str
        Ids of upstreams that provably did not run an earlier leg of the shard: the leg
        failed before it was sent, or the response states that it was not executed.
    n_sent, n_delivered : int
        Number of legs so far, including those that wait for a connection, and the same
        without those that failed before they were sent.
    retry_at : float or None
        Time of the next attempt after no leg could be sent; None if none is planned.
    body, signature : bytes or None
        The part, which on a gather route holds the records of this shard, and the
        upstream's signature of it; None until they were received.
    group : LegGroup or None
        The group whose merged records include the part, in place of ``body``.
    is_missing : bool
        Whether the shard cannot answer any more, as no upstream is left that may be
        asked or one has rejected the request.
    failure_response : object or None
        Newest error response of an upstream, to forward if there is no better one.
    leg_errors : list of str
        Why legs failed or were cancelled, for the log.
    """

    __slots__ = (
        "leg_errors",
        "body",
        "failure_response",
        "group",
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
        self.group = None
        self.is_missing = False
        self.failure_response = None
        self.leg_errors = []

    def record_undelivered(self, upstream):
        """Record that a leg to an upstream was never sent."""
        self.n_delivered -= 1
        self.may_have_run_on.discard(upstream.entry.id)
        self.not_run_on.add(upstream.entry.id)

    def add_leg_error(self, upstream, reason):
        """Record why a leg failed or was cancelled."""
        self.leg_errors.append(f"{upstream.entry.id}: {reason}")

    @property
    def is_open(self):
        """Whether the shard may still answer."""
        return self.signature is None and not self.is_missing

    def list_asked(self):
        """Return the set of ids of upstreams that count against `Query.max_upstreams`.

        These are the upstreams that may have run the request and those with open legs.
        """
        if not self.legs:
            return self.may_have_run_on
        return self.may_have_run_on.union([leg.upstream.entry.id for leg in self.legs])


class Query:
    """One request, of a caller or handed over by another node.

    Parameters
    ----------
    request, request_id, route, snapshot
        See the attributes.
    services : sequence of str
        Names of the services to ask.
    now : float
        Time of arrival.

    Attributes
    ----------
    request : object
        The network layer's request of the caller or of the other node, to which the
        response is written.
    request_id : str
        Id of the caller's attempt, from the header of the request.
    route : Route
        How the request is served.
    snapshot : Snapshot
        The declarations that apply to the request throughout.
    arrived_at : float
        Time of arrival. On an aggregator, the arrival at the offering node less that
        node's ``network_reserve_ms``; the transit time of the offer is not included.
    soft_deadline : float
        Time from which a partial answer that has the least coverage is returned instead
        of waiting for a complete one; follows from the route's objective.
    deadline : float
        Latest time for an answer.
    network_reserve_ms : float
        Part of the objective that is reserved for the network between caller and node.
    shards : list of Shard
        The state of each service that is asked; one for a request that is not a search.
    groups : list of LegGroup
        Its legs that other nodes send.
    n_answered, n_missing : int
        Number of shards that have answered, and of those that cannot any more.
    n_hedges, n_retries : int
        Number of legs sent because the newest one was late, and of those sent after all
        earlier ones had failed or none could be sent at first.
    is_finished : bool
        Whether the caller was answered or has disconnected.
    is_for_peer : bool
        On the aggregator: whether another node handed the search over to this one.
    is_confirmed : bool
        On the aggregator: whether that node confirmed that it received the acceptance.
    aggregator : str or None
        On the offering node: search address of the aggregator; None if this node serves
        the search itself.
    had_unresponsive_aggregator : bool
        On the offering node: whether an aggregator was offered the search and neither
        accepted nor declined.
    latency : LegLatency or None
        Latency of its legs; None until this node sends them.
    accept_deadline : float or None
        On the offering node: time at which an offer is cancelled; None without an open
        offer.
    """

    __slots__ = (
        "accept_deadline",
        "aggregator",
        "arrived_at",
        "deadline",
        "groups",
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
        # The reducer sets both deadlines and the reserve before the query is served.
        self.soft_deadline = now
        self.deadline = now
        self.network_reserve_ms = 0.0
        self.shards = [Shard(service) for service in services]
        self.groups = []
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
        """Most upstreams that this node may ask for each shard, the first one included.

        It is a total over the life of the request, without upstreams that provably did
        not run it. An offering node that does not receive the acceptance serves the
        search itself, while the aggregator may run it too. So the aggregator asks only
        one upstream until its acceptance is confirmed, and the offering node asks one
        less than the route allows. Together they stay within the route's limit.
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
        """Whether an aggregator has accepted the search, on the offering node."""
        return self.aggregator is not None and self.accept_deadline is None

    @property
    def n_open_shards(self):
        """Number of shards that may still answer."""
        return len(self.shards) - self.n_answered - self.n_missing

    def mark_missing(self, shard):
        """Record that an open shard cannot answer any more."""
        shard.is_missing = True
        self.n_missing += 1

    @property
    def has_least_coverage(self):
        """Whether the share of shards that have answered suffices for an answer."""
        return self._meets_coverage(self.n_answered)

    @property
    def may_reach_coverage(self):
        """Whether the share of shards that have answered or still may would suffice."""
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
        """Whether any upstream may have run the request.

        It covers the legs of this node, and an aggregator that has accepted the search
        or may have. It is asked when the request is refused, to choose the status.
        """
        return (
            self.is_accepted
            or self.had_unresponsive_aggregator
            or any(shard.may_have_run_on for shard in self.shards)
        )
