"""Baseline: one process sends every leg itself, waits for all, hedges nothing."""

import argparse
import sys
from itertools import cycle

import orjson
import treq
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred, gatherResults
from twisted.web.client import HTTPConnectionPool
from twisted.web.server import Site

from heatherpick.declarations import load_declarations

__all__ = ["NaiveNode"]

#: Connections kept open to each upstream.
N_KEPT_CONNECTIONS = 60


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
        turn = self._turns.get(shard)
        if turn is None:
            turn = self._turns[shard] = cycle(snapshot.replicas[shard])
        upstream = self._declarations.upstreams[next(turn)]
        leg = {"id": 0, "shard": shard, "version": snapshot.version, "query": query}
        try:
            response = await treq.post(
                f"http://{upstream.address}/v1/legs",
                data=orjson.dumps({"deadline_ms": 60000.0, "legs": [leg]}),
                headers={"content-type": "application/json"},
                pool=self._pool,
            )
            content = orjson.loads(await response.content())
            if response.code != 200:
                return None
            return content["legs"][0]["hits"]
        except Exception:
            return None


def main():
    """Serve on the given port until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("paths", nargs="+")
    arguments = parser.parse_args()
    node = NaiveNode(load_declarations(arguments.paths))
    reactor.listenTCP(arguments.port, Site(node.app.resource()), interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    sys.exit(main())
