"""Stand-in for upstreams: one process serves many, each on its own port.

Run it with ``python -m standins.upstream --config FILE --control-port 9100``. The
file is JSON: ``{"seed": 1, "upstreams": [{"name": "a", "shard_set": "s", "served":
{"7": [0, 1]}, "port": 9101}]}`` with the keys of
`standins.upstream_config.UpstreamConfig`.

The control port takes ``POST /_control/<action>`` with a JSON body that names the
``upstreams`` concerned (all by default) and holds the keys of the action, see
`standins.upstream_control`; ``GET /_control/state`` returns the state of each.
"""

import argparse
import os
from pathlib import Path

import orjson
from klein import Klein
from twisted.internet.defer import Deferred

from standins.connections import ConnectionLimiter, LimitedFactory
from standins.hits import canonicalise_query, compute_hits
from standins.response_faults import ResponseFault, ResponseFaultQueue, apply_fault
from standins.upstream_config import UpstreamConfig
from standins.upstream_model import AdmissionStatus, UpstreamModel
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
        Configuration of the upstream.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the simulated work; a test passes one that it advances itself.
    run_id : str
        Part of the instance id that distinguishes this process from earlier ones.
    seed : int
        Seed of the service times.

    Attributes
    ----------
    model : UpstreamModel
        State of the upstream.
    faults : ResponseFaultQueue
        Faults of the next responses.
    limiter : ConnectionLimiter
        Limit on the open connections.
    factory : LimitedFactory
        Server factory to listen with.
    is_hung : bool
        Whether new calls get no response.
    """

    app = Klein()

    def __init__(self, config, clock, run_id="0", seed=0):
        now = clock.seconds()
        self.model = UpstreamModel(config, run_id, seed, now)
        self.faults = ResponseFaultQueue()
        self.limiter = ConnectionLimiter(
            config.n_connections, config.connect_ms / _MS_PER_S
        )
        direct_handlers = {(b"POST", b"/v1/legs"): self.handle_legs}
        self.factory = LimitedFactory(
            make_site(self.app, direct_handlers), self.limiter, clock
        )
        self.is_hung = False
        self._clock = clock
        self._running_calls = {}
        self._previous_content = None

    @app.handle_errors(ValueError, TypeError)
    def reject(self, request, failure):
        """Reply 400 with the error in the request."""
        return reply(request, 400, {"error": failure.getErrorMessage()})

    @app.route("/v1/legs", methods=["POST"])
    def handle_legs(self, request):
        """Run the legs of a call, and send all their results in one response."""
        data = check_keys(read_json(request), ("deadline_ms", "legs"))
        legs = [check_keys(leg, _LEG_KEYS) for leg in data["legs"]]
        fault = self.faults.pop()

        def on_start():
            self.model.record_queries(canonicalise_query(leg["query"]) for leg in legs)

        def build_response(is_expired):
            return 200, self._build_legs_response(legs, fault, is_expired)

        return self._run_call(
            request, len(legs), data["deadline_ms"], fault, build_response, on_start
        )

    @app.route("/v1/orders", methods=["POST"])
    def handle_order(self, request):
        """Run an order as soon as it is admitted, and respond after the work."""
        data = check_keys(read_json(request), ("deadline_ms", "key", "order"))
        key = data["key"]
        fault = self.faults.pop()
        receipts = []
        shed_fields = {"key": key}

        def on_start():
            # The order takes effect before the response, so neither a closed
            # connection nor a deadline undoes it.
            if fault is not ResponseFault.FAIL:
                receipts.append(self.model.run_order(key))

        def build_response(is_expired):
            return self._build_order_response(key, receipts)

        return self._run_call(
            request, 0, None, fault, build_response, on_start, shed_fields
        )

    @app.route("/v1/load", methods=["GET"])
    def show_load(self, request):
        """Reply with the load that the upstream reports, and whether it drains."""
        load = self.model.read_load(self._clock.seconds())
        return reply(request, 200, {"load": load, "draining": self.model.is_draining})

    def drop_running_calls(self):
        """Close the connection of every running call."""
        running_calls, self._running_calls = self._running_calls, {}
        for request, timer in running_calls.values():
            timer.cancel()
            drop_connection(request)

    def _run_call(
        self,
        request,
        n_legs,
        deadline_ms,
        fault,
        build_response,
        on_start=None,
        shed_fields=None,
    ):
        if self.is_hung:
            return Deferred()
        admission = self.model.start_call(self._clock.seconds(), n_legs)
        if admission.status is AdmissionStatus.SHED:
            content = {"instance": self.model.instance, "status": "shed"}
            return reply(request, 503, content | (shed_fields or {}))
        if admission.status is not AdmissionStatus.STARTED:
            self.drop_running_calls()
            return drop_connection(request)
        if on_start is not None:
            on_start()
        return self._schedule_response(
            request, admission, deadline_ms, fault, build_response
        )

    def _schedule_response(
        self, request, admission, deadline_ms, fault, build_response
    ):
        deadline_s = (
            admission.duration_s if deadline_ms is None else deadline_ms / _MS_PER_S
        )
        is_expired = deadline_s < admission.duration_s
        delay_s = max(0.0, min(admission.duration_s, deadline_s))
        response = Deferred(lambda _: self._cancel_call(admission.call_id))

        def finish():
            del self._running_calls[admission.call_id]
            self.model.end_call(admission.call_id, self._clock.seconds())
            status, content = build_response(is_expired)
            response.callback(self._send_response(request, status, content, fault))

        timer = self._clock.callLater(delay_s, finish)
        self._running_calls[admission.call_id] = (request, timer)
        return response

    def _cancel_call(self, call_id):
        running_call = self._running_calls.pop(call_id, None)
        if running_call is not None:
            running_call[1].cancel()
            self.model.cancel_call(call_id, self._clock.seconds())

    def _send_response(self, request, status, content, fault):
        previous_content = self._previous_content
        if fault is None:
            self._previous_content = content
        if fault is ResponseFault.PREVIOUS and previous_content is not None:
            return reply(request, status, previous_content)
        if fault is ResponseFault.DROP:
            return drop_connection(request)
        if fault is ResponseFault.TRUNCATE_BYTES:
            return _send_truncated(request, status, content)
        return reply(request, status, content)

    def _build_legs_response(self, legs, fault, is_expired):
        results = [self._build_leg_result(leg, is_expired) for leg in legs]
        return {
            "instance": self.model.instance,
            "load": self.model.read_load(self._clock.seconds()),
            "legs": apply_fault(fault, results),
        }

    def _build_leg_result(self, leg, is_expired):
        version, shard = leg["version"], leg["shard"]
        status, hits = "answered", []
        if is_expired:
            status = "failed"
        elif not self.model.serves(version, shard):
            status = "gone"
        else:
            shard_set = self.model.config.shard_set
            hits = compute_hits(shard_set, version, shard, leg["query"])
        return {
            "id": leg["id"],
            "status": status,
            "shard": shard,
            "version": version,
            "query_hash": leg.get("query_hash", ""),
            "n_hits": len(hits),
            "hits": hits,
        }

    def _build_order_response(self, key, receipts):
        content = {"instance": self.model.instance, "key": key}
        if not receipts:
            return 409, content | {"status": "failed", "reason": "told to fail"}
        return 200, content | {"status": "done", "receipt": receipts[0]}


def _send_truncated(request, status, content):
    body = reply(request, status, content)
    request.setHeader(b"Content-Length", str(len(body)).encode())
    request.write(body[: len(body) // 2])
    request.transport.loseConnection()
    return Deferred()


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.upstream")
    parser.add_argument("--host", default="127.0.0.1", help="IP address to listen on")
    parser.add_argument("--config", type=Path, required=True, help="JSON file")
    parser.add_argument(
        "--control-port", type=int, default=0, help="0 picks a free one"
    )
    return parser


def main(arguments=None):
    """Serve until the process is terminated."""
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
    listening_port = reactor.listenTCP(
        options.control_port, control, interface=options.host
    )
    announce(
        standin="upstream",
        control_port=listening_port.getHost().port,
        ports={name: each.port for name, each in listeners.items()},
    )
    reactor.run()


if __name__ == "__main__":
    main()
