"""Changes upstreams while they run, and shows their state."""

from klein import Klein
from twisted.internet.defer import inlineCallbacks

from standins.answer_faults import AnswerFault
from standins.upstream_config import read_served
from standins.web import check_keys, read_json, reply

__all__ = ["Listener", "UpstreamControl"]


class Listener:
    """The TCP port of one upstream, which can stop and start listening.

    Parameters
    ----------
    upstream : Upstream
        The server.
    reactor : twisted.internet.interfaces.IReactorTCP
        Reactor to listen with.
    host : str
        IP number to listen on.
    port : int
        Port, 0 for a free one.
    """

    def __init__(self, upstream, reactor, host, port):
        self.upstream = upstream
        self.port = port
        self._reactor = reactor
        self._host = host
        self._listening = None

    @classmethod
    def from_upstream(cls, upstream, reactor, host):
        """Listen on the port of the upstream's own configuration."""
        listener = cls(upstream, reactor, host, upstream.model.config.port)
        listener.start()
        return listener

    def start(self):
        """Listen, unless that is so already."""
        if self._listening is not None:
            return
        self._listening = self._reactor.listenTCP(
            self.port, self.upstream.factory, interface=self._host
        )
        self.port = self._listening.getHost().port

    def stop(self):
        """Refuse new connections and cut the open ones."""
        listening, self._listening = self._listening, None
        self.upstream.factory.abort_all()
        return listening.stopListening() if listening is not None else None


class UpstreamControl:
    """HTTP server of the control port.

    Each action takes ``upstreams``, a list of names, or concerns all of them.

    Parameters
    ----------
    listeners : dict of str to Listener
        The upstreams by name.
    clock : twisted.internet.interfaces.IReactorTime
        Clock of the upstreams.
    """

    app = Klein()

    def __init__(self, listeners, clock):
        self._listeners = listeners
        self._clock = clock

    @app.handle_errors(ValueError, TypeError)
    def reject(self, request, failure):
        """Answer 400 with what is wrong with the request."""
        return reply(request, 400, {"error": failure.getErrorMessage()})

    @app.route("/_control/state", methods=["GET"])
    def show_state(self, request):
        """Answer with the state of each upstream by name."""
        return reply(request, 200, self._collect_state())

    @app.route("/_control/queries", methods=["GET"])
    def show_queries(self, request):
        """Answer with every query that an upstream has started and remembers."""
        models = [each.upstream.model for each in self._listeners.values()]
        started = set().union(*(model.queries for model in models))
        return reply(request, 200, {"queries": sorted(started)})

    @app.route("/_control/<action>", methods=["POST"])
    @inlineCallbacks
    def change(self, request, action):
        """Carry out one action on the upstreams that the body names."""
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
            gate = upstream.gate
            state[name] = upstream.model.to_json(now) | {
                "n_connections": gate.n_open,
                "max_connections": gate.max_open,
                "n_connections_accepted": gate.n_accepted,
                "n_connections_refused": gate.n_refused,
            }
        return state


def _turn_cold(listener, data, now):
    model = listener.upstream.model
    model.turn_cold(now, data.get("n_grace", model.config.n_slots))


def _fall(listener, data, now):
    listener.upstream.model.fall(now)
    listener.upstream.drop_running()


def _straggle(listener, data, now):
    model = listener.upstream.model
    model.straggle_factor = data.get("factor", model.straggle_factor)
    model.straggle_probability = data.get("probability", 1.0)


def _spoil_answers(listener, data, now):
    faults = listener.upstream.faults
    faults.add(AnswerFault(data.get("kind")), data.get("n_next", 1))


def _serve(listener, data, now):
    listener.upstream.model.served = read_served(
        check_keys(data, ("served",))["served"]
    )


def _set_load(listener, data, now):
    listener.upstream.model.fake_load = data.get("load")


def _drain(listener, data, now):
    listener.upstream.model.set_draining(True, now)


def _undrain(listener, data, now):
    listener.upstream.model.set_draining(False, now)


def _hang(listener, data, now):
    listener.upstream.hung = data.get("on", True)


def _shut(listener, data, now):
    listener.upstream.gate.is_shut = data.get("on", True)
    if listener.upstream.gate.is_shut:
        listener.upstream.factory.abort_all()


def _stop(listener, data, now):
    return listener.stop()


def _start(listener, data, now):
    listener.start()


#: What each action does; the keys that it reads stand in its function.
_ACTIONS = {
    "cold": _turn_cold,
    "fall": _fall,
    "straggle": _straggle,
    "answers": _spoil_answers,
    "serve": _serve,
    "load": _set_load,
    "drain": _drain,
    "undrain": _undrain,
    "hang": _hang,
    "shut": _shut,
    "stop": _stop,
    "start": _start,
}
