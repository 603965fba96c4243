"""Groups of legs that a node beside their upstreams sends and merges.

The node that runs a search decides everything: it names the upstream of each leg of a
group, counts these legs as its own, and hedges and retries them itself. The gathering
node sends each leg once, waits for a bounded time, and answers with the merged records
of the parts that it received, their signatures, and the outcome of each other leg.

A leg that is late stays open for a moment after the answer, in which the other node may
ask for the *rest*: the legs that it still needs. A rest is answered at the first part,
and what is then open may be asked for again.

So both nodes together ask no upstream that the search has not counted, whoever is
frozen, lost or cut off. A part that arrives in a group cannot be taken out of its
records again. If the same shard has also been answered directly, the group's part
counts, and the direct one is dropped.
"""

from dataclasses import dataclass

from heatherpick._serving import effects as fx
from heatherpick._serving.merging import merge_parts
from heatherpick._serving.pace import SearchLatency
from heatherpick._serving.queries import Leg, Shard

__all__ = [
    "ANSWERED",
    "CANCELLED",
    "FAILED",
    "LATE",
    "NOT_RUN",
    "UNSENT",
    "GroupServer",
    "LegGroup",
    "LegOutcome",
    "PeerGroup",
]

#: Outcomes of a leg of a group. A leg that is not run was rejected with proof. One that
#: failed may have run. One that is late is open for `LINGER_S`, then cancelled, unless
#: the other node asks for the rest. One that is unsent was not sent at all.
ANSWERED = "answered"
CANCELLED = "cancelled"
LATE = "late"
NOT_RUN = "not run"
FAILED = "failed"
UNSENT = "unsent"
#: Most legs that this node sends concurrently in groups of other nodes.
MAX_PEER_LEGS = 512
#: Time for which the late legs of an answered group stay open, in seconds: the answer's
#: and the next request's way between two data centres, and a margin.
LINGER_S = 0.03


@dataclass(frozen=True, slots=True)
class LegOutcome:
    """How a leg of a group ended.

    Parameters
    ----------
    result : str
        One of the outcomes above.
    signature : bytes, default=b""
        The upstream's signature of the part; empty if it is not answered.
    elapsed_ms : float, default=0.0
        Time from sending the leg to its outcome.
    load : tuple of int or None, default=None
        Running requests, waiting requests and slots, as reported by the upstream.
    """

    result: str
    signature: bytes = b""
    elapsed_ms: float = 0.0
    load: tuple | None = None


class LegGroup:
    """On the node that runs the search: legs that another node sends.

    Parameters
    ----------
    query, address, due_at
        See the attributes.

    Attributes
    ----------
    query : Query
        The search.
    address : str
        Search address of the gathering node.
    due_at : float
        Time at which the group's answer is due, in seconds. Its legs are late from
        there on.
    legs : list of Leg
        The legs, in the order in which they are named to the other node.
    is_rest : bool
        Whether it asks for legs that were late in an earlier group.
    is_open, is_overdue : bool
        Whether its answer is still awaited, and whether it was found to be overdue.
    parts : bytes or None
        Merged records of the answered legs; None until the answer.
    """

    __slots__ = (
        "address",
        "due_at",
        "is_open",
        "is_overdue",
        "is_rest",
        "legs",
        "parts",
        "query",
    )

    def __init__(self, query, address, due_at, is_rest=False):
        self.query = query
        self.address = address
        self.due_at = due_at
        self.is_rest = is_rest
        self.legs = []
        self.is_open = True
        self.is_overdue = is_rest
        self.parts = None


class PeerGroup:
    """On the gathering node: legs that it sends for another node.

    It takes the place of a `Query` in its legs.

    Attributes
    ----------
    request : object
        The network layer's request of the other node.
    request_id : str
        Id of the caller's attempt.
    route : Route
        Route of the search, in this node's version.
    n_records : int
        Most records of the answer, in the other node's version of the route.
    upstream_ids : tuple of str
        The named upstreams.
    shards : list of Shard
        One for each named upstream; only the first leg of each is ever sent.
    is_rest : bool
        Whether its legs were late in an earlier group.
    outcomes : list of LegOutcome or None
        None for each leg that is still open.
    deadline : float
        Time at which the other node expects the answer.
    latency : SearchLatency
        When the legs are late.
    arrived_at : float
        Time of arrival.
    is_finished : bool
        Whether it was answered, or the other node disconnected. Its late legs may still
        be open.
    """

    __slots__ = (
        "arrived_at",
        "deadline",
        "is_finished",
        "is_rest",
        "latency",
        "n_open_legs",
        "n_records",
        "outcomes",
        "request",
        "request_id",
        "route",
        "shards",
        "upstream_ids",
    )

    def __init__(self, event, route, now):
        self.request = event.request
        self.request_id = event.request_id
        self.upstream_ids = event.upstream_ids
        self.n_records = event.n_records
        self.is_rest = event.is_rest
        self.deadline = now + event.wait_ms / 1000.0
        self.route = route
        self.arrived_at = now
        self.shards = []
        self.outcomes = []
        self.n_open_legs = 0
        self.latency = None
        self.is_finished = False


class GroupServer:
    """Gathers legs for other nodes.

    Parameters
    ----------
    directory : Directory
        The upstreams.
    find_route_latency : callable
        ``find_route_latency(route)`` returns the latency of a route's earlier requests.
    """

    def __init__(self, directory, find_route_latency):
        self._directory = directory
        self._find_route_latency = find_route_latency
        self._n_open_legs = 0
        # Answered groups with late legs, by the request's id.
        self._lingering = {}

    def handle_request(self, event, route, now, effects):
        """Send the legs of a group, or decline it if this node gathers too many."""
        if event.is_rest:
            self._handle_rest(event, route, now, effects)
            return
        if self._n_open_legs + len(event.upstream_ids) > MAX_PEER_LEGS:
            reason = f"{self._n_open_legs} legs of other nodes are open"
            effects.append(fx.DeclineHandOver(event.request, reason))
            return
        group = PeerGroup(event, route, now)
        n_legs = len(event.upstream_ids)
        group.latency = SearchLatency(self._find_route_latency(route), n_legs)
        for upstream_id in event.upstream_ids:
            upstream = self._find_upstream(upstream_id, now)
            group.outcomes.append(LegOutcome(UNSENT) if upstream is None else None)
            shard = Shard("" if upstream is None else upstream.entry.service)
            group.shards.append(shard)
            if upstream is None:
                continue
            leg = Leg(group, shard, upstream, now)
            shard.legs.append(leg)
            upstream.n_open_legs += 1
            group.n_open_legs += 1
            self._n_open_legs += 1
            effects.append(fx.SendLeg(leg, event.timeout_ms))
        self._answer_if_complete(group, now, effects)
        if not group.is_finished:
            self._set_timer(group, effects)

    def _handle_rest(self, event, route, now, effects):
        """Take over the late legs of an earlier group that the other node needs."""
        group = PeerGroup(event, route, now)
        earlier = self._lingering.pop(event.request_id, None)
        by_id = {}
        if earlier is not None:
            group.latency = earlier.latency
            parts = zip(earlier.shards, earlier.outcomes, strict=True)
            by_id = dict(zip(earlier.upstream_ids, parts, strict=True))
        for upstream_id in event.upstream_ids:
            # A leg that was cancelled meanwhile is not sent again.
            shard, outcome = by_id.pop(upstream_id, (Shard(""), LegOutcome(CANCELLED)))
            group.shards.append(shard)
            group.outcomes.append(outcome)
            for leg in shard.legs:
                leg.query = group
                group.n_open_legs += 1
        if earlier is not None:
            earlier.n_open_legs -= group.n_open_legs
            for shard, _ in by_id.values():
                self._cancel_legs(shard, effects)
        if any(group.outcomes):
            self._answer(group, now, effects)
        else:
            effects.append(fx.SetTimer(group, group.deadline))

    def _find_upstream(self, upstream_id, now):
        """Return an upstream that may be sent a leg, or None.

        This node may know that it leaves or is cold while the other one does not.
        """
        upstream = self._directory.get(upstream_id)
        if upstream is None or now < upstream.cold_until:
            return None
        usable = self._directory.list_usable(upstream.entry.service)
        return upstream if upstream in usable else None

    def handle_response(self, event, now, effects):
        """Handle the response to a leg."""
        leg = event.leg
        group = leg.query
        if not self._remove(leg):
            return
        elapsed_ms = leg.compute_age_ms(now)
        has_new_estimate = False
        if event.is_proven_unexecuted:
            outcome = LegOutcome(NOT_RUN, b"", elapsed_ms, event.load)
        elif 200 <= event.status < 300 and event.signature:
            outcome = LegOutcome(ANSWERED, event.signature, elapsed_ms, event.load)
            leg.shard.body = event.body
            has_new_estimate = group.latency.record_response(
                leg.upstream, elapsed_ms, now
            )
        else:
            outcome = LegOutcome(FAILED, b"", elapsed_ms, event.load)
        self._settle(leg, outcome, now, effects)
        if has_new_estimate and not group.is_finished:
            self._set_timer(group, effects)

    def handle_failure(self, event, now, effects):
        """Handle a leg that ended without a response."""
        leg = event.leg
        if self._remove(leg):
            result = FAILED if event.was_sent else UNSENT
            elapsed_ms = leg.compute_age_ms(now)
            self._settle(leg, LegOutcome(result, b"", elapsed_ms), now, effects)

    def handle_timeout(self, group, now, effects):
        """Answer with what was received, or end the time for the rest."""
        if not group.is_finished:
            self._answer(group, now, effects)
        elif self._lingering.get(group.request_id) is group:
            del self._lingering[group.request_id]
            self._cancel_open_legs(group, effects)

    def handle_disconnect(self, group, now, effects):
        """Cancel the legs of a group that the other node gave up."""
        if not group.is_finished:
            group.is_finished = True
            self._cancel_open_legs(group, effects)

    def _remove(self, leg):
        """Remove a leg; return whether it was open."""
        if leg not in leg.shard.legs:
            return False
        leg.shard.legs.remove(leg)
        leg.upstream.n_open_legs -= 1
        leg.query.n_open_legs -= 1
        self._n_open_legs -= 1
        return True

    def _settle(self, leg, outcome, now, effects):
        group = leg.query
        group.outcomes[group.shards.index(leg.shard)] = outcome
        self._answer_if_complete(group, now, effects)

    def _answer_if_complete(self, group, now, effects):
        is_complete = group.is_rest or not group.n_open_legs
        if is_complete and not group.is_finished:
            self._answer(group, now, effects)

    def _answer(self, group, now, effects):
        group.is_finished = True
        outcomes = list(group.outcomes)
        for index, shard in enumerate(group.shards):
            for leg in shard.legs:
                outcomes[index] = LegOutcome(LATE, b"", leg.compute_age_ms(now))
        parts = [shard.body for shard in group.shards if shard.body is not None]
        body = merge_parts(parts, group.n_records)
        effects.append(fx.AnswerGroup(group.request, tuple(outcomes), body))
        if len(parts) < len(group.shards):
            # Complete groups are only counted, as a busy node answers many.
            fields = {
                "request": group.request_id,
                "legs": len(group.shards),
                "answered": len(parts),
                "ms": round((now - group.arrived_at) * 1000.0, 1),
            }
            effects.append(fx.Report("legs gathered", fields))
        if group.n_open_legs:
            # Two nodes may run the same search after a lost acceptance.
            earlier = self._lingering.get(group.request_id)
            if earlier is not None:
                self._cancel_open_legs(earlier, effects)
            self._lingering[group.request_id] = group
            effects.append(fx.SetTimer(group, now + LINGER_S))

    def _cancel_open_legs(self, group, effects):
        for shard in group.shards:
            self._cancel_legs(shard, effects)

    def _cancel_legs(self, shard, effects):
        for leg in list(shard.legs):
            self._remove(leg)
            effects.append(fx.CancelLeg(leg))

    def _set_timer(self, group, effects):
        late_at = group.arrived_at + group.latency.late_after_ms / 1000.0
        effects.append(fx.SetTimer(group, min(group.deadline, late_at)))
