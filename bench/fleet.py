"""Platform, upstreams and nodes of one experiment, on loopback."""

import json
import time
import urllib.request
from dataclasses import dataclass, replace

from bench.shapes import build_declarations
from demo.deployment import build_node_settings, build_upstream_configs
from demo.processes import allocate_port, fetch_json, wait_until
from heatherpick.declarations import (
    DECLARATIONS_OBJECT,
    DRAINS_OBJECT,
    encode_declarations,
    encode_drains,
)

__all__ = ["SETTLE_SECONDS", "Baseline", "Fleet"]

_FETCH_SECONDS = 5.0
_READY_SECONDS = 60.0
#: Time after readiness for heartbeats and connections to settle.
SETTLE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Baseline:
    """Processes of a baseline.

    Parameters
    ----------
    name : str
        ``naive`` or ``direct``.
    addresses : tuple of str
        ``ip:port`` for callers of each process.
    """

    name: str
    addresses: tuple[str, ...]


class Fleet:
    """Platform, upstreams and nodes, which run until the processes are stopped.

    Parameters
    ----------
    processes : MeasuredProcesses
        Starts and stops the processes.
    directory : pathlib.Path
        Directory for settings, declarations and logs.
    shape : Shape
        Size of the declared set.
    settle_s : float
        Time to wait after nodes are ready.
    """

    def __init__(self, processes, directory, shape, settle_s=SETTLE_SECONDS):
        self.processes = processes
        self.declarations = build_declarations(shape)
        self.nodes = []
        self.platform_address = ""
        self._version = 0
        self._planned_nodes = []
        self._directory = directory
        self._settle_s = settle_s
        self._control_ports = []

    def start_platform(self):
        """Start the platform with the declarations published and nothing drained."""
        announcement = self.processes.start_and_wait("platform", "standins.platform")
        self.platform_address = f"127.0.0.1:{announcement['port']}"
        self.publish(self.declarations)
        self.write_object(
            DRAINS_OBJECT, 0, '{"format":1,"data_centres":[],"upstreams":[]}'
        )

    def publish(self, declarations):
        """Replace the published `DeclarationSet`."""
        body = encode_declarations(declarations)
        self._declarations_path.write_text(body)
        self.write_object(DECLARATIONS_OBJECT, self._version, body)
        self._version += 1
        self.declarations = declarations

    def drain(self, drains, version):
        """Replace the `Drains` object at ``version``."""
        self.write_object(DRAINS_OBJECT, version, encode_drains(drains))

    def write_object(self, name, version, body):
        """Write an object to the platform if it is at ``version``."""
        self._send_json(
            "PUT",
            f"http://{self.platform_address}/v1/objects/{name}",
            {"body": body},
            {"If-Match": str(version)},
        )

    def start_upstreams(self, n_processes=1, **config):
        """Start the upstreams of every data centre.

        Parameters
        ----------
        n_processes : int, default=1
            Processes for each data centre. A process answers one call at a time, so
            too few of them would limit the figures instead of the nodes.
        **config : object
            Keys of `standins.upstream_config.UpstreamConfig` for all upstreams; a
            callable is called with the upstream's name and returns the value.
        """
        arguments = {}
        for data_centre, text in build_upstream_configs(self.declarations).items():
            data = json.loads(text)
            for upstream in data["upstreams"]:
                upstream.update(_resolve_config(config, upstream["name"]))
            for number in range(n_processes):
                part = data | {"upstreams": data["upstreams"][number::n_processes]}
                name = f"upstreams-{data_centre}-{number}"
                path = self._directory / f"{name}.json"
                path.write_text(json.dumps(part))
                arguments[name] = ["--config", path]
        announcements = self.processes.start_all_and_wait(
            "standins.upstream", arguments
        )
        self._control_ports = [each["control_port"] for each in announcements.values()]

    def start_nodes(self, n_per_data_centre):
        """Start nodes and wait until each is ready and has settled."""
        self.plan_nodes(n_per_data_centre)
        self.add_nodes(len(self._planned_nodes))

    def plan_nodes(self, n_per_data_centre):
        """Assign names and addresses to all nodes that may be started."""
        planned = build_node_settings(
            self.declarations,
            n_per_data_centre,
            self.platform_address,
            self._directory,
            allocate_port,
        )
        self._planned_nodes = [replace(node, trace_path="") for node in planned]

    def add_nodes(self, n_nodes):
        """Start the next planned nodes and wait until they have settled."""
        added = self._planned_nodes[len(self.nodes) :][:n_nodes]
        for node in added:
            self.start_node(node)
        for node in added:
            self.wait_until_ready(node)
        self.nodes += added
        time.sleep(self._settle_s)

    def start_node(self, node):
        """Start one node."""
        path = self._directory / f"{node.name}.ini"
        path.write_text(node.format_ini(self._planned_nodes))
        self.processes.start(node.name, "heatherpick", "node", "--settings", path)

    def wait_until_ready(self, node):
        """Wait until a node accepts callers."""

        def is_ready():
            self.processes.check_running(node.name)
            return fetch_json(node.caller_address, "/-/ready")

        wait_until(is_ready, f"readiness of {node.name}", _READY_SECONDS)

    def start_baseline(self, name, n_processes):
        """Start the processes of ``naive`` or ``direct`` and return the `Baseline`."""
        addresses = []
        for number in range(n_processes):
            port = allocate_port()
            flags = ["--direct"] if name == "direct" else []
            self.processes.start(
                f"{name}-{number}",
                "bench.naive",
                "--port",
                port,
                *flags,
                self._declarations_path,
            )
            addresses.append(f"127.0.0.1:{port}")
        for address in addresses:
            wait_until(
                lambda address=address: fetch_json(address, "/-/ready") is not None,
                f"readiness of {name}",
            )
        return Baseline(name, tuple(addresses))

    @property
    def addresses(self):
        """Caller address of each node."""
        return tuple(node.caller_address for node in self.nodes)

    def read_upstream_states(self):
        """Return the state of every upstream by name."""
        state = {}
        for port in self._control_ports:
            state |= fetch_json(f"127.0.0.1:{port}", "/_control/state")
        return state

    def sum_upstream_counter(self, key):
        """Return the sum of a counter over the upstreams."""
        return sum(each[key] for each in self.read_upstream_states().values())

    def list_upstreams(self, data_centre):
        """Return the names of the upstreams of a data centre."""
        return [
            upstream.name
            for upstream in self.declarations.upstreams.values()
            if upstream.data_centre == data_centre
        ]

    def control_upstreams(self, action, names, **data):
        """Carry out a control action on the named upstreams."""
        for port in self._control_ports:
            local_states = fetch_json(f"127.0.0.1:{port}", "/_control/state")
            selected = sorted(set(names) & set(local_states))
            if selected:
                url = f"http://127.0.0.1:{port}/_control/{action}"
                self._send_json("POST", url, data | {"upstreams": selected})

    def control_platform(self, method, path, data=None):
        """Send a control request to the platform."""
        url = f"http://{self.platform_address}/_control/{path}"
        return self._send_json(method, url, data or {})

    def read_counter(self, node, name):
        """Return the sum of a node's counter over its labels."""
        url = f"http://{node.caller_address}/-/metrics"
        with urllib.request.urlopen(url, timeout=_FETCH_SECONDS) as response:
            lines = response.read().decode().splitlines()
        prefix = f"heatherpick_{name}_total"
        return sum(
            float(line.rpartition(" ")[2])
            for line in lines
            if line.partition(" ")[0].partition("{")[0] == prefix
        )

    def sum_node_counter(self, name):
        """Return the sum of a counter over the nodes."""
        return sum(self.read_counter(node, name) for node in self.nodes)

    @property
    def _declarations_path(self):
        return self._directory / "declarations.json"

    def _send_json(self, method, url, data, headers=None):
        request = urllib.request.Request(
            url,
            json.dumps(data).encode(),
            {"Content-Type": "application/json", **(headers or {})},
            method=method,
        )
        with urllib.request.urlopen(request, timeout=_FETCH_SECONDS) as response:
            return json.loads(response.read())


def _resolve_config(config, name):
    return {
        key: value(name) if callable(value) else value for key, value in config.items()
    }
