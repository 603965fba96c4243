"""The runtime that passes events to the reducer and executes its effects."""

from twisted.internet.task import Clock

from heatherpick._core.effects import Count, Log, SetTimer
from heatherpick._core.events import CallerGone, StopRequested, TimerFired
from heatherpick._shell.runtime import Runtime


class StubReducer:
    """Returns the effects that the test configured for each event."""

    def __init__(self, effects_by_event=None):
        self.effects_by_event = effects_by_event or {}
        self.reduced = []
        self.depth = 0

    def start(self, now):
        return self.reduce("start", now)

    def reduce(self, event, now):
        assert self.depth == 0
        self.reduced.append((event, now))
        effects = self.effects_by_event.get(event, [])
        if isinstance(effects, Exception):
            raise effects
        return effects


def build_runtime(effects_by_event):
    clock, reports = Clock(), []
    reducer = StubReducer(effects_by_event)
    runtime = Runtime(reducer, clock, lambda *args, **fields: reports.append(fields))
    return runtime, reducer, clock, reports


def test_event_raised_by_an_effect_does_not_reenter_the_reducer():
    trace = []
    effects_by_event = {StopRequested(): [Count("first"), Count("second")]}
    runtime, reducer, _, _ = build_runtime(effects_by_event)

    def execute_effect(effect):
        trace.append(effect.name)
        runtime.feed(CallerGone(effect.name))
        trace.append(len(reducer.reduced))

    runtime.add_effect_handlers({Count: execute_effect})
    runtime.feed(StopRequested())
    assert trace == ["first", 1, "second", 1]
    events = [event for event, _ in reducer.reduced]
    assert events == [StopRequested(), CallerGone("first"), CallerGone("second")]


def test_events_raised_by_initial_effects_are_reduced():
    runtime, reducer, _, _ = build_runtime({"start": [Count("x")]})
    runtime.add_effect_handlers({Count: lambda effect: runtime.feed(StopRequested())})
    runtime.start()
    assert [event for event, _ in reducer.reduced] == ["start", StopRequested()]


def test_exception_in_the_reducer_is_reported_with_its_event():
    runtime, reducer, _, reports = build_runtime({CallerGone("r"): KeyError("gone")})
    runtime.feed(CallerGone("r"))
    runtime.feed(StopRequested())
    assert "CallerGone" in reports[0]["cause"] and "gone" in reports[0]["error"]
    assert len(reducer.reduced) == 2


def test_exception_in_one_effect_does_not_prevent_the_others():
    executed = []
    runtime, _, _, reports = build_runtime({StopRequested(): [Log("x"), Count("y")]})
    runtime.add_effect_handlers({Count: executed.append})
    runtime.feed(StopRequested())
    assert executed == [Count("y")] and "Log" in reports[0]["cause"]


def test_timer_replaces_a_timer_of_the_same_name():
    effects_by_event = {
        "start": [SetTimer("a", 100), SetTimer("b", 50), SetTimer("a", 300)]
    }
    runtime, reducer, clock, _ = build_runtime(effects_by_event)
    runtime.start()
    clock.pump([0.1, 0.1, 0.1])
    fired = [(event.name, now) for event, now in reducer.reduced[1:]]
    assert fired == [("b", 0.1), ("a", 0.1 + 0.1 + 0.1)]


def test_timer_can_be_set_again_by_its_own_event():
    effects_by_event = {
        "start": [SetTimer("a", 10)],
        TimerFired("a"): [SetTimer("a", 10)],
    }
    runtime, reducer, clock, _ = build_runtime(effects_by_event)
    runtime.start()
    clock.pump([0.01] * 3)
    assert len(reducer.reduced) == 4


def test_timer_with_a_negative_delay_fires_immediately():
    runtime, reducer, clock, _ = build_runtime({"start": [SetTimer("a", -5)]})
    runtime.start()
    clock.advance(0)
    assert reducer.reduced[1] == (TimerFired("a"), 0)
