"""What the bench says about its measurements."""

import pytest

from bench.load import UNANSWERED_MS, Answers
from bench.results import Bound, Result
from bench.shapes import Shape, build_declarations
from heatherpick.declarations import decode_declarations, encode_declarations


def make_record(outcome, latency_s):
    return {"outcome": outcome, "scheduled": 1.0, "ended": 1.0 + latency_s}


def test_request_without_answer_counts_as_slowest():
    quick_refusals = [make_record("not run", 0.001)] * 2
    answers = Answers([make_record("answered", 0.02)] * 98 + quick_refusals)
    assert answers.find_percentile(50) == pytest.approx(20, rel=0.01)
    assert answers.find_percentile(99) == pytest.approx(UNANSWERED_MS, rel=0.01)


def test_percentile_of_nothing_is_told_as_such():
    assert Answers().find_percentile(99) is None


@pytest.mark.parametrize(
    ("value", "holds"), [(0.019, True), (0.02, False), (None, False)]
)
def test_target_is_met_only_by_a_value_that_keeps_to_it(value, holds):
    assert Result("extra", value, "share", bound=Bound("<", 0.02)).holds is holds


def test_figure_without_target_neither_meets_nor_misses_one():
    assert Result("p50", 5.0, "ms").holds is None


def test_search_of_a_shape_touches_as_many_legs_as_upstreams():
    shape = Shape(n_upstreams=110, n_data_centres=4)
    declarations = decode_declarations(encode_declarations(build_declarations(shape)))
    assert declarations.snapshots["index"].n_shards == 110
    for replicas in declarations.snapshots["index"].replicas:
        places = {declarations.upstreams[name].data_centre for name in replicas}
        assert len(places) == 2
