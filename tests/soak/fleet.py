"""The system under soak: nodes as processes, all else on one event loop."""

import hashlib
import os
import random
import signal
import subprocess
import sys
import time

from demo.processes import allocate_port
from heatherpick._net.callers import build_response
from heatherpick._net.loop import EventLoop
from tests.direct.site import (
    HOST,
    RecordedLog,
    StoreStandIn,
    UpstreamStandIn,
    make_gather,
    make_order,
)
from tests.soak.proxy import Proxy

SHARDS = ("p0", "p1", "p2", "p3")
ZONES = "ab"
N_RECORDS = 3
#: Bandwidths of the nodes' links; two nodes are aggregators.
LINKS_MBPS = (100.0, 100.0, 10.0, 10.0, 10.0)
#: Responses that never end: how they begin, and what is repeated.
ENDLESS_RESPONSES = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 40),
}
#: Bytes of such a response written at a time, and the pause between, in seconds.
ENDLESS_BYTES = 40_000
ENDLESS_PAUSE_S = 0.01
SHUTDOWN_GRACE_S = 6.0
#: Longest time that the nodes may take to become ready.
START_TIMEOUT_S = 15.0
SETTINGS = """\
node-name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "r"
internal-ports = [{search_port}, {search_port}]
seeds = []
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{peer_port}"
[limits]
link-mbps = {link_mbps}
[bounds]
retry-budget-ratio = 0.2
retry-slack = 200
config-apply-ms = 3000
drain-ms = 3000
evacuate-ms = 5000
grace-s = {grace_s}
[platform]
address = "{store}"
"""


def make_records(service, request_id):
    """Return the records of one shard for one request.

    They follow from the arguments, so that callers can compute them too.
    """
    digest = hashlib.sha256(f"{service} {request_id}".encode()).digest()
    return digest[:16], digest[16:]


class SoakStore(StoreStandIn):
    """A store that directs searches between nodes through proxies."""

    def __init__(self, loop, proxies):
        super().__init__(loop)
        self._proxies = proxies

    def put(self, kind, name, spec, name_text=None):
        if isinstance(spec, dict) and "search_address" in spec:
            host, port = self._proxies[spec["search_address"]].address
            spec = {**spec, "search_address": f"{host}:{port}"}
        super().put(kind, name, spec, name_text)


class SoakUpstream(UpstreamStandIn):
    """An upstream that records the requests that it runs.

    The records in its responses follow from shard and request.

    Attributes
    ----------
    runs : list of (float, str)
        Time and id of each request that it began to run.
    reject_share, copy_share : float
        Share of the requests that are rejected as not run, and share of the responses
        of which a second copy is sent just before the next response on the connection.
    """

    def __init__(self, fleet, upstream_id, service, zone):
        self.fleet = fleet
        self.proxy = None
        self.runs = []
        self.is_hanging = False
        self.endless_kind = None
        self.reject_share = 0.0
        self.copy_share = 0.0
        self._copies = {}
        super().__init__(fleet, upstream_id, service, zone)

    def announce(self, state="ready", **fields):
        if self.proxy is None:
            self.proxy = Proxy(self.site.loop, (HOST, self.port))
        host, port = self.proxy.address
        super().announce(state, address=f"{host}:{port}", **fields)

    def handle_request(self, request):
        copy = self._copies.pop(request.connection, None)
        if copy is not None:
            request.connection.write(copy)
        if request.by_name.get(b"target-instance") == self.id.encode():
            request_id = request.by_name[b"request-id"].decode()
            if self.fleet.rng.random() < self.reject_share:
                headers = [
                    (b"Request-Id", request_id.encode()),
                    (b"Not-Executed", b"1"),
                ]
                self._respond(request, 503, headers, b"")
                return
            self.runs.append((self.fleet.loop.seconds(), request_id))
        super().handle_request(request)

    def _respond(self, request, status, headers, body):
        request.respond(status, headers, body)
        if self.fleet.rng.random() < self.copy_share:
            copy = build_response(status, headers, body, False)
            self._copies[request.connection] = copy

    def serve(self, request):
        if self.is_hanging:
            return
        if self.endless_kind is not None:
            self._send_without_end(
                request.connection, *ENDLESS_RESPONSES[self.endless_kind]
            )
            return
        request_id = request.by_name[b"request-id"].decode()
        headers = [
            (b"Request-Id", request_id.encode()),
            (b"Response-Seal", f"{self.id}.{request_id}".encode()),
            (b"Server-Load", b"1,0,4"),
        ]
        body = b"".join(make_records(self.service, request_id))
        self._respond(request, 200, headers, body)

    def _send_without_end(self, connection, data, piece):
        if connection.is_closed:
            return
        if not connection.has_unsent:
            n_pieces = ENDLESS_BYTES // len(piece)
            connection.write(data + piece * n_pieces)
            data = b""
        self.fleet.loop.call_later(
            ENDLESS_PAUSE_S, self._send_without_end, connection, data, piece
        )


class Node:
    """One node, run as a process that is restarted after each exit.

    ``incarnation`` counts the starts of the process.
    """

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = f"n{index}"
        self.zone = ZONES[index % 2]
        # The port of the metrics is the same on all VMs, so each node has an address
        # of its own; concurrent soak tests use different addresses.
        pid = os.getpid()
        self.ip = f"127.{1 + pid // 250 % 250}.{pid % 250}.{20 + index}"
        self.link_mbps = LINKS_MBPS[index]
        self.ports = [allocate_port(self.ip) for _ in range(4)]
        self.process = None
        self.incarnation = 0
        #: Begin and end of each pause, oldest first; the last end may be None.
        self.pauses = []
        self.store_proxy = None
        self.search_proxy = None

    @property
    def callers_address(self):
        return self.ip, self.ports[0]

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def start(self):
        """Start the process unless it runs, as the platform does after each exit."""
        if self.is_running:
            return
        self.incarnation += 1
        path = self.fleet.directory / f"{self.name}.toml"
        host, port = self.store_proxy.address
        front, ready, peer, search = self.ports
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                search_port=search,
                front_port=front,
                ready_port=ready,
                peer_port=peer,
                link_mbps=self.link_mbps,
                grace_s=SHUTDOWN_GRACE_S,
                store=f"{host}:{port}",
            )
        )
        log = open(self.fleet.directory / f"{self.name}-{self.incarnation}.log", "wb")
        with log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "heatherpick.platform"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "HEATHERPICK_SETTINGS": str(path),
                    "PYTHONPATH": "src",
                },
            )

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    def pause(self):
        """Stop the process by SIGSTOP."""
        self.send_signal(signal.SIGSTOP)
        self.pauses.append([self.fleet.loop.seconds(), None])

    def resume(self):
        """Continue the process by SIGCONT."""
        self.send_signal(signal.SIGCONT)
        for each in self.pauses:
            if each[1] is None:
                each[1] = self.fleet.loop.seconds()

    def was_paused(self, since, until):
        """Return whether the process was paused between ``since`` and ``until``."""
        return any(
            paused_at <= until and (resumed_at is None or resumed_at >= since)
            for paused_at, resumed_at in self.pauses
        )

    def kill(self):
        """Kill the process and wait until it has exited."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """All nodes, upstreams, proxies and the store; `run_for` runs the event loop.

    Parameters
    ----------
    directory : pathlib.Path
        Where settings and logs of the nodes are written.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, directory, seed):
        self.directory = directory
        self.rng = random.Random(seed)
        self.faults = RecordedLog()
        self.loop = EventLoop(self.faults.report)
        self.nodes = [Node(self, index) for index in range(len(LINKS_MBPS))]
        proxies = {}
        for node in self.nodes:
            node.search_proxy = Proxy(self.loop, (node.ip, node.ports[3]))
            proxies[f"{node.ip}:{node.ports[3]}"] = node.search_proxy
        self.store = SoakStore(self.loop, proxies)
        for node in self.nodes:
            port = self.store.listen_for_node(node.name)
            node.store_proxy = Proxy(self.loop, (HOST, port))
        self.upstreams = [
            SoakUpstream(self, f"{service}{zone}", service, zone)
            for service in (*SHARDS, "desk")
            for zone in ZONES
        ]
        self.version = 0
        self.paths = []

    def __enter__(self):
        self.publish()
        try:
            for node in self.nodes:
                node.start()
            self._wait_ready()
        except BaseException:
            self._kill_nodes()
            raise
        return self

    def __exit__(self, *exception):
        self._kill_nodes()

    def _kill_nodes(self):
        for node in self.nodes:
            node.kill()

    def publish(self):
        """Write the next version of the routes, with one additional route."""
        self.version += 1
        self.paths.append(f"/v{self.version}/")
        routes = [make_gather(SHARDS, **{"top-k": N_RECORDS}), make_order()]
        routes += [
            make_order(name=f"r{path}", **{"path-prefix": path, "type": "safe"})
            for path in self.paths
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "max-connections": 64} for name in (*SHARDS, "desk")
            ],
            "limits": {"idle-timeout-ms": 15000},
        }
        self.store.put("config", "main", document)

    def run_for(self, seconds):
        """Run the event loop; restart nodes that have exited, as the platform does."""
        until = self.loop.seconds() + seconds
        while self.loop.seconds() < until:
            self.loop.run_once(0.02)
            for node in self.nodes:
                if not node.is_running:
                    node.start()

    def _wait_ready(self):
        from tests.soak.callers import fetch_readiness_status

        deadline = time.monotonic() + START_TIMEOUT_S
        waiting = set(self.nodes)
        while waiting:
            assert time.monotonic() < deadline, f"not ready: {waiting}"
            self.run_for(0.1)
            waiting = {
                node
                for node in waiting
                if fetch_readiness_status(self, (node.ip, node.ports[1])) != 200
            }
