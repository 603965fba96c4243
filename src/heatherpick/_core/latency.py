"""Running estimates of how long an upstream takes."""

from dataclasses import dataclass

__all__ = ["LatencyEstimate"]

#: Weight of a new sample in the running mean.
MEAN_WEIGHT = 0.1

#: Relative step of a quantile estimate for each sample.
QUANTILE_STEP = 0.05

#: Quantile that is reported as the estimate's upper end.
UPPER_QUANTILE = 0.95


@dataclass(slots=True)
class LatencyEstimate:
    """Mean, median and upper quantile of a stream of durations, in fixed memory.

    The quantiles follow the stream by steps whose sizes up and down stand in the
    ratio of the quantile, so that they rest where that share of samples is below.

    Parameters
    ----------
    n_samples : int
        Samples seen.
    mean_ms, median_ms, upper_ms : float
        The estimates in milliseconds; 0 before the first sample.
    """

    n_samples: int = 0
    mean_ms: float = 0.0
    median_ms: float = 0.0
    upper_ms: float = 0.0

    def add(self, value_ms):
        """Take in one duration in milliseconds."""
        self.n_samples += 1
        if self.n_samples == 1:
            self.mean_ms = self.median_ms = self.upper_ms = value_ms
            return
        self.mean_ms += MEAN_WEIGHT * (value_ms - self.mean_ms)
        self.median_ms = _step(self.median_ms, value_ms, 0.5)
        self.upper_ms = _step(self.upper_ms, value_ms, UPPER_QUANTILE)


def _step(estimate, value, quantile):
    if value > estimate:
        return min(value, estimate * (1 + QUANTILE_STEP * quantile))
    return max(value, estimate * (1 - QUANTILE_STEP * (1 - quantile)))
