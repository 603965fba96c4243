"""Processor time of a search at its entry, of a leg at its owner and of a hop."""

import time
from dataclasses import asdict, dataclass

from bench import transports
from bench.load import Load
from bench.regression import fit_linear
from bench.results import Result
from bench.shapes import Shape

__all__ = ["measure_hops", "measure_legs"]

_MS_PER_S = 1e3
_US_PER_S = 1e6
_QUIET_SECONDS = 0.5
_WARM_UP_RATE = 4.0
_HOP_LEGS = 14
_HOP_PORT = 18750
#: Transports of a hop and of a call; the first of each is the node's own.
_HOPS = ("frames", "grpc")
_CALLS = ("exchange", "agent", "treq")
#: Legs of several searches that one call may carry.
_BATCHES = (1, 4, 16)


@dataclass(frozen=True, slots=True)
class _Plan:
    """Loads, each given to one node after another as the only entry."""

    n_upstreams: int = 110
    n_data_centres: int = 4
    n_nodes: int = 4
    rates: tuple[float, ...] = (1.0, 2.0, 4.0, 6.0)
    block_s: float = 6.0
    warm_up_s: float = 4.0


_QUICK_PLAN = _Plan(
    n_nodes=2, n_data_centres=2, rates=(2.0, 4.0), block_s=0.8, warm_up_s=0.5
)


def measure_legs(context):
    """Yield the `Result` of the slopes of a node's processor time."""
    plan = _QUICK_PLAN if context.quick else _Plan()
    with context.open_fleet(Shape(plan.n_upstreams, plan.n_data_centres)) as opened:
        fleet, loads = opened
        fleet.start_platform()
        fleet.start_upstreams(cold=False, service_ms=10.0, connect_ms=0.0)
        fleet.start_nodes(plan.n_nodes // plan.n_data_centres)
        naive = fleet.start_baseline("naive", 1)
        nodes = _measure_nodes(context, plan, fleet, loads)
        naive_leg = _measure_naive(context, plan, fleet, loads, naive)
    idle, query, leg = fit_linear(*nodes)
    conditions = asdict(plan)

    def build(name, coefficient, unit, baseline=None):
        known = conditions | {"margin_95": coefficient.margin}
        return Result(
            name, coefficient.value, unit, baseline or {}, None, context.seed, known
        )

    naive_us = {"naive": naive_leg * _US_PER_S} if naive_leg else {}
    yield build("node_idle_cpu", idle.scale(100), "% of a core")
    yield build("query_cpu", query.scale(_MS_PER_S), "ms of CPU per search at entry")
    yield build("leg_cpu", leg.scale(_US_PER_S), "us of CPU per leg at owner", naive_us)


def _measure_nodes(context, plan, fleet, loads):
    """Return what each node did in each block, a second, and the time it took."""
    rows, values = [], []
    warm_up = Load(_WARM_UP_RATE, plan.warm_up_s, context.seed)
    loads.run(warm_up, fleet.addresses)
    for number, rate in enumerate(plan.rates):
        entry = fleet.nodes[number % len(fleet.nodes)]
        load = Load(rate, plan.block_s, context.seed + number)
        before = [_read_node(fleet, node) for node in fleet.nodes]
        started = time.monotonic()
        n_queries = len(loads.run(load, [entry.caller_address]))
        time.sleep(_QUIET_SECONDS)
        elapsed = time.monotonic() - started
        for node, (cpu, n_legs) in zip(fleet.nodes, before, strict=True):
            cpu_after, n_legs_after = _read_node(fleet, node)
            n_entered = n_queries if node is entry else 0
            rows.append((n_entered / elapsed, (n_legs_after - n_legs) / elapsed))
            values.append((cpu_after - cpu) / elapsed)
    return rows, values


def _read_node(fleet, node):
    n_legs = fleet.read_counter(node, "legs_sent")
    return fleet.processes.read_cpu(node.name), n_legs


def _measure_naive(context, plan, fleet, loads, naive):
    """Return the seconds of CPU per leg, which has no idle time to take away."""
    load = Load(plan.rates[-1], plan.block_s, context.seed)
    cpu = fleet.processes.read_cpu("naive-0")
    n_queries = len(loads.run(load, naive.addresses))
    cpu = fleet.processes.read_cpu("naive-0") - cpu
    return cpu / (n_queries * plan.n_upstreams) if n_queries else None


def measure_hops(context):
    """Yield the `Result` of a hop between nodes and of a call, by transport."""
    n_calls = 160 if context.quick else transports.N_CALLS
    yield _compare(context, "peer_hop_cpu", _HOPS, _HOP_LEGS, n_calls)
    yield _compare(context, "upstream_call_cpu", _CALLS, 1, n_calls)
    for n_legs in _BATCHES:
        name = f"batch_call_cpu_{n_legs}"
        yield _compare(context, name, _CALLS[:1], n_legs, n_calls)


def _compare(context, name, kinds, n_legs, n_calls):
    costs = {kind: _measure_transport(kind, n_legs, n_calls) for kind in kinds}
    conditions = {"n_legs": n_legs, "n_calls": n_calls, "transport": kinds[0]}
    value = costs.pop(kinds[0])
    unit = "us of CPU per call"
    return Result(name, value, unit, costs, None, context.seed, conditions)


def _measure_transport(kind, n_legs, n_calls):
    server_kind = transports.TRANSPORTS[kind][1]
    server = transports.run_child("serve", server_kind, _HOP_PORT)
    try:
        transports.wait_for(_HOP_PORT)
        return transports.measure_in_child(kind, _HOP_PORT, n_legs, n_calls)
    finally:
        server.kill()
        server.wait()
