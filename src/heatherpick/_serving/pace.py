"""Estimates the latency of a request's legs and the age at which they are late."""

from abc import ABC, abstractmethod

from heatherpick._core.quantiles import StreamQuantile

__all__ = ["LegLatency", "LookupLatency", "RouteLatency", "SearchLatency"]

#: First estimate of a route's latency, as a share of its objective.
INITIAL_SHARE = 0.25
#: Share of legs that should answer before they count as late.
LATE_QUANTILE = 0.9
#: Bounds of the age at which a leg is late, as multiples of the median latency.
MIN_LATE_MEDIANS = 1.3
MAX_LATE_MEDIANS = 3.0
#: Smallest latency that the estimates distinguish, in milliseconds.
MIN_LATENCY_MS = 0.5
#: Share of a search's shards that must answer before its own latency is known.
MIN_ANSWERED_SHARE = 0.5
#: Latency assumed for an upstream whose leg was cancelled, as a multiple of the age of
#: that leg.
CANCELLED_LATENCY_RATIO = 1.5
#: Age at which a leg is late once its search's own latency is known: a multiple of that
#: latency, plus a margin in milliseconds for opening a new connection.
LATE_RATIO = 1.25
LATE_MARGIN_MS = 6.0


class RouteLatency:
    """Median and high quantile of the latency of a route's legs, in milliseconds.

    Parameters
    ----------
    objective_ms : float
        The route's objective, from which the first estimates are derived.
    """

    __slots__ = ("_high_quantile", "_median")

    def __init__(self, objective_ms):
        initial = max(MIN_LATENCY_MS, INITIAL_SHARE * objective_ms)
        self._median = StreamQuantile(0.5, initial, MIN_LATENCY_MS)
        self._high_quantile = StreamQuantile(
            LATE_QUANTILE, 1.5 * initial, MIN_LATENCY_MS
        )

    @property
    def median_ms(self):
        """Median latency of a leg."""
        return self._median.value

    @property
    def late_after_ms(self):
        """Age from which an open leg counts as late."""
        median = self._median.value
        return min(
            max(self._high_quantile.value, MIN_LATE_MEDIANS * median),
            MAX_LATE_MEDIANS * median,
        )

    def record(self, elapsed_ms):
        """Add the latency of one leg to the estimates."""
        self._median.add(elapsed_ms)
        self._high_quantile.add(elapsed_ms)


class LegLatency(ABC):
    """Decides when a request's legs are late, and rates the upstreams by their latency.

    Parameters
    ----------
    route_latency : RouteLatency
        Latency of the route's earlier requests.
    """

    __slots__ = ("_route_latency",)

    def __init__(self, route_latency):
        self._route_latency = route_latency

    @property
    @abstractmethod
    def late_after_ms(self):
        """Age from which an open leg counts as late."""

    @property
    @abstractmethod
    def expected_ms(self):
        """Expected latency of a leg, to which an upstream's latency is compared."""

    def record_response(self, upstream, elapsed_ms, now):
        """Record the latency of a response, for the route and for its upstream.

        Parameters
        ----------
        upstream : Upstream
            The upstream that answered.
        elapsed_ms : float
            Time from sending the leg to its response, in milliseconds.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether ``late_after_ms`` has changed for this request in particular.
        """
        expected_ms = self.expected_ms
        self._route_latency.record(elapsed_ms)
        upstream.record_latency(elapsed_ms / expected_ms, now)
        return False

    def record_cancelled(self, upstream, elapsed_ms, now):
        """Record that an upstream had not answered when its leg was cancelled."""
        ratio = CANCELLED_LATENCY_RATIO * elapsed_ms / self.expected_ms
        if ratio > upstream.latency_ratio:
            upstream.record_latency(ratio, now)


class LookupLatency(LegLatency):
    """Latency of a request to a single service, taken from its route."""

    __slots__ = ()

    @property
    def late_after_ms(self):
        """Age from which an open leg counts as late."""
        return self._route_latency.late_after_ms

    @property
    def expected_ms(self):
        return self._route_latency.median_ms


class SearchLatency(LegLatency):
    """Latency of one search's legs, estimated from the shards that have answered.

    The amount of work differs widely between searches, but little between the shards of
    one. So the first half of its shards to answer predicts when the others are late far
    better than the route's earlier searches do.

    Parameters
    ----------
    route_latency : RouteLatency
        Estimates that are used until half of the shards have answered.
    n_shards : int
        Number of shards of the search.

    Attributes
    ----------
    median_ms : float or None
        Age of the legs at which half of the shards had answered; None until then.
    """

    __slots__ = ("_min_samples", "_samples", "median_ms")

    def __init__(self, route_latency, n_shards):
        super().__init__(route_latency)
        self._min_samples = MIN_ANSWERED_SHARE * n_shards
        self._samples = []
        self.median_ms = None

    @property
    def late_after_ms(self):
        """Age from which an open leg counts as late."""
        if self.median_ms is not None:
            return LATE_RATIO * self.median_ms + LATE_MARGIN_MS
        # All legs of a heavy search are slow, and hedging them would not help.
        return MAX_LATE_MEDIANS * self._route_latency.median_ms

    @property
    def expected_ms(self):
        return self.median_ms or self._route_latency.median_ms

    def record_response(self, upstream, elapsed_ms, now):
        """Record a response; upstreams are rated once half of the shards answered."""
        if self.median_ms is not None:
            return super().record_response(upstream, elapsed_ms, now)
        self._route_latency.record(elapsed_ms)
        self._samples.append((upstream, elapsed_ms))
        if len(self._samples) < self._min_samples:
            return False
        self.median_ms = max(MIN_LATENCY_MS, elapsed_ms)
        for sampled_upstream, sample_ms in self._samples:
            sampled_upstream.record_latency(sample_ms / self.median_ms, now)
        self._samples.clear()
        return True
