"""Choice among the replicas of a shard, from the latencies that legs had."""

from dataclasses import dataclass

from heatherpick._core.messages import LegStatus

__all__ = ["ReplicaSelector"]

#: Latency assumed of an upstream that has not answered yet, in milliseconds.
INITIAL_LATENCY_MS = 10.0
#: Weight of the newest latency in the moving average.
EWMA_WEIGHT = 0.2
#: Time after which half of a bad memory is forgotten, in seconds.
HALF_LIFE_S = 5.0
#: Time for which an upstream that refused or failed is passed over, in seconds.
AVOID_S = 0.25
#: How many times slower another replica must be before a shard is asked of one that
#: was tried already.
TRIED_FACTOR = 3.0
#: Latency added for each leg outstanding at an upstream, as a share of its own.
OUTSTANDING_WEIGHT = 0.1


@dataclass(slots=True)
class _Estimate:
    latency_ms: float = INITIAL_LATENCY_MS
    updated_at: float = 0.0
    avoid_until: float = 0.0
    n_outstanding: int = 0


class ReplicaSelector:
    """Latency, refusals and outstanding legs of each upstream, as the entry saw them.

    The upstreams' own load reports lag and mislead, so only the legs that this
    node sent count.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, so that nodes with the same estimates do not move together.
    """

    def __init__(self, rng):
        self._rng = rng
        self._estimates = {}

    def choose(self, candidates, get_distance_ms, now, tried=()):
        """Return the candidate that should answer first.

        Parameters
        ----------
        candidates : sequence of str
            Names of upstreams; not empty.
        distances_ms : callable
            Gives the network time to an upstream by its name.
        now : float
            Time in seconds.
        tried : sequence of str, optional
            Candidates that the same shard was asked of before.
        """
        if len(candidates) == 1:
            return candidates[0]

        def rank(name):
            tried_factor = TRIED_FACTOR if name in tried else 1.0
            return self._rank(name, get_distance_ms(name), tried_factor, now)

        return min(candidates, key=rank)

    def record_start(self, upstream):
        """Count a leg as outstanding."""
        self._get_estimate(upstream).n_outstanding += 1

    def record_end(self, upstream, status, elapsed_ms, now):
        """Learn from the end of a leg."""
        estimate = self._get_estimate(upstream)
        estimate.n_outstanding = max(0, estimate.n_outstanding - 1)
        if status is LegStatus.ANSWERED:
            self._update_latency(estimate, elapsed_ms, now)
            return
        if status is not LegStatus.GONE:
            estimate.avoid_until = now + AVOID_S

    def record_wait(self, upstream, elapsed_ms, now):
        """Learn that an unanswered leg has already waited ``elapsed_ms``."""
        estimate = self._get_estimate(upstream)
        if elapsed_ms > estimate.latency_ms:
            self._update_latency(estimate, elapsed_ms, now)

    def record_cancel(self, upstream):
        """Count a leg as no longer outstanding, learning nothing."""
        estimate = self._get_estimate(upstream)
        estimate.n_outstanding = max(0, estimate.n_outstanding - 1)

    def _get_estimate(self, upstream):
        estimate = self._estimates.get(upstream)
        if estimate is None:
            estimate = self._estimates[upstream] = _Estimate()
        return estimate

    def _update_latency(self, estimate, elapsed_ms, now):
        decayed_ms = self._decay_latency(estimate, now)
        estimate.latency_ms = decayed_ms + EWMA_WEIGHT * (elapsed_ms - decayed_ms)
        estimate.updated_at = now

    def _decay_latency(self, estimate, now):
        # A slow replica is not asked any more, so nothing would ever show that it
        # has recovered. Its memory fades instead, and a leg finds out.
        excess_ms = estimate.latency_ms - INITIAL_LATENCY_MS
        if excess_ms <= 0.0:
            return estimate.latency_ms
        age_s = now - estimate.updated_at
        return INITIAL_LATENCY_MS + excess_ms * 0.5 ** (age_s / HALF_LIFE_S)

    def _rank(self, upstream, distance_ms, tried_factor, now):
        estimate = self._get_estimate(upstream)
        decayed_ms = self._decay_latency(estimate, now)
        load_factor = 1.0 + OUTSTANDING_WEIGHT * estimate.n_outstanding
        is_avoided = now < estimate.avoid_until
        cost_ms = tried_factor * decayed_ms * load_factor + 2.0 * distance_ms
        return is_avoided, cost_ms, self._rng.random()
