from heatherpick._core.latency import N_FIRST_SAMPLES, LatencyEstimate


def build_estimate(*values_ms):
    estimate = LatencyEstimate()
    for value_ms in values_ms:
        estimate.add(value_ms)
    return estimate


def test_slow_first_call_does_not_dominate_the_estimate():
    estimate = build_estimate(190.0, *[10.0] * 12)
    assert estimate.median_ms < 12.0
    assert estimate.mean_ms < 12.0


def test_one_straggler_moves_the_mean_little():
    estimate = build_estimate(*[10.0] * 50, 500.0)
    assert estimate.mean_ms < 14.0


def test_estimate_is_trusted_only_after_its_first_samples():
    assert not build_estimate(*[10.0] * (N_FIRST_SAMPLES - 1)).is_trusted
    assert build_estimate(*[10.0] * N_FIRST_SAMPLES).is_trusted


def test_estimate_follows_a_slower_upstream():
    estimate = build_estimate(*[10.0] * 50, *[40.0] * 200)
    assert estimate.median_ms > 30.0
    assert estimate.mean_ms > 30.0
