"""A quantile of a stream in constant space."""

__all__ = ["StreamQuantile"]

#: Step of the estimate, as a share of its present value.
STEP = 0.05


class StreamQuantile:
    """Follow one quantile of a stream whose distribution drifts.

    The estimate moves up by ``p`` and down by ``1 - p`` steps, so that it rests
    where a share ``p`` of the values lies below it. A histogram would be exact, but
    needs a window to forget by; this forgets on its own.

    Parameters
    ----------
    p : float
        Share of the values that lie below the estimate, 0 to 1.
    initial : float
        First estimate, in the unit of the values.
    floor : float
        Smallest estimate.

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
        """Take one value of the stream into account."""
        step = STEP * self.value
        if value > self.value:
            self.value += step * self.p
        else:
            self.value = max(self.floor, self.value - step * (1.0 - self.p))
