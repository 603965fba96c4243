"""Lookups while the store lists an entry whose name holds bytes that cannot be read."""

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from actors.backend import Backend
from actors.caller import Caller
from actors.fleet import Fleet
from actors.manifest import HOST, make_manifest, make_route
from actors.store import Store
from actors.verdict import CannotRunError, run_case

SERVICE = "confirm"
ZONES = ("a", "b", "c", "d")
N_BACKENDS = 4
SECONDS = 30.0
LOOKUPS_PER_S = 80.0
WORK_S = 0.06
TIMEOUT_MS = 2500
#: Clients wait for longer than the route's timeout, so that its end can be seen.
CLIENT_DEADLINE_MS = 5000
#: The rule's bounds: at least so many requests, and a share of those that last longer
#: than the route's timeout, have no answer this long after it.
MIN_UNANSWERED = 8
UNANSWERED_SHARE = 0.25
LATE_S = 0.5
#: Name of an entry of another writer, in Latin-1, which is not valid in JSON.
FOREIGN_NAME = b'"i-k\xf6ping"'


async def play(record, has_trouble):
    """Send lookups for a while; return how many were never answered."""
    store = Store()
    await store.start()
    routes = [make_route(SERVICE, "safe", TIMEOUT_MS)]
    store.put("config", "main", make_manifest(routes, [SERVICE]))
    backends = [
        Backend(store, record, f"i-{index}", SERVICE, ZONES[index], lambda: WORK_S)
        for index in range(N_BACKENDS)
    ]
    for backend in backends:
        await backend.start()
    fleet = Fleet(store.address, ZONES)
    try:
        fleet.start()
        if not await fleet.wait_ready():
            raise CannotRunError("nodes are not ready")
        await asyncio.sleep(5.0)
        if has_trouble:
            # Its address is that of a backend that exists.
            spec = {**backends[0].make_entry("ready"), "slots": 64}
            store.put("servers", FOREIGN_NAME, json.dumps(spec).encode())
            record.write("foreign entry written", revision=store.revision)
        await send_lookups(fleet, record)
    finally:
        fleet.close()
        store.close()
    return count_violations(record)


async def send_lookups(fleet, record):
    """Send lookups at an even rate to all nodes in turn."""
    tasks = []
    for number in range(int(SECONDS * LOOKUPS_PER_S)):
        node = fleet.nodes[number % len(fleet.nodes)]
        tasks.append(asyncio.create_task(send_lookup(node, number, record)))
        await asyncio.sleep(1.0 / LOOKUPS_PER_S)
    await asyncio.gather(*tasks)


async def send_lookup(node, number, record):
    """Send one lookup on a new connection and record how it ended."""
    request_id = f"{number:016x}"
    caller = Caller(HOST)
    record.write("sent", request=request_id, node=node.name)
    answer = await caller.send(
        node.front_address,
        "GET",
        f"/{SERVICE}/{number}",
        request_id,
        CLIENT_DEADLINE_MS,
    )
    record.write(
        "answered",
        request=request_id,
        outcome=answer.outcome,
        status=answer.status,
        after_s=round(answer.ended_at - answer.sent_at, 3),
    )
    await caller.close()


def count_violations(record):
    """Return how many lookups had no answer in time, if they break the rule."""
    ends = [line for line in record.lines if line["what"] == "answered"]
    timeout_s = TIMEOUT_MS / 1000.0
    long = [line for line in ends if line["after_s"] > timeout_s]
    late = [line for line in long if line["after_s"] > timeout_s + LATE_S]
    record.write(
        "summary",
        lookups=len(ends),
        statuses=dict(Counter(line["status"] for line in ends)),
        beyond_timeout=len(long),
        unanswered_after_it=len(late),
    )
    print(f"{len(ends)} lookups, {len(long)} lasted longer than the route's timeout")
    print(f"CONFIG: {len(late)} had no answer {LATE_S} s after it")
    is_broken = len(late) >= MIN_UNANSWERED and len(late) > UNANSWERED_SHARE * len(long)
    return len(late) if is_broken else 0


if __name__ == "__main__":
    run_case(__file__, play)
