"""State of one search at its entry node, with its coverage."""

import math
from dataclasses import dataclass, field

from heatherpick.declarations import Service, Snapshot

__all__ = ["OpenLeg", "Query"]


@dataclass(slots=True)
class OpenLeg:
    """A leg that has been sent and has no outcome yet.

    Parameters
    ----------
    shard : int
        Shard that it reads.
    upstream : str
        Upstream that it was sent to.
    owner : str
        Node that controls admission to that upstream.
    sent_at : float
        Time of sending, in seconds.
    is_hedge : bool
        Whether another leg for the same shard was still open when it was sent.
    """

    shard: int
    upstream: str
    owner: str
    sent_at: float
    is_hedge: bool


@dataclass(slots=True)
class Query:
    """One search over one snapshot of its shard set.

    Parameters
    ----------
    request_id : str
        Unguessable id of the request.
    service : Service
        The requested service.
    snapshot : Snapshot
        Index version that every leg reads. Coverage counts its shards only.
    body : str
        The query as JSON text.
    traceparent : str
        Trace context of the request.
    started_at, answer_by : float
        Time of arrival, and time by which the caller is answered, in seconds.
    early_answer_from : float
        Time in seconds from which an answer that covers enough shards, but not all, may
        be sent.

    Attributes
    ----------
    hits : dict
        Hits of each shard that has answered, by shard.
    open_legs : dict
        Open legs by leg id.
    open_ids_by_shard : dict
        Ids of the open legs of each shard.
    tried_upstreams : dict
        Upstream of each attempt at a shard, by shard, without those that provably
        did not start the leg.
    refusing_upstreams : dict
        Upstreams that provably did not start a leg, by shard, since the last delayed
        retry.
    waiting_shards : set of int
        Shards without an open leg that wait for the next delayed retry.
    n_legs : int
        Legs sent.
    n_retry_rounds : int
        Delayed retries so far.
    retry_at : float
        Time of the next delayed retry, in seconds.
    hedge_last_legs_at : float
        Time from which the last open legs are hedged, in seconds; infinite until it
        is set.
    may_have_started : bool
        Whether an upstream may have started work on any leg.
    has_restarted : bool
        Whether the query was restarted on a newer snapshot.
    needs_newer_snapshot : bool
        Whether an upstream no longer serves this snapshot.
    reasons : dict
        Number of failed attempts by reason.
    """

    request_id: str
    service: Service
    snapshot: Snapshot
    body: str
    traceparent: str
    started_at: float
    answer_by: float
    early_answer_from: float
    hits: dict[int, tuple] = field(default_factory=dict)
    open_legs: dict[int, OpenLeg] = field(default_factory=dict)
    open_ids_by_shard: dict[int, list[int]] = field(default_factory=dict)
    tried_upstreams: dict[int, list[str]] = field(default_factory=dict)
    refusing_upstreams: dict[int, set[str]] = field(default_factory=dict)
    waiting_shards: set[int] = field(default_factory=set)
    n_legs: int = 0
    n_retry_rounds: int = 0
    retry_at: float = 0.0
    hedge_last_legs_at: float = math.inf
    may_have_started: bool = False
    has_restarted: bool = False
    needs_newer_snapshot: bool = False
    reasons: dict[str, int] = field(default_factory=dict)

    @property
    def n_covered(self):
        """Number of shards of the snapshot that have answered."""
        return len(self.hits)

    @property
    def coverage(self):
        """Share of the snapshot's shards that have answered, 0 to 1."""
        return len(self.hits) / self.snapshot.n_shards

    @property
    def is_complete(self):
        """Whether every shard has answered."""
        return len(self.hits) == self.snapshot.n_shards

    def list_missing(self):
        """Return the shards that have not answered, in ascending order."""
        return tuple(
            shard for shard in range(self.snapshot.n_shards) if shard not in self.hits
        )

    def add_hits(self, shard, hits):
        """Store a shard's hits; return whether it is the shard's first answer."""
        if shard in self.hits:
            return False
        self.hits[shard] = hits
        self.waiting_shards.discard(shard)
        return True

    def open_leg(self, leg_id, leg):
        """Record a leg that is about to be sent."""
        self.open_legs[leg_id] = leg
        self.open_ids_by_shard.setdefault(leg.shard, []).append(leg_id)
        self.tried_upstreams.setdefault(leg.shard, []).append(leg.upstream)

    def close_leg(self, leg_id):
        """Remove an open leg and return it, or None if it is not open."""
        leg = self.open_legs.pop(leg_id, None)
        if leg is not None:
            self.open_ids_by_shard[leg.shard].remove(leg_id)
        return leg

    def record_refusal(self, leg):
        """Record that the upstream of a closed leg provably did not start it.

        The attempt does not count, but that upstream is skipped until the shard's
        refusals are cleared.
        """
        self.tried_upstreams[leg.shard].remove(leg.upstream)
        self.refusing_upstreams.setdefault(leg.shard, set()).add(leg.upstream)

    def list_untried(self, shard, candidates):
        """Return the candidates that were neither tried nor refused the shard."""
        tried = self.tried_upstreams.get(shard, ())
        refused = self.refusing_upstreams.get(shard, ())
        return [
            name for name in candidates if name not in tried and name not in refused
        ]

    def list_open_ids(self, shard):
        """Return the ids of the open legs of a shard."""
        return tuple(self.open_ids_by_shard.get(shard, ()))

    def restart_on(self, snapshot):
        """Start over on a newer snapshot, discarding all earlier hits."""
        self.snapshot = snapshot
        self.hits = {}
        self.open_legs = {}
        self.open_ids_by_shard = {}
        self.tried_upstreams = {}
        self.refusing_upstreams = {}
        self.waiting_shards = set()
        self.has_restarted = True
        self.needs_newer_snapshot = False

    def count_reason(self, reason):
        """Count the reason for which a leg ended without an answer."""
        self.reasons[reason] = self.reasons.get(reason, 0) + 1

    def get_main_reason(self):
        """Return the most frequent reason, or an empty string."""
        if not self.reasons:
            return ""
        return max(sorted(self.reasons), key=self.reasons.get)

    def merge_hits(self):
        """Return the hits of all covered shards, best score first."""
        merged = [hit for shard in sorted(self.hits) for hit in self.hits[shard]]
        merged.sort(key=_get_score, reverse=True)
        return tuple(merged)


def _get_score(hit):
    score = hit.get("score", 0.0) if isinstance(hit, dict) else 0.0
    return score if isinstance(score, int | float) else 0.0
