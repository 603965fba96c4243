"""Stand-in for the network between places: forwards TCP, and can be cut.

Run it with ``python -m standins.relay --config FILE``. The file is JSON, ``{"routes":
[{"port": 9001, "target": "127.0.0.1:9101", "place": "north", "source": "south"}]}``.
``source`` is where the connections of a route come from; without it a connection
comes from the first of all places whose name stands in its first bytes, as it does
in the first frame of a node.

The control port takes ``POST /_control/cut`` with ``{"pairs": [["north", "south"]]}``,
which replaces the earlier cut, and ``POST /_control/delay`` with ``{"ms": 20}``.
Nothing passes a cut, not even the end of a connection; what was sent meanwhile
arrives when it is healed.
"""

import argparse
from collections import deque
from pathlib import Path

import orjson
from klein import Klein
from twisted.internet.endpoints import HostnameEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from standins.web import announce, check_keys, make_site, read_json, reply

__all__ = ["Relay", "RelayControl", "build_parser", "main"]

_MS_PER_S = 1000.0
_HOST = "127.0.0.1"


class Relay:
    """Routes, and what becomes of the bytes on them.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    routes : list of dict
        See the module.

    Attributes
    ----------
    delay : float
        Time that everything takes on its way, in seconds.
    """

    def __init__(self, reactor, routes):
        self.reactor = reactor
        self.delay = 0.0
        self._cuts = frozenset()
        self._pipes = set()
        self.places = sorted({route["place"] for route in routes})
        for route in routes:
            reactor.listenTCP(route["port"], _Door(self, route), interface=_HOST)

    def cut(self, pairs):
        """Cut the connections between pairs of places, and heal all others."""
        self._cuts = frozenset(map(frozenset, pairs))
        for pipe in list(self._pipes):
            pipe.pump()

    def is_cut(self, places):
        """Return whether nothing passes between two places."""
        return frozenset(places) in self._cuts

    def add(self, pipe):
        """Keep an open connection."""
        self._pipes.add(pipe)

    def remove(self, pipe):
        """Forget a connection that has ended."""
        self._pipes.discard(pipe)


class _Door(Factory):
    def __init__(self, relay, route):
        self._relay = relay
        self._route = route

    def buildProtocol(self, address):
        pipe = _Pipe(self._relay, self._route)
        return pipe.near


class _End(Protocol):
    def __init__(self, receive, lose):
        self.dataReceived = receive
        self._lose = lose

    def connectionLost(self, reason):
        self._lose()


class _Pipe:
    """One connection: its two ends, and what is on its way between them."""

    def __init__(self, relay, route):
        self.near = _End(self._receive_first, lambda: self._carry(self._close_far))
        self._far = None
        self._relay = relay
        self._route = route
        self._places = None
        self._is_connecting = False
        self._waiting = deque()
        relay.add(self)

    def pump(self):
        """Pass on what is due and not held up by a cut."""
        while self._waiting and not self._is_held():
            due, act = self._waiting[0]
            wait = due - self._relay.reactor.seconds()
            if wait > 0:
                self._relay.reactor.callLater(wait, self.pump)
                return
            self._waiting.popleft()
            act()

    def _is_held(self):
        if self._is_connecting:
            return True
        return self._places is not None and self._relay.is_cut(self._places)

    def _carry(self, act):
        self._waiting.append((self._relay.reactor.seconds() + self._relay.delay, act))
        self.pump()

    def _receive_first(self, data):
        self._places = (self._find_source(data), self._route["place"])
        self.near.dataReceived = self._receive_near
        self._carry(self._connect)
        self._receive_near(data)

    def _find_source(self, data):
        named = [each for each in self._relay.places if each.encode() in data]
        return self._route.get("source") or min(
            named, key=lambda place: data.find(place.encode()), default=""
        )

    def _receive_near(self, data):
        self._carry(lambda: self._far and self._far.transport.write(data))

    def _receive_far(self, data):
        self._carry(lambda: self.near.transport.write(data))

    def _connect(self):
        self._is_connecting = True
        host, _, port = self._route["target"].rpartition(":")
        endpoint = HostnameEndpoint(self._relay.reactor, host, int(port))
        far = _End(self._receive_far, lambda: self._carry(self._close_near))
        connectProtocol(endpoint, far).addCallbacks(self._open, self._refuse)

    def _open(self, far):
        self._far = far
        self._is_connecting = False
        self.pump()

    def _refuse(self, failure):
        self._is_connecting = False
        self._close_near()
        self.pump()

    def _close_near(self):
        self.near.transport.loseConnection()
        self._relay.remove(self)

    def _close_far(self):
        if self._far is not None:
            self._far.transport.loseConnection()
        self._relay.remove(self)


class RelayControl:
    """HTTP server of the control port.

    Parameters
    ----------
    relay : Relay
        What it controls.
    """

    app = Klein()

    def __init__(self, relay):
        self._relay = relay

    @app.route("/_control/cut", methods=["POST"])
    def cut(self, request):
        """Cut between the pairs in the body; no pairs heal everything."""
        pairs = check_keys(read_json(request), ("pairs",))["pairs"]
        self._relay.cut(pairs)
        return reply(request, 200, {"pairs": pairs})

    @app.route("/_control/delay", methods=["POST"])
    def delay(self, request):
        """Set the time that everything takes on its way."""
        delay_ms = check_keys(read_json(request), ("ms",))["ms"]
        self._relay.delay = delay_ms / _MS_PER_S
        return reply(request, 200, {"ms": delay_ms})


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.relay")
    parser.add_argument("--config", type=Path, required=True, help="JSON file")
    return parser


def main(arguments=None):
    """Forward until the process is told to end."""
    from twisted.internet import reactor

    options = build_parser().parse_args(arguments)
    routes = orjson.loads(options.config.read_bytes())["routes"]
    control = make_site(RelayControl(Relay(reactor, routes)).app)
    port = reactor.listenTCP(0, control, interface=_HOST)
    announce(standin="relay", control_port=port.getHost().port)
    reactor.run()


if __name__ == "__main__":
    main()
