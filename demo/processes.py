"""Starts the processes of a demonstration and stops them again."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

__all__ = ["Processes", "StartError", "allocate_port", "fetch_json", "wait_until"]

_HOST = "127.0.0.1"
_START_SECONDS = 30.0
_STOP_SECONDS = 15.0
_POLL_SECONDS = 0.05
_FETCH_SECONDS = 5.0
_LOG_TAIL_LINES = 20


class StartError(Exception):
    """Raised when a process ends early or a condition is not met in time.

    If a process has ended, the message holds the last lines of its output.
    """


#: Ports below the kernel's ephemeral range, so that no outgoing connection can take a
#: port between the check that it is free and its use. The offset by process id keeps
#: concurrent processes apart.
_PORTS = itertools.cycle(range(20_000, 30_000))
for _ in range(os.getpid() * 37 % 10_000):
    next(_PORTS)


def allocate_port(host=_HOST):
    """Return a TCP port that is free and that no outgoing connection will take.

    A process gets each port only once within thousands of calls.
    """
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


def fetch_json(
    address, path, content=None, method=None, headers=None, timeout_s=_FETCH_SECONDS
):
    """Return the JSON body of the response to a GET of ``path``, None on failure.

    With ``content``, the request is a POST of it as JSON; ``method`` overrides this.
    """
    headers = {"Content-Type": "application/json"} | (headers or {})
    data = None if content is None else json.dumps(content).encode()
    try:
        request = urllib.request.Request(
            f"http://{address}{path}", data, headers, method=method
        )
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return json.loads(response.read())
    except (urllib.error.URLError, OSError, ValueError):
        return None


def wait_until(condition, description, timeout_s=_START_SECONDS):
    """Wait until ``condition`` returns a true value, and return that value.

    Raises
    ------
    StartError
        If it returns none within ``timeout_s``; the message names ``description``.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(_POLL_SECONDS)
    raise StartError(f"{description}: not within {timeout_s:g} s")


class Processes:
    """Context manager that stops its processes together.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the output of the processes, one file each.
    """

    def __init__(self, directory):
        self._directory = directory
        self._running = {}

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop(list(self._running))

    def start(self, name, module, *arguments):
        """Start ``python -m module arguments`` under the given name."""
        command = [sys.executable, "-m", module, *map(str, arguments)]
        with open(self._output_path(name), "wb") as output:
            self._running[name] = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT
            )

    def start_and_wait(self, name, module, *arguments):
        """Start a process and return the JSON line that it prints when ready.

        Raises
        ------
        StartError
            If it exits or prints no line in time.
        """
        self.start(name, module, *arguments)
        return wait_until(lambda: self._read_announcement(name), f"start of {name}")

    def check_running(self, name):
        """Raise `StartError` if a process has exited."""
        if self._running[name].poll() is not None:
            lines = self._output_path(name).read_text().splitlines()
            tail = "\n".join(lines[-_LOG_TAIL_LINES:])
            raise StartError(f"{name} has ended:\n{tail}")

    def send_signal(self, name, signal_number):
        """Send the signal ``signal_number`` to a process."""
        _send_signal(self._running[name], signal_number)

    def kill(self, name):
        """Kill a process by SIGKILL and wait until it has exited."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def wait_for_exit(self, name, timeout_s=_START_SECONDS):
        """Wait until a process exits by itself, and return its output.

        Raises
        ------
        StartError
            If it does not exit within ``timeout_s``.
        """
        process = self._running[name]
        wait_until(lambda: process.poll() is not None, f"end of {name}", timeout_s)
        del self._running[name]
        return self._output_path(name).read_text()

    def stop(self, names):
        """Stop processes by SIGTERM, wait, and return their exit codes by name.

        A process that is still running after the wait is killed; its exit code
        is then negative.
        """
        stopping = {name: self._running.pop(name) for name in names}
        for process in stopping.values():
            _send_signal(process, signal.SIGTERM)
        deadline = time.monotonic() + _STOP_SECONDS
        return {
            name: _wait_for_exit(process, deadline)
            for name, process in stopping.items()
        }

    def _output_path(self, name):
        return self._directory / f"{name}.output"

    def _read_announcement(self, name):
        self.check_running(name)
        line = self._output_path(name).read_bytes().partition(b"\n")[0]
        try:
            return json.loads(line)
        except ValueError:
            # The line is incomplete, or the process is about to exit.
            return None


def _send_signal(process, signal_number):
    if process.poll() is None:
        os.kill(process.pid, signal_number)


def _wait_for_exit(process, deadline):
    try:
        return process.wait(max(0.0, deadline - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
