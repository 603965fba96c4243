"""A node's part of the legs that the fleet may send beyond the first of each shard."""

__all__ = ["ExtraLegs"]

#: Part of the fleet's allowed share of extra legs that the nodes use.
SHARE_USED = 0.9
#: Part of the fleet's allowance on top that may be saved up, and that flows in over a
#: window. The whole holds also when all nodes start again within a window.
SAVED_PART = 0.3
FLOWING_PART = 0.4
#: Length of the window that the allowance holds for, in seconds.
WINDOW_S = 10.0
#: Saved legs that are plenty: a number, and a part of the most that may be saved.
LEAST_PLENTY = 2.0
PLENTIFUL_PART = 0.6
#: Nodes assumed while their number is not known.
N_NODES_UNKNOWN = 128


class ExtraLegs:
    """Token buckets by service, filled by requests and by time.

    Parameters
    ----------
    share : float
        Extra legs that the fleet may send to a service for each request to it.
    slack : float
        Extra legs that the fleet may send to a service on top, in each window.

    Examples
    --------
    >>> extras = ExtraLegs(share=0.2, slack=100.0)
    >>> extras.take_part(1 / 10)
    >>> extras.earn("parts", now=0.0)
    >>> [extras.spend("parts", now=0.0) for _ in range(3)]
    [True, True, True]
    """

    def __init__(self, share, slack):
        self._part = 1.0 / N_NODES_UNKNOWN
        self._buckets = {}
        self.allow(share, slack)

    def allow(self, share, slack):
        """Set what the fleet may send."""
        self._share = SHARE_USED * share
        self._slack = slack
        self._divide()

    def take_part(self, part):
        """Use this part, 0 to 1, of what the fleet may send on top."""
        self._part = part
        self._divide()

    def _divide(self):
        part = self._slack * self._part
        self._most = max(1.0, SAVED_PART * part)
        self._per_s = FLOWING_PART * part / WINDOW_S

    def earn(self, service, now):
        """Add what one request to a service allows."""
        bucket = self._fill(service, now)
        bucket[0] = min(self._most, bucket[0] + self._share)

    def is_plentiful(self, service, now):
        """Return whether enough is saved for more than what is needed most."""
        bucket = self._fill(service, now)
        return bucket[0] >= max(LEAST_PLENTY, PLENTIFUL_PART * self._most)

    def spend(self, service, now):
        """Take one leg; return whether there was one."""
        bucket = self._fill(service, now)
        if bucket[0] < 1.0:
            return False
        bucket[0] -= 1.0
        return True

    def _fill(self, service, now):
        """Return the bucket of a service, its tokens and the time they stand for."""
        bucket = self._buckets.get(service)
        if bucket is None:
            # Full, though nodes that all start again may spend it twice in one window:
            # a node that gets few requests would have nothing for its first ones.
            bucket = self._buckets[service] = [self._most, now]
            return bucket
        grown = bucket[0] + (now - bucket[1]) * self._per_s
        bucket[0] = min(self._most, grown)
        bucket[1] = now
        return bucket
