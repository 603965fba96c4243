"""The entry node's side of searches.

A search is sent as one leg for each shard. Late legs are hedged, refused ones are
retried, and the caller gets the merged hits before its deadline.
"""

import math
from itertools import count

from heatherpick._core.effects import (
    AnswerCaller,
    CancelTimer,
    Count,
    EndSpan,
    Observe,
    SendPeer,
    SetTimer,
)
from heatherpick._core.leg_routing import LegRouter
from heatherpick._core.messages import (
    LegBatch,
    LegCancel,
    LegSpec,
    LegStatus,
    Outcome,
)
from heatherpick._core.pace import HedgePolicy
from heatherpick._core.queries import OpenLeg, Query
from heatherpick._core.replicas import ReplicaSelector
from heatherpick.declarations import AnswerPreference

__all__ = ["Searches"]

#: Share of the usable time after which a service that prefers a low tail latency may
#: answer without all shards.
EARLY_ANSWER_SHARE = 0.75
#: Most attempts at one shard within one query that may have reached an upstream.
MAX_ATTEMPTS = 5
#: First delay before a shard that no replica admitted is retried, in milliseconds.
#: It doubles with each round, so that retries of refused legs do not add to an
#: overload.
INITIAL_BACKOFF_MS = 8.0
#: Longest such delay, in milliseconds.
MAX_BACKOFF_MS = 40.0
#: Share of a query's shards that may still be open when its last legs are hedged, as
#: a multiple of the service's hedge budget.
LAST_LEGS_FACTOR = 2.0
#: Delay before the last legs are hedged, as a share of the query's age.
LAST_HEDGE_DELAY_SHARE = 0.25
#: Remaining time below which no more legs are sent, in milliseconds.
MIN_REMAINING_MS = 2.0

#: Lowest coverage with which an early answer may be sent, 0 to 1.
MIN_EARLY_COVERAGE = 0.9

#: Statuses that prove that the upstream did no work for the leg.
_PROVEN_UNSTARTED = frozenset({LegStatus.NOT_SENT, LegStatus.SHED, LegStatus.GONE})


class Searches:
    """The searches that this node has accepted from callers and not yet answered.

    Parameters
    ----------
    data_centre : str
        Name of this node's data centre.
    documents : Documents
        Holds the declarations and drains in force.
    members : Members
        Knows which node owns each group of upstreams.
    rng : random.Random
        Breaks ties in the choice of replicas.
    """

    def __init__(self, data_centre, documents, members, rng):
        self._documents = documents
        self._selector = ReplicaSelector(rng)
        self._router = LegRouter(data_centre, documents, members, self._selector)
        self._queries = {}
        self._hedge_policies = {}
        self._leg_ids = count(1)

    @property
    def is_idle(self):
        """Whether no search is in progress."""
        return not self._queries

    def begin(self, event, now):
        """Start a caller's search and send its legs.

        Parameters
        ----------
        event : RequestArrived
            The request; its service is known and repeatable.
        now : float
            Time in seconds.

        Returns
        -------
        list
            Effects.
        """
        declarations = self._documents.declarations
        service = declarations.services[event.service]
        query = self._build_query(event, service, declarations, now)
        if query.snapshot.n_shards == 0:
            return [_refuse(event.request_id, "no shards are published")]
        self._queries[query.request_id] = query
        self._get_hedge_policy(service).deposit(query.snapshot.n_shards)
        effects = self._send_shards(query, range(query.snapshot.n_shards), now)
        return effects + self._arm_timer(query, now)

    def handle_results(self, node, message, now):
        """Handle the outcomes of some legs of a query.

        Outcomes of a query that has been answered, or of a leg that is not open at
        ``node``, are dropped and counted: they are late, duplicate or crossed.

        Parameters
        ----------
        node : str
            Node that sent the outcomes.
        message : LegResults
            The outcomes.
        now : float
            Time in seconds.

        Returns
        -------
        list
            Effects.
        """
        query = self._queries.get(message.request_id)
        if query is None:
            return [Count("dropped_outcomes", "late", len(message.outcomes))]
        effects = []
        retry_shards = []
        for outcome in message.outcomes:
            leg = query.open_legs.get(outcome.leg_id)
            if leg is None or leg.owner != node or leg.shard != outcome.shard:
                effects.append(Count("dropped_outcomes", "unexpected"))
                continue
            self._handle_outcome(query, leg, outcome, now, effects, retry_shards)
        effects.extend(self._advance(query, retry_shards, now))
        return effects

    def handle_peer_lost(self, node, now):
        """Retry the open legs of a lost owner at other nodes; return effects."""
        effects = []
        for query in list(self._queries.values()):
            lost_ids = [
                leg_id for leg_id, leg in query.open_legs.items() if leg.owner == node
            ]
            if not lost_ids:
                continue
            retry_shards = []
            for leg_id in lost_ids:
                self._fail_leg(query, leg_id, "owner lost", now, retry_shards)
            effects.extend(self._advance(query, retry_shards, now))
        return effects

    def handle_caller_gone(self, request_id, now):
        """Cancel the search of a caller that has disconnected; return effects."""
        query = self._queries.pop(request_id, None)
        if query is None:
            return []
        return [Count("callers_gone"), *self._cancel_all(query)]

    def handle_documents_changed(self, now):
        """Restart the queries that wait for a newer snapshot; return effects."""
        effects = []
        for query in list(self._queries.values()):
            if self._can_restart(query):
                effects.extend(self._restart(query, now))
        return effects

    def handle_timer(self, name, now):
        """Retry, hedge or answer the query whose timer fired.

        Parameters
        ----------
        name : str
            ``searches:<request id>``.
        now : float
            Time in seconds.

        Returns
        -------
        list
            Effects.
        """
        query = self._queries.get(name.partition(":")[2])
        if query is None:
            return []
        if now >= query.answer_by or self._may_answer_early(query, now):
            return self._answer(query, now)
        effects = []
        if query.waiting_shards and now >= query.retry_at:
            query.refusing_upstreams.clear()
            query.n_retry_rounds += 1
            effects = self._send_shards(query, sorted(query.waiting_shards), now)
        effects.extend(self._hedge_late_legs(query, now))
        return effects + self._arm_timer(query, now)

    def describe(self):
        """Return the counts for the status page, as a dict."""
        return {
            "n_open_searches": len(self._queries),
            "hedges": {
                name: {
                    "age_ms": round(policy.hedge_delay_ms, 2),
                    "n_legs": policy.hedge_bucket.n_legs_seen,
                    "n_hedges": policy.hedge_bucket.n_withdrawn,
                    "n_extra": policy.extra_bucket.n_withdrawn,
                }
                for name, policy in sorted(self._hedge_policies.items())
            },
        }

    def _build_query(self, event, service, declarations, now):
        deadline = declarations.deadlines[service.deadline]
        total_ms = deadline.total_ms
        if event.deadline_ms is not None:
            total_ms = min(total_ms, event.deadline_ms)
        usable_s = max(0.0, total_ms - deadline.margin_ms) / 1000.0
        time_share = (
            EARLY_ANSWER_SHARE if service.weigh is AnswerPreference.TAIL else 1.0
        )
        return Query(
            request_id=event.request_id,
            service=service,
            snapshot=declarations.snapshots[service.shard_set],
            body=event.body,
            traceparent=event.traceparent,
            started_at=now,
            answer_by=now + usable_s,
            early_answer_from=now + usable_s * time_share,
        )

    def _get_hedge_policy(self, service):
        policy = self._hedge_policies.get(service.name)
        if policy is None or policy.hedge_bucket.share != service.hedge_budget:
            policy = self._hedge_policies[service.name] = HedgePolicy(service)
        return policy

    def _send_shards(self, query, shards, now, is_hedge=False):
        if (query.answer_by - now) * 1000.0 < MIN_REMAINING_MS:
            return []
        legs_by_owner = {}
        for shard in shards:
            self._start_leg(query, shard, is_hedge, legs_by_owner, now)
        return [
            SendPeer(owner, self._build_batch(query, legs, now))
            for owner, legs in legs_by_owner.items()
        ]

    def _start_leg(self, query, shard, is_hedge, legs_by_owner, now):
        upstream, owner = "", ""
        if len(query.tried_upstreams.get(shard, ())) < MAX_ATTEMPTS:
            upstream, owner = self._router.choose_target(query, shard, is_hedge, now)
        if not upstream:
            query.count_reason("no replica in service")
            if not is_hedge:
                query.waiting_shards.add(shard)
            return
        query.waiting_shards.discard(shard)
        leg_id = next(self._leg_ids)
        query.open_leg(leg_id, OpenLeg(shard, upstream, owner, now, is_hedge))
        query.n_legs += 1
        self._selector.record_start(upstream)
        legs_by_owner.setdefault(owner, []).append(LegSpec(leg_id, upstream, shard))

    def _build_batch(self, query, legs, now):
        return LegBatch(
            request_id=query.request_id,
            service=query.service.name,
            shard_set=query.snapshot.shard_set,
            version=query.snapshot.version,
            priority=query.service.priority,
            remaining_ms=(query.answer_by - now) * 1000.0,
            query=query.body,
            traceparent=query.traceparent,
            legs=tuple(legs),
        )

    def _handle_outcome(self, query, leg, outcome, now, effects, retry_shards):
        query.close_leg(outcome.leg_id)
        elapsed_ms = (now - leg.sent_at) * 1000.0
        status = outcome.status
        if status is LegStatus.ANSWERED and outcome.version != query.snapshot.version:
            # An answer must come from one snapshot, so hits of another version are
            # unusable, whichever side is at fault.
            effects.append(Count("dropped_outcomes", "wrong version"))
            status = LegStatus.UNKNOWN
        self._selector.record_end(leg.upstream, status, elapsed_ms, now)
        if status not in _PROVEN_UNSTARTED:
            query.may_have_started = True
        effects.append(_build_leg_span(query, leg, status, now))
        if status is LegStatus.ANSWERED:
            self._get_hedge_policy(query.service).add_latency(elapsed_ms)
            self._add_hits(query, outcome, now, effects)
            return
        query.count_reason(outcome.reason or status.name.lower())
        effects.append(Count("legs_unanswered", status.name.lower()))
        if status is LegStatus.GONE:
            query.needs_newer_snapshot = True
        if status in _PROVEN_UNSTARTED:
            query.record_refusal(leg)
        self._plan_retry(query, leg.shard, status, retry_shards)

    def _add_hits(self, query, outcome, now, effects):
        if not query.add_hits(outcome.shard, outcome.hits):
            return
        loser_ids = query.list_open_ids(outcome.shard)
        for leg_id in loser_ids:
            # The loser's latency is at least its present age. Without that sample
            # the hedge delay would follow only the legs that were fast enough.
            waited_ms = (now - query.open_legs[leg_id].sent_at) * 1000.0
            self._get_hedge_policy(query.service).add_latency(waited_ms)
        effects.extend(self._cancel_legs(query, loser_ids))

    def _fail_leg(self, query, leg_id, reason, now, retry_shards):
        leg = query.close_leg(leg_id)
        self._selector.record_end(leg.upstream, LegStatus.UNKNOWN, 0.0, now)
        query.may_have_started = True
        query.count_reason(reason)
        self._plan_retry(query, leg.shard, LegStatus.UNKNOWN, retry_shards)

    def _plan_retry(self, query, shard, status, retry_shards):
        if shard in query.hits or query.open_ids_by_shard.get(shard):
            return
        if status not in _PROVEN_UNSTARTED:
            # The upstream may have done the work already, so a retry is extra load.
            if not self._get_hedge_policy(query.service).extra_bucket.try_withdraw():
                query.count_reason("retry budget spent")
                return
        retry_shards.append(shard)

    def _advance(self, query, retry_shards, now):
        if query.is_complete:
            return self._answer(query, now)
        if self._can_restart(query):
            return self._restart(query, now)
        effects = []
        replicas = query.snapshot.replicas
        retry_now = [
            each for each in retry_shards if query.list_untried(each, replicas[each])
        ]
        query.waiting_shards.update(
            shard for shard in retry_shards if shard not in retry_now
        )
        effects.extend(self._send_shards(query, retry_now, now))
        if self._is_exhausted(query):
            return effects + self._answer(query, now)
        is_scheduled = self._schedule_last_hedges(query, now)
        if query.waiting_shards or is_scheduled:
            effects.extend(self._arm_timer(query, now))
        return effects

    def _schedule_last_hedges(self, query, now):
        """Set the time at which the last open legs are hedged, once few are open.

        When all but a few legs have answered, the query itself shows how long a leg
        takes at present. The hedge delay is estimated over many queries and does not
        show whether all legs are fast or slow at this moment.

        Returns
        -------
        bool
            Whether the time was set by this call.
        """
        if query.hedge_last_legs_at < math.inf:
            return False
        n_last = LAST_LEGS_FACTOR * query.service.hedge_budget * query.snapshot.n_shards
        if query.snapshot.n_shards - query.n_covered > max(1.0, n_last):
            return False
        query.hedge_last_legs_at = now + LAST_HEDGE_DELAY_SHARE * (
            now - query.started_at
        )
        return True

    def _is_exhausted(self, query):
        if query.open_legs or query.needs_newer_snapshot:
            return False
        return all(
            len(query.tried_upstreams.get(shard, ())) >= MAX_ATTEMPTS
            or shard not in query.waiting_shards
            for shard in query.list_missing()
        )

    def _can_restart(self, query):
        if query.has_restarted or not query.needs_newer_snapshot:
            return False
        newest = self._documents.declarations.snapshots.get(query.snapshot.shard_set)
        return newest is not None and newest.version > query.snapshot.version

    def _restart(self, query, now):
        effects = self._cancel_legs(query, tuple(query.open_legs))
        query.restart_on(
            self._documents.declarations.snapshots[query.snapshot.shard_set]
        )
        effects.append(Count("queries_moved", query.service.name))
        shards = range(query.snapshot.n_shards)
        effects.extend(self._send_shards(query, shards, now))
        return effects + self._arm_timer(query, now)

    def _hedge_late_legs(self, query, now):
        policy = self._get_hedge_policy(query.service)
        late_legs = [
            leg
            for leg in query.open_legs.values()
            if not leg.is_hedge
            and len(query.open_ids_by_shard[leg.shard]) == 1
            and (
                now >= query.hedge_last_legs_at
                or (now - leg.sent_at) * 1000.0 >= policy.hedge_delay_ms
            )
        ]
        late_legs.sort(key=lambda leg: leg.sent_at)
        shards = []
        for leg in late_legs:
            waited_ms = (now - leg.sent_at) * 1000.0
            self._selector.record_wait(leg.upstream, waited_ms, now)
            if not policy.try_withdraw_hedge():
                break
            shards.append(leg.shard)
        if not shards:
            return []
        effects = self._send_shards(query, shards, now, is_hedge=True)
        return [Count("extra_legs", "hedge", len(shards)), *effects]

    def _may_answer_early(self, query, now):
        if (
            now < query.early_answer_from
            or query.service.weigh is not AnswerPreference.TAIL
        ):
            return False
        return query.coverage >= max(query.service.least_coverage, MIN_EARLY_COVERAGE)

    def _arm_timer(self, query, now):
        due_at = query.answer_by
        if now < query.early_answer_from:
            due_at = query.early_answer_from
        if query.waiting_shards:
            if query.retry_at <= now:
                query.retry_at = now + _get_backoff_s(query.n_retry_rounds)
            due_at = min(due_at, query.retry_at)
        if query.open_legs:
            delay_s = self._get_hedge_policy(query.service).hedge_delay_ms / 1000.0
            oldest_sent_at = min(leg.sent_at for leg in query.open_legs.values())
            # A leg that is already late was not hedged because the budget was used
            # up. Other queries may have refilled it by the next timer.
            due_at = min(due_at, max(oldest_sent_at, now - delay_s / 2.0) + delay_s)
            if query.hedge_last_legs_at > now:
                due_at = min(due_at, query.hedge_last_legs_at)
        after_ms = max(0.1, (due_at - now) * 1000.0)
        return [SetTimer(f"searches:{query.request_id}", after_ms)]

    def _answer(self, query, now):
        del self._queries[query.request_id]
        elapsed_ms = (now - query.started_at) * 1000.0
        name = query.service.name
        outcome, reason = _determine_outcome(query)
        effects = self._cancel_all(query)
        effects.append(Observe("search_ms", name, elapsed_ms))
        effects.append(Count("searches", f"{name}/{outcome.name.lower()}"))
        effects.append(Count("shards_covered", name, query.n_covered))
        effects.append(Count("shards_asked", name, query.snapshot.n_shards))
        effects.append(
            AnswerCaller(
                request_id=query.request_id,
                outcome=outcome,
                reason=reason,
                hits=query.merge_hits(),
                n_shards=query.snapshot.n_shards,
                n_covered=query.n_covered,
                missing=query.list_missing(),
                version=query.snapshot.version,
            )
        )
        return effects

    def _cancel_all(self, query):
        effects = self._cancel_legs(query, tuple(query.open_legs))
        effects.append(CancelTimer(f"searches:{query.request_id}"))
        return effects

    def _cancel_legs(self, query, leg_ids):
        ids_by_owner = {}
        for leg_id in leg_ids:
            leg = query.close_leg(leg_id)
            self._selector.record_cancel(leg.upstream)
            query.may_have_started = True
            ids_by_owner.setdefault(leg.owner, []).append(leg_id)
        return [
            SendPeer(owner, LegCancel(query.request_id, tuple(ids)))
            for owner, ids in ids_by_owner.items()
        ]


def _get_backoff_s(n_rounds):
    return min(INITIAL_BACKOFF_MS * 2.0**n_rounds, MAX_BACKOFF_MS) / 1000.0


def _refuse(request_id, reason):
    return AnswerCaller(request_id, Outcome.NOT_RUN, reason)


def _determine_outcome(query):
    if query.is_complete:
        return Outcome.ANSWERED, ""
    # NOT_RUN is true only if no leg started, and a leg that is still open may have.
    if not query.hits and not query.may_have_started and not query.open_legs:
        return Outcome.NOT_RUN, query.get_main_reason()
    if query.coverage < query.service.least_coverage:
        return Outcome.PARTIAL, "below least coverage"
    return Outcome.PARTIAL, query.get_main_reason() or "deadline"


def _build_leg_span(query, leg, status, now):
    return EndSpan(
        traceparent=query.traceparent,
        name="leg",
        started=leg.sent_at,
        ended=now,
        attributes=(
            ("upstream", leg.upstream),
            ("owner", leg.owner),
            ("shard", leg.shard),
            ("hedge", leg.is_hedge),
            ("status", status.name.lower()),
        ),
    )
