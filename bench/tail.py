"""Tail latency, coverage and extra legs under stragglers, beside both baselines."""

import time
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from random import Random

from bench.load import Answers, Load
from bench.plots import plot_tails
from bench.results import Bound, Result
from bench.shapes import Shape

__all__ = ["measure_tail"]

_BASELINES = ("naive", "direct")
_OURS = "heatherpick"
_DEADLINE_MS = 210.0
_SLOW_UPSTREAM = "u-0007"
_SLOW_FACTOR = 20.0
_STRAGGLER_FACTORS = (10.0, 50.0)
_STRAGGLER_SHARE = 0.01
#: Time for legs that nobody waits for any more to reach the upstreams' counters.
_QUIET_SECONDS = 1.0
_SERVICES = ("tail", "coverage")


@dataclass(frozen=True, slots=True)
class _Plan:
    """Size and load of one run; the block is the time of one system's turn."""

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
    for plan in _QUICK_PLANS if context.quick else _PLANS:
        yield from _measure(context, plan)


def _measure(context, plan):
    shape = Shape(plan.n_upstreams, plan.n_data_centres)
    with context.open_fleet(shape) as (fleet, loads):
        fleet.start_platform()
        _start_upstreams(fleet, plan, context.seed)
        fleet.start_nodes(plan.n_nodes // plan.n_data_centres)
        systems = {_OURS: fleet.addresses}
        for name in _BASELINES:
            systems[name] = fleet.start_baseline(name, plan.n_nodes).addresses
        runs = _run_rounds(context, plan, fleet, loads, systems)
    if context.figures:
        _plot(context, plan, runs)
    yield from _list_results(context, plan, runs)


def _start_upstreams(fleet, plan, seed):
    random = Random(seed)

    def draw_factor(name):
        factor = random.uniform(*_STRAGGLER_FACTORS)
        return _SLOW_FACTOR if name == _SLOW_UPSTREAM else factor

    def choose_share(name):
        return 1.0 if name == _SLOW_UPSTREAM else _STRAGGLER_SHARE

    fleet.start_upstreams(
        plan.n_upstream_processes // plan.n_data_centres,
        cold=False,
        service_ms=plan.service_ms,
        straggle_probability=choose_share,
        straggle_factor=draw_factor,
    )


class _Run:
    """Everything that one system did in all of its turns."""

    def __init__(self):
        self.answers = Answers()
        self.n_legs = 0
        self.n_shed = 0
        self.n_extra_told = 0


def _run_rounds(context, plan, fleet, loads, systems):
    _warm_up(context, plan, loads, systems)
    runs = {name: _Run() for name in systems}
    for number in range(plan.n_rounds):
        load = Load(plan.rate, plan.block_s, context.seed * 1000 + number, _SERVICES)
        for name, addresses in systems.items():
            _run_block(fleet, loads, load, addresses, runs[name])
    return runs


def _warm_up(context, plan, loads, systems):
    """Let every system open its connections and learn latencies, side by side."""
    seed = context.seed * 1000 + 900
    load = Load(plan.rate / len(systems), plan.warm_up_s, seed, _SERVICES)
    with ExitStack() as stack:
        runs = [
            stack.enter_context(loads.start(load, addresses))
            for addresses in systems.values()
        ]
        for run in runs:
            run.wait()


def _run_block(fleet, loads, load, addresses, run):
    time.sleep(_QUIET_SECONDS)
    before = _count(fleet)
    run.answers += loads.run(load, addresses)
    time.sleep(_QUIET_SECONDS)
    after = _count(fleet)
    run.n_legs += after[0] - before[0]
    run.n_shed += after[1] - before[1]
    run.n_extra_told += after[2] - before[2]


def _count(fleet):
    state = fleet.read_upstreams().values()
    n_legs = sum(each["n_legs"] for each in state)
    n_shed = sum(each["n_shed"] for each in state)
    return n_legs, n_shed, fleet.count_at_nodes("extra_legs")


def _list_results(context, plan, runs):
    ours = runs[_OURS].answers
    baselines = {name: runs[name].answers for name in _BASELINES}
    n_legs = len(ours) * plan.n_upstreams
    conditions = asdict(plan) | {
        "n_queries": len(ours),
        "n_without_answer": len(ours) - len(ours.given),
        "n_shed": {name: run.n_shed for name, run in runs.items()},
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
            name, "ms", lambda answers, p=percentile: answers.find_percentile(p), bound
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
        name: run.n_legs / (len(run.answers) * plan.n_upstreams) - 1
        for name, run in runs.items()
    }
    yield Result(
        "tail_extra_legs",
        extra.pop(_OURS),
        "share",
        extra,
        Bound("<", 0.02),
        context.seed,
        conditions,
    )
    yield Result(
        "tail_extra_legs_told",
        runs[_OURS].n_extra_told / n_legs,
        "share",
        {},
        Bound("<", 0.02),
        context.seed,
        conditions,
    )
    yield build("tail_coverage", "share", lambda each: _find_coverage(each, "tail"))
    yield build("coverage_full", "share", _find_full, Bound(">", 0.999))
    yield build("coverage_told_truly", "share", _find_truth, Bound("=", 1.0))


def _find_coverage(answers, service):
    chosen = answers.select(lambda each: each["service"] == service)
    n_shards = sum(each["n_shards"] for each in chosen.given.records)
    n_covered = sum(each["n_covered"] for each in chosen.given.records)
    return n_covered / n_shards if n_shards else None


def _find_full(answers):
    chosen = answers.select(lambda each: each["service"] == "coverage")
    return chosen.share(lambda each: each["outcome"] == "answered")


def _find_truth(answers):
    return answers.given.share(lambda each: each["correct"])


def _plot(context, plan, runs):
    plot_tails(
        context.figures / f"tail-{plan.n_upstreams}.svg",
        f"{plan.n_upstreams} upstreams a search, {plan.rate:g} searches a second",
        {name: run.answers.latencies_ms for name, run in runs.items()},
        _DEADLINE_MS,
    )
