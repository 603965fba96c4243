"""State of one request while it is served: its shards and their legs."""

__all__ = ["Leg", "Query", "Shard"]


class Leg:
    """One request to one upstream.

    Attributes
    ----------
    query : Query
        What the leg belongs to.
    shard : Shard
        The part that it asks for.
    upstream : Upstream
        Where it was sent.
    sent_at : float
        Time in seconds.
    is_late : bool
        Whether it was open beyond its route's usual time.
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
    """One service that has to answer, and what it was asked.

    Attributes
    ----------
    service : str
        The service.
    legs : list of Leg
        Legs without an answer so far.
    ran_on : set of str
        Upstreams on which the request may have run.
    passed_over : set of str
        Upstreams that provably did not run it, most recently asked.
    n_sent, n_arrived : int
        Legs so far, and those that may have arrived anywhere.
    retry_at : float or None
        When to ask again after a refusal, in seconds.
    body, signature : bytes or None
        The part, once it is here.
    is_missing : bool
        Whether there is nobody left to ask.
    failure : object or None
        An upstream's answer that tells of a failure, kept as the last resort.
    trouble : list of str
        Why legs did not answer, for the log.
    """

    __slots__ = (
        "trouble",
        "body",
        "failure",
        "is_missing",
        "legs",
        "n_arrived",
        "n_sent",
        "passed_over",
        "ran_on",
        "retry_at",
        "service",
        "signature",
    )

    def __init__(self, service):
        self.service = service
        self.legs = []
        self.ran_on = set()
        self.passed_over = set()
        self.n_sent = 0
        self.n_arrived = 0
        self.retry_at = None
        self.body = None
        self.signature = None
        self.is_missing = False
        self.failure = None
        self.trouble = []

    def note_trouble(self, upstream, reason):
        """Keep why an upstream gave no answer."""
        self.trouble.append(f"{upstream.entry.id}: {reason}")

    @property
    def is_open(self):
        """Whether an answer may still come."""
        return self.body is None and not self.is_missing

    def list_asked(self):
        """Return the ids of upstreams that may have run the request or may yet."""
        if not self.legs:
            return self.ran_on
        return self.ran_on.union([leg.upstream.entry.id for leg in self.legs])


class Query:
    """One request of a caller.

    Attributes
    ----------
    exchange : object
        The exchange with the caller.
    request_id : str
        The caller's id of this attempt.
    route : Route
        How the request is served.
    snapshot : Snapshot
        What the request is served by from beginning to end.
    arrived, settles, ends : float
        Times in seconds: of arrival, from when on a partial answer is as good as a
        complete one, and of the last moment for an answer.
    way_ms : float
        What is left of the objective for the way to the caller and back.
    shards : list of Shard
        The parts; one for a request that is not a gather.
    n_done, n_missing : int
        Shards with an answer, and shards for which there is nobody left to ask.
    n_hedges, n_retries : int
        Legs beyond the first of a shard, by reason.
    has_ended : bool
        Whether the caller has its answer or has left.
    is_for_peer : bool
        Whether another node handed the search over to this one.
    is_confirmed : bool
        Whether that node is known to have seen the acceptance.
    aggregator : str or None
        Search address of the node that was offered the search.
    was_silent : bool
        Whether an aggregator that was offered the search said nothing.
    pace : Pace or None
        When its legs are late; None until they are sent from here.
    accept_by : float or None
        When an offer is taken back, in seconds; None once it was accepted.
    """

    __slots__ = (
        "accept_by",
        "aggregator",
        "arrived",
        "ends",
        "exchange",
        "has_ended",
        "is_confirmed",
        "is_for_peer",
        "n_done",
        "n_hedges",
        "n_missing",
        "n_retries",
        "pace",
        "request_id",
        "route",
        "settles",
        "shards",
        "snapshot",
        "was_silent",
        "way_ms",
    )

    def __init__(self, exchange, request_id, route, snapshot, services, now):
        self.exchange = exchange
        self.request_id = request_id
        self.route = route
        self.snapshot = snapshot
        self.arrived = now
        self.settles = now
        self.ends = now
        self.way_ms = 0.0
        self.shards = [Shard(service) for service in services]
        self.n_done = 0
        self.n_missing = 0
        self.n_hedges = 0
        self.n_retries = 0
        self.has_ended = False
        self.is_for_peer = False
        self.is_confirmed = False
        self.pace = None
        self.was_silent = False
        self.aggregator = None
        self.accept_by = None

    @property
    def n_upstreams(self):
        """Most upstreams that this node may ask for one shard.

        A node that does not see the acceptance of an aggregator serves the search
        itself, while the aggregator may run it too. Until it hears that its acceptance
        was seen, the aggregator asks one upstream, and that one is left to it.
        """
        if self.may_widen:
            return 1
        if self.was_silent:
            return self.route.n_upstreams - 1
        return self.route.n_upstreams

    @property
    def may_widen(self):
        """Whether more upstreams may be asked once the acceptance was seen."""
        return self.is_for_peer and not self.is_confirmed

    @property
    def is_accepted(self):
        """Whether an aggregator runs the search."""
        return self.aggregator is not None and self.accept_by is None

    @property
    def n_open(self):
        """Shards for which an answer may still come."""
        return len(self.shards) - self.n_done - self.n_missing

    def give_up(self, shard):
        """Take note that there is nobody left to ask for an open shard."""
        shard.is_missing = True
        self.n_missing += 1

    @property
    def is_enough(self):
        """Whether the shards that have answered make a partial answer."""
        return self._reaches(self.n_done)

    @property
    def may_succeed(self):
        """Whether the shards that have answered and those that still may are enough."""
        return self._reaches(self.n_done + self.n_open)

    def _reaches(self, n_shards):
        return bool(n_shards) and (
            n_shards / len(self.shards) >= self.route.least_coverage
        )

    @property
    def was_sent(self):
        """Whether the request was sent anywhere, arrived or not."""
        is_offered = self.aggregator is not None or self.was_silent
        return is_offered or any(shard.n_sent for shard in self.shards)

    @property
    def may_have_run(self):
        """Whether any upstream may have run the request."""
        return self.is_accepted or any(shard.ran_on for shard in self.shards)
