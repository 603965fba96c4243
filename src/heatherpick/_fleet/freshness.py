"""Limits on the staleness of shared objects, and the intervals derived from them."""

from dataclasses import dataclass

__all__ = ["Freshness"]

#: Fractions of the largest staleness. In the worst case a relay's call to the store, a
#: peer's poll of the relay and the peer's own listing follow one another, and together
#: must stay within it.
REVISION_FRACTION = 0.33
WATCH_FRACTION = 0.17
POLL_WAIT_FRACTION = 0.27
POLL_TIMEOUT_FRACTION = 0.4
STALE_FRACTION = 0.7


@dataclass(frozen=True, slots=True)
class Freshness:
    """Intervals and timeouts derived from the largest staleness, in seconds.

    Parameters
    ----------
    max_staleness_s : float
        Longest time from the store's acknowledgement of a change until all nodes act on
        it, in seconds.

    Examples
    --------
    >>> Freshness(3.0).stale_after_s < 3.0
    True
    """

    max_staleness_s: float

    @property
    def revision_interval_s(self):
        """Interval at which a relay reads the store's revision."""
        return REVISION_FRACTION * self.max_staleness_s

    @property
    def watch_grace_s(self):
        """Time allowed for watches to deliver the changes of a newly read revision."""
        return WATCH_FRACTION * self.max_staleness_s

    @property
    def poll_wait_s(self):
        """Longest time for which a relay holds a poll that has no changes to return."""
        return POLL_WAIT_FRACTION * self.max_staleness_s

    @property
    def poll_timeout_s(self):
        """Timeout of a poll."""
        return POLL_TIMEOUT_FRACTION * self.max_staleness_s

    @property
    def stale_after_s(self):
        """Age of the last known store contact from which a node counts as stale."""
        return STALE_FRACTION * self.max_staleness_s
