"""Tail latency, coverage and extra legs under stragglers, against both baselines."""

import time
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from random import Random

from bench.load import Load, RequestRecords
from bench.plots import plot_tails
from bench.results import Bound, Result
from bench.shapes import Shape

__all__ = ["measure_tail"]

_BASELINES = ("naive", "direct")
_HEATHERPICK = "heatherpick"
_DEADLINE_MS = 210.0
_SLOW_UPSTREAM = "u-0007"
_SLOW_FACTOR = 20.0
_STRAGGLER_FACTORS = (10.0, 50.0)
_STRAGGLER_SHARE = 0.01
#: Time for abandoned legs to reach the upstreams' counters.
_COOL_DOWN_SECONDS = 1.0
_SERVICES = ("tail", "coverage")


@dataclass(frozen=True, slots=True)
class _Plan:
    """Size and load of one run; in each round, each system runs for one block."""

    n_upstreams: int
    n_nodes: int
    rate: float
    n_rounds: int
    block_s: float
    warm_up_s: float
    n_data_centres: int = 4
    n_upstream_processes: int = 8
    service_ms: float = 10.0


_QUICK_PLANS = (_Plan(110, 2, 4.0, 1, 1.0, 0.5, 2, 2),)
_PLANS = (
    _Plan(110, 8, 6.0, 3, 15.0, 12.0),
    _Plan(160, 8, 4.0, 2, 12.0, 12.0),
)


def measure_tail(context):
    """Yield the `Result` of every figure, for each number of upstreams."""
    for plan in _QUICK_PLANS if context.is_quick else _PLANS:
        yield from _measure_plan(context, plan)


def _measure_plan(context, plan):
    shape = Shape(plan.n_upstreams, plan.n_data_centres)
    with context.open_fleet(shape) as (fleet, load_runner):
        fleet.start_platform()
        _start_upstreams(fleet, plan, context.seed)
        fleet.start_nodes(plan.n_nodes // plan.n_data_centres)
        systems = {_HEATHERPICK: fleet.addresses}
        for name in _BASELINES:
            systems[name] = fleet.start_baseline(name, plan.n_nodes).addresses
        totals_by_system = _run_rounds(context, plan, fleet, load_runner, systems)
    if context.figures:
        _plot(context, plan, totals_by_system)
    yield from _list_results(context, plan, totals_by_system)


def _start_upstreams(fleet, plan, seed):
    random = Random(seed)

    def draw_factor(name):
        factor = random.uniform(*_STRAGGLER_FACTORS)
        return _SLOW_FACTOR if name == _SLOW_UPSTREAM else factor

    def choose_probability(name):
        return 1.0 if name == _SLOW_UPSTREAM else _STRAGGLER_SHARE

    fleet.start_upstreams(
        plan.n_upstream_processes // plan.n_data_centres,
        cold=False,
        service_ms=plan.service_ms,
        straggle_probability=choose_probability,
        straggle_factor=draw_factor,
    )


class _SystemTotals:
    """Requests and counters of one system, summed over its blocks."""

    def __init__(self):
        self.requests = RequestRecords()
        self.n_legs = 0
        self.n_shed = 0
        self.n_extra_reported = 0


def _run_rounds(context, plan, fleet, load_runner, systems):
    _warm_up(context, plan, load_runner, systems)
    totals_by_system = {name: _SystemTotals() for name in systems}
    for number in range(plan.n_rounds):
        load = Load(plan.rate, plan.block_s, context.seed * 1000 + number, _SERVICES)
        for name, addresses in systems.items():
            _run_block(fleet, load_runner, load, addresses, totals_by_system[name])
    return totals_by_system


def _warm_up(context, plan, load_runner, systems):
    """Run all systems concurrently to open connections and learn latencies."""
    seed = context.seed * 1000 + 900
    load = Load(plan.rate / len(systems), plan.warm_up_s, seed, _SERVICES)
    with ExitStack() as stack:
        runs = [
            stack.enter_context(load_runner.start(load, addresses))
            for addresses in systems.values()
        ]
        for run in runs:
            run.wait()


def _run_block(fleet, load_runner, load, addresses, totals):
    time.sleep(_COOL_DOWN_SECONDS)
    before = _read_counters(fleet)
    totals.requests += load_runner.run(load, addresses)
    time.sleep(_COOL_DOWN_SECONDS)
    after = _read_counters(fleet)
    totals.n_legs += after[0] - before[0]
    totals.n_shed += after[1] - before[1]
    totals.n_extra_reported += after[2] - before[2]


def _read_counters(fleet):
    state = fleet.read_upstream_states().values()
    n_legs = sum(each["n_legs"] for each in state)
    n_shed = sum(each["n_shed"] for each in state)
    return n_legs, n_shed, fleet.sum_node_counter("extra_legs")


def _list_results(context, plan, totals_by_system):
    ours = totals_by_system[_HEATHERPICK].requests
    baselines = {name: totals_by_system[name].requests for name in _BASELINES}
    n_legs = len(ours) * plan.n_upstreams
    conditions = asdict(plan) | {
        "n_queries": len(ours),
        "n_without_answer": len(ours) - len(ours.answered),
        "n_shed": {name: totals.n_shed for name, totals in totals_by_system.items()},
        "slow_upstreams": 1,
        "straggler_share": _STRAGGLER_SHARE,
        "straggler_factors": _STRAGGLER_FACTORS,
    }

    def build(name, unit, measure, bound=None):
        compared = {key: measure(each) for key, each in baselines.items()}
        value = measure(ours)
        return Result(name, value, unit, compared, bound, context.seed, conditions)

    for percentile in (50, 99, 99.9):
        bound = Bound("<=", _DEADLINE_MS) if percentile == 99 else None
        name = f"tail_p{percentile:g}_ms".replace("99.9", "999")
        yield build(
            name,
            "ms",
            lambda requests, p=percentile: requests.find_percentile(p),
            bound,
        )
    p99_ms = ours.find_percentile(99)
    ratios = {
        name: each.find_percentile(99) / p99_ms for name, each in baselines.items()
    }
    yield Result(
        "tail_p99_ratio",
        ratios["naive"],
        "times",
        ratios,
        Bound(">=", 10),
        context.seed,
        conditions,
    )
    extra = {
        name: totals.n_legs / (len(totals.requests) * plan.n_upstreams) - 1
        for name, totals in totals_by_system.items()
    }
    yield Result(
        "tail_extra_legs",
        extra.pop(_HEATHERPICK),
        "share",
        extra,
        Bound("<", 0.02),
        context.seed,
        conditions,
    )
    yield Result(
        "tail_extra_legs_told",
        totals_by_system[_HEATHERPICK].n_extra_reported / n_legs,
        "share",
        {},
        Bound("<", 0.02),
        context.seed,
        conditions,
    )
    yield build("tail_coverage", "share", lambda each: _find_coverage(each, "tail"))
    yield build("coverage_full", "share", _find_full_share, Bound(">", 0.999))
    yield build("coverage_told_truly", "share", _find_correct_share, Bound("=", 1.0))


def _find_coverage(requests, service):
    chosen = requests.select(lambda each: each["service"] == service)
    n_shards = sum(each["n_shards"] for each in chosen.answered.records)
    n_covered = sum(each["n_covered"] for each in chosen.answered.records)
    return n_covered / n_shards if n_shards else None


def _find_full_share(requests):
    chosen = requests.select(lambda each: each["service"] == "coverage")
    return chosen.find_share(lambda each: each["outcome"] == "answered")


def _find_correct_share(requests):
    return requests.answered.find_share(lambda each: each["correct"])


def _plot(context, plan, totals_by_system):
    plot_tails(
        context.figures / f"tail-{plan.n_upstreams}.svg",
        f"{plan.n_upstreams} upstreams a search, {plan.rate:g} searches a second",
        {
            name: totals.requests.latencies_ms
            for name, totals in totals_by_system.items()
        },
        _DEADLINE_MS,
    )
