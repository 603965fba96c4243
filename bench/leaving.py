"""Service second by second while a data centre leaves and returns."""

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
    """Size, load and the times at which something happens, in seconds."""

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
class _Scene:
    """What runs, and what the events of a scenario change."""

    fleet: object
    drains_version: int = 1
    drained: float | None = None
    killed: list = field(default_factory=list)

    def drain(self):
        """Take the data centre out, and have its upstreams count what still comes."""
        self._write(frozenset({_DATA_CENTRE}))
        self.fleet.control_upstreams("drain", self._names)

    def undrain(self):
        """Bring the data centre back, noting how long it still had new work."""
        state = self.fleet.read_upstreams()
        told = [state[name]["last_call_after_drain_s"] for name in self._names]
        self.drained = max((each for each in told if each is not None), default=0.0)
        self._write(frozenset())

    @property
    def _names(self):
        return self.fleet.list_upstreams(_DATA_CENTRE)

    def turn_cold(self):
        """Have the upstreams of the drained data centre start cold."""
        self.fleet.control_upstreams("cold", self._names, n_grace=0)

    def take_platform_down(self):
        """Have the platform refuse everything."""
        self.fleet.control_platform("POST", "faults", {"kind": "outage"})

    def mend_platform(self):
        """Have the platform answer again."""
        self.fleet.control_platform("DELETE", "faults")

    def kill_rack(self):
        """Kill the last node of each of two data centres that stay."""
        for data_centre in ("dc-00", "dc-02"):
            nodes = [n for n in self.fleet.nodes if n.data_centre == data_centre]
            self.fleet.processes.kill(nodes[-1].name)
            self.killed.append(nodes[-1].name)

    def _write(self, data_centres):
        self.fleet.drain(Drains(data_centres=data_centres), self.drains_version)
        self.drains_version += 1


#: Events of each scenario: the field of the plan that tells when, and the action.
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
#: What a run cannot do without; the others are left out of a quick one.
_QUICK_SCENARIOS = ("drain",)
#: Warm-up calls after which a cold upstream is warm.
_N_WARM_UP = 10


def measure_leaving(context):
    """Yield the `Result` of every figure, for each scenario."""
    plan = _QUICK_PLAN if context.quick else _Plan()
    for name in _QUICK_SCENARIOS if context.quick else _SCENARIOS:
        yield from _measure(context, plan, name)


def _measure(context, plan, name):
    with context.open_fleet(Shape(plan.n_upstreams, plan.n_data_centres)) as opened:
        fleet, loads = opened
        fleet.start_platform()
        fleet.start_upstreams(2, cold=False, service_ms=10.0, n_warm_up=_N_WARM_UP)
        fleet.start_nodes(plan.n_nodes // plan.n_data_centres)
        warm_up = Load(plan.rate, plan.warm_up_s, context.seed + 1, _SERVICES)
        loads.run(warm_up, fleet.addresses)
        scene = _Scene(fleet)
        load = Load(plan.rate, plan.seconds, context.seed, _SERVICES)
        with loads.start(load, fleet.addresses) as run:
            _play(plan, _SCENARIOS[name], scene, run.wait_for_first())
            answers = run.wait()
        state = fleet.read_upstreams()
    if context.figures:
        path = context.figures / f"leaving-{name}.svg"
        plot_seconds(path, f"A data centre leaves: {name}", _list_seconds(answers))
    conditions = asdict(plan) | {
        "scenario": name,
        "events": _SCENARIOS[name],
        "n_queries": len(answers),
        "n_killed": len(scene.killed),
    }
    yield from _list_results(context, plan, name, answers, scene.drained, conditions)
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


def _play(plan, events, scene, started):
    for field_name, action in events:
        due = started + getattr(plan, field_name)
        time.sleep(max(0.0, due - time.time()))
        getattr(scene, action)()


def _list_results(context, plan, name, answers, drained, conditions):
    def build(suffix, value, unit, bound=None):
        return Result(
            f"{name}_{suffix}", value, unit, {}, bound, context.seed, conditions
        )

    n_errors = len(answers) - len(answers.given)
    yield build("errors", n_errors, "searches", Bound("=", 0))
    yield build("p99_ms", answers.find_percentile(99), "ms", Bound("<=", _DEADLINE_MS))
    full = answers.share(lambda each: each["outcome"] == "answered")
    yield build("coverage_full", full, "share")
    truth = answers.given.share(lambda each: each["correct"])
    yield build("told_truly", truth, "share", Bound("=", 1.0))
    yield build("seconds", drained, "s until no new work", Bound("<=", 3.0))


def _list_seconds(answers):
    """Return second, share of errors, p99 in ms and coverage, a row a second."""
    first = min(each["scheduled"] for each in answers.records)
    last = max(each["scheduled"] for each in answers.records)
    rows = []
    for second in range(int(last - first) + 1):
        here = answers.select(
            lambda each, second=second: int(each["scheduled"] - first) == second
        )
        if len(here):
            errors = 1.0 - len(here.given) / len(here)
            p99_ms = here.find_percentile(99)
            rows.append((second, errors, p99_ms, _find_coverage(here.given)))
    return rows


def _find_coverage(answers):
    n_shards = sum(each["n_shards"] for each in answers.records)
    n_covered = sum(each["n_covered"] for each in answers.records)
    return n_covered / n_shards if n_shards else 0.0
