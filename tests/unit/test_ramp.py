"""How the allowed concurrency of an upstream follows its answers."""

import pytest

from heatherpick._core.ramp import IDLE_S, MAX_FAILURES, Ramp
from heatherpick.declarations import Limit

LIMIT = Limit("limit", 4, 1, 60, 6.0, 8)


def add_answers(ramp, now, n_answers=1, instance="one", elapsed_ms=10.0, n_legs=1):
    for _ in range(n_answers):
        now += 0.02
        ramp.handle_answer(instance, now - 0.01, elapsed_ms, n_legs, now)
    return now


def build_ready_ramp(now=0.0):
    ramp = Ramp.from_limit(LIMIT, now)
    return ramp, add_answers(ramp, now, 200)


def test_cold_upstream_rises_step_by_step_to_its_limit():
    ramp = Ramp.from_limit(LIMIT, 0.0)
    now = 0.0
    levels = [(ramp.condition, ramp.count_slots(now), ramp.n_legs_per_call)]
    while ramp.condition != "ready":
        now = add_answers(ramp, now)
        level = (ramp.condition, ramp.count_slots(now), ramp.n_legs_per_call)
        if level != levels[-1]:
            levels.append(level)
    assert levels == [
        ("cold", 1, 1),
        ("ramping", 2, 2),
        ("ramping", 3, 4),
        ("ready", 4, 8),
    ]


def test_many_answers_at_once_raise_the_limit_by_one_step_only():
    ramp = Ramp.from_limit(LIMIT, 0.0)
    for _ in range(500):
        ramp.handle_answer("one", 0.9, 10.0, 1, 1.0)
    assert ramp.count_slots(1.0) == 2


@pytest.mark.parametrize("n_sheds", [1, 2, 3, 4])
def test_shed_call_halves_the_limit_but_leaves_one_slot(n_sheds):
    ramp, now = build_ready_ramp()
    for _ in range(n_sheds):
        ramp.handle_shed(now)
    assert ramp.count_slots(now) == max(4 >> n_sheds, 1)
    assert ramp.n_legs_per_call == max(8 >> n_sheds, 1)


@pytest.mark.parametrize("sign", ["restart", "failures", "slow", "silence", "limit"])
def test_sign_of_a_restart_returns_to_the_cold_limit(sign):
    ramp, now = build_ready_ramp()
    if sign == "restart":
        now = add_answers(ramp, now, instance="two")
    if sign == "failures":
        for _ in range(MAX_FAILURES):
            ramp.handle_failure(False, now)
    if sign == "slow":
        now = add_answers(ramp, now, 3, elapsed_ms=100.0)
    if sign == "silence":
        now += IDLE_S + 1
    if sign == "limit":
        ramp.set_limit(Limit("limit", 6, 1, 60, 6.0, 8))
    assert (ramp.count_slots(now), ramp.condition, ramp.n_legs_per_call) == (
        1,
        "cold",
        1,
    )


def test_insufficient_signs_of_a_restart_leave_the_slots():
    ramp, now = build_ready_ramp()
    # One straggler, large calls that take longer for their size, and two failures.
    now = add_answers(ramp, now, elapsed_ms=400.0)
    now = add_answers(ramp, now)
    now = add_answers(ramp, now, 3, elapsed_ms=400.0, n_legs=8)
    ramp.handle_failure(False, now)
    ramp.handle_failure(False, now)
    assert ramp.count_slots(now) == 4


def test_answer_to_a_call_from_before_the_restart_is_no_second_restart():
    ramp, now = build_ready_ramp()
    now = add_answers(ramp, now, instance="two")
    sent_at = now - 1.0
    now = add_answers(ramp, now, 30, instance="two")
    n_slots = ramp.count_slots(now)
    ramp.handle_answer("one", sent_at, 10.0, 1, now)
    assert ramp.count_slots(now) == n_slots > 1


def test_unresponsive_upstream_is_tried_by_one_call_after_growing_delays():
    ramp = Ramp.from_limit(LIMIT, 0.0)
    for _ in range(MAX_FAILURES):
        ramp.handle_failure(False, 0.0)
    assert (ramp.condition, ramp.count_slots(0.05)) == ("backing off", 0)
    assert ramp.count_slots(0.11) == 1
    ramp.handle_failure(False, 0.11)
    assert (ramp.count_slots(0.3), ramp.count_slots(0.32)) == (0, 1)
    add_answers(ramp, 0.32)
    assert ramp.condition == "cold"


def test_upstream_that_reports_its_failures_stays_cold_with_one_slot():
    ramp = Ramp.from_limit(LIMIT, 0.0)
    for _ in range(20):
        ramp.handle_failure(True, 0.0)
    assert (ramp.condition, ramp.count_slots(0.0)) == ("cold", 1)
