"""Choice among the replicas of a shard, from the latencies that legs had."""

from dataclasses import dataclass

from heatherpick._core.messages import LegStatus

__all__ = ["Replicas"]

#: Latency assumed of an upstream that has not answered yet, in milliseconds.
INITIAL_MS = 10.0
#: Weight of the newest latency in the moving average.
WEIGHT = 0.2
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
    latency_ms: float = INITIAL_MS
    updated: float = 0.0
    avoid_until: float = 0.0
    n_outstanding: int = 0


class Replicas:
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

    def choose(self, candidates, distances_ms, now, tried=()):
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

        def score(name):
            factor = TRIED_FACTOR if name in tried else 1.0
            return self._score(name, distances_ms(name), factor, now)

        return min(candidates, key=score)

    def begin(self, upstream):
        """Count a leg as outstanding."""
        self._get(upstream).n_outstanding += 1

    def end(self, upstream, status, elapsed_ms, now):
        """Learn from the end of a leg."""
        estimate = self._get(upstream)
        estimate.n_outstanding = max(0, estimate.n_outstanding - 1)
        if status is LegStatus.ANSWERED:
            self._learn(estimate, elapsed_ms, now)
            return
        if status is not LegStatus.GONE:
            estimate.avoid_until = now + AVOID_S

    def learn_wait(self, upstream, elapsed_ms, now):
        """Learn that an unanswered leg has already waited ``elapsed_ms``."""
        estimate = self._get(upstream)
        if elapsed_ms > estimate.latency_ms:
            self._learn(estimate, elapsed_ms, now)

    def forget(self, upstream):
        """Count a leg as no longer outstanding, learning nothing."""
        estimate = self._get(upstream)
        estimate.n_outstanding = max(0, estimate.n_outstanding - 1)

    def _get(self, upstream):
        estimate = self._estimates.get(upstream)
        if estimate is None:
            estimate = self._estimates[upstream] = _Estimate()
        return estimate

    def _learn(self, estimate, elapsed_ms, now):
        faded = self._fade(estimate, now)
        estimate.latency_ms = faded + WEIGHT * (elapsed_ms - faded)
        estimate.updated = now

    def _fade(self, estimate, now):
        # A slow replica is not asked any more, so nothing would ever show that it
        # has recovered. Its memory fades instead, and a leg finds out.
        excess = estimate.latency_ms - INITIAL_MS
        if excess <= 0.0:
            return estimate.latency_ms
        age = now - estimate.updated
        return INITIAL_MS + excess * 0.5 ** (age / HALF_LIFE_S)

    def _score(self, upstream, distance_ms, factor, now):
        estimate = self._get(upstream)
        latency = self._fade(estimate, now)
        load = 1.0 + OUTSTANDING_WEIGHT * estimate.n_outstanding
        avoided = now < estimate.avoid_until
        cost_ms = factor * latency * load + 2.0 * distance_ms
        return avoided, cost_ms, self._rng.random()
