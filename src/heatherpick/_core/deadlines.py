"""Index of items by deadline, which needs only one timer for all of them."""

from heapq import heappop, heappush

from heatherpick._core.effects import SetTimer

__all__ = ["DeadlineIndex"]

#: Resolution of the index in seconds; deadlines within one tick are due together.
TICK_S = 0.005


class DeadlineIndex:
    """Items by the tick in which their deadline passes.

    Parameters
    ----------
    timer_name : str
        Name of the timer that the index sets.
    """

    def __init__(self, timer_name):
        self._timer_name = timer_name
        self._items_by_tick = {}
        self._ticks = []
        self._armed_tick = None

    def add(self, item, deadline, now):
        """Add an item with its deadline in seconds; return effects."""
        # Rounds up to the tick after the deadline, so that no item is due early.
        tick = int(deadline / TICK_S) + 1
        if tick in self._items_by_tick:
            self._items_by_tick[tick].append(item)
            return []
        self._items_by_tick[tick] = [item]
        heappush(self._ticks, tick)
        return self._arm_timer(now)

    def pop_due(self, now):
        """Remove the items that are due when the timer fires.

        Returns
        -------
        list
            The items.
        list
            Effects, which set the next timer.
        """
        self._armed_tick = None
        items = []
        last_due_tick = int(now / TICK_S)
        while self._ticks and self._ticks[0] <= last_due_tick:
            items += self._items_by_tick.pop(heappop(self._ticks))
        return items, self._arm_timer(now)

    def _arm_timer(self, now):
        if not self._ticks:
            return []
        tick = self._ticks[0]
        if self._armed_tick is not None and self._armed_tick <= tick:
            return []
        self._armed_tick = tick
        after_ms = max((tick * TICK_S - now) * 1000, 0.0)
        # The 0.01 ms keep a timer that fires early by a rounding error from being set
        # again and again.
        return [SetTimer(self._timer_name, after_ms + 0.01)]
