"""Stand-ins and nodes of one experiment, on loopback."""

import json
import time
import urllib.request
from dataclasses import dataclass, replace

from bench.shapes import build_declarations
from demo.deployment import build_upstream_configs, list_nodes
from demo.processes import fetch_json, take_port, wait_until
from heatherpick.declarations import (
    DECLARATIONS_OBJECT,
    DRAINS_OBJECT,
    encode_declarations,
    encode_drains,
)

__all__ = ["SETTLE_SECONDS", "Baseline", "Fleet"]

_FETCH_SECONDS = 5.0
_READY_SECONDS = 60.0
#: Time after readiness in which heartbeats and connections settle.
SETTLE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Baseline:
    """Processes of a baseline.

    Parameters
    ----------
    name : str
        ``naive`` or ``direct``.
    addresses : tuple of str
        Where they take callers.
    """

    name: str
    addresses: tuple[str, ...]


class Fleet:
    """A platform, upstreams and nodes that run until the processes are stopped.

    Parameters
    ----------
    processes : MeasuredProcesses
        Starts and ends them.
    directory : pathlib.Path
        Where settings, bodies and logs go.
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
        self._listed = []
        self._directory = directory
        self._settle_s = settle_s
        self._control_ports = []

    def start_platform(self):
        """Start the platform with the declarations published and nothing drained."""
        told = self.processes.start_announced("platform", "standins.platform")
        self.platform_address = f"127.0.0.1:{told['port']}"
        self.publish(self.declarations)
        self.write_object(
            DRAINS_OBJECT, 0, '{"format":1,"data_centres":[],"upstreams":[]}'
        )

    def publish(self, declarations):
        """Write a `DeclarationSet` over the one published before."""
        body = encode_declarations(declarations)
        self._body_path.write_text(body)
        self.write_object(DECLARATIONS_OBJECT, self._version, body)
        self._version += 1
        self.declarations = declarations

    def drain(self, drains, version):
        """Write `Drains` over those of ``version``."""
        self.write_object(DRAINS_OBJECT, version, encode_drains(drains))

    def write_object(self, name, version, body):
        """Write an object of the platform as an operator's program would."""
        self._exchange(
            "PUT",
            f"http://{self.platform_address}/v1/objects/{name}",
            {"body": body},
            {"If-Match": str(version)},
        )

    def start_upstreams(self, n_processes=1, **config):
        """Start the upstreams, some processes for each data centre.

        Parameters
        ----------
        n_processes : int, default=1
            Processes of each data centre. One process answers one call at a time,
            so too few of them would be measured in place of the nodes.
        **config : object
            Keys of `standins.upstream_config.UpstreamConfig` for all upstreams; a
            callable is asked for the value with the upstream's name.
        """
        arguments = {}
        for data_centre, text in build_upstream_configs(self.declarations).items():
            data = json.loads(text)
            for upstream in data["upstreams"]:
                upstream.update(_resolve(config, upstream["name"]))
            for number in range(n_processes):
                part = data | {"upstreams": data["upstreams"][number::n_processes]}
                name = f"upstreams-{data_centre}-{number}"
                path = self._directory / f"{name}.json"
                path.write_text(json.dumps(part))
                arguments[name] = ["--config", path]
        told = self.processes.start_together("standins.upstream", arguments)
        self._control_ports = [each["control_port"] for each in told.values()]

    def start_nodes(self, n_per_data_centre):
        """Start nodes and wait until each is ready and has settled."""
        self.list_nodes(n_per_data_centre)
        self.add_nodes(len(self._listed))

    def list_nodes(self, n_per_data_centre):
        """Settle names and addresses of all nodes that may be started."""
        listed = list_nodes(
            self.declarations,
            n_per_data_centre,
            self.platform_address,
            self._directory,
            take_port,
        )
        self._listed = [replace(node, trace_path="") for node in listed]

    def add_nodes(self, n_nodes):
        """Start the next of the listed nodes and wait until they have settled."""
        added = self._listed[len(self.nodes) :][:n_nodes]
        for node in added:
            self.start_node(node)
        for node in added:
            self.wait_ready(node)
        self.nodes += added
        time.sleep(self._settle_s)

    def start_node(self, node):
        """Start one node."""
        path = self._directory / f"{node.name}.ini"
        path.write_text(node.format_ini(self._listed))
        self.processes.start(node.name, "heatherpick", "node", "--settings", path)

    def wait_ready(self, node):
        """Wait until a node takes callers."""

        def is_ready():
            self.processes.check_running(node.name)
            return fetch_json(node.caller_address, "/-/ready")

        wait_until(is_ready, f"readiness of {node.name}", _READY_SECONDS)

    def start_baseline(self, name, n_processes):
        """Start the processes of ``naive`` or ``direct`` and return the `Baseline`."""
        addresses = []
        for number in range(n_processes):
            port = take_port()
            switches = ["--direct"] if name == "direct" else []
            self.processes.start(
                f"{name}-{number}",
                "bench.naive",
                "--port",
                port,
                *switches,
                self._body_path,
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
        """Where the nodes take callers."""
        return tuple(node.caller_address for node in self.nodes)

    def read_upstreams(self):
        """Return the state of every upstream by name."""
        state = {}
        for port in self._control_ports:
            state |= fetch_json(f"127.0.0.1:{port}", "/_control/state")
        return state

    def count_at_upstreams(self, key):
        """Return the sum of a counter over the upstreams."""
        return sum(each[key] for each in self.read_upstreams().values())

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
            here = fetch_json(f"127.0.0.1:{port}", "/_control/state")
            concerned = sorted(set(names) & set(here))
            if concerned:
                url = f"http://127.0.0.1:{port}/_control/{action}"
                self._exchange("POST", url, data | {"upstreams": concerned})

    def control_platform(self, method, path, data=None):
        """Send a control request to the platform."""
        url = f"http://{self.platform_address}/_control/{path}"
        return self._exchange(method, url, data or {})

    def read_counter(self, node, name):
        """Return the sum of a node's counter over its labels."""
        url = f"http://{node.caller_address}/-/metrics"
        with urllib.request.urlopen(url, timeout=_FETCH_SECONDS) as answer:
            lines = answer.read().decode().splitlines()
        prefix = f"heatherpick_{name}_total"
        return sum(
            float(line.rpartition(" ")[2])
            for line in lines
            if line.partition(" ")[0].partition("{")[0] == prefix
        )

    def count_at_nodes(self, name):
        """Return the sum of a counter over the nodes."""
        return sum(self.read_counter(node, name) for node in self.nodes)

    @property
    def _body_path(self):
        return self._directory / "declarations.json"

    def _exchange(self, method, url, data, headers=None):
        request = urllib.request.Request(
            url,
            json.dumps(data).encode(),
            {"Content-Type": "application/json", **(headers or {})},
            method=method,
        )
        with urllib.request.urlopen(request, timeout=_FETCH_SECONDS) as answer:
            return json.loads(answer.read())


def _resolve(config, name):
    return {
        key: value(name) if callable(value) else value for key, value in config.items()
    }
