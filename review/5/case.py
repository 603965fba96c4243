"""Clients that offer an upgrade on the first request of each kept connection."""

import asyncio
import random
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
N_CLIENTS = 16
N_REQUESTS = 40
WORK_S = 0.03
TIMEOUT_MS = 2500
#: The offer of an HTTP client that also speaks HTTP/2; a server may ignore it.
OFFER = (
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
)


async def play(record, has_trouble):
    """Send orders on kept connections; return how many got an answer of no request."""
    store = Store()
    await store.start()
    routes = [make_route(SERVICE, "unsafe", TIMEOUT_MS)]
    store.put("config", "main", make_manifest(routes, [SERVICE]))
    for index, zone in enumerate(ZONES):
        backend = Backend(store, record, f"i-{index}", SERVICE, zone, lambda: WORK_S)
        await backend.start()
    fleet = Fleet(store.address, ZONES)
    try:
        fleet.start()
        if not await fleet.wait_ready():
            raise CannotRunError("nodes are not ready")
        await asyncio.sleep(2.0)
        clients = [
            send_orders(
                fleet.nodes[number % len(fleet.nodes)],
                number,
                OFFER if has_trouble else (),
                record,
            )
            for number in range(N_CLIENTS)
        ]
        await asyncio.gather(*clients)
    finally:
        fleet.close()
        store.close()
    return count_violations(record)


async def send_orders(node, client, first_headers, record):
    """Send orders one after the other, each once the one before is answered."""
    rng = random.Random(client)
    caller = Caller(HOST)
    for number in range(N_REQUESTS):
        request_id = f"{client:04x}{number:012x}"
        record.write("sent", request=request_id, node=node.name)
        answer = await caller.send(
            node.front_address,
            "POST",
            f"/{SERVICE}/{number}",
            request_id,
            TIMEOUT_MS,
            b"{}",
            first_headers,
        )
        headers = {} if answer.message is None else answer.message.headers
        record.write(
            "answered",
            request=request_id,
            outcome=answer.outcome,
            status=answer.status,
            id_of_answer=headers.get("request-id", ""),
        )
        await asyncio.sleep(rng.choice((0.0, 0.0, 0.05)))
    await caller.close()


def count_violations(record):
    """Return how many orders that no backend got have an answer of another request."""
    ran = {line["request"] for line in record.lines if line["what"] == "run"}
    ends = [line for line in record.lines if line["what"] == "answered"]
    foreign = [
        line
        for line in ends
        if line["outcome"] == "answered"
        and 400 <= line["status"] < 500
        and line["request"] not in ran
    ]
    statuses = Counter(line["status"] for line in ends)
    record.write("summary", statuses=dict(statuses), foreign=len(foreign))
    print(f"{len(ends)} orders, statuses {dict(statuses)}")
    print(f"MIXED: {len(foreign)} proper orders got an answer that is not theirs")
    return len(foreign)


if __name__ == "__main__":
    run_case(__file__, play)
