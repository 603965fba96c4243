"""TCP bytes that processes have sent and received, as counted by the kernel."""

import re
import shutil
import subprocess
from collections import Counter

__all__ = ["read_traffic"]

_COMMAND = ("ss", "-Htinp", "state", "established")
_PID = re.compile(r"pid=(\d+)")
_BYTES = re.compile(r"\bbytes_(?:sent|received):(\d+)")
_TIMEOUT_S = 10.0


def read_traffic():
    """Return the bytes sent and received on established connections by process id.

    Returns
    -------
    collections.Counter or None
        None if ``ss`` is not installed.
    """
    if shutil.which(_COMMAND[0]) is None:
        return None
    completed = subprocess.run(
        _COMMAND, capture_output=True, text=True, timeout=_TIMEOUT_S
    )
    return _sum_by_pid(completed.stdout)


def _sum_by_pid(text):
    r"""Return sums by process id from pairs of lines: a connection and its counts.

    Examples
    --------
    >>> _sum_by_pid('0 0 a:1 b:2 users:(("x",pid=7,fd=3))\n\t bytes_sent:5\n')
    Counter({7: 5})
    """
    sums = Counter()
    pids = []
    for line in text.splitlines():
        if line[:1].isspace():
            n_bytes = sum(map(int, _BYTES.findall(line)))
            sums.update(dict.fromkeys(pids, n_bytes))
        else:
            pids = [int(pid) for pid in _PID.findall(line)]
    return sums
