"""The process of a node: builds its components and runs them until shutdown."""

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
#: Timeout and polling interval, in seconds, of the wait at shutdown until written
#: responses have been sent.
FLUSH_TIMEOUT_S = 2.0
FLUSH_POLL_S = 0.01


def run_node(settings):
    """Run a node until it has shut down.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings of this process.

    Returns
    -------
    int
        Exit code: 0 after a planned shutdown, 1 if the node cannot start, for example
        because an address is in use.
    """
    from twisted.internet import reactor

    # Twisted's default clock is the wall clock, which may be set back while a share
    # of an upstream depends on it. CLOCK_BOOTTIME is monotonic and, unlike
    # CLOCK_MONOTONIC, includes the time for which a VM was suspended.
    reactor.seconds = _read_boottime_s
    try:
        node = Node.from_settings(settings, reactor)
        node.listen()
    except (CannotListenError, OSError) as error:
        print(f"heatherpick node: {error}", file=sys.stderr)
        return EXIT_FAILED
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            signal_number, lambda *_: reactor.callFromThread(node.request_stop)
        )
    reactor.callWhenRunning(node.start)
    reactor.run(installSignalHandlers=False)
    return node.exit_code


def _read_boottime_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass
class Node:
    """A node's reducer with the components that execute its effects.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings of this process.
    reactor : object
        Twisted's reactor.
    runtime : Runtime
    caller_api : CallerApi
    peer_connections : PeerConnections
    upstream_client : UpstreamClient
    platform_client : PlatformClient
    tracer : Tracer
        Components that pass events to the reducer and execute its effects.
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
        """Build a node with a new incarnation id.

        Parameters
        ----------
        settings : NodeSettings
            Validated settings of this process.
        reactor : object
            Twisted's reactor.

        Returns
        -------
        Node
        """
        incarnation = secrets.token_hex(N_INCARNATION_BYTES)
        seed = secrets.randbits(N_SEED_BITS)
        # VMs share claims, but the clock of each counts from its own boot.
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
        for component in (
            caller_api,
            peer_connections,
            upstream_client,
            platform_client,
            metrics,
            tracer,
            logs,
        ):
            runtime.add_effect_handlers(component.effect_handlers)
        runtime.add_effect_handlers({Exit: node.shut_down})
        return node

    def listen(self):
        """Listen for connections of callers and peers."""
        site = self.caller_api.build_site(self.settings.max_body_bytes)
        self._listen_at(self.settings.caller_address, site)
        peer_address = self.settings.peer_listen_address or self.settings.peer_address
        self._listen_at(peer_address, self.peer_connections.build_factory())

    def start(self):
        """Execute the reducer's initial effects."""
        self.runtime.start()

    def request_stop(self):
        """Request a planned shutdown from the reducer."""
        self.runtime.feed(StopRequested())

    def shut_down(self, effect):
        """Close the connections and stop the reactor once written data is sent."""
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
