"""Processes of an experiment, with their processor time and memory."""

import os
from pathlib import Path

from demo.processes import Processes, wait_until

__all__ = ["MeasuredProcesses"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
#: Indices of the fields of /proc/<pid>/stat after the command's closing bracket.
_UTIME, _STIME, _RSS = 11, 12, 21


class MeasuredProcesses(Processes):
    """`Processes` that report processor time and memory of each process."""

    def start_all_and_wait(self, module, arguments):
        """Start several processes and return the JSON line that each prints when ready.

        Parameters
        ----------
        module : str
            Module that all of them run.
        arguments : dict of str to list
            Command line of each process by its name.

        Returns
        -------
        dict of str to dict
            Announcement of each process by its name.
        """
        for name, each in arguments.items():
            self.start(name, module, *each)
        return {
            name: wait_until(
                lambda name=name: self._read_announcement(name), f"start of {name}"
            )
            for name in arguments
        }

    def read_cpu(self, name):
        """Return the processor time of a process, in seconds."""
        values = self._read_stat(name)
        return (int(values[_UTIME]) + int(values[_STIME])) / _TICKS_PER_S

    def read_memory(self, name):
        """Return the resident memory of a process, in bytes."""
        return int(self._read_stat(name)[_RSS]) * _PAGE_BYTES

    def find_pid(self, name):
        """Return the id of a process."""
        return self._running[name].pid

    def kill(self, name):
        """Kill a process, as the loss of its VM would."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def _read_stat(self, name):
        text = Path(f"/proc/{self.find_pid(name)}/stat").read_text()
        return text.rpartition(")")[2].split()
