"""Node processes, started with the command of the deploy file, and their record."""

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from actors.messages import read_message

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
#: Bounds and limits of the smallest deployment, ``further/abb-arama.toml``.
SETTINGS = """\
node-name = "{name}"
role = "node"
node-class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "marmara"
internal-ports = [{search_port}, {search_port}]
seeds = {seeds}
bootstrap = true
heartbeat-ms = 1200
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{peer_port}"
[limits]
cpu-share = 0.731
cores = 1
memory-mb = {memory_mb}
max-fds = 1535
link-mbps = 350.0
[bounds]
contact-ms = 4000
drain-ms = 3000
grace-s = {grace_s}
loss-slack-ms = 200
config-apply-ms = 3000
outer-ms = 12000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-slack = 104
evacuate-ms = 5000
recovery-s = 12
[platform]
address = "{store}"
form = "objects"
"""
GRACE_S = 6
MEMORY_MB = 222


class Record:
    """Writes what was sent, answered and run to a file, one JSON object a line."""

    def __init__(self, path):
        self.lines = []
        self._file = open(path, "w", encoding="utf-8")

    def write(self, what, **fields):
        """Write one line."""
        line = {"at": round(time.time(), 4), "what": what, **fields}
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")

    def close(self):
        """Flush and close the file."""
        self._file.close()


def allocate_ports(ip, n_ports):
    """Return free TCP ports of an address."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Node:
    """One node process, restarted after it has exited if the fleet asks for it."""

    def __init__(self, directory, name, zone, index):
        # The metrics port is fixed, so each node has a loopback address of its own.
        pid = os.getpid()
        self.ip = f"127.{10 + pid // 200 % 200}.{1 + pid % 200}.{20 + index}"
        self.name = name
        self.zone = zone
        ports = allocate_ports(self.ip, 4)
        self.front_port, self.ready_port, self.peer_port, self.search_port = ports
        self.process = None
        self.settings = None
        self._directory = directory
        self._n_starts = 0

    @property
    def front_address(self):
        """Address for clients."""
        return self.ip, self.front_port

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self, seeds, store_address):
        """Write the settings file."""
        self.settings = Path(self._directory, f"{self.name}.toml")
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            search_port=self.search_port,
            front_port=self.front_port,
            ready_port=self.ready_port,
            peer_port=self.peer_port,
            seeds=json.dumps(seeds),
            grace_s=GRACE_S,
            memory_mb=MEMORY_MB,
            store="{}:{}".format(*store_address),
        )
        self.settings.write_text(text)

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split(" ")
        self._n_starts += 1
        log_path = Path(self._directory, f"{self.name}-{self._n_starts}.log")
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["HEATHERPICK_SETTINGS"] = str(self.settings)
        with open(log_path, "wb") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )

    def read_memory_mb(self):
        """Return the resident memory of the process in MB; 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * resource.getpagesize() // 1_000_000

    def read_log(self, word):
        """Return the lines of all its logs that contain a word."""
        paths = sorted(Path(self._directory).glob(f"{self.name}-*.log"))
        lines = [line for path in paths for line in path.read_text().splitlines()]
        return [line for line in lines if word in line]

    async def is_ready(self):
        """Return whether the readiness check gets 200."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready_port), 0.5
            )
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 0.5)
            return message is not None and message.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()


class Fleet:
    """All nodes of a case.

    Parameters
    ----------
    store_address : tuple of (str, int)
        Address of the store.
    zones : sequence of str
        The zone of each node.
    """

    def __init__(self, store_address, zones):
        self._directory = tempfile.TemporaryDirectory(prefix="heatherpick-review-")
        self.nodes = [
            Node(self._directory.name, f"front-{zone}-{index}", zone, index)
            for index, zone in enumerate(zones)
        ]
        seeds = [f"{node.ip}:{node.peer_port}" for node in self.nodes[:3]]
        for node in self.nodes:
            node.write_settings(seeds, store_address)

    def start(self):
        """Start all nodes."""
        for node in self.nodes:
            node.start()

    async def wait_ready(self, timeout_s=START_TIMEOUT_S):
        """Return whether all nodes became ready in time."""
        until = time.monotonic() + timeout_s
        waiting = list(self.nodes)
        while waiting and time.monotonic() < until:
            await asyncio.sleep(0.1)
            waiting = [node for node in waiting if not await node.is_ready()]
        return not waiting

    def kill_all(self):
        """Kill all processes at the same moment."""
        for node in self.nodes:
            if node.is_running:
                node.process.send_signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait(STOP_TIMEOUT_S)

    def close(self):
        """Kill all processes and delete their files."""
        self.kill_all()
        self._directory.cleanup()
