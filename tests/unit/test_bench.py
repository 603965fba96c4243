"""Figures that the bench derives from its measurements."""

import pytest

from bench.load import UNANSWERED_MS, RequestRecords
from bench.results import Bound, Result
from bench.shapes import Shape, build_declarations
from heatherpick.declarations import decode_declarations, encode_declarations


def make_record(outcome, latency_s):
    return {"outcome": outcome, "scheduled": 1.0, "ended": 1.0 + latency_s}


def test_request_without_answer_counts_as_slowest():
    quick_refusals = [make_record("not run", 0.001)] * 2
    requests = RequestRecords([make_record("answered", 0.02)] * 98 + quick_refusals)
    assert requests.find_percentile(50) == pytest.approx(20, rel=0.01)
    assert requests.find_percentile(99) == pytest.approx(UNANSWERED_MS, rel=0.01)


def test_percentile_without_records_is_none():
    assert RequestRecords().find_percentile(99) is None


@pytest.mark.parametrize(
    ("value", "holds"), [(0.019, True), (0.02, False), (None, False)]
)
def test_target_is_met_only_by_a_value_within_the_bound(value, holds):
    assert Result("extra", value, "share", bound=Bound("<", 0.02)).holds is holds


def test_figure_without_target_has_no_verdict():
    assert Result("p50", 5.0, "ms").holds is None


def test_search_has_as_many_shards_as_upstreams_in_different_data_centres():
    shape = Shape(n_upstreams=110, n_data_centres=4)
    declarations = decode_declarations(encode_declarations(build_declarations(shape)))
    assert declarations.snapshots["index"].n_shards == 110
    for replicas in declarations.snapshots["index"].replicas:
        data_centres = {declarations.upstreams[name].data_centre for name in replicas}
        assert len(data_centres) == 2
