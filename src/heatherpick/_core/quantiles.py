"""Estimate of a quantile of a stream, in constant space."""

__all__ = ["StreamQuantile"]

#: Step of the estimate, as a share of its value.
STEP = 0.05


class StreamQuantile:
    """Tracks one quantile of a stream whose distribution drifts.

    Each value moves the estimate up by ``p`` steps or down by ``1 - p`` steps, so that
    it settles where a share ``p`` of the values lies below it. A histogram would be
    exact, but would need a window in order to discard old values.

    Parameters
    ----------
    p : float
        Share of the values that lie below the estimate, 0 to 1.
    initial : float
        First estimate, in the unit of the values.
    floor : float
        Smallest estimate, in the same unit.

    Attributes
    ----------
    value : float
        Present estimate.

    Examples
    --------
    >>> quantile = StreamQuantile(p=0.9, initial=10.0, floor=0.1)
    >>> for _ in range(1000):
    ...     quantile.add(1.0)
    >>> quantile.value < 2.0
    True
    """

    __slots__ = ("floor", "p", "value")

    def __init__(self, p, initial, floor):
        self.p = p
        self.value = initial
        self.floor = floor

    def add(self, value):
        """Move the estimate by one value of the stream."""
        step = STEP * self.value
        if value > self.value:
            self.value += step * self.p
        else:
            self.value = max(self.floor, self.value - step * (1.0 - self.p))
