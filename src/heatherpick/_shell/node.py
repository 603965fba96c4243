"""The process of one node: everything is built here, and run until it may end."""

import secrets
import signal
import sys
import time
from dataclasses import dataclass

from twisted.internet.error import CannotListenError

from heatherpick._core.effects import Exit
from heatherpick._core.events import StopRequested
from heatherpick._core.messages import Hello
from heatherpick._core.reducer import NodeReducer
from heatherpick._shell.addresses import split_address
from heatherpick._shell.caller_api import CallerApi
from heatherpick._shell.logs import Logs
from heatherpick._shell.metrics import Metrics
from heatherpick._shell.peer_connections import PeerConnections
from heatherpick._shell.platform_client import PlatformClient
from heatherpick._shell.runtime import Runtime
from heatherpick._shell.traces import Tracer
from heatherpick._shell.upstream_client import UpstreamClient

__all__ = ["Node", "run_node"]

EXIT_OK = 0
EXIT_FAILED = 1
N_INCARNATION_BYTES = 8
N_SEED_BITS = 64
#: Seconds for which the end waits for written answers to leave, and how often it
#: looks.
FLUSH_TIMEOUT_S = 2.0
FLUSH_POLL_S = 0.01


def run_node(settings):
    """Run a node until it is asked to stop.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings of this process.

    Returns
    -------
    int
        Exit code: 0 after a planned stop, 1 when an address is taken.
    """
    from twisted.internet import reactor

    # The reactor's own clock is the time of day, which may be set back while a
    # share of an upstream depends on it. This one also counts a suspended VM's time.
    reactor.seconds = _read_boottime_s
    try:
        node = Node.from_settings(settings, reactor)
        node.listen()
    except (CannotListenError, OSError) as error:
        print(f"heatherpick node: {error}", file=sys.stderr)
        return EXIT_FAILED
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(node.request_stop))
    reactor.callWhenRunning(node.start)
    reactor.run(installSignalHandlers=False)
    return node.exit_code


def _read_boottime_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass
class Node:
    """A node's reducer with everything that carries out its effects.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings of this process.
    reactor : object
        Twisted's reactor.
    runtime, callers, peers, upstreams, platform, tracer : object
        Parts that feed the reducer and add_effect_handlers out effects.
    """

    settings: object
    reactor: object
    runtime: Runtime
    caller_api: CallerApi
    peer_connections: PeerConnections
    upstream_client: UpstreamClient
    platform_client: PlatformClient
    tracer: Tracer
    exit_code: int = EXIT_OK

    @classmethod
    def from_settings(cls, settings, reactor):
        """Build a node.

        Parameters
        ----------
        settings : NodeSettings
            Checked settings of this process.
        reactor : object
            Twisted's reactor.

        Returns
        -------
        Node
        """
        incarnation = secrets.token_hex(N_INCARNATION_BYTES)
        seed = secrets.randbits(N_SEED_BITS)
        # Claims are shared by VMs whose own clocks count from their start.
        wall_offset_s = time.time() - reactor.seconds()
        reducer = NodeReducer.from_settings(settings, incarnation, seed, wall_offset_s)
        logs = Logs.from_settings(settings)
        logs.log_twisted_events()
        metrics = Metrics()
        tracer = Tracer.from_settings(settings, reactor)
        runtime = Runtime(reducer, reactor, logs.report)
        feed = runtime.feed
        hello = Hello(
            settings.name, incarnation, settings.data_centre, settings.peer_address
        )
        caller_api = CallerApi(feed, reactor, reducer, metrics, tracer, logs)
        peer_connections = PeerConnections(
            feed, hello, reactor, metrics.count, logs.report, seed
        )
        upstream_client = UpstreamClient(feed, reactor)
        platform_client = PlatformClient(
            feed, settings.platform_address, reactor, metrics.count, seed
        )
        node = cls(
            settings,
            reactor,
            runtime,
            caller_api,
            peer_connections,
            upstream_client,
            platform_client,
            tracer,
        )
        for part in (
            caller_api,
            peer_connections,
            upstream_client,
            platform_client,
            metrics,
            tracer,
            logs,
        ):
            runtime.add_effect_handlers(part.effect_handlers)
        runtime.add_effect_handlers({Exit: node.shut_down})
        return node

    def listen(self):
        """Take connections of callers and peers."""
        site = self.caller_api.build_site(self.settings.max_body_bytes)
        self._listen_at(self.settings.caller_address, site)
        peer_address = self.settings.peer_listen_address or self.settings.peer_address
        self._listen_at(peer_address, self.peer_connections.build_factory())

    def start(self):
        """Carry out the reducer's first effects."""
        self.runtime.start()

    def request_stop(self):
        """Ask the reducer for a planned stop."""
        self.runtime.feed(StopRequested())

    def shut_down(self, effect):
        """Stop the reactor once everything that was written has left."""
        self.exit_code = effect.code
        self.platform_client.close()
        self.peer_connections.close()
        self.upstream_client.close()
        self._stop_when_flushed(self.reactor.seconds() + FLUSH_TIMEOUT_S)

    def _listen_at(self, address, factory):
        host, port = split_address(address)
        self.reactor.listenTCP(port, factory, interface=host)

    def _stop_when_flushed(self, deadline_s):
        has_timed_out = self.reactor.seconds() >= deadline_s
        if self.reactor.getWriters() and not has_timed_out:
            self.reactor.callLater(FLUSH_POLL_S, self._stop_when_flushed, deadline_s)
            return
        self.tracer.close()
        self.reactor.stop()
