"""Stand-in for the platform: its object API, its list of VMs, its faults.

Run it with ``python -m standins.platform --port 9000``. Besides the object API
it answers under ``/_control``:

- ``POST /_control/faults`` adds a fault, ``{"kind": "lose_answers", "n_next": 2,
  "prefix": "claims/", "operations": ["put"]}``, or several under ``"faults"``;
  ``DELETE`` removes all; ``GET`` lists those that stand. The kinds are those of
  `standins.platform_faults.FaultKind`.
- ``POST /_control/vms`` sets ``live``, ``leaving`` and ``lag_ms``.
- ``GET /_control/counters`` gives the calls so far.
"""

import argparse
from enum import Enum

from klein import Klein
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from standins.counters import CallCounters
from standins.lagging import LaggingValue
from standins.platform_faults import Fault, FaultPlan, Operation
from standins.store import MAX_BODY_BYTES, ObjectStore
from standins.web import (
    announce,
    drop_connection,
    make_site,
    read_json,
    read_number,
    reply,
)

__all__ = ["Platform", "build_parser", "main"]

_MS_PER_S = 1000.0
#: Longest wait of one watch, in milliseconds.
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
        self._vms = LaggingValue(((), ()), lag=0.0)
        self._waiting = set()

    @app.handle_errors(ValueError)
    def reject(self, request, failure):
        """Answer 400 with what is wrong with the request."""
        return reply(request, 400, {"error": failure.getErrorMessage()})

    @app.route("/v1/objects/<path:name>", methods=["GET"])
    def get_object(self, request, name):
        """Answer with an object, or 404."""
        return self._serve(request, Operation.GET, name, self._read)

    @app.route("/v1/objects/<path:name>", methods=["PUT"])
    def put_object(self, request, name):
        """Write an object if its version is the one in ``If-Match``."""
        expected = _read_expected(request)
        body = read_json(request).get("body")
        if not isinstance(body, str):
            raise ValueError(f"body is {body!r}; send text")
        if len(body.encode()) > MAX_BODY_BYTES:
            self.counters.count(Operation.PUT, name, self._clock.seconds())
            error = f"body is over {MAX_BODY_BYTES} bytes; send a shorter one"
            return reply(request, 413, {"error": error})

        def write(request, name):
            return self._write(request, name, expected, body)

        return self._serve(request, Operation.PUT, name, write)

    @app.route("/v1/watch", methods=["GET"])
    def watch(self, request):
        """Answer with the objects changed since a revision, waiting for one."""
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        since = read_number(request, "since", 0)
        timeout_ms = min(read_number(request, "timeout_ms", 0), _MAX_WATCH_MS)

        until = self._clock.seconds() + timeout_ms / _MS_PER_S

        def wait(request, prefix):
            return self._wait_for_change(request, prefix, since, until)

        return self._serve(request, Operation.WATCH, prefix, wait)

    @app.route("/v1/vms", methods=["GET"])
    def list_vms(self, request):
        """Answer with the VMs as they were some time ago."""
        return self._serve(request, Operation.VMS, "", self._list_vms)

    @app.route("/_control/faults", methods=["POST"])
    def add_faults(self, request):
        """Add the faults in the body; waiting watches feel them at once."""
        data = read_json(request)
        faults = [Fault.from_json(each) for each in data.get("faults", [data])]
        for fault in faults:
            self.faults.add(fault)
        self._wake_watches(_Wake.FAULT)
        return reply(request, 200, {"faults": self.faults.list_standing()})

    @app.route("/_control/faults", methods=["DELETE"])
    def clear_faults(self, request):
        """Remove every fault."""
        self.faults.clear()
        return reply(request, 200, {"faults": []})

    @app.route("/_control/faults", methods=["GET"])
    def list_faults(self, request):
        """Answer with the faults that stand."""
        return reply(request, 200, {"faults": self.faults.list_standing()})

    @app.route("/_control/vms", methods=["POST"])
    def set_vms(self, request):
        """Set the VMs that exist and how late callers learn of it."""
        data = read_json(request)
        live, leaving = self._vms.newest
        live = tuple(data.get("live", live))
        leaving = tuple(data.get("leaving", leaving))
        self._vms.lag = data.get("lag_ms", self._vms.lag * _MS_PER_S) / _MS_PER_S
        self._vms.write((live, leaving), self._clock.seconds())
        return reply(request, 200, {"live": live, "leaving": leaving})

    @app.route("/_control/counters", methods=["GET"])
    def show_counters(self, request):
        """Answer with the calls so far."""
        return reply(request, 200, self.counters.to_json())

    def _serve(self, request, operation, name, act):
        self.counters.count(operation, name, self._clock.seconds())
        # A caller that goes away cancels `answer`, never what the platform does
        # with a call that it has received: a late write still takes effect.
        answer = Deferred()
        self._act_under_faults(request, operation, name, act).chainDeferred(answer)
        return answer

    @inlineCallbacks
    def _act_under_faults(self, request, operation, name, act):
        effect = self.faults.draw(operation, name)
        if effect.hung:
            yield Deferred()
        if effect.refused:
            return reply(request, 503, {"error": "the platform is down"})
        if effect.delay:
            yield deferLater(self._clock, effect.delay)
        answer = yield act(request, name)
        if effect.answer_delay:
            yield deferLater(self._clock, effect.answer_delay)
        if effect.answer_lost:
            yield drop_connection(request)
        return answer

    def _read(self, request, name):
        found = self.store.read(name)
        if found is None:
            return reply(request, 404, {"error": f"no object {name!r}"})
        return reply(request, 200, found.to_json())

    def _write(self, request, name, expected, body):
        written, current = self.store.write(name, expected, body)
        if not written:
            return reply(request, 409, current.to_json())
        self._wake_watches(_Wake.CHANGE)
        return reply(request, 200, {"version": current.version})

    def _list_vms(self, request, name):
        live, leaving = self._vms.read(self._clock.seconds())
        return reply(request, 200, {"live": live, "leaving": leaving})

    @inlineCallbacks
    def _wait_for_change(self, request, prefix, since, until):
        while True:
            changed = self.store.list_changes(prefix, since)
            remaining = until - self._clock.seconds()
            if changed or remaining <= 0:
                return _reply_changes(request, self.store.revision, changed)
            wake = yield self._wait(request, remaining)
            if wake is _Wake.FAULT:
                return (yield self._wait_under_faults(request, prefix, since, until))

    def _wait_under_faults(self, request, prefix, since, until):
        def wait(request, prefix):
            return self._wait_for_change(request, prefix, since, until)

        return self._act_under_faults(request, Operation.WATCH, prefix, wait)

    @inlineCallbacks
    def _wait(self, request, seconds):
        waiter = Deferred()
        timer = self._clock.callLater(seconds, waiter.callback, _Wake.TIMEOUT)
        request.notifyFinish().addErrback(lambda _: self._wake(waiter, _Wake.GONE))
        self._waiting.add(waiter)
        self.counters.start_waiting()
        wake = yield waiter
        self.counters.stop_waiting()
        self._waiting.discard(waiter)
        if timer.active():
            timer.cancel()
        if wake is _Wake.GONE:
            yield Deferred()
        return wake

    def _wake_watches(self, wake):
        for waiter in tuple(self._waiting):
            self._wake(waiter, wake)

    def _wake(self, waiter, wake):
        if waiter in self._waiting:
            self._waiting.discard(waiter)
            waiter.callback(wake)


class _Wake(Enum):
    """Why a waiting watch goes on."""

    CHANGE = "change"
    FAULT = "fault"
    GONE = "gone"
    TIMEOUT = "timeout"


def _read_expected(request):
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
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--port", type=int, default=0, help="port; 0 takes a free one")
    parser.add_argument("--seed", type=int, default=0, help="seed of random faults")
    return parser


def main(arguments=None):
    """Serve until the process is told to end."""
    from twisted.internet import reactor

    options = build_parser().parse_args(arguments)
    platform = Platform(reactor, options.seed)
    site = make_site(platform.app)
    listening = reactor.listenTCP(options.port, site, interface=options.host)
    announce(standin="platform", port=listening.getHost().port)
    reactor.run()


if __name__ == "__main__":
    main()
