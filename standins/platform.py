"""Stand-in for the platform: its object API, its list of VMs, injected faults.

Run it with ``python -m standins.platform --port 9000``. Besides the object API
it serves these paths under ``/_control``:

- ``POST /_control/faults`` adds a fault, ``{"kind": "lose_answers", "n_next": 2,
  "prefix": "claims/", "operations": ["put"]}``, or several under ``"faults"``;
  ``DELETE`` removes all; ``GET`` lists the active ones. The kinds are those of
  `standins.platform_faults.FaultKind`.
- ``POST /_control/vms`` sets ``live``, ``leaving`` and ``lag_ms``.
- ``GET /_control/counters`` returns the number of calls so far.
"""

import argparse
from enum import Enum

from klein import Klein
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from standins.counters import CallCounters
from standins.lagging_value import LaggingValue
from standins.platform_faults import Fault, FaultPlan, Operation
from standins.store import MAX_BODY_BYTES, ObjectStore
from standins.web import (
    announce,
    drop_connection,
    make_site,
    read_integer,
    read_json,
    reply,
)

__all__ = ["Platform", "build_parser", "main"]

_MS_PER_S = 1000.0
#: Longest time that one watch waits for a change, in milliseconds.
_MAX_WATCH_MS = 60_000


class Platform:
    """HTTP server of the stand-in.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
        Clock of every delay; a test passes one that it advances itself.
    seed : int
        Seed of the faults that have a probability.
    """

    app = Klein()

    def __init__(self, clock, seed=0):
        self.store = ObjectStore()
        self.faults = FaultPlan(seed)
        self.counters = CallCounters(clock.seconds())
        self._clock = clock
        self._vms = LaggingValue(((), ()), lag_s=0.0)
        self._waiters = set()

    @app.handle_errors(ValueError)
    def reject(self, request, failure):
        """Reply 400 with the error in the request."""
        return reply(request, 400, {"error": failure.getErrorMessage()})

    @app.route("/v1/objects/<path:name>", methods=["GET"])
    def get_object(self, request, name):
        """Reply with an object, or 404."""
        return self._serve(request, Operation.GET, name, self._read_object)

    @app.route("/v1/objects/<path:name>", methods=["PUT"])
    def put_object(self, request, name):
        """Write an object if its version is the one in ``If-Match``."""
        expected_version = _parse_if_match(request)
        body = read_json(request).get("body")
        if not isinstance(body, str):
            raise ValueError(f"body is {body!r}; send text")
        if len(body.encode()) > MAX_BODY_BYTES:
            self.counters.count_call(Operation.PUT, name, self._clock.seconds())
            error = f"body is over {MAX_BODY_BYTES} bytes; send a shorter one"
            return reply(request, 413, {"error": error})

        def handle(request, name):
            return self._write_object(request, name, expected_version, body)

        return self._serve(request, Operation.PUT, name, handle)

    @app.route("/v1/watch", methods=["GET"])
    def watch(self, request):
        """Reply with the objects changed since a revision, waiting for a change."""
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        since = read_integer(request, "since", 0)
        timeout_ms = min(read_integer(request, "timeout_ms", 0), _MAX_WATCH_MS)

        deadline = self._clock.seconds() + timeout_ms / _MS_PER_S

        def handle(request, prefix):
            return self._wait_for_change(request, prefix, since, deadline)

        return self._serve(request, Operation.WATCH, prefix, handle)

    @app.route("/v1/vms", methods=["GET"])
    def list_vms(self, request):
        """Reply with the list of VMs, delayed by its lag."""
        return self._serve(request, Operation.VMS, "", self._list_vms)

    @app.route("/_control/faults", methods=["POST"])
    def add_faults(self, request):
        """Add the faults in the body; they also affect watches that wait already."""
        data = read_json(request)
        faults = [Fault.from_json(each) for each in data.get("faults", [data])]
        for fault in faults:
            self.faults.add(fault)
        self._wake_watches(_WakeReason.FAULT)
        return reply(request, 200, {"faults": self.faults.list_active()})

    @app.route("/_control/faults", methods=["DELETE"])
    def clear_faults(self, request):
        """Remove every fault."""
        self.faults.clear()
        return reply(request, 200, {"faults": []})

    @app.route("/_control/faults", methods=["GET"])
    def list_faults(self, request):
        """Reply with the active faults."""
        return reply(request, 200, {"faults": self.faults.list_active()})

    @app.route("/_control/vms", methods=["POST"])
    def set_vms(self, request):
        """Set the list of VMs and the lag with which callers see it."""
        data = read_json(request)
        live, leaving = self._vms.latest
        live = tuple(data.get("live", live))
        leaving = tuple(data.get("leaving", leaving))
        self._vms.lag_s = data.get("lag_ms", self._vms.lag_s * _MS_PER_S) / _MS_PER_S
        self._vms.write((live, leaving), self._clock.seconds())
        return reply(request, 200, {"live": live, "leaving": leaving})

    @app.route("/_control/counters", methods=["GET"])
    def show_counters(self, request):
        """Reply with the number of calls so far."""
        return reply(request, 200, self.counters.to_json())

    def _serve(self, request, operation, name, handle):
        self.counters.count_call(operation, name, self._clock.seconds())
        # A caller that disconnects cancels `response` but not the call itself: a
        # delayed write still takes effect.
        response = Deferred()
        self._handle_with_faults(request, operation, name, handle).chainDeferred(
            response
        )
        return response

    @inlineCallbacks
    def _handle_with_faults(self, request, operation, name, handle):
        effect = self.faults.draw_effect(operation, name)
        if effect.is_hung:
            yield Deferred()
        if effect.is_refused:
            return reply(request, 503, {"error": "the platform is down"})
        if effect.delay_s:
            yield deferLater(self._clock, effect.delay_s)
        response = yield handle(request, name)
        if effect.response_delay_s:
            yield deferLater(self._clock, effect.response_delay_s)
        if effect.is_response_lost:
            yield drop_connection(request)
        return response

    def _read_object(self, request, name):
        stored = self.store.read(name)
        if stored is None:
            return reply(request, 404, {"error": f"no object {name!r}"})
        return reply(request, 200, stored.to_json())

    def _write_object(self, request, name, expected_version, body):
        is_written, current = self.store.write(name, expected_version, body)
        if not is_written:
            return reply(request, 409, current.to_json())
        self._wake_watches(_WakeReason.CHANGE)
        return reply(request, 200, {"version": current.version})

    def _list_vms(self, request, name):
        live, leaving = self._vms.read(self._clock.seconds())
        return reply(request, 200, {"live": live, "leaving": leaving})

    @inlineCallbacks
    def _wait_for_change(self, request, prefix, since, deadline):
        while True:
            changed = self.store.list_changes(prefix, since)
            remaining_s = deadline - self._clock.seconds()
            if changed or remaining_s <= 0:
                return _reply_changes(request, self.store.revision, changed)
            reason = yield self._wait_for_wake(request, remaining_s)
            if reason is _WakeReason.FAULT:
                return (
                    yield self._restart_watch_with_faults(
                        request, prefix, since, deadline
                    )
                )

    def _restart_watch_with_faults(self, request, prefix, since, deadline):
        def handle(request, prefix):
            return self._wait_for_change(request, prefix, since, deadline)

        return self._handle_with_faults(request, Operation.WATCH, prefix, handle)

    @inlineCallbacks
    def _wait_for_wake(self, request, timeout_s):
        waiter = Deferred()
        timer = self._clock.callLater(timeout_s, waiter.callback, _WakeReason.TIMEOUT)
        request.notifyFinish().addErrback(
            lambda _: self._wake(waiter, _WakeReason.GONE)
        )
        self._waiters.add(waiter)
        self.counters.add_waiting_watch()
        reason = yield waiter
        self.counters.remove_waiting_watch()
        self._waiters.discard(waiter)
        if timer.active():
            timer.cancel()
        if reason is _WakeReason.GONE:
            yield Deferred()
        return reason

    def _wake_watches(self, reason):
        for waiter in tuple(self._waiters):
            self._wake(waiter, reason)

    def _wake(self, waiter, reason):
        if waiter in self._waiters:
            self._waiters.discard(waiter)
            waiter.callback(reason)


class _WakeReason(Enum):
    """Why a watch stops waiting."""

    CHANGE = "change"
    FAULT = "fault"
    #: The caller closed the connection.
    GONE = "gone"
    TIMEOUT = "timeout"


def _parse_if_match(request):
    header = request.getHeader("If-Match")
    if header is None or not header.isdecimal():
        raise ValueError(f"If-Match is {header!r}; send the version, 0 to create")
    return int(header)


def _reply_changes(request, revision, changed):
    objects = [each.to_json() for each in changed]
    return reply(request, 200, {"revision": revision, "objects": objects})


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.platform")
    parser.add_argument("--host", default="127.0.0.1", help="IP address to listen on")
    parser.add_argument("--port", type=int, default=0, help="port; 0 picks a free one")
    parser.add_argument("--seed", type=int, default=0, help="seed of random faults")
    return parser


def main(arguments=None):
    """Serve until the process is terminated."""
    from twisted.internet import reactor

    options = build_parser().parse_args(arguments)
    platform = Platform(reactor, options.seed)
    site = make_site(platform.app)
    listening_port = reactor.listenTCP(options.port, site, interface=options.host)
    announce(standin="platform", port=listening_port.getHost().port)
    reactor.run()


if __name__ == "__main__":
    main()
