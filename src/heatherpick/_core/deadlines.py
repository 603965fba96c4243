"""Things that fall due, found by one timer however many they are."""

from heapq import heappop, heappush

from heatherpick._core.effects import SetTimer

__all__ = ["DeadlineIndex"]

#: Deadlines within one tick fall due together, in seconds.
TICK_S = 0.005


class DeadlineIndex:
    """Items by deadline, in ticks.

    Parameters
    ----------
    timer : str
        Name of the timer that the index asks for.
    """

    def __init__(self, timer_name):
        self._timer_name = timer_name
        self._items_by_tick = {}
        self._ticks = []
        self._armed_tick = None

    def add(self, item, deadline, now):
        """Take in an item; returns effects."""
        # The tick after the deadline, so that nothing falls due early.
        tick = int(deadline / TICK_S) + 1
        if tick in self._items_by_tick:
            self._items_by_tick[tick].append(item)
            return []
        self._items_by_tick[tick] = [item]
        heappush(self._ticks, tick)
        return self._arm_timer(now)

    def pop_due(self, now):
        """Return the items that are due, and effects, when the timer fired."""
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
        # A clock that fires a rounding error early must not fire in a loop.
        return [SetTimer(self._timer_name, after_ms + 0.01)]
