"""Completes requests: merges, forwards or refuses, and builds the log line."""

from heatherpick._serving import effects as fx
from heatherpick._serving.merging import merge_parts

__all__ = ["RequestCompleter"]

#: Weight of the newest sample when the time to merge and write an answer falls.
ANSWER_COST_DECAY = 0.05
#: Share of a route's objective after which a refused caller may retry, and the bounds
#: of that time in seconds.
RETRY_AFTER_SHARE = 0.25
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
#: Unanswered shards that one log line describes.
MAX_LOGGED_SHARDS = 5


class RequestCompleter:
    """Decides when a request is complete and what its caller receives.

    Parameters
    ----------
    directory : Directory
        The upstreams; log lines state how many of them are listed.
    isolation : IsolationDetector
        Counts the refusals.

    Attributes
    ----------
    answer_cost_ms : float
        Recent time to merge and write an answer. It rises at once and falls slowly.
    n_peer_searches : int
        Unfinished searches that other nodes handed over to this one.
    """

    def __init__(self, directory, isolation):
        self._directory = directory
        self._isolation = isolation
        self.answer_cost_ms = 0.0
        self.n_peer_searches = 0

    def complete_if_ready(self, query, now, effects):
        """Complete a request if waiting cannot improve its answer or takes too long."""
        if query.is_finished:
            return
        n_open_shards = query.n_open_shards
        if not query.route.is_gather:
            if not n_open_shards:
                self.answer_or_refuse(query, now, effects)
            return
        if not query.may_reach_coverage:
            self.answer_or_refuse(query, now, effects)
            return
        if n_open_shards and now < query.soft_deadline:
            return
        if query.has_least_coverage:
            self._answer_merged(query, now, effects)

    def _answer_merged(self, query, now, effects):
        self.finish(query, now, effects)
        parts = [shard for shard in query.shards if shard.signature is not None]
        bodies = [shard.body for shard in parts if shard.group is None]
        # The records of a group are those of exactly the shards that refer to it.
        bodies += [group.parts for group in query.groups if group.parts is not None]
        body = merge_parts(bodies, query.route.n_records)
        n_missing = len(query.shards) - len(parts)
        effects.append(
            fx.Merge(
                query.request, [shard.signature for shard in parts], n_missing, body
            )
        )
        effects.append(
            self.build_report(query, 200, "partial" if n_missing else "complete", now)
        )

    def answer_or_refuse(self, query, now, effects):
        """Answer with the available parts if they reach the coverage, else refuse."""
        if query.route.is_gather and query.has_least_coverage:
            self._answer_merged(query, now, effects)
            return
        failure_response = (
            None if query.route.is_gather else query.shards[0].failure_response
        )
        if failure_response is not None:
            self.finish(query, now, effects)
            effects.append(fx.Forward(query.request, failure_response))
            effects.append(
                self.build_report(
                    query, failure_response.status, "upstream failed", now
                )
            )
            return
        status, reason = self._choose_refusal(query, now)
        self.refuse(query, status, reason, now, effects)

    def refuse_isolated(self, query, now, effects):
        """Refuse a request for which this isolated node reaches too few upstreams."""
        status = 502 if query.may_have_run else 503
        self.finish(query, now, effects)
        self._send_refusal(
            query, status, "isolated", self._isolation.retry_after_s, now, effects
        )

    def refuse_stopping(self, query, now, effects):
        """Refuse a request that would not finish before this node exits.

        Any other node may serve it, so the caller need not wait.
        """
        self.finish(query, now, effects)
        self._send_refusal(query, 503, "stopping", MIN_RETRY_AFTER_S, now, effects)

    def refuse(self, query, status, reason, now, effects):
        """Finish a request without a result."""
        self.finish(query, now, effects)
        if query.was_sent:
            # A request that was never sent had no listed upstream, and no other node
            # could have served it either.
            self._isolation.record_refusal()
        retry_after_s = _compute_retry_after(query.route)
        self._send_refusal(query, status, reason, retry_after_s, now, effects)

    def _send_refusal(self, query, status, reason, retry_after_s, now, effects):
        effects.append(fx.Refuse(query.request, status, retry_after_s, reason))
        effects.append(self.build_report(query, status, reason, now))

    def finish_handed_over(self, query, status, outcome, now, effects):
        """Finish a search that an aggregator has answered."""
        self.finish(query, now, effects)
        if status >= 500:
            self._isolation.record_refusal()
        effects.append(self.build_report(query, status, outcome, now))

    def _choose_refusal(self, query, now):
        if not query.may_have_run:
            return 503, "no upstream could take the request"
        if now >= query.deadline:
            return 504, "no answer in time"
        return 502, "upstreams gave no answer"

    def finish(self, query, now, effects):
        """Mark a request as finished and cancel its open legs."""
        query.is_finished = True
        self.n_peer_searches -= query.is_for_peer
        for shard in query.shards:
            for leg in shard.legs:
                leg.upstream.n_open_legs -= 1
                age_ms = leg.compute_age_ms(now)
                shard.add_leg_error(leg.upstream, f"silent for {round(age_ms)} ms")
                if age_ms >= query.latency.late_after_ms:
                    query.latency.record_cancelled(leg.upstream, age_ms, now)
                    leg.upstream.avoid(now)
                if leg.group is None:
                    effects.append(fx.CancelLeg(leg))
            shard.legs.clear()
        for group in query.groups:
            if group.is_open:
                group.is_open = False
                effects.append(fx.CancelGroup(group))

    def build_report(self, query, status, outcome, now):
        """Return the log line about a finished request."""
        fields = {
            "request": query.request_id,
            "route": query.route.name,
            "version": query.snapshot.version,
            "status": status,
            "outcome": outcome,
            "ms": round((now - query.arrived_at) * 1000.0, 1),
            "objective_ms": round(query.route.objective_ms, 1),
            "priority": query.route.priority,
            "shards": len(query.shards),
            "answered": query.n_answered,
            "hedges": query.n_hedges,
            "retries": query.n_retries,
        }
        if query.is_for_peer:
            fields["for_peer"] = True
        if query.aggregator is not None:
            fields["aggregator"] = query.aggregator
            return fx.Report("request ended", fields)
        if query.groups:
            fields["groups"] = len(query.groups)
        missing = [shard for shard in query.shards if shard.signature is None]
        if missing:
            fields["missing"] = [
                {
                    "service": shard.service,
                    "sent": shard.n_sent,
                    "asked": sorted(shard.list_asked()),
                    "trouble": shard.leg_errors,
                    "listed": len(self._directory.list_usable(shard.service)),
                }
                for shard in missing[:MAX_LOGGED_SHARDS]
            ]
        return fx.Report("request ended", fields)

    def record_answer_cost(self, event, now, effects):
        """Record how long an answer took to merge and write."""
        cost_ms = event.elapsed_ms
        if cost_ms < self.answer_cost_ms:
            previous_weight = 1.0 - ANSWER_COST_DECAY
            cost_ms = (
                previous_weight * self.answer_cost_ms + ANSWER_COST_DECAY * cost_ms
            )
        self.answer_cost_ms = cost_ms


def _compute_retry_after(route):
    """Return after how many seconds a refused caller may retry."""
    delay_s = RETRY_AFTER_SHARE * route.objective_ms / 1000.0
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay_s))
