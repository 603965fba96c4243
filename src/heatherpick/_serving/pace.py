"""How long the legs of a route and of one search take, and when one is late."""

from abc import ABC, abstractmethod

from heatherpick._core.quantiles import StreamQuantile

__all__ = ["LookupPace", "Pace", "RoutePace", "SearchPace"]

#: Latency assumed before any is known, as a share of the route's objective.
INITIAL_SHARE = 0.25
#: Share of legs that are expected to answer before they count as late.
LATE_QUANTILE = 0.9
#: Age of a late leg in medians, at least and at most.
LEAST_MEDIANS = 1.3
MOST_MEDIANS = 3.0
#: Smallest latency that is told apart, in milliseconds.
LEAST_MS = 0.5
#: Share of a search's shards that must have answered before they tell its pace.
KNOWN_SHARE = 0.5
#: What an upstream whose leg was cut would have taken, in ages of that leg.
CUT_RATIO = 1.5
#: Age of a late leg of a search whose pace is known: this many times the age at which
#: that share had answered, and a number of milliseconds for a new connection.
LATE_RATIO = 1.25
LATE_MARGIN_MS = 6.0


class RoutePace:
    """Median and high quantile of a route's legs, in milliseconds.

    Parameters
    ----------
    objective_ms : float
        The route's objective, from which the first estimates follow.
    """

    __slots__ = ("_late", "_median")

    def __init__(self, objective_ms):
        initial = max(LEAST_MS, INITIAL_SHARE * objective_ms)
        self._median = StreamQuantile(0.5, initial, LEAST_MS)
        self._late = StreamQuantile(LATE_QUANTILE, 1.5 * initial, LEAST_MS)

    @property
    def median_ms(self):
        """Usual latency of a leg."""
        return self._median.value

    @property
    def late_ms(self):
        """Age from which an open leg counts as late."""
        median = self._median.value
        return min(max(self._late.value, LEAST_MEDIANS * median), MOST_MEDIANS * median)

    def learn(self, elapsed_ms):
        """Take the latency of one leg into account."""
        self._median.add(elapsed_ms)
        self._late.add(elapsed_ms)


class Pace(ABC):
    """When the legs of one request are late, and what their upstreams learn.

    Parameters
    ----------
    route_pace : RoutePace
        What earlier requests of the route took.
    """

    __slots__ = ("_route_pace",)

    def __init__(self, route_pace):
        self._route_pace = route_pace

    @property
    @abstractmethod
    def late_ms(self):
        """Age from which an open leg counts as late."""

    @property
    @abstractmethod
    def expected_ms(self):
        """Usual latency of a leg, with which an upstream's own is compared."""

    def learn(self, upstream, elapsed_ms, now):
        """Take in an answer, and let its upstream learn how it compares.

        Returns
        -------
        bool
            Whether ``late_ms`` has become better known.
        """
        usual_ms = self.expected_ms
        self._route_pace.learn(elapsed_ms)
        upstream.learn_latency(elapsed_ms / usual_ms, now)
        return False

    def learn_cut(self, upstream, elapsed_ms, now):
        """Take in that an upstream had not answered when its leg was cut."""
        ratio = CUT_RATIO * elapsed_ms / self.expected_ms
        if ratio > upstream.scale:
            upstream.learn_latency(ratio, now)


class LookupPace(Pace):
    """Pace of a request to one upstream: that of its route."""

    __slots__ = ()

    @property
    def late_ms(self):
        """Age from which an open leg counts as late."""
        return self._route_pace.late_ms

    @property
    def expected_ms(self):
        return self._route_pace.median_ms


class SearchPace(Pace):
    """Latency of one search's legs, told by the shards that have answered.

    How much work a search is differs widely between searches, but hardly between its
    shards. So the first half of the shards to answer tells when the others are late,
    far better than earlier searches of the route do.

    Parameters
    ----------
    route_pace : RoutePace
        What is expected until the search tells.
    n_shards : int
        Shards of the search.

    Attributes
    ----------
    usual_ms : float or None
        Age of the legs at which half of the shards had answered; None before.
    """

    __slots__ = ("_n_needed", "_samples", "usual_ms")

    def __init__(self, route_pace, n_shards):
        super().__init__(route_pace)
        self._n_needed = KNOWN_SHARE * n_shards
        self._samples = []
        self.usual_ms = None

    @property
    def late_ms(self):
        """Age from which an open leg counts as late."""
        if self.usual_ms is not None:
            return LATE_RATIO * self.usual_ms + LATE_MARGIN_MS
        # All legs of a heavy search are slow, and asking others as well would not help.
        return MOST_MEDIANS * self._route_pace.median_ms

    @property
    def expected_ms(self):
        return self.usual_ms or self._route_pace.median_ms

    def learn(self, upstream, elapsed_ms, now):
        """Take in an answer; upstreams learn once the pace of the search is known."""
        if self.usual_ms is not None:
            return super().learn(upstream, elapsed_ms, now)
        self._route_pace.learn(elapsed_ms)
        self._samples.append((upstream, elapsed_ms))
        if len(self._samples) < self._n_needed:
            return False
        self.usual_ms = max(LEAST_MS, elapsed_ms)
        for each, sample_ms in self._samples:
            each.learn_latency(sample_ms / self.usual_ms, now)
        self._samples.clear()
        return True
