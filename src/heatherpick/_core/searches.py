"""Entry side of a search: spread the legs, hedge late ones, merge, answer in time."""

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
from heatherpick._core.messages import (
    LegBatch,
    LegCancel,
    LegSpec,
    LegStatus,
    Outcome,
)
from heatherpick._core.pace import Pace
from heatherpick._core.queries import OpenLeg, Query
from heatherpick._core.replicas import Replicas
from heatherpick._core.targets import Targets
from heatherpick.declarations import AnswerPreference

__all__ = ["Searches"]

#: Part of the time after which a service that weighs its tail settles for less.
TAIL_PATIENCE = 0.75
#: Attempts at one shard within one query that may have reached an upstream.
MAX_ATTEMPTS = 5
#: Wait before a shard that nobody admitted is tried again, in milliseconds. It
#: doubles with each round, so that refusals do not become the load.
RETRY_MS = 8.0
#: Longest such wait, in milliseconds.
LONGEST_RETRY_MS = 40.0
#: Open legs that count as the last of a query, in times the hedging budget.
LAST_LEGS = 2.0
#: Wait before the last legs are hedged, as a part of the query's age.
LAST_WAIT = 0.25
#: Time below which nothing is sent any more, in milliseconds.
LEAST_REMAINING_MS = 2.0

#: Least coverage for which an answer may be sent before the deadline, 0 to 1.
LEAST_SETTLED = 0.9

_PROVED_UNSTARTED = frozenset({LegStatus.NOT_SENT, LegStatus.SHED, LegStatus.GONE})


class Searches:
    """Every search that this node has taken from a caller and not yet answered.

    Parameters
    ----------
    data_centre : str
        Name of this node's data centre.
    documents : Documents
        Gives the declarations and drains in force.
    members : Members
        Tells which node owns a group.
    rng : random.Random
        Breaks ties in the choice of replicas.
    """

    def __init__(self, data_centre, documents, members, rng):
        self._documents = documents
        self._replicas = Replicas(rng)
        self._targets = Targets(data_centre, documents, members, self._replicas)
        self._queries = {}
        self._paces = {}
        self._leg_ids = count(1)

    @property
    def is_idle(self):
        """Whether no search is waiting for its answer."""
        return not self._queries

    def begin(self, event, now):
        """Take a caller's search and send its legs.

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
        self._pace(service).earn(query.snapshot.n_shards)
        effects = self._send_shards(query, range(query.snapshot.n_shards), now)
        return effects + self._arm(query, now)

    def results(self, node, message, now):
        """Take the outcomes of some legs of a query.

        Outcomes of a query that has been answered, or of a leg that is not open at
        that node, are dropped and counted: they are late, doubled or crossed.
        """
        query = self._queries.get(message.request_id)
        if query is None:
            return [Count("dropped_outcomes", "late", len(message.outcomes))]
        effects = []
        retries = []
        for outcome in message.outcomes:
            leg = query.open_legs.get(outcome.leg_id)
            if leg is None or leg.owner != node or leg.shard != outcome.shard:
                effects.append(Count("dropped_outcomes", "unexpected"))
                continue
            self._end_leg(query, leg, outcome, now, effects, retries)
        effects.extend(self._advance(query, retries, now))
        return effects

    def peer_lost(self, node, now):
        """Try elsewhere what a lost owner has not answered."""
        effects = []
        for query in list(self._queries.values()):
            lost = [
                leg_id for leg_id, leg in query.open_legs.items() if leg.owner == node
            ]
            if not lost:
                continue
            retries = []
            for leg_id in lost:
                self._lose_leg(query, leg_id, "owner lost", now, retries)
            effects.extend(self._advance(query, retries, now))
        return effects

    def caller_gone(self, request_id, now):
        """Cancel what a caller no longer waits for."""
        query = self._queries.pop(request_id, None)
        if query is None:
            return []
        return [Count("callers_gone"), *self._cancel_all(query)]

    def documents_changed(self, now):
        """Move the queries on that wait for a newer snapshot."""
        effects = []
        for query in list(self._queries.values()):
            if self._may_move(query):
                effects.extend(self._move(query, now))
        return effects

    def timer(self, name, now):
        """Retry, hedge or answer a query whose time has come.

        Parameters
        ----------
        name : str
            ``searches:<request id>``.
        now : float
            Time in seconds.
        """
        query = self._queries.get(name.partition(":")[2])
        if query is None:
            return []
        if now >= query.answer_at or self._may_settle(query, now):
            return self._answer(query, now)
        effects = []
        if query.waiting and now >= query.retry_at:
            query.refused.clear()
            query.n_retry_rounds += 1
            effects = self._send_shards(query, sorted(query.waiting), now)
        effects.extend(self._hedge(query, now))
        return effects + self._arm(query, now)

    def describe(self):
        """Return counts for the status page."""
        return {
            "n_open_searches": len(self._queries),
            "hedges": {
                name: {
                    "age_ms": round(pace.hedge_age_ms, 2),
                    "n_legs": pace.hedges.n_earned,
                    "n_hedges": pace.hedges.n_spent,
                    "n_extra": pace.extra.n_spent,
                }
                for name, pace in sorted(self._paces.items())
            },
        }

    def _build_query(self, event, service, declarations, now):
        deadline = declarations.deadlines[service.deadline]
        total_ms = deadline.total_ms
        if event.deadline_ms is not None:
            total_ms = min(total_ms, event.deadline_ms)
        usable_s = max(0.0, total_ms - deadline.margin_ms) / 1000.0
        patience = TAIL_PATIENCE if service.weigh is AnswerPreference.TAIL else 1.0
        return Query(
            request_id=event.request_id,
            service=service,
            snapshot=declarations.snapshots[service.shard_set],
            body=event.body,
            traceparent=event.traceparent,
            started=now,
            answer_at=now + usable_s,
            settle_at=now + usable_s * patience,
        )

    def _pace(self, service):
        pace = self._paces.get(service.name)
        if pace is None or pace.hedges.share != service.hedge_budget:
            pace = self._paces[service.name] = Pace(service)
        return pace

    def _send_shards(self, query, shards, now, hedge=False):
        if (query.answer_at - now) * 1000.0 < LEAST_REMAINING_MS:
            return []
        by_owner = {}
        for shard in shards:
            self._send_shard(query, shard, hedge, by_owner, now)
        return [
            SendPeer(owner, self._build_batch(query, legs, now))
            for owner, legs in by_owner.items()
        ]

    def _send_shard(self, query, shard, hedge, by_owner, now):
        upstream, owner = "", ""
        if len(query.tried.get(shard, ())) < MAX_ATTEMPTS:
            upstream, owner = self._targets.choose(query, shard, hedge, now)
        if not upstream:
            query.note_reason("no replica in service")
            if not hedge:
                query.waiting.add(shard)
            return
        query.waiting.discard(shard)
        leg_id = next(self._leg_ids)
        query.open_leg(leg_id, OpenLeg(shard, upstream, owner, now, hedge))
        query.n_legs += 1
        self._replicas.begin(upstream)
        by_owner.setdefault(owner, []).append(LegSpec(leg_id, upstream, shard))

    def _build_batch(self, query, legs, now):
        return LegBatch(
            request_id=query.request_id,
            service=query.service.name,
            shard_set=query.snapshot.shard_set,
            version=query.snapshot.version,
            priority=query.service.priority,
            remaining_ms=(query.answer_at - now) * 1000.0,
            query=query.body,
            traceparent=query.traceparent,
            legs=tuple(legs),
        )

    def _end_leg(self, query, leg, outcome, now, effects, retries):
        query.close_leg(outcome.leg_id)
        elapsed_ms = (now - leg.sent) * 1000.0
        status = outcome.status
        if status is LegStatus.ANSWERED and outcome.version != query.snapshot.version:
            # Mixing versions would break the promise of one snapshot, so an answer
            # of another version is worth nothing, whoever is to blame for it.
            effects.append(Count("dropped_outcomes", "wrong version"))
            status = LegStatus.UNKNOWN
        self._replicas.end(leg.upstream, status, elapsed_ms, now)
        if status not in _PROVED_UNSTARTED:
            query.started_work = True
        effects.append(_build_leg_span(query, leg, status, now))
        if status is LegStatus.ANSWERED:
            self._pace(query.service).learn(elapsed_ms)
            self._cover(query, outcome, now, effects)
            return
        query.note_reason(outcome.reason or status.name.lower())
        effects.append(Count("legs_unanswered", status.name.lower()))
        if status is LegStatus.GONE:
            query.wants_move = True
        if status in _PROVED_UNSTARTED:
            query.retract(leg)
        self._plan_retry(query, leg.shard, status, retries)

    def _cover(self, query, outcome, now, effects):
        if not query.cover(outcome.shard, outcome.hits):
            return
        losers = query.list_open(outcome.shard)
        for leg_id in losers:
            # The loser's time is a lower bound. Without it the hedging age would
            # only ever learn from legs that were fast enough.
            waited_ms = (now - query.open_legs[leg_id].sent) * 1000.0
            self._pace(query.service).learn(waited_ms)
        effects.extend(self._cancel(query, losers))

    def _lose_leg(self, query, leg_id, reason, now, retries):
        leg = query.close_leg(leg_id)
        self._replicas.end(leg.upstream, LegStatus.UNKNOWN, 0.0, now)
        query.started_work = True
        query.note_reason(reason)
        self._plan_retry(query, leg.shard, LegStatus.UNKNOWN, retries)

    def _plan_retry(self, query, shard, status, retries):
        if shard in query.hits or query.open_of.get(shard):
            return
        if status not in _PROVED_UNSTARTED:
            # The upstream may have worked for nothing: doing it again is extra load.
            if not self._pace(query.service).extra.spend():
                query.note_reason("retry budget spent")
                return
        retries.append(shard)

    def _advance(self, query, retries, now):
        if query.is_complete:
            return self._answer(query, now)
        if self._may_move(query):
            return self._move(query, now)
        effects = []
        replicas = query.snapshot.replicas
        fresh = [each for each in retries if query.list_fresh(each, replicas[each])]
        query.waiting.update(shard for shard in retries if shard not in fresh)
        effects.extend(self._send_shards(query, fresh, now))
        if self._is_hopeless(query):
            return effects + self._answer(query, now)
        is_new = self._plan_last_hedge(query, now)
        if query.waiting or is_new:
            effects.extend(self._arm(query, now))
        return effects

    def _plan_last_hedge(self, query, now):
        """Set when the last open legs are hedged; return whether that is new.

        When all but a few legs have answered, this query itself shows how long a
        leg takes at present. The hedging age, learnt from many queries, cannot know
        that all of them are fast or slow just now.
        """
        if query.last_hedge_at < math.inf:
            return False
        n_last = LAST_LEGS * query.service.hedge_budget * query.snapshot.n_shards
        if query.snapshot.n_shards - query.n_covered > max(1.0, n_last):
            return False
        query.last_hedge_at = now + LAST_WAIT * (now - query.started)
        return True

    def _is_hopeless(self, query):
        if query.open_legs or query.wants_move:
            return False
        return all(
            len(query.tried.get(shard, ())) >= MAX_ATTEMPTS
            or shard not in query.waiting
            for shard in query.list_missing()
        )

    def _may_move(self, query):
        if query.moved or not query.wants_move:
            return False
        newest = self._documents.declarations.snapshots.get(query.snapshot.shard_set)
        return newest is not None and newest.version > query.snapshot.version

    def _move(self, query, now):
        effects = self._cancel(query, tuple(query.open_legs))
        query.move_to(self._documents.declarations.snapshots[query.snapshot.shard_set])
        effects.append(Count("queries_moved", query.service.name))
        shards = range(query.snapshot.n_shards)
        effects.extend(self._send_shards(query, shards, now))
        return effects + self._arm(query, now)

    def _hedge(self, query, now):
        pace = self._pace(query.service)
        late = [
            leg
            for leg in query.open_legs.values()
            if not leg.hedge
            and len(query.open_of[leg.shard]) == 1
            and (
                now >= query.last_hedge_at
                or (now - leg.sent) * 1000.0 >= pace.hedge_age_ms
            )
        ]
        late.sort(key=lambda leg: leg.sent)
        shards = []
        for leg in late:
            waited_ms = (now - leg.sent) * 1000.0
            self._replicas.learn_wait(leg.upstream, waited_ms, now)
            if not pace.spend_hedge():
                break
            shards.append(leg.shard)
        if not shards:
            return []
        effects = self._send_shards(query, shards, now, hedge=True)
        return [Count("extra_legs", "hedge", len(shards)), *effects]

    def _may_settle(self, query, now):
        if now < query.settle_at or query.service.weigh is not AnswerPreference.TAIL:
            return False
        return query.coverage >= max(query.service.least_coverage, LEAST_SETTLED)

    def _arm(self, query, now):
        due = query.answer_at
        if now < query.settle_at:
            due = query.settle_at
        if query.waiting:
            if query.retry_at <= now:
                query.retry_at = now + _get_retry_wait(query.n_retry_rounds)
            due = min(due, query.retry_at)
        if query.open_legs:
            age_s = self._pace(query.service).hedge_age_ms / 1000.0
            oldest = min(leg.sent for leg in query.open_legs.values())
            # A leg that is late already was not hedged for want of budget, which
            # other queries may have earned by the next look.
            due = min(due, max(oldest, now - age_s / 2.0) + age_s)
            if query.last_hedge_at > now:
                due = min(due, query.last_hedge_at)
        after_ms = max(0.1, (due - now) * 1000.0)
        return [SetTimer(f"searches:{query.request_id}", after_ms)]

    def _answer(self, query, now):
        del self._queries[query.request_id]
        elapsed_ms = (now - query.started) * 1000.0
        name = query.service.name
        outcome, reason = _judge(query)
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
        effects = self._cancel(query, tuple(query.open_legs))
        effects.append(CancelTimer(f"searches:{query.request_id}"))
        return effects

    def _cancel(self, query, leg_ids):
        by_owner = {}
        for leg_id in leg_ids:
            leg = query.close_leg(leg_id)
            self._replicas.forget(leg.upstream)
            query.started_work = True
            by_owner.setdefault(leg.owner, []).append(leg_id)
        return [
            SendPeer(owner, LegCancel(query.request_id, tuple(ids)))
            for owner, ids in by_owner.items()
        ]


def _get_retry_wait(n_rounds):
    return min(RETRY_MS * 2.0**n_rounds, LONGEST_RETRY_MS) / 1000.0


def _refuse(request_id, reason):
    return AnswerCaller(request_id, Outcome.NOT_RUN, reason)


def _judge(query):
    if query.is_complete:
        return Outcome.ANSWERED, ""
    # A leg that is still open may have started, so the refusal would not be true.
    if not query.hits and not query.started_work and not query.open_legs:
        return Outcome.NOT_RUN, query.get_reason()
    if query.coverage < query.service.least_coverage:
        return Outcome.PARTIAL, "below least coverage"
    return Outcome.PARTIAL, query.get_reason() or "deadline"


def _build_leg_span(query, leg, status, now):
    return EndSpan(
        traceparent=query.traceparent,
        name="leg",
        started=leg.sent,
        ended=now,
        attributes=(
            ("upstream", leg.upstream),
            ("owner", leg.owner),
            ("shard", leg.shard),
            ("hedge", leg.hedge),
            ("status", status.name.lower()),
        ),
    )
