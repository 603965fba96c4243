"""Running estimates of an upstream's latency."""

from heatherpick._core.quantiles import StreamQuantile

__all__ = ["LatencyEstimate"]

#: Weight of a new sample in the running mean.
EWMA_WEIGHT = 0.1

#: Quantile reported as ``upper_ms``.
UPPER_QUANTILE = 0.95

#: Smallest estimate of a quantile, in milliseconds.
MIN_ESTIMATE_MS = 0.01

#: Samples that are sorted before `StreamQuantile` estimates take over. The first
#: samples include the opening of connections, and a stream quantile recovers only
#: slowly from a bad initial value.
N_FIRST_SAMPLES = 8

#: Multiple of the median to which samples are clipped for the mean. One straggler says
#: little about the wait behind the next call.
CLIP_FACTOR = 4.0


class LatencyEstimate:
    """Mean, median and upper quantile of a stream of durations, in fixed memory.

    Attributes
    ----------
    n_samples : int
        Samples added.
    mean_ms : float
        Running mean of the clipped samples in milliseconds; 0 before the first sample.
    """

    __slots__ = ("_first_samples", "_median", "_upper", "mean_ms", "n_samples")

    def __init__(self):
        self.n_samples = 0
        self.mean_ms = 0.0
        self._first_samples = []
        self._median = None
        self._upper = None

    @property
    def is_trusted(self):
        """Whether there are enough samples to refuse work by the estimate."""
        return self._median is not None

    @property
    def median_ms(self):
        """Median in milliseconds; 0 before the first sample."""
        if self._median is not None:
            return self._median.value
        return (
            self._first_samples[len(self._first_samples) // 2]
            if self._first_samples
            else 0.0
        )

    @property
    def upper_ms(self):
        """Upper quantile in milliseconds; 0 before the first sample."""
        if self._upper is not None:
            return self._upper.value
        return self._first_samples[-1] if self._first_samples else 0.0

    def add(self, value_ms):
        """Add one duration in milliseconds."""
        self.n_samples += 1
        if self._median is None:
            self._add_first_sample(value_ms)
            return
        clipped_ms = min(value_ms, CLIP_FACTOR * self._median.value)
        self.mean_ms += EWMA_WEIGHT * (clipped_ms - self.mean_ms)
        self._median.add(value_ms)
        self._upper.add(value_ms)

    def _add_first_sample(self, value_ms):
        self._first_samples.append(value_ms)
        self._first_samples.sort()
        self.mean_ms = self.median_ms
        if len(self._first_samples) < N_FIRST_SAMPLES:
            return
        median_ms, upper_ms = self.median_ms, self.upper_ms
        self._median = StreamQuantile(
            0.5, max(median_ms, MIN_ESTIMATE_MS), MIN_ESTIMATE_MS
        )
        self._upper = StreamQuantile(
            UPPER_QUANTILE, max(upper_ms, MIN_ESTIMATE_MS), MIN_ESTIMATE_MS
        )
        self._first_samples = []
