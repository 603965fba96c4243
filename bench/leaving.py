"""Errors, latency and coverage per second while a data centre is drained."""

import time
from dataclasses import asdict, dataclass, field

from bench.load import Load
from bench.plots import plot_seconds
from bench.results import Bound, Result
from bench.shapes import Shape
from heatherpick.declarations import Drains

__all__ = ["measure_leaving"]

_DATA_CENTRE = "dc-01"
_DEADLINE_MS = 210.0
_SERVICES = ("tail", "coverage")


@dataclass(frozen=True, slots=True)
class _Plan:
    """Size, load and the times of the events, in seconds after the first arrival."""

    n_upstreams: int = 110
    n_data_centres: int = 4
    n_nodes: int = 8
    rate: float = 6.0
    seconds: float = 20.0
    drain_at: float = 5.0
    fault_at: float = 8.0
    mend_at: float = 11.0
    undrain_at: float = 13.0
    warm_up_s: float = 10.0


_QUICK_PLAN = _Plan(
    n_nodes=4,
    rate=4.0,
    seconds=4.0,
    drain_at=1.0,
    fault_at=1.5,
    mend_at=2.0,
    undrain_at=2.5,
    warm_up_s=0.5,
)


@dataclass(slots=True)
class _ScenarioActions:
    """Event actions of a scenario and their results.

    Parameters
    ----------
    fleet : bench.fleet.Fleet
        Processes that the actions control.
    drains_version : int, default=1
        Version of the drains object that the next write replaces.
    drain_s : float or None, default=None
        Time from the drain to the last call to the drained upstreams; None before
        the data centre is undrained.
    killed_nodes : list of str
        Names of the killed nodes.
    """

    fleet: object
    drains_version: int = 1
    drain_s: float | None = None
    killed_nodes: list = field(default_factory=list)

    def drain(self):
        """Drain the data centre; its upstreams record the calls that still arrive."""
        self._write_drains(frozenset({_DATA_CENTRE}))
        self.fleet.control_upstreams("drain", self._upstream_names)

    def undrain(self):
        """Undrain the data centre after recording how long it still received calls."""
        state = self.fleet.read_upstream_states()
        last_calls_s = [
            state[name]["last_call_after_drain_s"] for name in self._upstream_names
        ]
        self.drain_s = max(
            (each for each in last_calls_s if each is not None), default=0.0
        )
        self._write_drains(frozenset())

    @property
    def _upstream_names(self):
        return self.fleet.list_upstreams(_DATA_CENTRE)

    def turn_cold(self):
        """Make the upstreams of the drained data centre cold, without a grace."""
        self.fleet.control_upstreams("cold", self._upstream_names, n_grace=0)

    def take_platform_down(self):
        """Make the platform refuse all requests."""
        self.fleet.control_platform("POST", "faults", {"kind": "outage"})

    def mend_platform(self):
        """Clear the faults of the platform."""
        self.fleet.control_platform("DELETE", "faults")

    def kill_rack(self):
        """Kill the last node of two data centres that are not drained."""
        for data_centre in ("dc-00", "dc-02"):
            nodes = [n for n in self.fleet.nodes if n.data_centre == data_centre]
            self.fleet.processes.kill(nodes[-1].name)
            self.killed_nodes.append(nodes[-1].name)

    def _write_drains(self, data_centres):
        self.fleet.drain(Drains(data_centres=data_centres), self.drains_version)
        self.drains_version += 1


#: Events of each scenario: the `_Plan` field with its time, and the
#: `_ScenarioActions` method.
_SCENARIOS = {
    "drain": (("drain_at", "drain"), ("undrain_at", "undrain")),
    "platform_down": (
        ("drain_at", "drain"),
        ("fault_at", "take_platform_down"),
        ("mend_at", "mend_platform"),
        ("undrain_at", "undrain"),
    ),
    "rack": (
        ("drain_at", "drain"),
        ("fault_at", "kill_rack"),
        ("undrain_at", "undrain"),
    ),
    "cold_return": (
        ("drain_at", "drain"),
        ("fault_at", "turn_cold"),
        ("undrain_at", "undrain"),
    ),
}
#: Scenarios of a quick run, which omits the others.
_QUICK_SCENARIOS = ("drain",)
#: Successful calls after which a cold upstream is warm.
_N_WARM_UP = 10


def measure_leaving(context):
    """Yield the `Result` of every figure, for each scenario."""
    plan = _QUICK_PLAN if context.is_quick else _Plan()
    for name in _QUICK_SCENARIOS if context.is_quick else _SCENARIOS:
        yield from _measure_scenario(context, plan, name)


def _measure_scenario(context, plan, name):
    with context.open_fleet(Shape(plan.n_upstreams, plan.n_data_centres)) as opened:
        fleet, load_runner = opened
        fleet.start_platform()
        fleet.start_upstreams(2, cold=False, service_ms=10.0, n_warm_up=_N_WARM_UP)
        fleet.start_nodes(plan.n_nodes // plan.n_data_centres)
        warm_up = Load(plan.rate, plan.warm_up_s, context.seed + 1, _SERVICES)
        load_runner.run(warm_up, fleet.addresses)
        actions = _ScenarioActions(fleet)
        load = Load(plan.rate, plan.seconds, context.seed, _SERVICES)
        with load_runner.start(load, fleet.addresses) as run:
            _run_events(plan, _SCENARIOS[name], actions, run.wait_for_first_record())
            requests = run.wait()
        state = fleet.read_upstream_states()
    if context.figures:
        path = context.figures / f"leaving-{name}.svg"
        plot_seconds(
            path, f"A data centre leaves: {name}", _summarise_by_second(requests)
        )
    conditions = asdict(plan) | {
        "scenario": name,
        "events": _SCENARIOS[name],
        "n_queries": len(requests),
        "n_killed": len(actions.killed_nodes),
    }
    yield from _list_results(context, plan, name, requests, actions.drain_s, conditions)
    overruns = sum(each["n_cold_overruns"] for each in state.values())
    yield Result(
        f"{name}_cold_overruns",
        overruns,
        "calls",
        {},
        Bound("=", 0),
        context.seed,
        conditions,
    )


def _run_events(plan, events, actions, started):
    for field_name, action in events:
        due = started + getattr(plan, field_name)
        time.sleep(max(0.0, due - time.time()))
        getattr(actions, action)()


def _list_results(context, plan, name, requests, drain_s, conditions):
    def build(suffix, value, unit, bound=None):
        return Result(
            f"{name}_{suffix}", value, unit, {}, bound, context.seed, conditions
        )

    n_errors = len(requests) - len(requests.answered)
    yield build("errors", n_errors, "searches", Bound("=", 0))
    yield build("p99_ms", requests.find_percentile(99), "ms", Bound("<=", _DEADLINE_MS))
    full_share = requests.find_share(lambda each: each["outcome"] == "answered")
    yield build("coverage_full", full_share, "share")
    correct_share = requests.answered.find_share(lambda each: each["correct"])
    yield build("told_truly", correct_share, "share", Bound("=", 1.0))
    yield build("seconds", drain_s, "s until no new work", Bound("<=", 3.0))


def _summarise_by_second(requests):
    """Return a row per second: second, share of errors, p99 in ms and coverage."""
    first = min(each["scheduled"] for each in requests.records)
    last = max(each["scheduled"] for each in requests.records)
    rows = []
    for second in range(int(last - first) + 1):
        in_second = requests.select(
            lambda each, second=second: int(each["scheduled"] - first) == second
        )
        if len(in_second):
            errors = 1.0 - len(in_second.answered) / len(in_second)
            p99_ms = in_second.find_percentile(99)
            rows.append((second, errors, p99_ms, _find_coverage(in_second.answered)))
    return rows


def _find_coverage(requests):
    n_shards = sum(each["n_shards"] for each in requests.records)
    n_covered = sum(each["n_covered"] for each in requests.records)
    return n_covered / n_shards if n_shards else 0.0
