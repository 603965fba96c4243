"""What a node costs while no caller asks, by members, upstreams and changes."""

import time
from dataclasses import dataclass, replace
from statistics import mean

from bench.regression import fit_linear
from bench.results import Bound, Result
from bench.shapes import Shape, build_declarations
from bench.traffic import read_traffic
from demo.processes import fetch_json

__all__ = ["measure_control"]

#: The planned size: members of a data centre, upstreams, and changes a second.
_PLANNED_MEMBERS = 1400 / 15
_PLANNED_UPSTREAMS = 8000
_PLANNED_CHANGES = 1900 / 86_400
_N_UPSTREAMS = 110
#: Time in which a published set comes into force everywhere.
_SPREAD_SECONDS = 3.0
_MB = 1e6
_KB = 1e3


@dataclass(frozen=True, slots=True)
class _Plan:
    """Sizes of which the slopes are drawn, and the time of each look."""

    members: tuple[int, ...] = (4, 8, 16, 24)
    upstreams: tuple[int, ...] = (100, 1000, 4000, 8000)
    change_rates: tuple[float, ...] = (0.0, 0.5, 1.0, 2.0)
    n_nodes: int = 4
    look_s: float = 8.0


_QUICK_PLAN = _Plan((1, 2, 3, 4), (100, 1000, 2000), (0.0, 2.0, 4.0), 1, 1.0)


@dataclass(frozen=True, slots=True)
class _Look:
    """What one node used on average."""

    cpu: float
    memory: float
    traffic: float | None
    platform_calls: float


def measure_control(context):
    """Yield the `Result` of each cost at the planned size, worked out from slopes."""
    plan = _QUICK_PLAN if context.quick else _Plan()
    by_members = _look_by_members(context, plan)
    by_upstreams, by_rate = _look_by_upstreams(context, plan)
    yield _predict_cpu(context, plan, by_members, by_rate)
    yield _predict_memory(context, plan, by_members, by_upstreams)
    yield _predict_traffic(context, plan, by_members)
    yield _count_platform_calls(context, plan, by_members)


def _look_by_members(context, plan):
    """Return a `_Look` at each number of members of one data centre, which grows."""
    looks = []
    with context.open_fleet(Shape(_N_UPSTREAMS, 1)) as (fleet, _):
        fleet.start_platform()
        fleet.list_nodes(max(plan.members))
        for n_members in plan.members:
            fleet.add_nodes(n_members - len(fleet.nodes))
            looks.append(_look(fleet, plan.look_s))
    return looks


def _look_by_upstreams(context, plan):
    """Return a `_Look` at each number of upstreams, and at each rate of changes."""
    by_upstreams, by_rate = [], []
    with context.open_fleet(Shape(plan.upstreams[0], 1)) as (fleet, _):
        fleet.start_platform()
        fleet.start_nodes(plan.n_nodes)
        for n_upstreams in plan.upstreams:
            fleet.publish(build_declarations(Shape(n_upstreams, 1)))
            time.sleep(_SPREAD_SECONDS)
            by_upstreams.append(_look(fleet, plan.look_s))
        for rate in plan.change_rates:
            act = _Publisher(fleet, round(rate * plan.look_s))
            by_rate.append(_look(fleet, plan.look_s, act))
    return by_upstreams, by_rate


class _Publisher:
    """Publishes a changed set at even intervals of the time of a look."""

    def __init__(self, fleet, n_changes):
        self._fleet = fleet
        self._n_changes = n_changes

    def __call__(self, seconds):
        started = time.monotonic()
        for number in range(self._n_changes):
            self._publish(number)
            due = started + (number + 1) * seconds / self._n_changes
            time.sleep(max(0.0, due - time.monotonic()))
        time.sleep(max(0.0, started + seconds - time.monotonic()))

    def _publish(self, number):
        declarations = self._fleet.declarations
        deadline = declarations.deadlines["deadline"]
        changed = replace(deadline, margin_ms=10.0 + number % 10)
        self._fleet.publish(replace(declarations, deadlines={"deadline": changed}))


def _look(fleet, seconds, act=time.sleep):
    names = [node.name for node in fleet.nodes]
    processes = fleet.processes
    before = [processes.read_cpu(name) for name in names]
    sent_before = _sum_traffic(processes, names)
    calls_before = _sum_calls(fleet)
    started = time.monotonic()
    act(seconds)
    elapsed = time.monotonic() - started
    used = [processes.read_cpu(name) for name in names]
    traffic = None
    if sent_before is not None:
        sent = _sum_traffic(processes, names) - sent_before
        traffic = sent / elapsed / len(names)
    return _Look(
        (sum(used) - sum(before)) / elapsed / len(names),
        mean(processes.read_memory(name) for name in names),
        traffic,
        (_sum_calls(fleet) - calls_before) / elapsed,
    )


def _sum_traffic(processes, names):
    traffic = read_traffic()
    if traffic is None:
        return None
    return sum(traffic[processes.find_pid(name)] for name in names)


def _sum_calls(fleet):
    counters = fetch_json(fleet.platform_address, "/_control/counters")
    return sum(counters["calls"].values())


def _fit(sizes, values):
    return fit_linear([[size] for size in sizes], values)


def _describe(**coefficients):
    return {
        name: {"value": each.value, "margin_95": each.margin}
        for name, each in coefficients.items()
    }


def _predict_cpu(context, plan, by_members, by_rate):
    base, member = _fit(plan.members, [each.cpu for each in by_members])
    _, change = _fit(plan.change_rates, [each.cpu for each in by_rate])
    share = base.value + member.value * _PLANNED_MEMBERS
    share += change.value * _PLANNED_CHANGES
    conditions = _describe(base=base, per_member=member, per_change=change)
    return Result(
        "control_cpu_per_node",
        share * 100,
        "% of a core",
        {},
        Bound("<=", 3),
        context.seed,
        conditions | {"members": plan.members, "change_rates": plan.change_rates},
    )


def _predict_memory(context, plan, by_members, by_upstreams):
    _, member = _fit(plan.members, [each.memory for each in by_members])
    _, upstream = _fit(plan.upstreams, [each.memory for each in by_upstreams])
    total = member.value * _PLANNED_MEMBERS + upstream.value * _PLANNED_UPSTREAMS
    conditions = _describe(bytes_per_member=member, bytes_per_upstream=upstream)
    return Result(
        "control_memory_per_node",
        total / _MB,
        "MB",
        {},
        Bound("<=", 32),
        context.seed,
        conditions | {"members": plan.members, "upstreams": plan.upstreams},
    )


def _predict_traffic(context, plan, by_members):
    name, unit, bound = "control_traffic_per_node", "KB/s", Bound("<=", 28)
    values = [each.traffic for each in by_members]
    if None in values:
        return Result(name, None, unit, {}, bound, context.seed)
    base, member = _fit(plan.members, values)
    total = base.value + member.value * _PLANNED_MEMBERS
    conditions = _describe(base=base, per_member=member)
    return Result(
        name,
        total / _KB,
        unit,
        {},
        bound,
        context.seed,
        conditions | {"members": plan.members},
    )


def _count_platform_calls(context, plan, by_members):
    base, member = _fit(plan.members, [each.platform_calls for each in by_members])
    total = base.value + member.value * _PLANNED_MEMBERS
    conditions = _describe(base=base, per_member=member)
    return Result(
        "control_platform_calls",
        total,
        "calls a second of a data centre",
        {},
        None,
        context.seed,
        conditions | {"members": plan.members},
    )
