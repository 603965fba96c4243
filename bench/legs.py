"""Processor time per search at its entry node, per leg at its owner and per hop."""

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
_COOL_DOWN_SECONDS = 0.5
_WARM_UP_RATE = 4.0
_N_HOP_LEGS = 14
_HOP_PORT = 18750
#: Transports of a hop and of a call; the node uses the first of each.
_HOP_TRANSPORTS = ("frames", "grpc")
_CALL_TRANSPORTS = ("exchange", "agent", "treq")
#: Numbers of legs, possibly of several searches, in one call.
_BATCH_SIZES = (1, 4, 16)


@dataclass(frozen=True, slots=True)
class _Plan:
    """Size and loads; each load enters at a single node, the next one in turn."""

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
    """Yield the `Result` of a node's processor time: idle, per search and per leg."""
    plan = _QUICK_PLAN if context.is_quick else _Plan()
    with context.open_fleet(Shape(plan.n_upstreams, plan.n_data_centres)) as opened:
        fleet, load_runner = opened
        fleet.start_platform()
        fleet.start_upstreams(cold=False, service_ms=10.0, connect_ms=0.0)
        fleet.start_nodes(plan.n_nodes // plan.n_data_centres)
        naive = fleet.start_baseline("naive", 1)
        observations = _measure_nodes(context, plan, fleet, load_runner)
        naive_leg_s = _measure_naive(context, plan, fleet, load_runner, naive)
    idle, query, leg = fit_linear(*observations)
    conditions = asdict(plan)

    def build(name, coefficient, unit, baseline=None):
        with_margin = conditions | {"margin_95": coefficient.margin}
        return Result(
            name,
            coefficient.value,
            unit,
            baseline or {},
            None,
            context.seed,
            with_margin,
        )

    naive_us = {"naive": naive_leg_s * _US_PER_S} if naive_leg_s else {}
    yield build("node_idle_cpu", idle.scale(100), "% of a core")
    yield build("query_cpu", query.scale(_MS_PER_S), "ms of CPU per search at entry")
    yield build("leg_cpu", leg.scale(_US_PER_S), "us of CPU per leg at owner", naive_us)


def _measure_nodes(context, plan, fleet, load_runner):
    """Return a row and a processor time per second for each node in each block.

    A row holds the node's searches as entry and its legs as owner, per second.
    """
    rows, values = [], []
    warm_up = Load(_WARM_UP_RATE, plan.warm_up_s, context.seed)
    load_runner.run(warm_up, fleet.addresses)
    for number, rate in enumerate(plan.rates):
        entry = fleet.nodes[number % len(fleet.nodes)]
        load = Load(rate, plan.block_s, context.seed + number)
        before = [_read_node(fleet, node) for node in fleet.nodes]
        started = time.monotonic()
        n_queries = len(load_runner.run(load, [entry.caller_address]))
        time.sleep(_COOL_DOWN_SECONDS)
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


def _measure_naive(context, plan, fleet, load_runner, naive):
    """Return the processor time per leg in seconds, with no idle time subtracted."""
    load = Load(plan.rates[-1], plan.block_s, context.seed)
    cpu_s = fleet.processes.read_cpu("naive-0")
    n_queries = len(load_runner.run(load, naive.addresses))
    cpu_s = fleet.processes.read_cpu("naive-0") - cpu_s
    return cpu_s / (n_queries * plan.n_upstreams) if n_queries else None


def measure_hops(context):
    """Yield the `Result` of a hop between nodes and of a call, by transport."""
    n_calls = 160 if context.is_quick else transports.N_CALLS
    yield _compare_transports(
        context, "peer_hop_cpu", _HOP_TRANSPORTS, _N_HOP_LEGS, n_calls
    )
    yield _compare_transports(
        context, "upstream_call_cpu", _CALL_TRANSPORTS, 1, n_calls
    )
    for n_legs in _BATCH_SIZES:
        name = f"batch_call_cpu_{n_legs}"
        yield _compare_transports(context, name, _CALL_TRANSPORTS[:1], n_legs, n_calls)


def _compare_transports(context, name, transport_names, n_legs, n_calls):
    costs = {
        transport: _measure_transport(transport, n_legs, n_calls)
        for transport in transport_names
    }
    conditions = {"n_legs": n_legs, "n_calls": n_calls, "transport": transport_names[0]}
    value = costs.pop(transport_names[0])
    unit = "us of CPU per call"
    return Result(name, value, unit, costs, None, context.seed, conditions)


def _measure_transport(transport, n_legs, n_calls):
    server_kind = transports.TRANSPORTS[transport][1]
    server = transports.start_child("serve", server_kind, _HOP_PORT)
    try:
        transports.wait_for_server(_HOP_PORT)
        return transports.measure_in_child(transport, _HOP_PORT, n_legs, n_calls)
    finally:
        server.kill()
        server.wait()
