"""A short soak test of real processes, and the seeds that once failed."""

import pytest

from tests.soak.runner import run_seed

#: Seeds that once had findings, each with what was found.
REGRESSION_SEEDS = {}
#: Seed of each run of the tests, fixed so that the result is reproducible.
SHORT_RUN_SEED = 1
SHORT_RUN_S = 6.0


@pytest.mark.parametrize("seed", [SHORT_RUN_SEED, *REGRESSION_SEEDS])
def test_invariants_hold_under_process_and_connection_faults(seed, tmp_path):
    report = run_seed(seed, SHORT_RUN_S, tmp_path)
    assert report.findings == ()
    assert sum(report.outcomes.values()) > 100
