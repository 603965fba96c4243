import pytest

from heatherpick._core.links import Links
from heatherpick._core.membership import (
    Member,
    Membership,
    decode_membership,
    encode_membership,
)
from heatherpick._core.messages import Heartbeat
from heatherpick._core.rendezvous import find_first, rank
from heatherpick._core.timings import Timings
from heatherpick._core.views import View
from heatherpick.errors import InvalidArgument


def make_member(name, start=1):
    return Member(name, f"{name}:1", f"{name}#{start}")


A, B, C = make_member("a"), make_member("b"), make_member("c")
PAIR = Membership(4, (A, B))


def test_added_member_needs_votes_among_the_previous_members():
    joint = PAIR.add(C)
    assert joint.members == (A, B, C)
    assert joint.quorums == ({"a#1", "b#1", "c#1"}, {"a#1", "b#1"})
    assert joint.settle() == Membership(4, (A, B, C))


def test_first_member_is_its_own_quorum():
    assert Membership().add(A).quorums == ({"a#1"},)


def test_further_changes_keep_the_last_settled_quorum():
    joint = PAIR.add(C).remove({"a#1"})
    assert joint.members == (B, C)
    assert joint.ghosts == (A,)
    assert joint.previous == ("a#1", "b#1")


def test_restarted_member_replaces_its_ended_incarnation():
    joint = PAIR.add(make_member("a", 2))
    assert joint.members == (make_member("a", 2), B)
    assert joint.ghosts == (A,)
    assert joint.gone == {"a#1"}


def test_restart_marks_a_ghost_as_ended():
    joint = PAIR.remove({"a#1"}).add(make_member("a", 2))
    assert joint.gone == {"a#1"}


def test_removed_member_that_rejoins_is_not_a_ghost():
    joint = PAIR.remove({"a#1"}).add(A)
    assert joint.members == (A, B)
    assert joint.ghosts == ()


def test_change_without_effect_returns_the_same_membership():
    assert PAIR.add(A) is PAIR
    assert PAIR.remove({"c#1"}) is PAIR


def test_encoded_document_decodes_to_the_same_membership():
    joint = PAIR.add(make_member("a", 2)).add(C)
    assert decode_membership(4, encode_membership(joint)) == joint


def test_absent_document_is_empty():
    assert decode_membership(0, "") == Membership()


def test_malformed_document_names_its_version():
    with pytest.raises(InvalidArgument, match="document 7"):
        decode_membership(7, "{")


def test_too_short_suspicion_time_is_rejected():
    with pytest.raises(InvalidArgument, match="3.2"):
        Timings(vote_lease_s=2.0, max_call_s=1.0, suspect_after_s=3.0)


def test_removal_of_a_node_keeps_the_rank_of_the_others():
    names = [f"n{index}" for index in range(20)]
    ranked = rank("key", names)
    assert find_first("key", names) == ranked[0]
    assert rank("key", [each for each in names if each != ranked[3]]) == (
        *ranked[:3],
        *ranked[4:],
    )


def test_keys_are_spread_over_all_nodes():
    names = [f"n{index}" for index in range(8)]
    owners = [find_first(f"key{index}", names) for index in range(800)]
    assert all(60 <= owners.count(name) <= 140 for name in names)


def test_key_has_no_owner_without_nodes():
    assert find_first("key", []) == ""


def make_heartbeat(link, sequence, echo=0):
    return Heartbeat(
        link.inbound_hash, sequence, echo, 0, b"", b"", 0, *[False] * 3, ()
    )


def test_lease_starts_when_the_echoed_heartbeat_was_sent():
    link = Links("me").open("p", "p#1", "a", "", 0.0)
    for now in (1.0, 2.0, 3.0):
        link.assign_sequence(now)
    assert link.receive(make_heartbeat(link, 1, echo=2), 9.0)
    assert link.lease_start == 2.0


@pytest.mark.parametrize("sequence, echo", [(3, 0), (2, 0), (4, 9)])
def test_late_duplicate_or_invalid_heartbeat_is_dropped(sequence, echo):
    link = Links("me").open("p", "p#1", "a", "", 0.0)
    assert link.receive(make_heartbeat(link, 3), 1.0)
    assert not link.receive(make_heartbeat(link, sequence, echo), 2.0)
    assert link.last_received_at == 1.0


def test_heartbeat_is_matched_by_both_incarnations():
    links = Links("me#2")
    old = links.open("p", "p#1", "a", "", 0.0)
    new = links.open("p", "p#2", "a", "", 0.0)
    link_to_earlier_incarnation = Links("me#1").open("p", "p#2", "a", "", 0.0)
    assert links.find_by_hash("p", old.inbound_hash) is old
    assert links.find_by_hash("p", new.inbound_hash) is new
    assert links.find_by_hash("q", new.inbound_hash) is None
    assert links.find_by_hash("p", link_to_earlier_incarnation.inbound_hash) is None


class NextSequences(dict):
    def __call__(self, incarnation):
        return self.get(incarnation, 1)


def settle(*members):
    view = View(suspect_s=3.5)
    view.update(set(members), set(), NextSequences(), 0.0)
    view.update(set(members), set(), NextSequences(), 3.5)
    assert view.settled == set(members)
    return view


def test_entering_member_is_unsettled_until_all_holders_acknowledge():
    view = settle("a", "b")
    view.update({"a", "b", "c"}, set(), NextSequences(a=7, b=9), 10.0)
    view.acknowledge("a", 7)
    view.acknowledge("b", 8)
    view.update({"a", "b", "c"}, set(), NextSequences(), 10.1)
    assert set(view.unsettled) == {"c"}
    view.acknowledge("b", 9)
    view.update({"a", "b", "c"}, set(), NextSequences(), 10.2)
    assert view.settled == {"a", "b", "c"}


def test_entering_member_is_settled_once_the_earlier_leases_have_expired():
    view = settle("a", "b")
    view.update({"a", "b", "c"}, set(), NextSequences(), 10.0)
    view.update({"a", "b", "c"}, set(), NextSequences(), 13.4)
    assert set(view.unsettled) == {"c"}
    view.update({"a", "b", "c"}, set(), NextSequences(), 13.5)
    assert not view.unsettled


def test_member_with_an_expired_lease_is_dropped_at_once():
    view = settle("a", "b")
    view.update({"a"}, {"b"}, NextSequences(), 10.0)
    assert view.settled == {"a"}
    assert not view.unsettled


def test_leaving_member_is_unsettled_until_it_acknowledges():
    view = settle("a", "b")
    view.update({"a"}, set(), NextSequences(b=4), 10.0)
    assert set(view.unsettled) == {"b"}
    view.acknowledge("b", 4)
    view.update({"a"}, set(), NextSequences(), 10.1)
    assert not view.unsettled


def test_suspended_votes_count_for_none_until_all_acknowledge():
    view = settle("a", "b")
    view.suspend_votes(NextSequences(a=2, b=2), 10.0)
    assert view.settled == set()
    view.acknowledge("a", 2)
    view.update({"a", "b"}, set(), NextSequences(), 10.1)
    assert view.settled == set()
    view.acknowledge("b", 2)
    view.update({"a", "b"}, set(), NextSequences(), 10.2)
    assert view.settled == {"a", "b"}
