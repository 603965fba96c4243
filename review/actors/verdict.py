"""Runs a case and turns its result into an exit code."""

import asyncio
import os
import sys
import traceback
from pathlib import Path

from actors.fleet import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def run_case(path, play):
    """Play a case and exit with its verdict.

    Parameters
    ----------
    path : str
        Path of the case's program; the record is written beside it.
    play : callable
        ``play(record, has_trouble)`` is a coroutine function that returns the number of
        times that the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(path).resolve().parent / "record.txt")
    try:
        n_broken = asyncio.run(play(record, has_trouble))
    except Exception:
        traceback.print_exc()
        record.write("could not run", error=traceback.format_exc())
        record.close()
        sys.exit(COULD_NOT_RUN)
    record.write("verdict", broken=n_broken, trouble=has_trouble)
    record.close()
    print(f"broken {n_broken} times" if n_broken else "the rule held")
    sys.exit(BROKEN if n_broken else HELD)
