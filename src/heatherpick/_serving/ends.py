"""How a request ends: whole, partial, handed on or refused, and what the log says."""

from heatherpick._serving import effects as fx
from heatherpick._serving.merging import merge_parts

__all__ = ["Ends"]

#: Weight with which the time to merge and write an answer is forgotten.
ANSWER_COST_DECAY = 0.05
#: Share of a route's objective after which a refused caller may come back, and the
#: bounds of that time in seconds.
RETRY_AFTER_SHARE = 0.25
LEAST_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
#: Shards without an answer that a line of the log describes.
MAX_MISSING_LOGGED = 5


class Ends:
    """Decides when a request is over and what its caller gets.

    Parameters
    ----------
    directory : Directory
        The upstreams, of which the log tells how many are listed.
    reach : Reach
        Learns of refusals.

    Attributes
    ----------
    answer_cost_ms : float
        Time that merging and writing an answer has lately taken.
    n_for_peers : int
        Searches of other nodes that have not ended.
    """

    def __init__(self, directory, reach):
        self._directory = directory
        self._reach = reach
        self.answer_cost_ms = 0.0
        self.n_for_peers = 0

    def settle(self, query, now, effects):
        """Answer if nothing better can come, or if it would come too late."""
        if query.has_ended:
            return
        n_open = query.n_open
        if not query.route.is_gather:
            if not n_open:
                self.give_up(query, now, effects)
            return
        if not query.may_succeed:
            self.give_up(query, now, effects)
            return
        if n_open and now < query.settles:
            return
        if query.is_enough:
            self._answer(query, now, effects)

    def _answer(self, query, now, effects):
        self.end(query, now, effects)
        parts = [shard for shard in query.shards if shard.body is not None]
        body = merge_parts([shard.body for shard in parts], query.route.n_records)
        n_missing = len(query.shards) - len(parts)
        effects.append(
            fx.Merge(
                query.exchange, [shard.signature for shard in parts], n_missing, body
            )
        )
        effects.append(
            self.report(query, 200, "partial" if n_missing else "complete", now)
        )

    def give_up(self, query, now, effects):
        """Answer with what there is if that is enough, else refuse."""
        if query.route.is_gather and query.is_enough:
            self._answer(query, now, effects)
            return
        failure = None if query.route.is_gather else query.shards[0].failure
        if failure is not None:
            self.end(query, now, effects)
            effects.append(fx.Forward(query.exchange, failure))
            effects.append(self.report(query, failure.status, "upstream failed", now))
            return
        status, reason = self._choose_refusal(query, now)
        self.refuse(query, status, reason, now, effects)

    def refuse(self, query, status, reason, now, effects):
        """End a request without a result."""
        self.end(query, now, effects)
        if query.was_sent:
            # Where no upstream is listed, no other node could serve the request.
            self._reach.note_refused()
        retry_after_s = _compute_retry_after(query.route)
        effects.append(fx.Refuse(query.exchange, status, retry_after_s, reason))
        effects.append(self.report(query, status, reason, now))

    def end_elsewhere(self, query, status, outcome, now, effects):
        """End a search that an aggregator has answered."""
        self.end(query, now, effects)
        if status >= 500:
            self._reach.note_refused()
        effects.append(self.report(query, status, outcome, now))

    def _choose_refusal(self, query, now):
        if not query.may_have_run:
            return 503, "no upstream could take the request"
        if now >= query.ends:
            return 504, "no answer in time"
        return 502, "upstreams gave no answer"

    def end(self, query, now, effects):
        """Cut the legs that are still open; nothing more is done for the request."""
        query.has_ended = True
        self.n_for_peers -= query.is_for_peer
        for shard in query.shards:
            for leg in shard.legs:
                leg.upstream.n_open -= 1
                age_ms = leg.compute_age_ms(now)
                shard.note_trouble(leg.upstream, f"silent for {round(age_ms)} ms")
                if age_ms >= query.pace.late_ms:
                    query.pace.learn_cut(leg.upstream, age_ms, now)
                    leg.upstream.avoid(now)
                effects.append(fx.CancelLeg(leg))
            shard.legs.clear()

    def report(self, query, status, outcome, now):
        """Return the line of the log about a request's end."""
        fields = {
            "request": query.request_id,
            "route": query.route.name,
            "version": query.snapshot.version,
            "status": status,
            "outcome": outcome,
            "ms": round((now - query.arrived) * 1000.0, 1),
            "shards": len(query.shards),
            "answered": query.n_done,
            "hedges": query.n_hedges,
            "retries": query.n_retries,
        }
        if query.is_for_peer:
            fields["for_peer"] = True
        if query.aggregator is not None:
            fields["aggregator"] = query.aggregator
            return fx.Report("request ended", fields)
        missing = [shard for shard in query.shards if shard.body is None]
        if missing:
            fields["missing"] = [
                {
                    "service": shard.service,
                    "sent": shard.n_sent,
                    "asked": sorted(shard.list_asked()),
                    "trouble": shard.trouble,
                    "listed": len(self._directory.list_usable(shard.service)),
                }
                for shard in missing[:MAX_MISSING_LOGGED]
            ]
        return fx.Report("request ended", fields)

    def learn_answer_cost(self, event, now, effects):
        """Take in how long an answer took to merge and write."""
        cost_ms = event.elapsed_ms
        if cost_ms < self.answer_cost_ms:
            kept = 1.0 - ANSWER_COST_DECAY
            cost_ms = kept * self.answer_cost_ms + ANSWER_COST_DECAY * cost_ms
        self.answer_cost_ms = cost_ms


def _compute_retry_after(route):
    """Return when a refused caller may come back, in seconds."""
    wanted_s = RETRY_AFTER_SHARE * route.objective_ms / 1000.0
    return min(MAX_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wanted_s))
