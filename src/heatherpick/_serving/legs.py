"""Chooses the upstreams of a request's legs, and retries and hedges them."""

from heatherpick._serving import effects as fx
from heatherpick._serving.placing import compute_remote_cost
from heatherpick._serving.queries import Leg

__all__ = ["LegDispatcher"]

#: Shortest remaining time with which a leg is still sent, in milliseconds.
MIN_LEG_MS = 2.0
#: Largest additional cost of an upstream that is asked because a node beside it gathers
#: other legs of the search.
GROUP_COST_TOLERANCE = 0.4
#: Time before the soft deadline at which a hedge is sent at the latest, as a multiple
#: of the age at which a leg is late.
HEDGE_LEAD_RATIO = 2.5
#: Pause before a shard for which no leg could be sent is retried, in seconds, and its
#: maximum as a share of the objective.
RETRY_PAUSE_S = 0.02
MAX_RETRY_PAUSE_SHARE = 0.08
#: Largest random cost that is added to an upstream, so that nodes with the same view do
#: not all choose the same one.
TIE_BREAK_COST = 0.05
#: Relative cost of an upstream that has just not run a leg of the same shard.
NOT_RUN_COST = 10.0
#: Pause before the next attempt at a hedge that the budget or the upstreams did not
#: allow, in seconds.
HEDGE_RETRY_PAUSE_S = 0.01
#: Interval at which a search past its soft deadline checks whether this node is
#: isolated and cannot serve it any more, in seconds.
LATE_POLL_S = 0.05
#: Share of the objective after which a shard that no upstream has taken counts as
#: missing, so that the caller is refused early enough to retry.
MAX_UNTRIED_SHARE = 0.2
#: Most legs of one shard, including those that provably did not run.
MAX_LEGS = 5


class LegDispatcher:
    """Sends legs, hedges late ones and retries those that failed.

    Parameters
    ----------
    directory : Directory
        The upstreams.
    extra_budget : ExtraLegBudget
        Limits the extra legs.
    cold_limiter : ColdRateLimiter
        Limits the legs to cold upstreams.
    isolation : IsolationDetector
        Receives the legs that are late or failed.
    rng : random.Random
        Breaks ties.
    """

    def __init__(self, directory, extra_budget, cold_limiter, isolation, rng):
        self._directory = directory
        self._extra_budget = extra_budget
        self._cold_limiter = cold_limiter
        self._isolation = isolation
        self._rng = rng

    def send(self, query, shard, now, effects):
        """Send a leg of a shard unless no upstream, budget or time is left.

        Returns
        -------
        bool
            Whether the leg is sent.
        """
        remaining_ms = (query.deadline - now) * 1000.0
        if remaining_ms < MIN_LEG_MS or shard.n_sent >= MAX_LEGS:
            return False
        upstream = self._choose_upstream(query, shard, now)
        if upstream is None or not self._may_send_to(query, upstream, now):
            return False
        # Undelivered legs load no upstream, so their replacements are not extra.
        if shard.n_delivered and not self._extra_budget.try_withdraw(
            shard.service, now
        ):
            return False
        leg = self.add_leg(query, shard, upstream, now)
        effects.append(fx.SendLeg(leg, int(remaining_ms)))
        return True

    @staticmethod
    def add_leg(query, shard, upstream, now):
        """Add a leg to its shard and count it; return it."""
        leg = Leg(query, shard, upstream, now)
        shard.legs.append(leg)
        shard.n_sent += 1
        shard.n_delivered += 1
        shard.may_have_run_on.add(upstream.entry.id)
        shard.retry_at = None
        upstream.n_open_legs += 1
        return leg

    def list_group_candidates(self, query, now):
        """Return the upstreams that another data centre's node might ask for a search.

        Only shards whose best upstream is remote are included, and of its upstreams
        those that are healthy and not much worse.

        Returns
        -------
        dict of Shard to dict of str to Upstream
            The best upstream of each data centre.
        """
        candidates = {}
        remaining_ms = (query.soft_deadline - now) * 1000.0
        remote_cost = compute_remote_cost(remaining_ms, query.latency.expected_ms)
        for shard in query.shards:
            if not shard.is_open:
                continue
            costs = {
                upstream: upstream.compute_cost(remote_cost, now)
                + TIE_BREAK_COST * self._rng.random()
                for upstream in self._directory.list_usable(shard.service)
            }
            if not costs or not min(costs, key=costs.get).is_remote:
                continue
            max_cost = min(costs.values()) + GROUP_COST_TOLERANCE
            by_data_centre = {}
            for upstream in sorted(costs, key=costs.get, reverse=True):
                if costs[upstream] <= max_cost and upstream.is_healthy(now):
                    by_data_centre[upstream.entry.data_centre] = upstream
            if by_data_centre:
                candidates[shard] = by_data_centre
        return candidates

    def cancel(self, leg, now, effects):
        """Cancel a leg of a shard that has been answered.

        A leg that another node sends stays in its group, which may still be needed.
        """
        query = leg.query
        query.latency.record_cancelled(leg.upstream, leg.compute_age_ms(now), now)
        leg.shard.legs.remove(leg)
        leg.upstream.n_open_legs -= 1
        if leg.group is None:
            effects.append(fx.CancelLeg(leg))

    def _choose_upstream(self, query, shard, now):
        asked = shard.list_asked()
        if len(asked) >= query.max_upstreams:
            return None
        remaining_ms = (query.soft_deadline - now) * 1000.0
        remote_cost = compute_remote_cost(remaining_ms, query.latency.expected_ms)
        best = None
        best_cost = 0.0
        for upstream in self._directory.list_usable(shard.service):
            upstream_id = upstream.entry.id
            if upstream_id in asked:
                continue
            cost = (
                upstream.compute_cost(remote_cost, now)
                + TIE_BREAK_COST * self._rng.random()
            )
            if upstream_id in shard.not_run_on:
                cost += NOT_RUN_COST
            if best is None or cost < best_cost:
                best, best_cost = upstream, cost
        return best

    def _may_send_to(self, query, upstream, now):
        """Return whether an upstream may be sent a leg; cold ones are rate-limited."""
        if now >= upstream.cold_until:
            return True
        service = query.snapshot.services.get(upstream.entry.service)
        if service is None or service.cold_requests_per_s <= 0.0:
            return True
        return self._cold_limiter.try_acquire(
            upstream.entry.id, service.cold_requests_per_s, now
        )

    @staticmethod
    def record_failure(leg, reason, now):
        """Record that a leg failed, and avoid its upstream for a while."""
        leg.upstream.record_outcome(True, now)
        leg.upstream.avoid(now)
        leg.shard.add_leg_error(leg.upstream, reason)

    def mark_unreachable(self, query):
        """Mark the open shards missing that have upstreams in other data centres only.

        Returns
        -------
        bool
            Whether the remaining shards reach the least coverage.
        """
        for shard in query.shards:
            if shard.is_open and not self._directory.has_local(shard.service):
                query.mark_missing(shard)
        return query.may_reach_coverage

    def remove(self, leg):
        """Remove a leg from its shard; return whether its outcome still matters."""
        if leg not in leg.shard.legs:
            return False
        leg.shard.legs.remove(leg)
        leg.upstream.n_open_legs -= 1
        return not leg.query.is_finished

    def retry(self, query, shard, now, effects):
        """Send another leg of a shard whose legs have all failed, now or later."""
        if shard.legs or not shard.is_open:
            return
        if shard.may_have_run_on and not query.route.repeatable:
            query.mark_missing(shard)
            return
        if self.send(query, shard, now, effects):
            query.n_retries += 1
            return
        self.schedule_retry(query, shard, now)
        if shard.retry_at is not None:
            self.set_timer(query, now, effects)

    def schedule_retry(self, query, shard, now):
        """Retry a shard after a pause, or mark it missing if no upstream is left."""
        objective_s = query.route.objective_ms / 1000.0
        pause_s = min(RETRY_PAUSE_S, MAX_RETRY_PAUSE_SHARE * objective_s)
        is_too_late = (
            not query.route.is_gather
            and not shard.may_have_run_on
            and now + pause_s > query.arrived_at + MAX_UNTRIED_SHARE * objective_s
        )
        may_ask_again = (
            not is_too_late
            and (
                query.awaits_confirmation
                or len(shard.may_have_run_on) < query.max_upstreams
            )
            and shard.n_sent < MAX_LEGS
            and self._directory.list_usable(shard.service)
        )
        if may_ask_again and now + pause_s < query.deadline:
            shard.retry_at = now + pause_s
        else:
            query.mark_missing(shard)

    def hedge_if_late(self, query, shard, now, effects):
        """Send another leg of a shard if its newest one is late."""
        leg = shard.legs[-1]
        if leg.is_late or now < self._compute_late_at(query, leg):
            return
        self._isolation.record_unanswered(leg.upstream, leg.sent_at, now)
        is_early = now < self._compute_last_hedge_time(query)
        if is_early and not self._extra_budget.has_surplus(shard.service, now):
            return
        if not query.route.repeatable:
            leg.is_late = True
            return
        if self.send(query, shard, now, effects):
            leg.is_late = True
            leg.upstream.avoid(now)
            query.n_hedges += 1
        elif (
            not query.awaits_confirmation
            and len(shard.list_asked()) >= query.max_upstreams
        ):
            leg.is_late = True

    def _compute_late_at(self, query, leg):
        if leg.group is not None:
            return leg.group.due_at
        return leg.sent_at + query.latency.late_after_ms / 1000.0

    def _compute_last_hedge_time(self, query):
        """Return the latest time at which another upstream can answer in time.

        While extra legs are scarce, hedges wait until then, as most late legs are
        answered without one.
        """
        return (
            query.soft_deadline
            - HEDGE_LEAD_RATIO * query.latency.late_after_ms / 1000.0
        )

    def set_timer(self, query, now, effects):
        """Set the timer of a request to its next retry, hedge or deadline."""
        due_at = min(query.deadline, now + LATE_POLL_S)
        if now < query.soft_deadline:
            due_at = query.soft_deadline
        for shard in query.shards:
            if not shard.is_open:
                continue
            if shard.retry_at is not None:
                due_at = min(due_at, shard.retry_at)
            elif shard.legs and not shard.legs[-1].is_late:
                leg = shard.legs[-1]
                hedge_at = self._compute_late_at(query, leg)
                if hedge_at <= now:
                    hedge_at = self._compute_last_hedge_time(query)
                if hedge_at <= now:
                    hedge_at = now + HEDGE_RETRY_PAUSE_S
                due_at = min(due_at, hedge_at)
        effects.append(fx.SetTimer(query, due_at))
