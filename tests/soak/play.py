"""Plays one seed: a site under random faults, and what must hold meanwhile."""

import signal
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from tests.soak.callers import HELD_SLACK_S, PATIENCE_MS, PROMISES, Caller, ask_once
from tests.soak.faults import FAULTS
from tests.soak.world import SHARDS, World

N_CALLERS = 8
#: Mean time between the beginnings of two faults, in seconds.
FAULT_EVERY_S = 0.8
#: Calm before the site is looked at: what the users' pages call being in touch.
CONTACT_S = 4.0
#: Memory of the smallest VM, in megabytes.
VM_MB = 152
#: Bounds of the users' pages on acting on news, and what this machine may be late.
NEWS_S = 3.0
#: Time after the last fault in which every node must serve whole answers again.
RECOVERY_S = 12.0
#: Time before and after a planned stop without another disturbance, for the stop to
#: count as calm, in seconds.
CALM_S = 4.0


@dataclass(frozen=True, slots=True)
class Report:
    """What came of one seed."""

    seed: int
    findings: tuple
    outcomes: dict
    n_faults: int


def play(seed, seconds, directory, tell=lambda line: None):
    """Play one seed for some seconds of faults; return a `Report`."""
    findings = []
    with World(directory, seed) as world:
        callers = [Caller(world, index, findings) for index in range(N_CALLERS)]
        for caller in callers:
            caller.begin()
        n_faults = _disturb(world, callers, seconds, tell)
        _check_recovery(world, findings)
        _check_planned_stop(world, callers, findings)
        _check_news(world, findings)
        for caller in callers:
            caller.is_over = True
        world.run_for(PATIENCE_MS / 1000.0 + HELD_SLACK_S)
        attempts = [each for caller in callers for each in caller.attempts]
        findings += _check_runs(world, attempts)
        findings += _check_versions(attempts)
        findings += [f"handler of the soak failed: {each}" for each in world.faults]
        findings += _check_logs(directory)
        findings += _check_memory(world)
    outcomes = Counter((each.kind, each.status) for each in attempts)
    return Report(seed, tuple(findings), dict(outcomes), n_faults)


def _disturb(world, callers, seconds, tell):
    until = world.loop.seconds() + seconds
    active = []
    n_faults = 0
    next_at = world.loop.seconds() + 1.0
    while world.loop.seconds() < until:
        now = world.loop.seconds()
        if now >= next_at:
            fault = world.rng.choice(FAULTS)(world)
            word = fault.begin()
            n_faults += 1
            tell(f"{until - now:5.1f} s left: {type(fault).__name__} {word}")
            active.append((now + world.rng.uniform(0.1, max(0.1, fault.most_s)), fault))
            next_at = now + world.rng.expovariate(1.0 / FAULT_EVERY_S)
        for entry in [each for each in active if each[0] <= now]:
            entry[1].end()
            active.remove(entry)
        if world.rng.random() < 0.02:
            world.rng.choice(callers).leave()
        for caller in callers:
            caller.give_up_held()
        world.run_for(0.05)
    for _, fault in active:
        fault.end()
    for node in world.nodes:
        node.resume()
    return n_faults


def _check_recovery(world, findings):
    """Every node serves whole answers soon after the last fault."""
    waiting = list(world.nodes)
    until = world.loop.seconds() + RECOVERY_S
    while waiting and world.loop.seconds() < until:
        world.run_for(0.2)
        waiting = [node for node in waiting if not _serves_whole(world, node)]
    findings += [
        f"{node.name} does not serve {RECOVERY_S:g} s after the last fault"
        for node in waiting
    ]


def _serves_whole(world, node):
    request_id = f"check-{node.name}-{world.loop.seconds():.3f}"
    status, headers, _ = ask_once(world, node.callers_address, "/find/x", request_id)
    return status == 200 and headers.get(b"parts-missing") == b"0"


def _check_planned_stop(world, callers, findings):
    """In calm, a node that is told to end cuts and refuses nothing."""
    world.run_for(CONTACT_S)
    node = world.rng.choice(world.nodes)
    began = world.loop.seconds()
    node.send_signal(signal.SIGTERM)
    world.run_for(CALM_S)
    for caller in callers:
        caller.give_up_held()
        for each in caller.attempts:
            is_cut = each.status is None and each.ended_at is not None
            has_begun = each.sent_at >= began and each.reason != "ECONNREFUSED"
            if each.node is node and is_cut and has_begun:
                findings.append(
                    f"{each.request_id} was cut by a planned stop: {each.reason}"
                )


def _check_news(world, findings):
    """In calm, routes and leaving upstreams are acted on in time by every node."""
    world.run_for(CONTACT_S)
    world.publish()
    leaving = world.rng.choice(world.upstreams[: len(SHARDS) * 2])
    leaving.announce("draining")
    path = world.paths[-1]
    world.run_for(NEWS_S)
    known_at = world.loop.seconds()
    for node in world.nodes:
        status, _, _ = ask_once(world, node.callers_address, path, f"new-{node.name}")
        if status != 200:
            findings.append(f"{node.name} answers {status} on a route {NEWS_S:g} s old")
    world.run_for(1.0)
    n_late = sum(at > known_at for at, _ in leaving.runs)
    if n_late:
        findings.append(f"{leaving.id} got {n_late} requests late after it drained")


def _check_runs(world, attempts):
    """Orders run once at most, and what was refused as not run has not run."""
    runs = Counter(
        request_id for upstream in world.upstreams for _, request_id in upstream.runs
    )
    asked = {each.request_id for each in attempts}
    for each in attempts:
        n_runs = runs[each.request_id]
        if each.kind == "order" and n_runs > 1:
            yield f"order {each.request_id} ran {n_runs} times"
        if each.kind == "order" and each.status in PROMISES and n_runs:
            yield f"order {each.request_id} ran and was refused with {each.status}"
        is_paused = each.node.was_paused(each.sent_at, each.ended_at or each.sent_at)
        # A node that was killed meanwhile holds nothing any more.
        if each.reason == "held" and each.boot == each.node.boot and not is_paused:
            yield f"{each.request_id} was held at {each.node.name}"
    for request_id in runs:
        if request_id not in asked and not request_id.startswith(("check-", "new-")):
            yield f"{request_id} ran, and nobody has asked it"


def _check_versions(attempts):
    """A start of a node that has served a version's route never forgets it."""
    known = set()
    for each in sorted(attempts, key=lambda each: each.ended_at or 0.0):
        if each.kind != "version":
            continue
        key = (each.node.name, each.boot, each.path)
        if each.status == 200:
            known.add(key)
        elif each.status == 404 and key in known:
            yield f"{each.request_id}: {each.node.name} forgot {each.path}"


def _check_logs(directory):
    """No node reports a fault of its own code."""
    for path in sorted(directory.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if "handler failed" in line or "Traceback" in line:
                yield f"{path.name}: {line[:300]}"


def _check_memory(world):
    """Return findings on processes that once needed more than the smallest VM has."""
    findings = []
    for node in world.nodes:
        if not node.is_running:
            continue
        status = Path(f"/proc/{node.process.pid}/status").read_text()
        (line,) = (each for each in status.splitlines() if each.startswith("VmHWM"))
        peak_mb = int(line.split()[1]) // 1024
        if peak_mb > VM_MB:
            findings.append(f"{node.name} needed {peak_mb} MB")
    return findings
