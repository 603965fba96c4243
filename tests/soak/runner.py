"""Runs one seed: a fleet under random faults, and the invariants that must hold."""

import signal
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from tests.soak.callers import (
    DEADLINE_MS,
    NOT_RUN_STATUSES,
    OVERDUE_SLACK_S,
    Caller,
    request_once,
)
from tests.soak.faults import FAULTS
from tests.soak.fleet import SHARDS, SHUTDOWN_GRACE_S, Fleet

N_CALLERS = 8
#: Mean time between the injections of two faults, in seconds.
MEAN_FAULT_INTERVAL_S = 0.8
#: Time without faults before a check, in seconds, after which the user
#: documentation counts nodes as being in contact.
SETTLE_S = 4.0
#: Memory of the smallest VM, in megabytes.
VM_MEMORY_MB = 152
#: Time within which every node must act on an update, in seconds: the bound in the
#: user documentation, with an allowance for delays of the test machine.
UPDATE_BOUND_S = 3.0
#: Time after the last fault within which every node must serve complete results
#: again, in seconds.
RECOVERY_S = 12.0
#: Time after which a request that was sent to a stopping node must not be lost, in
#: seconds, also if it was not passed on.
LOSS_SLACK_S = 0.2


@dataclass(frozen=True, slots=True)
class Report:
    """Result of one seed.

    ``outcomes`` maps (kind of request, status) to the number of requests.
    """

    seed: int
    findings: tuple
    outcomes: dict
    n_faults: int


def run_seed(seed, seconds, directory, log_line=lambda line: None):
    """Run one seed, injecting faults for ``seconds``; return a `Report`."""
    findings = []
    with Fleet(directory, seed) as fleet:
        callers = [Caller(fleet, index, findings) for index in range(N_CALLERS)]
        for caller in callers:
            caller.send_next()
        n_faults = _inject_faults(fleet, callers, seconds, log_line)
        _check_recovery(fleet, findings)
        _check_planned_stop(fleet, callers, findings)
        _check_updates(fleet, findings)
        for caller in callers:
            caller.is_stopped = True
        fleet.run_for(DEADLINE_MS / 1000.0 + OVERDUE_SLACK_S)
        attempts = [each for caller in callers for each in caller.attempts]
        findings += _check_runs(fleet, attempts)
        findings += _check_versions(attempts)
        findings += [
            f"event handler of the soak test failed: {each}" for each in fleet.faults
        ]
        findings += _check_logs(directory)
        findings += _check_memory(fleet)
    outcomes = Counter((each.kind, each.status) for each in attempts)
    return Report(seed, tuple(findings), dict(outcomes), n_faults)


def _inject_faults(fleet, callers, seconds, log_line):
    until = fleet.loop.seconds() + seconds
    active = []
    n_faults = 0
    next_at = fleet.loop.seconds() + 1.0
    while fleet.loop.seconds() < until:
        now = fleet.loop.seconds()
        if now >= next_at:
            fault = fleet.rng.choice(FAULTS)(fleet)
            description = fault.inject()
            n_faults += 1
            log_line(f"{until - now:5.1f} s left: {type(fault).__name__} {description}")
            active.append(
                (now + fleet.rng.uniform(0.1, max(0.1, fault.max_duration_s)), fault)
            )
            next_at = now + fleet.rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_S)
        for entry in [each for each in active if each[0] <= now]:
            entry[1].clear()
            active.remove(entry)
        if fleet.rng.random() < 0.02:
            fleet.rng.choice(callers).disconnect()
        for caller in callers:
            caller.close_if_overdue()
        fleet.run_for(0.05)
    for _, fault in active:
        fault.clear()
    for node in fleet.nodes:
        node.resume()
    return n_faults


def _check_recovery(fleet, findings):
    """Check that every node serves complete results soon after the last fault."""
    waiting = list(fleet.nodes)
    until = fleet.loop.seconds() + RECOVERY_S
    while waiting and fleet.loop.seconds() < until:
        fleet.run_for(0.2)
        waiting = [
            node for node in waiting if not _serves_complete_results(fleet, node)
        ]
    findings += [
        f"{node.name} does not serve {RECOVERY_S:g} s after the last fault"
        for node in waiting
    ]


def _serves_complete_results(fleet, node):
    request_id = f"check-{node.name}-{fleet.loop.seconds():.3f}"
    status, headers, _ = request_once(
        fleet, node.callers_address, "/find/x", request_id
    )
    return status == 200 and headers.get(b"parts-missing") == b"0"


def _check_planned_stop(fleet, callers, findings):
    """Check that nodes stopped by SIGTERM, without other faults, cut no request.

    Upstreams take a while, and all callers return to the nodes that stop, so that
    requests are open when the processes exit. A request that crosses the exit of its
    process was not read, and is no cut one: it has not run and its connection ends
    within `LOSS_SLACK_S`.
    """
    fleet.run_for(SETTLE_S)
    for upstream in fleet.upstreams:
        upstream.delay_s = fleet.rng.uniform(0.2, 0.6)
    nodes = fleet.rng.sample(fleet.nodes, fleet.rng.choice((1, 1, 2)))
    for caller in callers:
        caller.only_node = fleet.rng.choice(nodes)
        caller.disconnect()
    fleet.run_for(1.0)
    stopped_at = fleet.loop.seconds()
    for node in nodes:
        node.send_signal(signal.SIGTERM)
    fleet.run_for(SHUTDOWN_GRACE_S + 1.0)
    for upstream in fleet.upstreams:
        upstream.delay_s = 0.0
    for caller in callers:
        caller.only_node = None
    run_ids = {
        request_id for upstream in fleet.upstreams for _, request_id in upstream.runs
    }
    for caller in callers:
        caller.close_if_overdue()
        for each in caller.attempts:
            is_cut = each.status is None and each.ended_at is not None
            has_begun = each.sent_at >= stopped_at and each.reason != "ECONNREFUSED"
            if not (each.node in nodes and is_cut and has_begun):
                continue
            waited_s = each.ended_at - each.sent_at
            if each.request_id in run_ids or waited_s > LOSS_SLACK_S:
                findings.append(
                    f"{each.request_id} was cut by a planned stop, "
                    f"{each.sent_at - stopped_at:.2f} s after it: {each.reason}"
                )


def _check_updates(fleet, findings):
    """Check that all nodes act in time on new routes and draining upstreams."""
    fleet.run_for(SETTLE_S)
    fleet.publish()
    draining = fleet.rng.choice(fleet.upstreams[: len(SHARDS) * 2])
    draining.announce("draining")
    path = fleet.paths[-1]
    fleet.run_for(UPDATE_BOUND_S)
    due_at = fleet.loop.seconds()
    for node in fleet.nodes:
        status, _, _ = request_once(
            fleet, node.callers_address, path, f"new-{node.name}"
        )
        if status != 200:
            findings.append(
                f"{node.name} answers {status} on a route {UPDATE_BOUND_S:g} s old"
            )
    fleet.run_for(1.0)
    n_late = sum(at > due_at for at, _ in draining.runs)
    if n_late:
        findings.append(f"{draining.id} got {n_late} requests late after it drained")


def _check_runs(fleet, attempts):
    """Check that orders run at most once, and not if refused as not run."""
    runs = Counter(
        request_id for upstream in fleet.upstreams for _, request_id in upstream.runs
    )
    sent_ids = {each.request_id for each in attempts}
    for each in attempts:
        n_runs = runs[each.request_id]
        if each.kind == "order" and n_runs > 1:
            yield f"order {each.request_id} ran {n_runs} times"
        if each.kind == "order" and each.status in NOT_RUN_STATUSES and n_runs:
            yield f"order {each.request_id} ran and was refused with {each.status}"
        is_paused = each.node.was_paused(each.sent_at, each.ended_at or each.sent_at)
        # A node that restarted since has lost its requests, so it can't delay them.
        if (
            each.reason == "overdue"
            and each.incarnation == each.node.incarnation
            and not is_paused
        ):
            yield f"{each.request_id} got no response in time from {each.node.name}"
    for request_id in runs:
        if request_id not in sent_ids and not request_id.startswith(("check-", "new-")):
            yield f"{request_id} ran, but no caller has sent it"


def _check_versions(attempts):
    """Check that a node that has served a route serves it until it restarts."""
    served = set()
    for each in sorted(attempts, key=lambda each: each.ended_at or 0.0):
        if each.kind != "version":
            continue
        key = (each.node.name, each.incarnation, each.path)
        if each.status == 200:
            served.add(key)
        elif each.status == 404 and key in served:
            yield f"{each.request_id}: {each.node.name} no longer serves {each.path}"


def _check_logs(directory):
    """Check that no node logs an exception."""
    for path in sorted(directory.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if "handler failed" in line or "Traceback" in line:
                yield f"{path.name}: {line[:300]}"


def _check_memory(fleet):
    """Return a finding for each node whose peak memory exceeds the smallest VM's."""
    findings = []
    for node in fleet.nodes:
        if not node.is_running:
            continue
        status = Path(f"/proc/{node.process.pid}/status").read_text()
        (line,) = (each for each in status.splitlines() if each.startswith("VmHWM"))
        peak_mb = int(line.split()[1]) // 1024
        if peak_mb > VM_MEMORY_MB:
            findings.append(f"{node.name} had a peak memory of {peak_mb} MB")
    return findings
