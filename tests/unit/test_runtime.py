"""The loop around the reducer."""

from twisted.internet.task import Clock

from heatherpick._core.effects import Count, Log, SetTimer
from heatherpick._core.events import CallerGone, StopRequested, TimerFired
from heatherpick._shell.runtime import Runtime


class ScriptedReducer:
    """Answers each event with the effects that the test wrote down for it."""

    def __init__(self, script=None):
        self.script = script or {}
        self.seen = []
        self.depth = 0

    def start(self, now):
        return self.reduce("start", now)

    def reduce(self, event, now):
        assert self.depth == 0
        self.seen.append((event, now))
        answer = self.script.get(event, [])
        if isinstance(answer, Exception):
            raise answer
        return answer


def build(script):
    clock, reports = Clock(), []
    reducer = ScriptedReducer(script)
    runtime = Runtime(reducer, clock, lambda *args, **fields: reports.append(fields))
    return runtime, reducer, clock, reports


def test_effect_that_causes_an_event_does_not_nest():
    order = []
    script = {StopRequested(): [Count("first"), Count("second")]}
    runtime, reducer, _, _ = build(script)

    def carry_out(effect):
        order.append(effect.name)
        runtime.feed(CallerGone(effect.name))
        order.append(len(reducer.seen))

    runtime.add_effect_handlers({Count: carry_out})
    runtime.feed(StopRequested())
    assert order == ["first", 1, "second", 1]
    events = [event for event, _ in reducer.seen]
    assert events == [StopRequested(), CallerGone("first"), CallerGone("second")]


def test_events_caused_by_the_start_are_reduced():
    runtime, reducer, _, _ = build({"start": [Count("x")]})
    runtime.add_effect_handlers({Count: lambda effect: runtime.feed(StopRequested())})
    runtime.start()
    assert [event for event, _ in reducer.seen] == ["start", StopRequested()]


def test_fault_in_the_reducer_is_reported_with_its_event():
    runtime, reducer, _, reports = build({CallerGone("r"): KeyError("gone")})
    runtime.feed(CallerGone("r"))
    runtime.feed(StopRequested())
    assert "CallerGone" in reports[0]["cause"] and "gone" in reports[0]["error"]
    assert len(reducer.seen) == 2


def test_fault_in_one_effect_leaves_the_others_carried_out():
    carried = []
    runtime, _, _, reports = build({StopRequested(): [Log("x"), Count("y")]})
    runtime.add_effect_handlers({Count: carried.append})
    runtime.feed(StopRequested())
    assert carried == [Count("y")] and "Log" in reports[0]["cause"]


def test_timer_of_the_same_name_is_replaced():
    script = {"start": [SetTimer("a", 100), SetTimer("b", 50), SetTimer("a", 300)]}
    runtime, reducer, clock, _ = build(script)
    runtime.start()
    clock.pump([0.1, 0.1, 0.1])
    fired = [(event.name, now) for event, now in reducer.seen[1:]]
    assert fired == [("b", 0.1), ("a", 0.1 + 0.1 + 0.1)]


def test_timer_may_be_set_again_by_its_own_event():
    script = {"start": [SetTimer("a", 10)], TimerFired("a"): [SetTimer("a", 10)]}
    runtime, reducer, clock, _ = build(script)
    runtime.start()
    clock.pump([0.01] * 3)
    assert len(reducer.seen) == 4


def test_timer_in_the_past_fires_at_once():
    runtime, reducer, clock, _ = build({"start": [SetTimer("a", -5)]})
    runtime.start()
    clock.advance(0)
    assert reducer.seen[1] == (TimerFired("a"), 0)
