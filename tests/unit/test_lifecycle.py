from heatherpick._core.effects import SetReadiness
from heatherpick._core.lifecycle import OPEN_WAIT_S, Lifecycle


def test_node_without_reachable_owners_is_not_ready_before_the_wait_ends():
    lifecycle = Lifecycle()
    assert lifecycle.open(lambda: False, 10.0) == []
    assert lifecycle.open(lambda: False, 9.9 + OPEN_WAIT_S) == []
    assert not lifecycle.is_accepting
    assert SetReadiness(True) in lifecycle.open(lambda: False, 10.0 + OPEN_WAIT_S)
    assert lifecycle.is_accepting


def test_node_with_reachable_owners_is_ready_at_once():
    lifecycle = Lifecycle()
    assert SetReadiness(True) in lifecycle.open(lambda: True, 10.0)
    assert lifecycle.open(lambda: True, 11.0) == []
