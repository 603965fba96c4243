"""Where the legs of a request go, when they are sent again, and when they are late."""

from heatherpick._serving import effects as fx
from heatherpick._serving.placing import compute_border_cost
from heatherpick._serving.queries import Leg

__all__ = ["Legs"]

#: Shortest time that a leg is sent for, in milliseconds.
LEAST_LEG_MS = 2.0
#: Time that a hedge is given before its search settles, in ages of a late leg.
LAST_CHANCE_LATE = 2.5
#: Pause before a shard that refused is asked again, in seconds, and the most of it as a
#: share of the objective.
REFUSAL_PAUSE_S = 0.02
REFUSAL_PAUSE_SHARE = 0.08
#: Relative cost up to which equal upstreams differ by chance, so that nodes with the
#: same view do not move together.
TIE_BREAK = 0.05
#: Relative cost of an upstream that has just refused the same shard.
PASSED_OVER_COST = 10.0
#: Pause before a hedge is tried again that the budget or the upstreams did not allow,
#: in seconds.
HEDGE_PAUSE_S = 0.01
#: Share of the objective after which a shard that no upstream has taken is given up,
#: so that its caller hears of it in time to come back.
UNTRIED_SHARE = 0.2
#: Most legs of one shard, those that provably did not run among them.
MAX_SENDS = 5


class Legs:
    """Sends legs, hedges late ones and asks again after refusals.

    Parameters
    ----------
    directory : Directory
        The upstreams.
    extras : ExtraLegs
        What may be sent beyond the first leg of a shard.
    cold : ColdGate
        What cold upstreams may be sent.
    rng : random.Random
        Breaks ties.
    """

    def __init__(self, directory, extras, cold, rng):
        self._directory = directory
        self._extras = extras
        self._cold = cold
        self._rng = rng

    def send(self, query, shard, now, effects):
        """Send a leg of a shard; return whether there was an upstream to ask."""
        left_ms = (query.ends - now) * 1000.0
        if left_ms < LEAST_LEG_MS or shard.n_sent >= MAX_SENDS:
            return False
        upstream = self._choose_upstream(query, shard, now)
        if upstream is None or not self._bears(query, upstream, now):
            return False
        # What never arrived anywhere was no load, so what replaces it is none too many.
        if shard.n_arrived and not self._extras.spend(shard.service, now):
            return False
        leg = Leg(query, shard, upstream, now)
        shard.legs.append(leg)
        shard.n_sent += 1
        shard.n_arrived += 1
        shard.ran_on.add(upstream.entry.id)
        shard.retry_at = None
        upstream.n_open += 1
        effects.append(fx.SendLeg(leg, int(left_ms)))
        return True

    def _choose_upstream(self, query, shard, now):
        asked = shard.list_asked()
        if len(asked) >= query.n_upstreams:
            return None
        left_ms = (query.settles - now) * 1000.0
        border_cost = compute_border_cost(left_ms, query.pace.expected_ms)
        best = None
        best_cost = 0.0
        for upstream in self._directory.list_usable(shard.service):
            upstream_id = upstream.entry.id
            if upstream_id in asked:
                continue
            cost = upstream.rate(border_cost, now) + TIE_BREAK * self._rng.random()
            if upstream_id in shard.passed_over:
                cost += PASSED_OVER_COST
            if best is None or cost < best_cost:
                best, best_cost = upstream, cost
        return best

    def _bears(self, query, upstream, now):
        """Return whether an upstream bears a request; one that is cold bears few."""
        if now >= upstream.cold_until:
            return True
        service = query.snapshot.services.get(upstream.entry.service)
        if service is None or service.cold_rate <= 0.0:
            return True
        return self._cold.admits(upstream.entry.id, service.cold_rate, now)

    @staticmethod
    def note_failure(leg, reason, now):
        """Learn that a leg's upstream failed or broke off."""
        leg.upstream.learn_outcome(True, now)
        leg.upstream.avoid(now)
        leg.shard.note_trouble(leg.upstream, reason)

    def close(self, leg):
        """Take a leg off its shard; return whether anybody still waits for it."""
        if leg not in leg.shard.legs:
            return False
        leg.shard.legs.remove(leg)
        leg.upstream.n_open -= 1
        return not leg.query.has_ended

    def retry(self, query, shard, now, effects):
        """Ask another upstream for a shard whose legs have all failed."""
        if shard.legs or not shard.is_open:
            return
        if shard.ran_on and not query.route.repeatable:
            query.give_up(shard)
            return
        if self.send(query, shard, now, effects):
            query.n_retries += 1
            return
        self.postpone(query, shard, now)
        if shard.retry_at is not None:
            self.wake(query, now, effects)

    def postpone(self, query, shard, now):
        """Ask a shard again a little later, or give it up if nobody is left."""
        objective_s = query.route.objective_ms / 1000.0
        pause_s = min(REFUSAL_PAUSE_S, REFUSAL_PAUSE_SHARE * objective_s)
        is_too_late = (
            not query.route.is_gather
            and not shard.ran_on
            and now + pause_s > query.arrived + UNTRIED_SHARE * objective_s
        )
        may_ask_again = (
            not is_too_late
            and (query.may_widen or len(shard.ran_on) < query.n_upstreams)
            and shard.n_sent < MAX_SENDS
            and self._directory.list_usable(shard.service)
        )
        if may_ask_again and now + pause_s < query.ends:
            shard.retry_at = now + pause_s
        else:
            query.give_up(shard)

    def hedge(self, query, shard, now, effects):
        """Ask another upstream as well if a shard's newest leg is late."""
        leg = shard.legs[-1]
        if leg.is_late or now < self._compute_late_at(query, leg):
            return
        is_early = now < self._compute_last_chance(query)
        if is_early and not self._extras.is_plentiful(shard.service, now):
            return
        if not query.route.repeatable:
            leg.is_late = True
            return
        if self.send(query, shard, now, effects):
            leg.is_late = True
            leg.upstream.avoid(now)
            query.n_hedges += 1
        elif not query.may_widen and len(shard.list_asked()) >= query.n_upstreams:
            leg.is_late = True

    def _compute_late_at(self, query, leg):
        return leg.sent_at + query.pace.late_ms / 1000.0

    def _compute_last_chance(self, query):
        """Return until when another upstream has just time enough to answer.

        Where extra legs are few, hedges wait for this, as most late legs end by
        themselves.
        """
        return query.settles - LAST_CHANCE_LATE * query.pace.late_ms / 1000.0

    def wake(self, query, now, effects):
        """Ask for a look at a request when a leg may be late or it settles."""
        at = query.ends
        if now < query.settles:
            at = query.settles
        for shard in query.shards:
            if not shard.is_open:
                continue
            if shard.retry_at is not None:
                at = min(at, shard.retry_at)
            elif shard.legs and not shard.legs[-1].is_late:
                leg = shard.legs[-1]
                hedge_at = self._compute_late_at(query, leg)
                if hedge_at <= now:
                    hedge_at = self._compute_last_chance(query)
                if hedge_at <= now:
                    hedge_at = now + HEDGE_PAUSE_S
                at = min(at, hedge_at)
        effects.append(fx.Wake(query, at))
