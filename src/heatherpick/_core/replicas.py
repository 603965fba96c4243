"""Selection among the replicas of a shard by the latencies of earlier legs."""

from dataclasses import dataclass

from heatherpick._core.messages import LegStatus

__all__ = ["ReplicaSelector"]

#: Latency assumed for an upstream that has not answered yet, in milliseconds.
INITIAL_LATENCY_MS = 10.0
#: Weight of the newest sample in the moving average of the latency.
EWMA_WEIGHT = 0.2
#: Half-life of a latency estimate's excess over the initial one, in seconds.
HALF_LIFE_S = 5.0
#: Time for which an upstream that refused or failed is avoided, in seconds.
AVOID_S = 0.25
#: How many times slower another replica must be before a shard is sent again to one
#: that was already tried.
TRIED_FACTOR = 3.0
#: Latency added for each outstanding leg at an upstream, as a share of its estimate.
OUTSTANDING_WEIGHT = 0.1


@dataclass(slots=True)
class _Estimate:
    latency_ms: float = INITIAL_LATENCY_MS
    updated_at: float = 0.0
    avoid_until: float = 0.0
    n_outstanding: int = 0


class ReplicaSelector:
    """Ranks replicas by the latency, refusals and outstanding legs that it observed.

    The upstreams' own load reports lag and mislead, so only the legs that this node
    sent are counted.

    Parameters
    ----------
    rng : random.Random
        Breaks ties, so that nodes with equal estimates do not all choose the same
        replica.
    """

    def __init__(self, rng):
        self._rng = rng
        self._estimates = {}

    def choose(self, candidates, get_distance_ms, now, tried=()):
        """Return the candidate that is expected to answer first.

        Parameters
        ----------
        candidates : sequence of str
            Names of upstreams; not empty.
        get_distance_ms : callable
            Returns the one-way network time to an upstream of that name, in
            milliseconds.
        now : float
            Time in seconds.
        tried : sequence of str, optional
            Candidates to which the same shard was sent before.

        Returns
        -------
        str
            Name of the chosen upstream.
        """
        if len(candidates) == 1:
            return candidates[0]

        def rank(name):
            tried_factor = TRIED_FACTOR if name in tried else 1.0
            return self._rank(name, get_distance_ms(name), tried_factor, now)

        return min(candidates, key=rank)

    def record_start(self, upstream):
        """Count a leg that was sent as outstanding."""
        self._get_estimate(upstream).n_outstanding += 1

    def record_end(self, upstream, status, elapsed_ms, now):
        """Record the end of a leg, with its `LegStatus` and latency."""
        estimate = self._get_estimate(upstream)
        estimate.n_outstanding = max(0, estimate.n_outstanding - 1)
        if status is LegStatus.ANSWERED:
            self._update_latency(estimate, elapsed_ms, now)
            return
        if status is not LegStatus.GONE:
            estimate.avoid_until = now + AVOID_S

    def record_wait(self, upstream, elapsed_ms, now):
        """Record that an unanswered leg has waited ``elapsed_ms`` so far."""
        estimate = self._get_estimate(upstream)
        if elapsed_ms > estimate.latency_ms:
            self._update_latency(estimate, elapsed_ms, now)

    def record_cancel(self, upstream):
        """Count a leg as no longer outstanding, without a latency sample."""
        estimate = self._get_estimate(upstream)
        estimate.n_outstanding = max(0, estimate.n_outstanding - 1)

    def _get_estimate(self, upstream):
        estimate = self._estimates.get(upstream)
        if estimate is None:
            estimate = self._estimates[upstream] = _Estimate()
        return estimate

    def _update_latency(self, estimate, elapsed_ms, now):
        decayed_ms = self._get_decayed_ms(estimate, now)
        estimate.latency_ms = decayed_ms + EWMA_WEIGHT * (elapsed_ms - decayed_ms)
        estimate.updated_at = now

    def _get_decayed_ms(self, estimate, now):
        # A slow replica gets no more legs, so no sample would ever show that it has
        # recovered. Its estimate decays instead until a leg is sent to it again.
        excess_ms = estimate.latency_ms - INITIAL_LATENCY_MS
        if excess_ms <= 0.0:
            return estimate.latency_ms
        age_s = now - estimate.updated_at
        return INITIAL_LATENCY_MS + excess_ms * 0.5 ** (age_s / HALF_LIFE_S)

    def _rank(self, upstream, distance_ms, tried_factor, now):
        estimate = self._get_estimate(upstream)
        decayed_ms = self._get_decayed_ms(estimate, now)
        load_factor = 1.0 + OUTSTANDING_WEIGHT * estimate.n_outstanding
        is_avoided = now < estimate.avoid_until
        cost_ms = tried_factor * decayed_ms * load_factor + 2.0 * distance_ms
        return is_avoided, cost_ms, self._rng.random()
