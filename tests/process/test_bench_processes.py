"""The bench stops the processes that it starts."""

import os

import pytest

from bench.processes import MeasuredProcesses


def list_pids(processes):
    return [processes.find_pid(name) for name in ("first", "second")]


def test_every_process_is_stopped_after_a_failure(tmp_path):
    with pytest.raises(KeyboardInterrupt):
        with MeasuredProcesses(tmp_path) as processes:
            announcements = processes.start_all_and_wait(
                "standins.platform", {"first": [], "second": []}
            )
            pids = list_pids(processes)
            assert len({each["port"] for each in announcements.values()}) == 2
            assert processes.read_memory("first") > 0
            raise KeyboardInterrupt
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
