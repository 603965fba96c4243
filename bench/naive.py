"""Baselines: the node that receives a search sends all of its legs itself.

The naive node waits for all legs. The direct node, which is the previous design,
limits its own concurrency per upstream, retries another replica after a failure and
returns the available hits at the deadline. Neither hedges.
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

#: Persistent connections to each upstream.
N_CONNECTIONS_PER_UPSTREAM = 60
MS_PER_S = 1000.0
HTTP_OK = 200


class NaiveNode:
    """Answer searches with one call per shard to its replicas in rotation.

    Parameters
    ----------
    declarations : DeclarationSet
        Declarations of the services and upstreams to search.
    """

    app = Klein()

    def __init__(self, declarations):
        self._declarations = declarations
        self._replica_cycles = {}
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = N_CONNECTIONS_PER_UPSTREAM

    @app.route("/-/ready")
    def ready(self, request):
        """Report that the node accepts callers."""
        return b"{}"

    @app.route("/v1/services/<name>", methods=["POST"])
    def search(self, request, name):
        """Send all legs and answer when all have ended."""
        query = orjson.loads(request.content.read()).get("query", "")
        return ensureDeferred(self._search(request, name, query))

    async def _search(self, request, name, query):
        service = self._declarations.services[name]
        snapshot = self._declarations.snapshots[service.shard_set]
        legs = [
            ensureDeferred(self._search_shard(snapshot, shard, query))
            for shard in range(snapshot.n_shards)
        ]
        hits_by_shard = await gatherResults(legs)
        missing = [shard for shard, hits in enumerate(hits_by_shard) if hits is None]
        hits = [hit for each in hits_by_shard if each for hit in each]
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

    async def _search_shard(self, snapshot, shard, query):
        return await self._post(
            self._choose_replica(snapshot, shard), snapshot, shard, query
        )

    def _choose_replica(self, snapshot, shard):
        replicas = self._replica_cycles.get(shard)
        if replicas is None:
            replicas = self._replica_cycles[shard] = cycle(snapshot.replicas[shard])
        return self._declarations.upstreams[next(replicas)]

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
    """Send each leg under a concurrency limit per upstream, local to this node.

    Parameters
    ----------
    declarations : DeclarationSet
        Declarations of the services and upstreams to search.
    """

    def __init__(self, declarations):
        super().__init__(declarations)
        self._slots = {
            upstream.name: DeferredSemaphore(
                declarations.limits[upstream.limit].n_slots
            )
            for upstream in declarations.upstreams.values()
        }

    async def _search_shard(self, snapshot, shard, query):
        pending_hits = ensureDeferred(self._try_replicas(snapshot, shard, query))
        pending_hits.addTimeout(self._find_time_limit_s(), reactor)
        try:
            return await pending_hits
        except TimeoutError:
            return None

    async def _try_replicas(self, snapshot, shard, query):
        for _ in snapshot.replicas[shard]:
            upstream = self._choose_replica(snapshot, shard)
            hits = await self._slots[upstream.name].run(
                lambda upstream=upstream: ensureDeferred(
                    self._post(upstream, snapshot, shard, query)
                )
            )
            if hits is not None:
                return hits
        return None

    def _find_time_limit_s(self):
        deadline = next(iter(self._declarations.deadlines.values()))
        return (deadline.total_ms - deadline.margin_ms) / MS_PER_S


def main():
    """Serve on the given port until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--direct", action="store_true", help="the previous design")
    parser.add_argument("body", type=Path, help="document body of the declarations")
    arguments = parser.parse_args()
    node_class = DirectNode if arguments.direct else NaiveNode
    node = node_class(decode_declarations(arguments.body.read_text()))
    reactor.listenTCP(arguments.port, Site(node.app.resource()), interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    sys.exit(main())
