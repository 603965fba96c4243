"""Chooses among the services of a route by their weights."""

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin, which keeps the shares even over a few requests.

    Parameters
    ----------
    services : sequence of str
        Names.
    weights : sequence of float
        Weight of each service; they need not add up to 1.
    offset : float
        Position in the round at which to start, 0 to 1. Nodes use different offsets so
        that they do not all choose the same service at once.

    Examples
    --------
    >>> round_robin = WeightedRoundRobin(("a", "b"), (3, 1))
    >>> sorted(round_robin.choose() for _ in range(4))
    ['a', 'a', 'a', 'b']
    """

    def __init__(self, services, weights, offset=0.0):
        total = sum(weights)
        self._services = tuple(services)
        self._shares = tuple(weight / total for weight in weights)
        self._credits = [share * offset for share in self._shares]

    def choose(self):
        """Return the service of the next request."""
        best = 0
        for index, share in enumerate(self._shares):
            self._credits[index] += share
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= 1.0
        return self._services[best]
