"""Resource use of an idle node by number of members, upstreams and changes."""

import time
from dataclasses import dataclass, replace
from statistics import mean

from bench.regression import fit_linear
from bench.results import Bound, Result
from bench.shapes import Shape, build_declarations
from bench.traffic import read_traffic
from demo.processes import fetch_json

__all__ = ["measure_control"]

#: The planned size: members of a data centre, upstreams and changes per second.
_PLANNED_MEMBERS = 1400 / 15
_PLANNED_UPSTREAMS = 8000
_PLANNED_CHANGES = 1900 / 86_400
_N_UPSTREAMS = 110
_BYTES_PER_MB = 1e6
_BYTES_PER_KB = 1e3


@dataclass(frozen=True, slots=True)
class _Plan:
    """Sizes that the slopes are fitted to, and the duration of each sample."""

    members: tuple[int, ...] = (2, 4, 8, 12)
    upstreams: tuple[int, ...] = (100, 1000, 4000, 8000)
    change_rates: tuple[float, ...] = (0.5, 1.0, 1.5)
    member_sample_s: float = 10.0
    sample_s: float = 2.0
    propagation_s: float = 1.5


_QUICK_PLAN = _Plan((1, 2, 3), (100, 1000, 2000), (2.0, 4.0), 0.5, 0.5, 0.2)


@dataclass(frozen=True, slots=True)
class _Sample:
    """Average resource use of one node, and the platform calls of all nodes.

    Parameters
    ----------
    cpu : float
        Processor time, in seconds per second.
    memory : float
        Resident memory, in bytes.
    traffic : float or None
        TCP bytes sent and received per second; None if they could not be read.
    platform_calls : float
        Calls per second that all nodes together make to the platform.
    """

    cpu: float
    memory: float
    traffic: float | None
    platform_calls: float


def measure_control(context):
    """Yield the `Result` of each cost, extrapolated linearly to the planned size."""
    plan = _QUICK_PLAN if context.is_quick else _Plan()
    with context.open_fleet(Shape(_N_UPSTREAMS, 1)) as (fleet, _):
        by_members = _sample_by_members(fleet, plan)
        by_upstreams = _sample_by_upstreams(fleet, plan)
        by_change_rate = by_upstreams[-1:] + _sample_by_change_rate(fleet, plan)
    yield _predict_cpu(context, plan, by_members, by_change_rate)
    yield _predict_memory(context, plan, by_members, by_upstreams)
    yield _predict_traffic(context, plan, by_members)
    yield _predict_platform_calls(context, plan, by_members)
    yield from _list_slopes(context, plan, by_upstreams)


def _sample_by_members(fleet, plan):
    """Return a `_Sample` for each number of members of one growing data centre."""
    samples = []
    fleet.start_platform()
    fleet.plan_nodes(max(plan.members))
    for n_members in plan.members:
        fleet.add_nodes(n_members - len(fleet.nodes))
        samples.append(_sample_nodes(fleet, plan.member_sample_s))
    return samples


def _sample_by_upstreams(fleet, plan):
    """Return a `_Sample` for each number of upstreams."""
    samples = []
    for n_upstreams in plan.upstreams:
        fleet.publish(build_declarations(Shape(n_upstreams, 1)))
        time.sleep(plan.propagation_s)
        samples.append(_sample_nodes(fleet, plan.sample_s))
    return samples


def _sample_by_change_rate(fleet, plan):
    """Return a `_Sample` for each rate of changes to the largest declared set."""
    return [
        _sample_nodes(
            fleet, plan.sample_s, _Publisher(fleet, round(rate * plan.sample_s))
        )
        for rate in plan.change_rates
    ]


class _Publisher:
    """Publishes changed declarations at even intervals while a sample is taken."""

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


def _sample_nodes(fleet, seconds, wait=time.sleep):
    """Return the `_Sample` of the time in which ``wait(seconds)`` runs."""
    names = [node.name for node in fleet.nodes]
    processes = fleet.processes
    cpu_before = [processes.read_cpu(name) for name in names]
    bytes_before = _sum_traffic(processes, names)
    calls_before = _sum_platform_calls(fleet)
    started = time.monotonic()
    wait(seconds)
    elapsed = time.monotonic() - started
    cpu_after = [processes.read_cpu(name) for name in names]
    traffic = None
    if bytes_before is not None:
        n_bytes = _sum_traffic(processes, names) - bytes_before
        traffic = n_bytes / elapsed / len(names)
    return _Sample(
        (sum(cpu_after) - sum(cpu_before)) / elapsed / len(names),
        mean(processes.read_memory(name) for name in names),
        traffic,
        (_sum_platform_calls(fleet) - calls_before) / elapsed,
    )


def _sum_traffic(processes, names):
    traffic = read_traffic()
    if traffic is None:
        return None
    return sum(traffic[processes.find_pid(name)] for name in names)


def _sum_platform_calls(fleet):
    counters = fetch_json(fleet.platform_address, "/_control/counters")
    return sum(counters["calls"].values())


def _fit(sizes, values):
    return fit_linear([[size] for size in sizes], values)


def _describe_coefficients(**coefficients):
    return {
        name: {"value": each.value, "margin_95": each.margin}
        for name, each in coefficients.items()
    }


def _predict_cpu(context, plan, by_members, by_change_rate):
    base, member = _fit(plan.members, [each.cpu for each in by_members])
    rates = (0.0, *plan.change_rates)
    _, change = _fit(rates, [each.cpu for each in by_change_rate])
    # A negative slope is drift of the machine and must not lower the figure.
    share = base.value + max(0.0, member.value) * _PLANNED_MEMBERS
    share += change.value * _PLANNED_CHANGES
    conditions = _describe_coefficients(base=base, per_member=member, per_change=change)
    return Result(
        "control_cpu_per_node",
        share * 100,
        "% of a core",
        {},
        Bound("<=", 3),
        context.seed,
        conditions
        | {"members": plan.members, "change_rates": rates}
        | {"cpu_by_member": [each.cpu for each in by_members]},
    )


def _predict_memory(context, plan, by_members, by_upstreams):
    _, member = _fit(plan.members, [each.memory for each in by_members])
    _, upstream = _fit(plan.upstreams, [each.memory for each in by_upstreams])
    total = (
        max(0.0, member.value) * _PLANNED_MEMBERS + upstream.value * _PLANNED_UPSTREAMS
    )
    conditions = _describe_coefficients(
        bytes_per_member=member, bytes_per_upstream=upstream
    )
    return Result(
        "control_memory_per_node",
        total / _BYTES_PER_MB,
        "MB",
        {},
        Bound("<=", 32),
        context.seed,
        conditions
        | {"members": plan.members, "upstreams": plan.upstreams}
        | {"bytes_by_upstreams": [each.memory for each in by_upstreams]},
    )


def _predict_traffic(context, plan, by_members):
    name, unit, bound = "control_traffic_per_node", "KB/s", Bound("<=", 28)
    values = [each.traffic for each in by_members]
    if None in values:
        return Result(name, None, unit, {}, bound, context.seed)
    base, member = _fit(plan.members, values)
    total = base.value + member.value * _PLANNED_MEMBERS
    conditions = _describe_coefficients(base=base, per_member=member)
    # The byte counts of connections that close during a short sample are lost.
    is_measured = total > 0.0
    return Result(
        name,
        total / _BYTES_PER_KB if is_measured else None,
        unit,
        {},
        bound,
        context.seed,
        conditions | {"members": plan.members, "bytes_by_member": values},
    )


def _predict_platform_calls(context, plan, by_members):
    base, member = _fit(plan.members, [each.platform_calls for each in by_members])
    total = base.value + member.value * _PLANNED_MEMBERS
    conditions = _describe_coefficients(base=base, per_member=member)
    return Result(
        "control_platform_calls",
        total,
        "calls a second of a data centre",
        {},
        None,
        context.seed,
        conditions
        | {"members": plan.members, "seconds": plan.member_sample_s}
        | {"calls_by_member": [each.platform_calls for each in by_members]},
    )


def _list_slopes(context, plan, by_upstreams):
    """Yield the slopes by number of upstreams, in addition to the planned totals."""
    costs = {
        "control_cpu_per_upstream": ("cpu", 100, "% of a core"),
        "control_traffic_per_upstream": ("traffic", 1, "bytes a second"),
        "control_calls_per_upstream": ("platform_calls", 1, "calls a second"),
    }
    for name, (field, scale, unit) in costs.items():
        values = [getattr(each, field) for each in by_upstreams]
        if None in values:
            continue
        _, slope = _fit(plan.upstreams, values)
        conditions = {"margin_95": slope.margin * scale, "values": values}
        conditions |= {"upstreams": plan.upstreams, "seconds": plan.sample_s}
        conditions |= {"n_nodes": max(plan.members)}
        yield Result(
            name, slope.value * scale, unit, {}, None, context.seed, conditions
        )
