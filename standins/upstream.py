"""Stand-in for upstreams: one process plays many, each on a port of its own.

Run it with ``python -m standins.upstream --config FILE --control-port 9100``. The
file is JSON: ``{"seed": 1, "upstreams": [{"name": "a", "shard_set": "s", "served":
{"7": [0, 1]}, "port": 9101}]}`` with the keys of
`standins.upstream_config.UpstreamConfig`.

The control port takes ``POST /_control/<action>`` with a JSON body that names the
``upstreams`` concerned (all without it) and the action's own keys, see
`standins.upstream_control`; ``GET /_control/state`` gives the state of each.
"""

import argparse
import os
from pathlib import Path

import orjson
from klein import Klein
from twisted.internet.defer import Deferred

from standins.answer_faults import AnswerFault, AnswerFaults, spoil_legs
from standins.connections import ConnectionGate, LimitedFactory
from standins.hits import canonicalise_query, expected_hits
from standins.upstream_config import UpstreamConfig
from standins.upstream_model import UpstreamModel, Verdict
from standins.web import (
    announce,
    check_keys,
    drop_connection,
    make_site,
    read_json,
    reply,
)

__all__ = ["Upstream", "build_parser", "main"]

_MS_PER_S = 1000.0
_LEG_KEYS = ("id", "shard", "version", "query")


class Upstream:
    """HTTP server of one upstream.

    Parameters
    ----------
    config : UpstreamConfig
        What the upstream is like.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the work; a test passes one that it advances itself.
    run : str
        Part of the instance id that tells this process from earlier ones.
    seed : int
        Seed of the service times.
    """

    app = Klein()

    def __init__(self, config, clock, run="0", seed=0):
        now = clock.seconds()
        self.model = UpstreamModel(config, run, seed, now)
        self.faults = AnswerFaults()
        self.gate = ConnectionGate(config.n_connections, config.connect_ms / _MS_PER_S)
        shortcuts = {(b"POST", b"/v1/legs"): self.answer_legs}
        self.factory = LimitedFactory(make_site(self.app, shortcuts), self.gate, clock)
        self.hung = False
        self._clock = clock
        self._running = {}
        self._previous = None

    @app.handle_errors(ValueError, TypeError)
    def reject(self, request, failure):
        """Answer 400 with what is wrong with the request."""
        return reply(request, 400, {"error": failure.getErrorMessage()})

    @app.route("/v1/legs", methods=["POST"])
    def answer_legs(self, request):
        """Work on the legs of a call and answer all of them together."""
        data = check_keys(read_json(request), ("deadline_ms", "legs"))
        legs = [check_keys(leg, _LEG_KEYS) for leg in data["legs"]]
        fault = self.faults.take()

        def start():
            self.model.note_queries(canonicalise_query(leg["query"]) for leg in legs)

        def answer(expired):
            return 200, self._build_answer(legs, fault, expired)

        return self._run(request, len(legs), data["deadline_ms"], fault, answer, start)

    @app.route("/v1/orders", methods=["POST"])
    def run_order(self, request):
        """Run an order as soon as it is admitted, and answer after the work."""
        data = check_keys(read_json(request), ("deadline_ms", "key", "order"))
        key = data["key"]
        fault = self.faults.take()
        receipts = []
        shed = {"key": key}

        def start():
            # The order takes effect before the answer, so that neither closing
            # the connection nor a deadline undoes what has run.
            if fault is not AnswerFault.FAIL:
                receipts.append(self.model.run_order(key))

        def answer(expired):
            return self._build_order_answer(key, receipts)

        return self._run(request, 0, None, fault, answer, start, shed)

    @app.route("/v1/load", methods=["GET"])
    def show_load(self, request):
        """Answer with the load as it was some time ago, or as a lie set for it."""
        load = self.model.read_load(self._clock.seconds())
        return reply(request, 200, {"load": load, "draining": self.model.draining})

    def drop_running(self):
        """Close the connection of every call that runs."""
        running, self._running = self._running, {}
        for request, timer in running.values():
            timer.cancel()
            drop_connection(request)

    def _run(self, request, n_legs, deadline_ms, fault, answer, start=None, shed=None):
        if self.hung:
            return Deferred()
        begun = self.model.start_call(self._clock.seconds(), n_legs)
        if begun.verdict is Verdict.SHED:
            told = {"instance": self.model.instance, "status": "shed"}
            return reply(request, 503, told | (shed or {}))
        if begun.verdict is not Verdict.STARTED:
            self.drop_running()
            return drop_connection(request)
        if start is not None:
            start()
        return self._work(request, begun, deadline_ms, fault, answer)

    def _work(self, request, begun, deadline_ms, fault, answer):
        deadline = begun.seconds if deadline_ms is None else deadline_ms / _MS_PER_S
        expired = deadline < begun.seconds
        seconds = max(0.0, min(begun.seconds, deadline))
        done = Deferred(lambda _: self._cancel(begun.call_id))

        def finish():
            del self._running[begun.call_id]
            self.model.end_call(begun.call_id, self._clock.seconds())
            status, data = answer(expired)
            done.callback(self._send(request, status, data, fault))

        timer = self._clock.callLater(seconds, finish)
        self._running[begun.call_id] = (request, timer)
        return done

    def _cancel(self, call_id):
        running = self._running.pop(call_id, None)
        if running is not None:
            running[1].cancel()
            self.model.cancel_call(call_id, self._clock.seconds())

    def _send(self, request, status, data, fault):
        previous = self._previous
        if fault is None:
            self._previous = data
        if fault is AnswerFault.PREVIOUS and previous is not None:
            return reply(request, status, previous)
        if fault is AnswerFault.DROP:
            return drop_connection(request)
        if fault is AnswerFault.TRUNCATE_BYTES:
            return _send_half(request, status, data)
        return reply(request, status, data)

    def _build_answer(self, legs, fault, expired):
        answers = [self._answer_leg(leg, expired) for leg in legs]
        return {
            "instance": self.model.instance,
            "load": self.model.read_load(self._clock.seconds()),
            "legs": spoil_legs(fault, answers),
        }

    def _answer_leg(self, leg, expired):
        version, shard = leg["version"], leg["shard"]
        status, hits = "answered", []
        if expired:
            status = "failed"
        elif not self.model.serves(version, shard):
            status = "gone"
        else:
            shard_set = self.model.config.shard_set
            hits = expected_hits(shard_set, version, shard, leg["query"])
        return {
            "id": leg["id"],
            "status": status,
            "shard": shard,
            "version": version,
            "query_hash": leg.get("query_hash", ""),
            "n_hits": len(hits),
            "hits": hits,
        }

    def _build_order_answer(self, key, receipts):
        told = {"instance": self.model.instance, "key": key}
        if not receipts:
            return 409, told | {"status": "failed", "reason": "told to fail"}
        return 200, told | {"status": "done", "receipt": receipts[0]}


def _send_half(request, status, data):
    whole = reply(request, status, data)
    request.setHeader(b"Content-Length", str(len(whole)).encode())
    request.write(whole[: len(whole) // 2])
    request.transport.loseConnection()
    return Deferred()


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.upstream")
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--config", type=Path, required=True, help="JSON file")
    parser.add_argument(
        "--control-port", type=int, default=0, help="0 takes a free one"
    )
    return parser


def main(arguments=None):
    """Serve until the process is told to end."""
    from twisted.internet import reactor

    from standins.upstream_control import Listener, UpstreamControl

    options = build_parser().parse_args(arguments)
    data = orjson.loads(options.config.read_bytes())
    configs = [UpstreamConfig.from_json(each) for each in data["upstreams"]]
    listeners = {}
    for config in configs:
        upstream = Upstream(config, reactor, str(os.getpid()), data.get("seed", 0))
        listeners[config.name] = Listener.from_upstream(upstream, reactor, options.host)
    control = make_site(UpstreamControl(listeners, reactor).app)
    port = reactor.listenTCP(options.control_port, control, interface=options.host)
    announce(
        standin="upstream",
        control_port=port.getHost().port,
        ports={name: each.port for name, each in listeners.items()},
    )
    reactor.run()


if __name__ == "__main__":
    main()
