"""Control port of the upstreams: runs actions on them and shows their state."""

from klein import Klein
from twisted.internet.defer import inlineCallbacks

from standins.response_faults import ResponseFault
from standins.upstream_config import parse_served
from standins.web import check_keys, read_json, reply

__all__ = ["Listener", "UpstreamControl"]


class Listener:
    """The TCP port of one upstream, which can stop and start listening.

    Parameters
    ----------
    upstream : Upstream
        Upstream to serve.
    reactor : twisted.internet.interfaces.IReactorTCP
        Reactor to listen with.
    host : str
        IP address to listen on.
    port : int
        Port, 0 for a free one.
    """

    def __init__(self, upstream, reactor, host, port):
        self.upstream = upstream
        self.port = port
        self._reactor = reactor
        self._host = host
        self._listening_port = None

    @classmethod
    def from_upstream(cls, upstream, reactor, host):
        """Listen on the port of the upstream's own configuration."""
        listener = cls(upstream, reactor, host, upstream.model.config.port)
        listener.start()
        return listener

    def start(self):
        """Start listening, unless already listening."""
        if self._listening_port is not None:
            return
        self._listening_port = self._reactor.listenTCP(
            self.port, self.upstream.factory, interface=self._host
        )
        self.port = self._listening_port.getHost().port

    def stop(self):
        """Stop listening, and close the open connections."""
        listening_port, self._listening_port = self._listening_port, None
        self.upstream.factory.abort_all()
        return listening_port.stopListening() if listening_port is not None else None


class UpstreamControl:
    """HTTP server of the control port.

    Each action takes ``upstreams``, a list of names, and applies to all upstreams
    without it.

    Parameters
    ----------
    listeners : dict of str to Listener
        Listeners of the upstreams, by name.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the upstreams.
    """

    app = Klein()

    def __init__(self, listeners, clock):
        self._listeners = listeners
        self._clock = clock

    @app.handle_errors(ValueError, TypeError)
    def reject(self, request, failure):
        """Reply 400 with the error in the request."""
        return reply(request, 400, {"error": failure.getErrorMessage()})

    @app.route("/_control/state", methods=["GET"])
    def show_state(self, request):
        """Reply with the state of each upstream, by name."""
        return reply(request, 200, self._collect_state())

    @app.route("/_control/queries", methods=["GET"])
    def show_queries(self, request):
        """Reply with every query that an upstream has started and recorded."""
        models = [each.upstream.model for each in self._listeners.values()]
        queries = set().union(*(model.queries for model in models))
        return reply(request, 200, {"queries": sorted(queries)})

    @app.route("/_control/<action>", methods=["POST"])
    @inlineCallbacks
    def run_action(self, request, action):
        """Run one action on the upstreams that the body names."""
        data = read_json(request)
        if action not in _ACTIONS:
            raise ValueError(f"unknown action {action!r}; use one of {list(_ACTIONS)}")
        names = data.get("upstreams", list(self._listeners))
        unknown = sorted(set(names) - set(self._listeners))
        if unknown:
            raise ValueError(f"unknown upstream {unknown[0]!r}; see /_control/state")
        for name in names:
            now = self._clock.seconds()
            yield _ACTIONS[action](self._listeners[name], data, now)
        return reply(request, 200, {"upstreams": names})

    def _collect_state(self):
        now = self._clock.seconds()
        state = {}
        for name, listener in self._listeners.items():
            upstream = listener.upstream
            limiter = upstream.limiter
            state[name] = upstream.model.to_json(now) | {
                "n_connections": limiter.n_open,
                "max_connections": limiter.peak_open,
                "n_connections_accepted": limiter.n_accepted,
                "n_connections_refused": limiter.n_refused,
            }
        return state


def _turn_cold(listener, data, now):
    model = listener.upstream.model
    model.turn_cold(now, data.get("n_grace", model.config.n_slots))


def _crash(listener, data, now):
    listener.upstream.model.crash(now)
    listener.upstream.drop_running_calls()


def _set_straggling(listener, data, now):
    model = listener.upstream.model
    model.straggle_factor = data.get("factor", model.straggle_factor)
    model.straggle_probability = data.get("probability", 1.0)


def _add_response_faults(listener, data, now):
    faults = listener.upstream.faults
    faults.add(ResponseFault(data.get("kind")), data.get("n_next", 1))


def _set_served(listener, data, now):
    listener.upstream.model.served = parse_served(
        check_keys(data, ("served",))["served"]
    )


def _set_load(listener, data, now):
    listener.upstream.model.load_override = data.get("load")


def _drain(listener, data, now):
    listener.upstream.model.set_draining(True, now)


def _undrain(listener, data, now):
    listener.upstream.model.set_draining(False, now)


def _set_hung(listener, data, now):
    listener.upstream.is_hung = data.get("on", True)


def _set_refusing(listener, data, now):
    listener.upstream.limiter.is_refusing = data.get("on", True)
    if listener.upstream.limiter.is_refusing:
        listener.upstream.factory.abort_all()


def _stop(listener, data, now):
    return listener.stop()


def _start(listener, data, now):
    listener.start()


#: Function of each action; it reads the action's keys from the body, ``data``.
_ACTIONS = {
    "cold": _turn_cold,
    "fall": _crash,
    "straggle": _set_straggling,
    "answers": _add_response_faults,
    "serve": _set_served,
    "load": _set_load,
    "drain": _drain,
    "undrain": _undrain,
    "hang": _set_hung,
    "shut": _set_refusing,
    "stop": _stop,
    "start": _start,
}
