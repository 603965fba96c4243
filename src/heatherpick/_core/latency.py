"""Running estimates of how long an upstream takes."""

from dataclasses import dataclass

from heatherpick._core.quantiles import StreamQuantile

__all__ = ["LatencyEstimate"]

#: Weight of a new sample in the running mean.
MEAN_WEIGHT = 0.1

#: Quantile that is reported as the estimate's upper end.
UPPER_QUANTILE = 0.95

#: Smallest estimate of a quantile, in milliseconds.
LEAST_MS = 0.01


@dataclass(slots=True)
class LatencyEstimate:
    """Mean, median and upper quantile of a stream of durations, in fixed memory.

    Parameters
    ----------
    n_samples : int
        Samples seen.
    mean_ms : float
        Running mean in milliseconds; 0 before the first sample.
    """

    n_samples: int = 0
    mean_ms: float = 0.0
    _median: StreamQuantile | None = None
    _upper: StreamQuantile | None = None

    @property
    def median_ms(self):
        """Median in milliseconds; 0 before the first sample."""
        return self._median.value if self._median else 0.0

    @property
    def upper_ms(self):
        """Upper quantile in milliseconds; 0 before the first sample."""
        return self._upper.value if self._upper else 0.0

    def add(self, value_ms):
        """Take in one duration in milliseconds."""
        self.n_samples += 1
        if self.n_samples == 1:
            self.mean_ms = value_ms
            self._median = StreamQuantile(0.5, value_ms, LEAST_MS)
            self._upper = StreamQuantile(UPPER_QUANTILE, value_ms, LEAST_MS)
            return
        self.mean_ms += MEAN_WEIGHT * (value_ms - self.mean_ms)
        self._median.add(value_ms)
        self._upper.add(value_ms)
