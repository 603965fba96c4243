"""Event loop that passes events to the reducer and executes its effects."""

from collections import deque

from heatherpick._core.effects import CancelTimer, SetTimer
from heatherpick._core.events import TimerFired

__all__ = ["Runtime"]

MS_PER_S = 1000.0


class Runtime:
    """Passes one event at a time to a reducer and executes the resulting effects.

    Parameters
    ----------
    reducer : object
        Provides ``start(now)`` and ``reduce(event, now)``, which return a list of
        effects.
    clock : IReactorTime
        Provides the current time and timers.
    report : callable
        ``report(message, **fields)`` logs an exception.
    """

    def __init__(self, reducer, clock, report):
        self._reducer = reducer
        self._clock = clock
        self._report = report
        self._events = deque()
        self._is_running = False
        self._timers = {}
        self._effect_handlers = {
            SetTimer: self._set_timer,
            CancelTimer: self._cancel_timer,
        }

    def add_effect_handlers(self, effect_handlers):
        """Add handlers, a dict of effect type to a callable that takes the effect."""
        self._effect_handlers.update(effect_handlers)

    def start(self):
        """Execute the reducer's initial effects."""
        self._run_effects(lambda: self._reducer.start(self._clock.seconds()), "start")

    def feed(self, event):
        """Queue an event for the reducer, and process the queue if it is idle.

        An event that is raised while effects are executed waits until all effects of
        the current event are done, so the reducer is never re-entered.
        """
        self._events.append(event)
        if not self._is_running:
            self._process_events()

    def _process_events(self):
        while self._events:
            event = self._events.popleft()
            self._run_effects(lambda event=event: self._reduce(event), event)

    def _reduce(self, event):
        return self._reducer.reduce(event, self._clock.seconds())

    def _run_effects(self, compute_effects, cause):
        was_running = self._is_running
        self._is_running = True
        try:
            self._execute_effects(compute_effects())
        except Exception as error:
            self._report("reducer failed", cause=repr(cause), error=repr(error))
        finally:
            self._is_running = was_running
        if not was_running:
            self._process_events()

    def _execute_effects(self, effects):
        for effect in effects:
            try:
                self._effect_handlers[type(effect)](effect)
            except Exception as error:
                self._report("effect failed", cause=repr(effect), error=repr(error))

    def _set_timer(self, effect):
        delay_s = max(0.0, effect.after_ms) / MS_PER_S
        timer = self._timers.get(effect.name)
        if timer is not None:
            timer.reset(delay_s)
            return
        self._timers[effect.name] = self._clock.callLater(
            delay_s, self._fire_timer, effect.name
        )

    def _cancel_timer(self, effect):
        timer = self._timers.pop(effect.name, None)
        if timer is not None:
            timer.cancel()

    def _fire_timer(self, name):
        del self._timers[name]
        self.feed(TimerFired(name))
