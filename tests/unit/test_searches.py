import random

import pytest

from heatherpick._core.effects import AnswerCaller, CancelTimer, SendPeer, SetTimer
from heatherpick._core.events import RequestArrived
from heatherpick._core.messages import (
    LegBatch,
    LegCancel,
    LegOutcome,
    LegResults,
    LegStatus,
    Outcome,
)
from heatherpick._core.searches import Searches
from heatherpick.declarations import (
    AnswerPreference,
    DataCentre,
    Deadline,
    DeclarationSet,
    Drains,
    Limit,
    Region,
    Service,
    ShardSet,
    Upstream,
)


def build_declarations(
    version=1, weigh=AnswerPreference.TAIL, n_shards=20, least_coverage=0.0
):
    """Return declarations with a replica of each shard in each of two data centres."""
    upstreams = {}
    for shard in range(n_shards):
        for data_centre in ("one", "two"):
            name = f"{data_centre}-{shard:02}"
            upstreams[name] = Upstream(
                name, data_centre, "", "limit", "index", (shard,)
            )
    return DeclarationSet(
        regions={"region": Region("region", 1.5, 3.0)},
        data_centres={name: DataCentre(name, "region") for name in ("one", "two")},
        deadlines={"deadline": Deadline("deadline", 210.0, 10.0)},
        limits={"limit": Limit("limit", 3, 2, 60, 6.0, 16)},
        upstreams=upstreams,
        shard_sets={"index": ShardSet("index", version, n_shards, 10)},
        services={
            "lookup": Service(
                "lookup", "index", "deadline", True, weigh, least_coverage
            )
        },
    )


class FakeDocuments:
    def __init__(self, declarations):
        self.declarations = declarations
        self.drains = Drains()


class FakeMembers:
    """Members with one owner for each data centre, named after it."""

    def __init__(self):
        self.dead = set()

    def owner_of(self, group, now):
        owner = f"node-{group.data_centre}"
        return "" if owner in self.dead else owner


class Harness:
    def __init__(self, **declaration_options):
        self.documents = FakeDocuments(build_declarations(**declaration_options))
        self.members = FakeMembers()
        self.searches = Searches("one", self.documents, self.members, random.Random(7))

    def begin(self, now=0.0, request_id="q"):
        return self.searches.begin(RequestArrived(request_id, "lookup", "{}"), now)

    def answer(self, effects, now, except_shards=(), **outcome_fields):
        """Answer the legs of all batches among the effects; return the new effects."""
        new_effects = []
        for node, batch in list_batches(effects):
            legs = [leg for leg in batch.legs if leg.shard not in except_shards]
            outcomes = [build_outcome(batch, leg, **outcome_fields) for leg in legs]
            message = LegResults(batch.request_id, tuple(outcomes))
            new_effects.extend(self.searches.handle_results(node, message, now))
        return new_effects


def build_outcome(batch, leg, status=LegStatus.ANSWERED, version=None):
    version = batch.version if version is None else version
    hits = ({"id": leg.shard, "score": 1.0},) if status is LegStatus.ANSWERED else ()
    return LegOutcome(leg.leg_id, leg.shard, status, version, hits, "", 1.0)


def list_batches(effects):
    return [
        (effect.node, effect.message)
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, LegBatch)
    ]


def list_cancels(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, LegCancel)
    ]


def get_answer(effects):
    (answer,) = [effect for effect in effects if isinstance(effect, AnswerCaller)]
    return answer


def get_wait_s(effects):
    """Return the time until the query's timer, which is the last one set."""
    return [each.after_ms for each in effects if isinstance(each, SetTimer)][-1] / 1000


def has_answer(effects):
    return any(isinstance(effect, AnswerCaller) for effect in effects)


def test_each_owner_gets_one_message_with_all_its_legs():
    batches = list_batches(Harness().begin())
    assert len(batches) <= 2
    assert sorted(leg.shard for _, b in batches for leg in b.legs) == list(range(20))


def test_complete_answer_is_sent_as_soon_as_the_last_shard_answers():
    harness = Harness()
    answer = get_answer(harness.answer(harness.begin(), 0.01))
    assert answer.outcome is Outcome.ANSWERED
    assert (answer.n_covered, answer.n_shards, answer.missing) == (20, 20, ())
    assert harness.searches.is_idle


def test_outcome_of_another_index_version_does_not_count():
    harness = Harness()
    effects = harness.answer(harness.begin(), 0.01, version=2)
    assert not has_answer(effects)


def test_duplicate_outcomes_count_each_shard_once():
    harness = Harness()
    first_effects = harness.begin()
    harness.answer(first_effects, 0.01, except_shards={3})
    harness.answer(first_effects, 0.02, except_shards={3})
    answer = get_answer(harness.searches.handle_timer("searches:q", 0.2))
    assert (answer.n_covered, answer.missing) == (19, (3,))


def test_outcome_from_a_node_without_the_leg_is_dropped():
    harness = Harness()
    for _, batch in list_batches(harness.begin()):
        outcomes = tuple(build_outcome(batch, leg) for leg in batch.legs)
        effects = harness.searches.handle_results(
            "stranger", LegResults("q", outcomes), 0.01
        )
        assert not has_answer(effects)


def test_late_outcome_after_the_answer_is_dropped():
    harness = Harness()
    first_effects = harness.begin()
    harness.searches.handle_timer("searches:q", 0.2)
    assert not has_answer(harness.answer(first_effects, 0.3))


def test_late_leg_is_hedged_at_the_other_replica_and_the_loser_is_cancelled():
    harness = Harness()
    for number in range(3):
        harness.answer(harness.begin(0.0, f"warm-{number}"), 0.001)
    first_effects = harness.begin(1.0)
    harness.answer(first_effects, 1.005, except_shards={3})
    hedges = harness.searches.handle_timer("searches:q", 1.1)
    ((_, batch),) = list_batches(hedges)
    (leg,) = batch.legs
    assert leg.shard == 3
    first = [
        leg for _, b in list_batches(first_effects) for leg in b.legs if leg.shard == 3
    ]
    assert leg.upstream != first[0].upstream
    effects = harness.answer(hedges, 1.105)
    assert get_answer(effects).outcome is Outcome.ANSWERED
    assert [cancel.leg_ids for cancel in list_cancels(effects)] == [(first[0].leg_id,)]


def test_hedges_stay_within_the_budget_when_everything_is_slow():
    harness = Harness()
    n_hedged = 0
    for number in range(100):
        harness.begin(float(number), f"q{number}")
        effects = harness.searches.handle_timer(f"searches:q{number}", number + 0.1)
        n_hedged += sum(len(batch.legs) for _, batch in list_batches(effects))
        harness.searches.handle_timer(f"searches:q{number}", number + 0.3)
    assert 0 < n_hedged <= 0.02 * 100 * 20


def test_refused_leg_is_retried_at_the_other_replica_at_once():
    harness = Harness()
    first_effects = harness.begin()
    retry_effects = harness.answer(first_effects, 0.01, status=LegStatus.SHED)
    first = {
        leg.shard: leg.upstream
        for _, b in list_batches(first_effects)
        for leg in b.legs
    }
    second = {
        leg.shard: leg.upstream
        for _, b in list_batches(retry_effects)
        for leg in b.legs
    }
    assert second.keys() == first.keys()
    assert all(second[shard] != first[shard] for shard in first)


def test_lost_owner_is_replaced_at_once():
    harness = Harness()
    harness.begin()
    harness.members.dead.add("node-two")
    effects = harness.searches.handle_peer_lost("node-two", 0.01)
    assert {node for node, _ in list_batches(effects)} <= {"node-one"}


def test_drained_data_centre_gets_no_legs():
    harness = Harness()
    harness.documents.drains = Drains(frozenset({"two"}))
    assert {node for node, _ in list_batches(harness.begin())} == {"node-one"}


def test_query_restarts_once_on_the_newer_snapshot_and_never_mixes_versions():
    harness = Harness()
    first_effects = harness.begin()
    harness.answer(first_effects, 0.01, except_shards={0, 1})
    harness.documents.declarations = build_declarations(version=2)
    shard_0_legs = [
        (node, batch, leg)
        for node, batch in list_batches(first_effects)
        for leg in batch.legs
        if leg.shard == 0
    ]
    ((node, batch, leg),) = shard_0_legs
    gone_results = LegResults("q", (build_outcome(batch, leg, LegStatus.GONE),))
    restart_effects = harness.searches.handle_results(node, gone_results, 0.02)
    assert {batch.version for _, batch in list_batches(restart_effects)} == {2}
    assert not has_answer(harness.answer(first_effects, 0.03))
    answer = get_answer(harness.answer(restart_effects, 0.04))
    assert (answer.outcome, answer.version) == (Outcome.ANSWERED, 2)


def test_refusal_is_not_run_only_when_no_leg_may_have_started():
    harness = Harness()
    harness.members.dead.update({"node-one", "node-two"})
    harness.begin()
    answer = get_answer(harness.searches.handle_timer("searches:q", 0.2))
    assert answer.outcome is Outcome.NOT_RUN


def test_unanswered_legs_at_the_deadline_are_not_reported_as_not_run():
    harness = Harness()
    harness.begin()
    answer = get_answer(harness.searches.handle_timer("searches:q", 0.2))
    assert answer.outcome is Outcome.PARTIAL
    assert answer.n_covered == 0


@pytest.mark.parametrize(
    ("weigh", "early"), [(AnswerPreference.TAIL, 1), (AnswerPreference.COVERAGE, 0)]
)
def test_only_a_service_that_prefers_the_tail_answers_early(weigh, early):
    harness = Harness(weigh=weigh)
    harness.answer(harness.begin(), 0.01, except_shards={3})
    assert has_answer(harness.searches.handle_timer("searches:q", 0.16)) == bool(early)


def test_answer_below_the_least_coverage_gives_that_reason():
    harness = Harness(least_coverage=0.9)
    harness.answer(harness.begin(), 0.01, except_shards=set(range(10)))
    answer = get_answer(harness.searches.handle_timer("searches:q", 0.2))
    assert (answer.outcome, answer.reason) == (
        Outcome.PARTIAL,
        "below least coverage",
    )


def test_open_query_always_has_a_timer_and_an_answered_one_none():
    harness = Harness()
    first_effects = harness.begin()
    assert any(isinstance(effect, SetTimer) for effect in first_effects)
    assert any(isinstance(e, CancelTimer) for e in harness.answer(first_effects, 0.01))


def test_shard_that_no_replica_admits_is_retried_until_the_deadline():
    harness = Harness()
    effects = harness.begin()
    n_rounds = 0
    now = 0.0
    while now < 0.15 or not list_batches(effects):
        if list_batches(effects):
            effects = harness.answer(effects, now, status=LegStatus.NOT_SENT)
        else:
            now += min(get_wait_s(effects), 0.04)
            effects = harness.searches.handle_timer("searches:q", now)
            n_rounds += 1
        assert not has_answer(effects)
    answer = get_answer(harness.answer(effects, 0.19))
    assert answer.outcome is Outcome.ANSWERED
    assert n_rounds < 10


def test_refused_legs_are_not_retried_in_a_loop_without_a_delay():
    harness = Harness()
    effects = harness.begin()
    n_legs = 0
    for _ in range(10):
        n_legs += sum(len(batch.legs) for _, batch in list_batches(effects))
        effects = harness.answer(effects, 0.01, status=LegStatus.NOT_SENT)
    assert n_legs == 2 * 20


def test_legs_in_flight_at_a_lost_owner_are_resent():
    harness = Harness()
    for number in range(400):
        harness.answer(harness.begin(0.0, f"warm-{number}"), 0.001)
    n_lost = 0
    for number in range(20):
        batches = list_batches(harness.begin(1.0, f"q{number}"))
        n_lost += sum(len(batch.legs) for node, batch in batches if node == "node-one")
    harness.members.dead.add("node-one")
    retry_batches = list_batches(harness.searches.handle_peer_lost("node-one", 1.01))
    assert sum(len(batch.legs) for _, batch in retry_batches) == n_lost > 100


def test_hedge_delay_recovers_within_a_few_queries_after_a_stall():
    harness = Harness()
    for number in range(10):
        started = number * 10.0
        harness.answer(harness.begin(started, f"slow-{number}"), started + 0.15)
    for number in range(10):
        started = 100.0 + number
        harness.answer(harness.begin(started, f"fast-{number}"), started + 0.01)
    (hedges,) = harness.searches.describe()["hedges"].values()
    assert hedges["age_ms"] < 40.0


def test_last_legs_are_hedged_soon_after_all_others_have_answered():
    harness = Harness()
    for number in range(5):
        started = float(number)
        harness.answer(harness.begin(started, f"warm-{number}"), started + 0.06)
    effects = harness.answer(harness.begin(10.0), 10.02, except_shards={3})
    wait_s = get_wait_s(effects)
    assert wait_s < 0.006
    ((_, batch),) = list_batches(
        harness.searches.handle_timer("searches:q", 10.02 + wait_s)
    )
    assert [leg.shard for leg in batch.legs] == [3]


def test_late_leg_is_hedged_at_its_own_replica_when_there_is_no_other():
    harness = Harness()
    harness.documents.drains = Drains(frozenset({"two"}))
    for number in range(5):
        started = float(number)
        harness.answer(harness.begin(started, f"warm-{number}"), started + 0.01)
    harness.answer(harness.begin(10.0), 10.01, except_shards={3})
    hedges = harness.searches.handle_timer("searches:q", 10.05)
    ((node, batch),) = list_batches(hedges)
    assert (node, [leg.shard for leg in batch.legs]) == ("node-one", [3])
    assert get_answer(harness.answer(hedges, 10.06)).outcome is Outcome.ANSWERED
