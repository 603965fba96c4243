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

__all__ = ["Processes", "StartError", "fetch_json", "take_port", "wait_until"]

_HOST = "127.0.0.1"
_START_SECONDS = 30.0
_STOP_SECONDS = 15.0
_POLL_SECONDS = 0.05
_FETCH_SECONDS = 5.0
_LOG_TAIL_LINES = 20


class StartError(Exception):
    """Raised when a process does not come up; the message holds its last words."""


#: Ports below those that the kernel gives to connections, one of which could otherwise
#: take a port between the look at it and its use.
_PORTS = itertools.cycle(range(20_000, 30_000))
for _ in range(os.getpid() * 37 % 10_000):
    next(_PORTS)


def take_port(host=_HOST):
    """Return a TCP port that is free at the moment and stays so until it is used.

    No two calls of a process return the same one, for thousands of calls.
    """
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


def fetch_json(
    address, path, content=None, method=None, headers=None, seconds=_FETCH_SECONDS
):
    """Return the JSON answer to a GET of ``path``, None if there is none.

    With ``content``, an object, it is a POST of that as JSON; ``method`` overrules.
    """
    headers = {"Content-Type": "application/json"} | (headers or {})
    data = None if content is None else json.dumps(content).encode()
    try:
        request = urllib.request.Request(
            f"http://{address}{path}", data, headers, method=method
        )
        with urllib.request.urlopen(request, timeout=seconds) as answer:
            return json.loads(answer.read())
    except (urllib.error.URLError, OSError, ValueError):
        return None


def wait_until(holds, what, seconds=_START_SECONDS):
    """Wait until ``holds`` returns something true, and return that.

    Raises
    ------
    StartError
        If it does not within ``seconds``; the message names ``what``.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = holds()
        if result:
            return result
        time.sleep(_POLL_SECONDS)
    raise StartError(f"{what}: not within {seconds:g} s")


class Processes:
    """Processes that are stopped together; use it as a context manager.

    Parameters
    ----------
    directory : pathlib.Path
        Where the processes' output goes, one file each.
    """

    def __init__(self, directory):
        self._directory = directory
        self._running = {}

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop(list(self._running))

    def start(self, name, module, *arguments):
        """Start ``python -m module arguments``, known as ``name`` from then on."""
        command = [sys.executable, "-m", module, *map(str, arguments)]
        with open(self._find_output(name), "wb") as output:
            self._running[name] = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT
            )

    def start_announced(self, name, module, *arguments):
        """Start a process and return the JSON line that it prints when it is up.

        Raises
        ------
        StartError
            If it ends or prints none in time.
        """
        self.start(name, module, *arguments)
        return wait_until(lambda: self._read_announcement(name), f"start of {name}")

    def check_running(self, name):
        """Raise `StartError` if a process has ended."""
        if self._running[name].poll() is not None:
            lines = self._find_output(name).read_text().splitlines()
            tail = "\n".join(lines[-_LOG_TAIL_LINES:])
            raise StartError(f"{name} has ended:\n{tail}")

    def send_signal(self, name, number):
        """Send the signal ``number`` to a process."""
        _send_signal(self._running[name], number)

    def kill(self, name):
        """End a process by SIGKILL and wait until it is gone."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def wait_for(self, name, seconds=_START_SECONDS):
        """Wait until a process ends by itself, and return what it printed.

        Raises
        ------
        StartError
            If it does not end within ``seconds``.
        """
        process = self._running[name]
        wait_until(lambda: process.poll() is not None, f"end of {name}", seconds)
        del self._running[name]
        return self._find_output(name).read_text()

    def stop(self, names):
        """Ask processes to end by SIGTERM, wait, and return their exit codes.

        A process that is still there after the wait is killed; its exit code is
        then negative.
        """
        stopping = {name: self._running.pop(name) for name in names}
        for process in stopping.values():
            _send_signal(process, signal.SIGTERM)
        deadline = time.monotonic() + _STOP_SECONDS
        return {
            name: _await_end(process, deadline) for name, process in stopping.items()
        }

    def _find_output(self, name):
        return self._directory / f"{name}.output"

    def _read_announcement(self, name):
        self.check_running(name)
        line = self._find_output(name).read_bytes().partition(b"\n")[0]
        try:
            return json.loads(line)
        except ValueError:
            # The line is not whole yet, or the process is about to end.
            return None


def _send_signal(process, number):
    if process.poll() is None:
        os.kill(process.pid, number)


def _await_end(process, deadline):
    try:
        return process.wait(max(0.0, deadline - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
