"""Stand-in for the network between places: a TCP proxy with delays and partitions.

Run it with ``python -m standins.relay --config FILE``. The file is JSON, ``{"routes":
[{"port": 9001, "target": "127.0.0.1:9101", "place": "north", "source": "south"}]}``.
``source`` is the place from which the connections of a route come. Without it, the
source of a connection is the place whose name occurs first in the first bytes that it
sends; the first frame of a node contains the name of its place.

The control port takes ``POST /_control/cut`` with ``{"pairs": [["north", "south"]]}``,
which replaces the earlier partitions, and ``POST /_control/delay`` with ``{"ms": 20}``.
A partition holds back everything, also the closing of a connection; what was held
back is delivered once the partition ends.
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
    """TCP proxy of all routes.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    routes : list of dict
        Routes of the configuration file, see the module.

    Attributes
    ----------
    delay_s : float
        Delay of all data, connects and closes, in each direction, in seconds.
    places : list of str
        Names of the places of all routes.
    """

    def __init__(self, reactor, routes):
        self.reactor = reactor
        self.delay_s = 0.0
        self._partitions = frozenset()
        self._connections = set()
        self.places = sorted({route["place"] for route in routes})
        for route in routes:
            reactor.listenTCP(
                route["port"], _RouteFactory(self, route), interface=_HOST
            )

    def set_partitions(self, pairs):
        """Partition these pairs of places, and end all other partitions."""
        self._partitions = frozenset(map(frozenset, pairs))
        for connection in list(self._connections):
            connection.run_due_actions()

    def is_partitioned(self, places):
        """Return whether two places are partitioned from each other."""
        return frozenset(places) in self._partitions

    def add_connection(self, connection):
        """Register an open connection."""
        self._connections.add(connection)

    def remove_connection(self, connection):
        """Remove a connection that has ended."""
        self._connections.discard(connection)


class _RouteFactory(Factory):
    def __init__(self, relay, route):
        self._relay = relay
        self._route = route

    def buildProtocol(self, address):
        connection = _RelayedConnection(self._relay, self._route)
        return connection.client


class _CallbackProtocol(Protocol):
    def __init__(self, handle_data, handle_close):
        self.dataReceived = handle_data
        self._handle_close = handle_close

    def connectionLost(self, reason):
        self._handle_close()


class _RelayedConnection:
    """Connections to a client and to the target of its route, relayed to each other.

    Connects, writes and closes are queued actions, each with the time at which it is
    due. They run in order, so a blocked one holds back all later ones.
    """

    def __init__(self, relay, route):
        self.client = _CallbackProtocol(
            self._handle_first_data, lambda: self._schedule(self._close_target)
        )
        self._target = None
        self._relay = relay
        self._route = route
        self._places = None
        self._is_connecting = False
        self._actions = deque()
        relay.add_connection(self)

    def run_due_actions(self):
        """Run the queued actions that are due, unless they are blocked."""
        while self._actions and not self._is_blocked():
            due_at, action = self._actions[0]
            remaining_s = due_at - self._relay.reactor.seconds()
            if remaining_s > 0:
                self._relay.reactor.callLater(remaining_s, self.run_due_actions)
                return
            self._actions.popleft()
            action()

    def _is_blocked(self):
        if self._is_connecting:
            return True
        return self._places is not None and self._relay.is_partitioned(self._places)

    def _schedule(self, action):
        self._actions.append(
            (self._relay.reactor.seconds() + self._relay.delay_s, action)
        )
        self.run_due_actions()

    def _handle_first_data(self, data):
        self._places = (self._find_source(data), self._route["place"])
        self.client.dataReceived = self._handle_client_data
        self._schedule(self._connect)
        self._handle_client_data(data)

    def _find_source(self, data):
        named_places = [each for each in self._relay.places if each.encode() in data]
        return self._route.get("source") or min(
            named_places, key=lambda place: data.find(place.encode()), default=""
        )

    def _handle_client_data(self, data):
        self._schedule(lambda: self._target and self._target.transport.write(data))

    def _handle_target_data(self, data):
        self._schedule(lambda: self.client.transport.write(data))

    def _connect(self):
        self._is_connecting = True
        host, _, port = self._route["target"].rpartition(":")
        endpoint = HostnameEndpoint(self._relay.reactor, host, int(port))
        target = _CallbackProtocol(
            self._handle_target_data, lambda: self._schedule(self._close_client)
        )
        connectProtocol(endpoint, target).addCallbacks(
            self._handle_connected, self._handle_connect_failure
        )

    def _handle_connected(self, target):
        self._target = target
        self._is_connecting = False
        self.run_due_actions()

    def _handle_connect_failure(self, failure):
        self._is_connecting = False
        self._close_client()
        self.run_due_actions()

    def _close_client(self):
        self.client.transport.loseConnection()
        self._relay.remove_connection(self)

    def _close_target(self):
        if self._target is not None:
            self._target.transport.loseConnection()
        self._relay.remove_connection(self)


class RelayControl:
    """HTTP server of the control port.

    Parameters
    ----------
    relay : Relay
        Relay that it controls.
    """

    app = Klein()

    def __init__(self, relay):
        self._relay = relay

    @app.route("/_control/cut", methods=["POST"])
    def set_partitions(self, request):
        """Partition the pairs of places in the body, and no others."""
        pairs = check_keys(read_json(request), ("pairs",))["pairs"]
        self._relay.set_partitions(pairs)
        return reply(request, 200, {"pairs": pairs})

    @app.route("/_control/delay", methods=["POST"])
    def set_delay(self, request):
        """Set the delay in each direction, ``ms`` of the body."""
        delay_ms = check_keys(read_json(request), ("ms",))["ms"]
        self._relay.delay_s = delay_ms / _MS_PER_S
        return reply(request, 200, {"ms": delay_ms})


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.relay")
    parser.add_argument("--config", type=Path, required=True, help="JSON file")
    return parser


def main(arguments=None):
    """Relay connections until the process is terminated."""
    from twisted.internet import reactor

    options = build_parser().parse_args(arguments)
    routes = orjson.loads(options.config.read_bytes())["routes"]
    control = make_site(RelayControl(Relay(reactor, routes)).app)
    listening_port = reactor.listenTCP(0, control, interface=_HOST)
    announce(standin="relay", control_port=listening_port.getHost().port)
    reactor.run()


if __name__ == "__main__":
    main()
