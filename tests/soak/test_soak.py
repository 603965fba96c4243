"""A short soak of real processes, and the seeds that ever failed."""

import pytest

from tests.soak.play import play

#: Seeds that found something once: seed, and what it was.
FAILED_ONCE = {}
#: One seed for each run of the tests, fixed so that the verdict is too.
SHORT_SEED = 1
SHORT_S = 6.0


@pytest.mark.parametrize("seed", [SHORT_SEED, *FAILED_ONCE])
def test_promises_hold_while_processes_and_connections_are_harmed(seed, tmp_path):
    report = play(seed, SHORT_S, tmp_path)
    assert report.findings == ()
    assert sum(report.outcomes.values()) > 100
