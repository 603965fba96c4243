"""Orders that are rejected, while rejections have late second copies."""

import asyncio
import itertools
import json
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from actors.backend import Backend
from actors.caller import Caller
from actors.fleet import Fleet
from actors.manifest import HOST, make_manifest, make_route
from actors.store import Store
from actors.verdict import CannotRunError, run_case

SERVICES = [f"confirm-{index}" for index in range(10)]
ZONES = ("a", "b", "c", "d")
#: Backends of each service.
N_BACKENDS = 2
SECONDS = 95.0
#: Orders to all services together.
ORDERS_PER_S = 42.0
WORK_S = 0.03
DEADLINE_MS = 2500
PROMISES = (408, 421, 429, 503)
#: Share of the requests that a backend rejects as not executed, and the number of
#: services whose backends do so: eight tenths of the backends.
SHED_SHARE = 0.6
N_SHEDDING = 8
#: Share of the responses with a late second copy, by one of the two backends of each
#: service, in spans with pauses.
COPY_SHARE = 0.04
SPAN_S = 5.0
PAUSE_S = 1.0


async def play(record, has_trouble):
    """Send orders for a minute; return how many broke the rules."""
    rng = random.Random(1)
    store = Store()
    await store.start()
    routes = [make_route(service, "unsafe", DEADLINE_MS) for service in SERVICES]
    store.put("config", "main", make_manifest(routes, SERVICES))
    for service, index in itertools.product(SERVICES, range(N_BACKENDS)):
        sheds = has_trouble and service in SERVICES[:N_SHEDDING]
        copies = has_trouble and index == 0
        backend = Backend(
            store,
            record,
            f"i-{service}-{index}",
            service,
            ZONES[index],
            lambda: WORK_S * rng.uniform(0.5, 1.5),
            sheds=lambda sheds=sheds: sheds and rng.random() < SHED_SHARE,
            repeats=lambda copies=copies: copies and draw_copy(rng),
        )
        await backend.start()
    fleet = Fleet(store.address, ZONES)
    try:
        fleet.start()
        if not await fleet.wait_ready():
            raise CannotRunError("nodes are not ready")
        await asyncio.sleep(2.0)
        await send_orders(fleet, record, rng)
    finally:
        fleet.close()
        store.close()
    return count_violations(record)


def draw_copy(rng):
    """Return whether the next response has a second copy."""
    is_on = time.monotonic() % (SPAN_S + PAUSE_S) < SPAN_S
    return is_on and rng.random() < COPY_SHARE


async def send_orders(fleet, record, rng):
    """Send orders at random moments, each on a connection that is not in use."""
    callers = {node: [] for node in fleet.nodes}
    tasks = []
    loop = asyncio.get_running_loop()
    until = loop.time() + SECONDS
    number = 0
    while loop.time() < until:
        await asyncio.sleep(rng.expovariate(ORDERS_PER_S))
        number += 1
        node = rng.choice(fleet.nodes)
        tasks.append(asyncio.create_task(send_order(node, callers, number, record)))
    await asyncio.gather(*tasks)


async def send_order(node, callers, number, record):
    """Send one order and record how it ended."""
    caller = callers[node].pop() if callers[node] else Caller(HOST)
    request_id = f"{number:016x}"
    path = f"/{SERVICES[number % len(SERVICES)]}/{number}"
    body = json.dumps({"order": number}).encode()
    record.write("sent", request=request_id, node=node.name)
    answer = await caller.send(
        node.front_address, "POST", path, request_id, DEADLINE_MS, body
    )
    record.write(
        "answered", request=request_id, outcome=answer.outcome, status=answer.status
    )
    callers[node].append(caller)


def count_violations(record):
    """Return how many orders ran twice, or ran although they were refused."""
    runs = Counter(line["request"] for line in record.lines if line["what"] == "run")
    ends = {
        line["request"]: line["status"]
        for line in record.lines
        if line["what"] == "answered"
    }
    twice = [request for request, n_runs in runs.items() if n_runs > 1]
    refused = [each for each, status in ends.items() if status in PROMISES]
    refused = [each for each in refused if runs[each]]
    statuses = Counter(ends.values())
    record.write(
        "summary",
        orders=len(ends),
        statuses=dict(statuses),
        ran_twice=twice,
        refused_but_ran=refused,
    )
    print(f"{len(ends)} orders, statuses {dict(statuses)}")
    print(f"TWICE: {len(twice)} orders ran more than once")
    print(f"REFUSED: {len(refused)} orders were refused and ran")
    return len(set(twice) | set(refused))


if __name__ == "__main__":
    run_case(__file__, play)
