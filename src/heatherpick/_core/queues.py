"""Legs that wait for a slot of one upstream."""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from heatherpick._core.messages import LegBatch, LegSpec

__all__ = ["LegQueue", "QueuedLeg", "clamp_priority"]

#: Classes told apart; a peer's stranger values count as the nearest of them.
N_CLASSES = 10

#: Closed entries that a queue bears beyond its open ones before it is rebuilt.
MAX_CLOSED_ENTRIES = 64


@dataclass(slots=True, eq=False)
class QueuedLeg:
    """A leg from its arrival to its outcome.

    Parameters
    ----------
    source : str
        Node that sent it.
    batch : LegBatch
        Message in which it came.
    spec : LegSpec
        The leg itself.
    priority : int
        Class, 0 to ``N_CLASSES - 1``; 0 goes first.
    deadline : float
        Time in seconds at which its outcome is worthless.
    arrived_at : float
        Time of arrival in seconds.
    siblings : dict
        Open legs of its query by leg id, itself among them.
    call : UpstreamCall or None
        Call in which it was sent.
    is_open : bool
        Whether its outcome is still owed.
    """

    source: str
    batch: LegBatch
    spec: LegSpec
    priority: int
    deadline: float
    arrived_at: float
    siblings: dict[int, "QueuedLeg"]
    call: object = None
    is_open: bool = True


def clamp_priority(priority):
    """Return the class that a message's ``priority`` stands for."""
    return min(max(priority, 0), N_CLASSES - 1)


class LegQueue:
    """Legs in order of priority, then deadline, then arrival.

    A leg that is closed elsewhere is told by `forget` and skipped later, so that
    leaving from the middle costs nothing.
    """

    def __init__(self):
        self._heaps = {}
        self._n_open = {}
        self._n_entries = 0
        self._sequence = 0
        self.n_open = 0

    def push(self, leg):
        """Add an open leg."""
        priority = leg.priority
        if priority not in self._heaps:
            self._heaps[priority] = []
            self._n_open[priority] = 0
            self._heaps = dict(sorted(self._heaps.items()))
        self._sequence += 1
        heappush(self._heaps[priority], (leg.deadline, self._sequence, leg))
        self._n_open[priority] += 1
        self._n_entries += 1
        self.n_open += 1

    def pop(self):
        """Return the first open leg, which leaves the queue, or None."""
        for heap in self._heaps.values():
            while heap:
                leg = heappop(heap)[2]
                self._n_entries -= 1
                if leg.is_open:
                    self._decrement_counts(leg)
                    return leg
        return None

    def mark_closed(self, leg):
        """Note that a queued leg was closed elsewhere."""
        self._decrement_counts(leg)
        if self._n_entries > 2 * self.n_open + MAX_CLOSED_ENTRIES:
            self._compact()

    def count_ahead(self, priority):
        """Return how many legs go before a new one of ``priority``."""
        if len(self._n_open) == 1 and priority in self._n_open:
            return self.n_open
        return sum(n_open for each, n_open in self._n_open.items() if each <= priority)

    def peek_below(self, priority):
        """Return the leg that `pop_below` would take, or None."""
        for each in reversed(self._heaps):
            if each <= priority:
                return None
            heap = self._heaps[each]
            while heap:
                if heap[-1][2].is_open:
                    return heap[-1][2]
                heap.pop()
                self._n_entries -= 1
        return None

    def pop_below(self, priority):
        """Take a leg of the lowest class below ``priority``, or return None.

        The last entry of a heap is among its later half, which is late enough.
        """
        leg = self.peek_below(priority)
        if leg is None:
            return None
        self._heaps[leg.priority].pop()
        self._n_entries -= 1
        self._decrement_counts(leg)
        return leg

    def pop_all(self):
        """Return every open leg in order; the queue is empty afterwards."""
        legs = []
        while (leg := self.pop()) is not None:
            legs.append(leg)
        return legs

    def _decrement_counts(self, leg):
        self._n_open[leg.priority] -= 1
        self.n_open -= 1

    def _compact(self):
        for heap in self._heaps.values():
            heap[:] = [entry for entry in heap if entry[2].is_open]
            heapify(heap)
        self._n_entries = sum(len(heap) for heap in self._heaps.values())
