"""Calls that all nodes together admit to an upstream under combined faults."""

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.stateful.network import TIMINGS, FakeNetwork

#: Seconds within which the nodes must recover once all faults have ended.
RECOVERY_S = 60.0

NODES = st.integers(0, 5)


class SharesMachine(RuleBasedStateMachine):
    """Faults in one data centre; `FakeNetwork` checks the shares after each step."""

    n_nodes = st.integers(1, 5)

    @initialize(data=st.data(), seed=st.integers(0, 2**16), tracks_calls=st.booleans())
    def begin(self, data, seed, tracks_calls):
        n_nodes = data.draw(self.n_nodes)
        self.network = FakeNetwork({"a": n_nodes}, seed=seed, tracks_calls=tracks_calls)
        self.names = list(self.network.nodes)
        self.network.declare(a=(5, 2))
        self.network.start_all()
        self.network.advance(data.draw(st.sampled_from([0.0, 1.0, 8.0])))

    def choose_node(self, index):
        return self.network.nodes[self.names[index % len(self.names)]]

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.0, 2.5, 4.0, 9.0]))
    def let_time_pass(self, seconds):
        self.network.advance(seconds)

    @rule(index=NODES, seconds=st.sampled_from([0.5, 2.0, 3.6, 6.0, 12.0]))
    def pause_for(self, index, seconds):
        node = self.choose_node(index)
        if node.is_running and not node.is_paused:
            self.network.pause(node.name)
            self.network.advance(seconds)
            self.network.resume(node.name, shuffles=True)

    @rule(index=NODES)
    def pause(self, index):
        if self.choose_node(index).is_running:
            self.network.pause(self.choose_node(index).name)

    @rule(index=NODES, shuffles=st.booleans())
    def resume(self, index, shuffles):
        if self.choose_node(index).is_running:
            self.network.resume(self.choose_node(index).name, shuffles)

    @rule(index=NODES)
    def kill(self, index):
        if self.choose_node(index).is_running:
            self.network.kill(self.choose_node(index).name)

    @rule(index=NODES)
    def restart(self, index):
        if self.choose_node(index).is_running:
            self.network.kill(self.choose_node(index).name)
        self.choose_node(index).start()

    @rule(index=NODES)
    def replace(self, index):
        """Remove a VM permanently and start another under a new name."""
        node = self.choose_node(index)
        if len(self.names) < 9:
            if node.is_running:
                self.network.kill(node.name)
            self.names.remove(node.name)
            self.network.vms.discard(node.name)
            self.names.append(self.network.add_node("a"))

    @rule(index=NODES)
    def leave(self, index):
        node = self.choose_node(index)
        if node.is_running and not node.is_paused:
            self.network.leave(node.name)

    @rule(from_index=NODES, to_index=NODES)
    def cut_one_way(self, from_index, to_index):
        source, peer = self.choose_node(from_index), self.choose_node(to_index)
        if source is not peer:
            self.network.cut([source.name], [peer.name])

    @rule(some=st.sets(NODES, min_size=1, max_size=3))
    def partition(self, some):
        side = {self.choose_node(each).name for each in some}
        self.network.cut_both(side, set(self.names) - side)

    @rule()
    def heal(self):
        self.network.heal()

    @rule(is_up=st.booleans())
    def turn_platform(self, is_up):
        if is_up:
            self.network.end_outage()
        else:
            self.network.is_platform_up = False

    @rule(index=NODES)
    def cut_from_platform(self, index):
        self.network.cut_from_platform ^= {self.choose_node(index).name}

    @rule()
    def lose_answer(self):
        self.network.n_answers_to_lose += 1

    @rule(
        drop=st.sampled_from([0.0, 0.1, 0.5]),
        duplicate=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.001, 0.02, 0.4, 1.5]),
    )
    def disturb(self, drop, duplicate, delay_s):
        self.network.drop = drop
        self.network.duplicate = duplicate
        self.network.delay_s = delay_s

    @rule(n_group=st.sampled_from([1, 2, 3, 5]))
    def regroup(self, n_group):
        self.network.declare(a=(5, n_group))

    def teardown(self):
        if self.network.has_failed:
            return
        self.network.recover(self.names)
        self.network.advance(RECOVERY_S)
        self.network.check_recovered("a", self.names)


class PairMachine(SharesMachine):
    n_nodes = st.just(2)


class TrioMachine(SharesMachine):
    n_nodes = st.just(3)


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
    database=None,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)


@pytest.mark.parametrize("machine", [SharesMachine, PairMachine, TrioMachine])
def test_shares_never_exceed_the_limit_together(machine):
    case = machine.TestCase()
    case.settings = SETTINGS
    case.runTest()


def test_suspicion_time_covers_lease_and_longest_call():
    assert TIMINGS.suspect_after_s > TIMINGS.vote_lease_s + TIMINGS.max_call_s
