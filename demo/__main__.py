"""Demonstrates both examples on this machine: ``python -m demo``."""

import sys
import tempfile
from pathlib import Path

from demo.processes import Processes, StartError
from demo.tour import CommandError, Tour

__all__ = ["main"]

TOURS = (
    Tour(
        title="Kuusiketju: audit search",
        path="examples/kuusiketju",
        search=("lookup", "sawmill batch 4711"),
        order=(
            "corrective-action",
            '{"site": "joinery 12", "action": "relabel batch 4711"}',
            "action-2026-0001",
        ),
        drained_data_centre="fi-south-2",
    ),
    Tour(
        title="Agrotrofis: produce and orders of school kitchens",
        path="examples/agrotrofi",
        search=("search", "spinach"),
        order=(
            "confirm-order",
            '{"school": "larissa-3", "fruit_kg": 40}',
            "week-49-larissa-3",
        ),
        drained_data_centre="attiki-1",
    ),
)


def main():
    """Run every tour and return the exit code, 0 if all steps succeeded."""
    with tempfile.TemporaryDirectory(prefix="heatherpick-demo-") as base:
        for tour in TOURS:
            directory = Path(base) / Path(tour.path).name
            directory.mkdir()
            try:
                with Processes(directory) as processes:
                    tour.run(processes, directory)
            except (CommandError, StartError) as error:
                print(f"The demonstration failed: {error}", file=sys.stderr)
                return 1
    print("\nBoth tours are done; everything that they started has ended.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
