"""A planned restart of several nodes of one zone, under even traffic."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from actors.backend import Backend
from actors.balancer import Balancer
from actors.caller import Caller
from actors.fleet import GRACE_S, Fleet
from actors.manifest import HOST, make_manifest, make_route
from actors.store import Store
from actors.verdict import CannotRunError, run_case

SERVICE = "report"
ZONES = ("a", "a", "a")
#: Nodes that get SIGTERM at the same moment, in each of the rounds.
N_STOPPED = 2
N_ROUNDS = 3
ROUND_S = 14.0
N_BACKENDS = 20
LOOKUPS_PER_S = 100.0
WORK_S = 0.22
TIMEOUT_MS = 5000
RESTART_DELAY_S = 0.3
#: Requests sent up to then after the SIGTERM are excused while their backend works on
#: in the last sixth of the grace period.
EXCUSED_S = 3.0


async def play(record, has_trouble):
    """Stop and start nodes in rounds; return how many requests were cut."""
    rng = random.Random(3)
    store = Store()
    await store.start()
    routes = [make_route(SERVICE, "safe", TIMEOUT_MS)]
    store.put("config", "main", make_manifest(routes, [SERVICE]))
    for index in range(N_BACKENDS):
        backend = Backend(
            store,
            record,
            f"i-{index}",
            SERVICE,
            "a",
            lambda: WORK_S * rng.uniform(0.5, 1.5),
        )
        await backend.start()
    fleet = Fleet(store.address, ZONES)
    balancer = Balancer(fleet.nodes, record)
    traffic = None
    try:
        fleet.start()
        if not await fleet.wait_ready():
            raise CannotRunError("nodes are not ready")
        await asyncio.sleep(2.0)
        balancer.start()
        seconds = N_ROUNDS * ROUND_S
        traffic = asyncio.create_task(send_lookups(balancer, record, rng, seconds))
        restarts = asyncio.create_task(restart_exited(fleet, record))
        for _ in range(N_ROUNDS):
            await asyncio.sleep(3.0)
            if has_trouble:
                stop_nodes(fleet, record)
            await asyncio.sleep(ROUND_S - 3.0)
        await traffic
        restarts.cancel()
        balancer.stop()
    finally:
        fleet.close()
        store.close()
    return count_violations(record)


def stop_nodes(fleet, record):
    """Send SIGTERM to some nodes, and SIGKILL after the grace period."""
    for node in fleet.nodes[:N_STOPPED]:
        node.process.send_signal(signal.SIGTERM)
        record.write("SIGTERM", node=node.name)
        asyncio.get_running_loop().call_later(GRACE_S, kill, node.process)


def kill(process):
    """Kill a process that has not exited by itself."""
    if process.poll() is None:
        process.kill()


async def restart_exited(fleet, record):
    """Start each process again after a short delay once it has exited."""
    while True:
        await asyncio.sleep(0.05)
        exited = [node for node in fleet.nodes if not node.is_running]
        for node in exited:
            record.write("exited", node=node.name, code=node.process.returncode)
        if exited:
            await asyncio.sleep(RESTART_DELAY_S)
        for node in exited:
            node.start()


async def send_lookups(balancer, record, rng, seconds):
    """Send lookups, each on a new connection to a node that the balancer chooses."""
    tasks = []
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        await asyncio.sleep(rng.expovariate(LOOKUPS_PER_S))
        number += 1
        tasks.append(asyncio.create_task(send_lookup(balancer, number, record)))
    await asyncio.gather(*tasks)


async def send_lookup(balancer, number, record):
    """Send one lookup and record how it ended."""
    request_id = f"{number:016x}"
    node = balancer.choose()
    caller = Caller(HOST)
    record.write("sent", request=request_id, node=node.name)
    try:
        answer = await caller.send(
            node.front_address, "GET", f"/{SERVICE}/{number}", request_id, TIMEOUT_MS
        )
    except OSError as error:
        record.write("answered", request=request_id, outcome=repr(error), status=0)
        return
    record.write(
        "answered",
        request=request_id,
        outcome=answer.outcome,
        status=answer.status,
    )
    await caller.close()


def count_violations(record):
    """Return how many requests were cut after they had been passed on to a backend."""
    stops = {}
    sent = {}
    ran = {}
    cut = []
    for line in record.lines:
        if line["what"] == "SIGTERM":
            stops.setdefault(line["node"], []).append(line["at"])
        elif line["what"] == "sent":
            sent[line["request"]] = line
        elif line["what"] == "run":
            ran[line["request"]] = line["at"]
        elif line["what"] == "answered" and line["outcome"] == "closed":
            cut.append(line)
    broken = []
    for line in cut:
        request = line["request"]
        node, at = sent[request]["node"], sent[request]["at"]
        since = [at - stop for stop in stops.get(node, ()) if stop <= at]
        if request in ran and since and EXCUSED_S < min(since) <= GRACE_S + 1.0:
            broken.append({"request": request, "sent_after_stop_s": min(since)})
    record.write("summary", requests=len(sent), closed=len(cut), broken=broken)
    print(f"{len(sent)} requests, {len(cut)} connections ended without an answer")
    print(f"LOST: {len(broken)} of them were with a backend and are not excused")
    return len(broken)


if __name__ == "__main__":
    run_case(__file__, play)
