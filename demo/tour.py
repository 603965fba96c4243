"""Demonstration of one deployment, from its declarations to its planned stop."""

import json
import subprocess
import sys
from dataclasses import dataclass

from demo.deployment import build_node_settings, build_upstream_configs
from demo.processes import allocate_port, fetch_json, wait_until
from heatherpick.declarations import load_declarations

__all__ = ["CommandError", "Tour"]

_HOST = "127.0.0.1"
_COMMAND_SECONDS = 60.0
#: Numbers of lines shown from the start and the end of a command's output.
_N_FIRST_LINES = 7
_N_LAST_LINES = 3
#: Keys of a node's status that are shown.
_STATUS_KEYS = ("node", "data_centre", "stage", "documents", "searches")


class CommandError(Exception):
    """Raised when a command of the tour fails; the message says which and how."""


@dataclass(frozen=True, slots=True)
class Tour:
    """Demonstration of one example.

    Parameters
    ----------
    title : str
        Headline.
    path : str
        Directory of the declarations.
    search : tuple of str
        Service and text of the search.
    order : tuple of str
        Service, order as JSON text and idempotency key.
    drained_data_centre : str
        Name of the data centre that is drained and undrained.
    n_per_data_centre : int
        Number of nodes in each data centre.
    """

    title: str
    path: str
    search: tuple[str, str]
    order: tuple[str, str, str]
    drained_data_centre: str
    n_per_data_centre: int = 2

    def run(self, processes, directory):
        """Start everything, show every step and stop everything.

        Parameters
        ----------
        processes : demo.processes.Processes
            Starts and stops the processes.
        directory : pathlib.Path
            Directory for settings, logs and spans.

        Raises
        ------
        CommandError, demo.processes.StartError
            If a step fails.
        """
        print(f"\n=== {self.title} ===")
        run_command("check", self.path)
        deployment = _start_deployment(self, processes, directory)
        run_command(
            "publish",
            self.path,
            "--platform",
            deployment.platform,
            "--nodes",
            *deployment.caller_addresses,
        )
        _wait_for_nodes(processes, deployment)
        self._show_search(deployment)
        self._show_order(deployment)
        self._show_drain(deployment)
        _show_status(deployment)
        _stop_deployment(processes, deployment)

    def _show_search(self, deployment):
        service, text = self.search
        print("\nA search, asked at a node of each data centre:")
        for node in {each.data_centre: each for each in deployment.nodes}.values():
            address = node.caller_address
            run_command("query", service, "--node", address, "--query", text)

    def _show_order(self, deployment):
        service, order, key = self.order
        print("\nAn order, sent twice with one key through different nodes:")
        for address in (
            deployment.caller_addresses[0],
            deployment.caller_addresses[-1],
        ):
            run_command(
                "query", service, "--node", address, "--order", order, "--key", key
            )
        n_runs = sum(
            each["orders"].get(key, 0)
            for each in deployment.read_upstream_states().values()
        )
        print(f"The upstreams ran the order {_format_count(n_runs, 'time')}.")
        _require(
            n_runs == 1, f"the order with key {key!r} ran {n_runs} times, not once"
        )

    def _show_drain(self, deployment):
        platform = (
            "--platform",
            deployment.platform,
            "--nodes",
            *deployment.caller_addresses,
        )
        service, text = self.search
        print(
            f"\nData centre {self.drained_data_centre} leaves; "
            "a search goes on without it:"
        )
        run_command("drain", "data-centre", self.drained_data_centre, *platform)
        n_before = deployment.count_calls(self.drained_data_centre)
        run_command(
            "query", service, "--node", deployment.caller_addresses[0], "--query", text
        )
        n_calls = deployment.count_calls(self.drained_data_centre) - n_before
        print(f"Calls to upstreams of {self.drained_data_centre} meanwhile: {n_calls}.")
        _require(
            n_calls == 0, f"{self.drained_data_centre} got work after it was drained"
        )
        run_command("undrain", "data-centre", self.drained_data_centre, *platform)


@dataclass(slots=True)
class _Deployment:
    """Addresses of the running processes.

    Parameters
    ----------
    platform : str
        ``ip:port`` of the platform.
    nodes : list of demo.deployment.NodeSettings
        Settings of the nodes.
    control_addresses : dict of str to str
        Control address of the upstreams' process by data centre.
    """

    platform: str
    nodes: list
    control_addresses: dict

    @property
    def caller_addresses(self):
        return [each.caller_address for each in self.nodes]

    def read_upstream_states(self, data_centre=None):
        """Return the state of all upstreams, or those of one data centre, by name."""
        state = {}
        for upstream_data_centre, address in self.control_addresses.items():
            if data_centre in (None, upstream_data_centre):
                state |= fetch_json(address, "/_control/state")
        return state

    def count_calls(self, data_centre):
        """Return the number of calls to a data centre, shed ones included."""
        state = self.read_upstream_states(data_centre)
        return sum(each["n_calls"] + each["n_shed"] for each in state.values())


def run_command(*arguments):
    """Run one heatherpick command; print the command and its output.

    Raises
    ------
    CommandError
        If the exit code is not 0.
    """
    print(f"\n$ heatherpick {' '.join(map(_quote, arguments))}")
    command = [sys.executable, "-m", "heatherpick", *arguments]
    completed = subprocess.run(
        command,
        timeout=_COMMAND_SECONDS,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    print("\n".join(_shorten(completed.stdout.splitlines())), flush=True)
    if completed.returncode:
        raise CommandError(f"heatherpick {arguments[0]} exited {completed.returncode}")


def _shorten(lines):
    n_left_out = len(lines) - _N_FIRST_LINES - _N_LAST_LINES
    if n_left_out <= 0:
        return lines
    note = f"  ... {n_left_out} more lines ..."
    return [*lines[:_N_FIRST_LINES], note, *lines[-_N_LAST_LINES:]]


def _start_deployment(tour, processes, directory):
    declarations = load_declarations([tour.path])
    announcement = processes.start_and_wait("platform", "standins.platform")
    platform = f"{_HOST}:{announcement['port']}"
    nodes = build_node_settings(
        declarations, tour.n_per_data_centre, platform, directory, allocate_port
    )
    control_addresses = _start_upstreams(declarations, processes, directory)
    for node in nodes:
        settings = directory / f"{node.name}.ini"
        settings.write_text(node.format_ini(nodes))
        processes.start(node.name, "heatherpick", "node", "--settings", settings)
    for node in nodes:
        _wait_for_response(processes, node, "/-/status")
    print(
        f"\nStarted: the platform, {len(declarations.upstreams)} upstreams and "
        f"{len(nodes)} nodes in {len(declarations.data_centres)} data centres."
    )
    return _Deployment(platform, nodes, control_addresses)


def _start_upstreams(declarations, processes, directory):
    control_addresses = {}
    for data_centre, text in build_upstream_configs(declarations).items():
        config = directory / f"upstreams-{data_centre}.json"
        config.write_text(text)
        name = f"upstreams-{data_centre}"
        announcement = processes.start_and_wait(
            name, "standins.upstream", "--config", config
        )
        control_addresses[data_centre] = f"{_HOST}:{announcement['control_port']}"
    return control_addresses


def _wait_for_nodes(processes, deployment):
    for node in deployment.nodes:
        _wait_for_response(processes, node, "/-/ready")


def _wait_for_response(processes, node, path):
    def get_response():
        processes.check_running(node.name)
        return fetch_json(node.caller_address, path)

    wait_until(get_response, f"answer of {node.name} to {path}")


def _show_status(deployment):
    status = fetch_json(deployment.caller_addresses[0], "/-/status")
    print(f"\nStatus of {deployment.nodes[0].name}:")
    print(json.dumps({key: status.get(key) for key in _STATUS_KEYS}, indent=2))


def _stop_deployment(processes, deployment):
    names = [each.name for each in deployment.nodes]
    codes = processes.stop(names)
    print(f"\nStopped the nodes by SIGTERM; exit codes: {sorted(codes.values())}.")
    _require(not any(codes.values()), f"nodes ended with exit codes {codes}")


def _require(condition, message):
    if not condition:
        raise CommandError(message)


def _format_count(n, noun):
    return f"{n} {noun}" if n == 1 else f"{n} {noun}s"


def _quote(argument):
    return f"'{argument}'" if " " in argument or '"' in argument else argument
