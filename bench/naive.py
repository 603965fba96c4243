"""Baselines: the node that takes a search sends every leg of it itself.

The naive node waits for all legs. The direct node, which is the previous design,
keeps a limit of its own for each upstream, asks another replica after a refusal
and answers at the deadline with what it has. Neither hedges.
"""

import argparse
import sys
from itertools import cycle
from pathlib import Path

import orjson
import treq
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import (
    CancelledError,
    DeferredSemaphore,
    TimeoutError,
    ensureDeferred,
    gatherResults,
)
from twisted.web.client import HTTPConnectionPool
from twisted.web.server import Site

from heatherpick.declarations import decode_declarations

__all__ = ["DirectNode", "NaiveNode"]

#: Connections kept open to each upstream.
N_KEPT_CONNECTIONS = 60
MS_PER_S = 1000.0
HTTP_OK = 200


class NaiveNode:
    """Answer searches with one call per shard to the replicas in turn.

    Parameters
    ----------
    declarations : DeclarationSet
        What is searched.
    """

    app = Klein()

    def __init__(self, declarations):
        self._declarations = declarations
        self._turns = {}
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = N_KEPT_CONNECTIONS

    @app.route("/-/ready")
    def ready(self, request):
        """Say that callers are taken."""
        return b"{}"

    @app.route("/v1/services/<name>", methods=["POST"])
    def search(self, request, name):
        """Send all legs and answer when every one has ended."""
        query = orjson.loads(request.content.read()).get("query", "")
        return ensureDeferred(self._search(request, name, query))

    async def _search(self, request, name, query):
        service = self._declarations.services[name]
        snapshot = self._declarations.snapshots[service.shard_set]
        legs = [
            ensureDeferred(self._call(snapshot, shard, query))
            for shard in range(snapshot.n_shards)
        ]
        answers = await gatherResults(legs)
        missing = [shard for shard, hits in enumerate(answers) if hits is None]
        hits = [hit for each in answers if each for hit in each]
        request.setHeader("content-type", "application/json")
        return orjson.dumps(
            {
                "outcome": "partial" if missing else "answered",
                "reason": "",
                "hits": hits,
                "coverage": {
                    "n_shards": snapshot.n_shards,
                    "n_covered": snapshot.n_shards - len(missing),
                    "missing": missing,
                },
                "index_version": snapshot.version,
            }
        )

    async def _call(self, snapshot, shard, query):
        return await self._post(self._choose(snapshot, shard), snapshot, shard, query)

    def _choose(self, snapshot, shard):
        turn = self._turns.get(shard)
        if turn is None:
            turn = self._turns[shard] = cycle(snapshot.replicas[shard])
        return self._declarations.upstreams[next(turn)]

    async def _post(self, upstream, snapshot, shard, query):
        leg = {"id": 0, "shard": shard, "version": snapshot.version, "query": query}
        try:
            response = await treq.post(
                f"http://{upstream.address}/v1/legs",
                data=orjson.dumps({"deadline_ms": 60000.0, "legs": [leg]}),
                headers={"content-type": "application/json"},
                pool=self._pool,
            )
            content = orjson.loads(await response.content())
            if response.code != HTTP_OK:
                return None
            return content["legs"][0]["hits"]
        except CancelledError:
            raise
        except Exception:
            return None


class DirectNode(NaiveNode):
    """Send each leg under a limit that this node keeps for the upstream.

    Parameters
    ----------
    declarations : DeclarationSet
        What is searched.
    """

    def __init__(self, declarations):
        super().__init__(declarations)
        self._slots = {
            upstream.name: DeferredSemaphore(
                declarations.limits[upstream.limit].n_slots
            )
            for upstream in declarations.upstreams.values()
        }

    async def _call(self, snapshot, shard, query):
        asking = ensureDeferred(self._ask_replicas(snapshot, shard, query))
        asking.addTimeout(self._find_patience(), reactor)
        try:
            return await asking
        except TimeoutError:
            return None

    async def _ask_replicas(self, snapshot, shard, query):
        for _ in snapshot.replicas[shard]:
            upstream = self._choose(snapshot, shard)
            hits = await self._slots[upstream.name].run(
                lambda upstream=upstream: ensureDeferred(
                    self._post(upstream, snapshot, shard, query)
                )
            )
            if hits is not None:
                return hits
        return None

    def _find_patience(self):
        deadline = next(iter(self._declarations.deadlines.values()))
        return (deadline.total_ms - deadline.margin_ms) / MS_PER_S


def main():
    """Serve on the given port until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--direct", action="store_true", help="the previous design")
    parser.add_argument("body", type=Path, help="document body of the declarations")
    arguments = parser.parse_args()
    build = DirectNode if arguments.direct else NaiveNode
    node = build(decode_declarations(arguments.body.read_text()))
    reactor.listenTCP(arguments.port, Site(node.app.resource()), interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    sys.exit(main())
