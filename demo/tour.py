"""One deployment from its declarations to its planned stop, shown step by step."""

import json
import subprocess
import sys
from dataclasses import dataclass

from demo.deployment import build_upstream_configs, list_nodes
from demo.processes import fetch_json, take_port, wait_until
from heatherpick.declarations import load_declarations

__all__ = ["CommandError", "Tour"]

_HOST = "127.0.0.1"
_COMMAND_SECONDS = 60.0
#: Lines of a command's output that are shown from its start and from its end.
_N_FIRST_LINES = 7
_N_LAST_LINES = 3
#: What of a node's status is shown.
_STATUS_KEYS = ("node", "data_centre", "stage", "documents", "searches")


class CommandError(Exception):
    """Raised when a command of the tour fails; the message says which and how."""


@dataclass(frozen=True, slots=True)
class Tour:
    """What is shown of one example.

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
    drained : str
        Name of the data centre that is taken out and brought back.
    n_per_data_centre : int
        Number of nodes in each data centre.
    """

    title: str
    path: str
    search: tuple[str, str]
    order: tuple[str, str, str]
    drained: str
    n_per_data_centre: int = 2

    def run(self, processes, directory):
        """Start everything, show every step and stop everything.

        Parameters
        ----------
        processes : demo.processes.Processes
            Where the processes are started.
        directory : pathlib.Path
            Directory for settings, logs and spans.

        Raises
        ------
        CommandError, demo.processes.StartError
            If a step fails.
        """
        print(f"\n=== {self.title} ===")
        run_command("check", self.path)
        site = _start_site(self, processes, directory)
        run_command(
            "publish", self.path, "--platform", site.platform, "--nodes", *site.callers
        )
        _wait_for_nodes(processes, site)
        self._show_search(site)
        self._show_order(site)
        self._show_drain(site)
        _show_status(site)
        _stop_site(processes, site)

    def _show_search(self, site):
        service, text = self.search
        print("\nA search, asked at a node of each data centre:")
        for address in {each.data_centre: each for each in site.nodes}.values():
            node = address.caller_address
            run_command("query", service, "--node", node, "--query", text)

    def _show_order(self, site):
        service, order, key = self.order
        print("\nAn order, sent twice with one key through different nodes:")
        for node in (site.callers[0], site.callers[-1]):
            run_command(
                "query", service, "--node", node, "--order", order, "--key", key
            )
        n_runs = sum(each["orders"].get(key, 0) for each in site.read_state().values())
        print(f"The upstreams ran the order {_count(n_runs, 'time')}.")
        _check(n_runs == 1, f"the order with key {key!r} ran {n_runs} times, not once")

    def _show_drain(self, site):
        platform = ("--platform", site.platform, "--nodes", *site.callers)
        service, text = self.search
        print(f"\nData centre {self.drained} leaves; a search goes on without it:")
        run_command("drain", "data-centre", self.drained, *platform)
        n_before = site.count_calls(self.drained)
        run_command("query", service, "--node", site.callers[0], "--query", text)
        n_calls = site.count_calls(self.drained) - n_before
        print(f"Calls to upstreams of {self.drained} meanwhile: {n_calls}.")
        _check(n_calls == 0, f"{self.drained} got work after it was drained")
        run_command("undrain", "data-centre", self.drained, *platform)


@dataclass(slots=True)
class _Site:
    """Addresses of what runs."""

    platform: str
    nodes: list
    controls: dict

    @property
    def callers(self):
        return [each.caller_address for each in self.nodes]

    def read_state(self, data_centre=None):
        """Return the state of all upstreams, or those of one data centre, by name."""
        state = {}
        for place, control in self.controls.items():
            if data_centre in (None, place):
                state |= fetch_json(control, "/_control/state")
        return state

    def count_calls(self, data_centre):
        """Return the calls that upstreams of a data centre have had so far."""
        state = self.read_state(data_centre)
        return sum(each["n_calls"] + each["n_shed"] for each in state.values())


def run_command(*arguments):
    """Run one command of heatherpick, showing it and what it prints.

    Raises
    ------
    CommandError
        If it does not exit with 0.
    """
    print(f"\n$ heatherpick {' '.join(map(_quote, arguments))}")
    command = [sys.executable, "-m", "heatherpick", *arguments]
    ended = subprocess.run(
        command,
        timeout=_COMMAND_SECONDS,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    print("\n".join(_shorten(ended.stdout.splitlines())), flush=True)
    if ended.returncode:
        raise CommandError(f"heatherpick {arguments[0]} exited {ended.returncode}")


def _shorten(lines):
    n_left_out = len(lines) - _N_FIRST_LINES - _N_LAST_LINES
    if n_left_out <= 0:
        return lines
    note = f"  ... {n_left_out} more lines ..."
    return [*lines[:_N_FIRST_LINES], note, *lines[-_N_LAST_LINES:]]


def _start_site(tour, processes, directory):
    declarations = load_declarations([tour.path])
    announced = processes.start_announced("platform", "standins.platform")
    platform = f"{_HOST}:{announced['port']}"
    nodes = list_nodes(
        declarations, tour.n_per_data_centre, platform, directory, take_port
    )
    controls = _start_upstreams(declarations, processes, directory)
    for node in nodes:
        settings = directory / f"{node.name}.ini"
        settings.write_text(node.format_ini(nodes))
        processes.start(node.name, "heatherpick", "node", "--settings", settings)
    for node in nodes:
        _wait_for_answer(processes, node, "/-/status")
    print(
        f"\nStarted: the platform, {len(declarations.upstreams)} upstreams and "
        f"{len(nodes)} nodes in {len(declarations.data_centres)} data centres."
    )
    return _Site(platform, nodes, controls)


def _start_upstreams(declarations, processes, directory):
    controls = {}
    for data_centre, text in build_upstream_configs(declarations).items():
        config = directory / f"upstreams-{data_centre}.json"
        config.write_text(text)
        name = f"upstreams-{data_centre}"
        announced = processes.start_announced(
            name, "standins.upstream", "--config", config
        )
        controls[data_centre] = f"{_HOST}:{announced['control_port']}"
    return controls


def _wait_for_nodes(processes, site):
    for node in site.nodes:
        _wait_for_answer(processes, node, "/-/ready")


def _wait_for_answer(processes, node, path):
    def answers():
        processes.check_running(node.name)
        return fetch_json(node.caller_address, path)

    wait_until(answers, f"answer of {node.name} to {path}")


def _show_status(site):
    status = fetch_json(site.callers[0], "/-/status")
    print(f"\nStatus of {site.nodes[0].name}:")
    print(json.dumps({key: status.get(key) for key in _STATUS_KEYS}, indent=2))


def _stop_site(processes, site):
    names = [each.name for each in site.nodes]
    codes = processes.stop(names)
    print(f"\nStopped the nodes by SIGTERM; exit codes: {sorted(codes.values())}.")
    _check(not any(codes.values()), f"nodes ended with exit codes {codes}")


def _check(holds, message):
    if not holds:
        raise CommandError(message)


def _count(n, word):
    return f"{n} {word}" if n == 1 else f"{n} {word}s"


def _quote(argument):
    return f"'{argument}'" if " " in argument or '"' in argument else argument
