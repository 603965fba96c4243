from dataclasses import replace

import pytest

from heatherpick.declarations import (
    DeclarationSet,
    Drains,
    find_differences,
    find_unsafe_changes,
    load_declarations,
)

LIVE = load_declarations(["examples/kuusiketju"])
NO_DRAINS = Drains()


def change_object(field, name, **values):
    """Return LIVE with one object changed, or removed if no values are given."""
    items = dict(getattr(LIVE, field))
    if values:
        items[name] = replace(items[name], **values)
    else:
        del items[name]
    fields = {key: getattr(LIVE, key) for key in DeclarationSet.__dataclass_fields__}
    return DeclarationSet(**{**fields, field: items})


def find_unsafe(new, drains=NO_DRAINS):
    return [str(each) for each in find_unsafe_changes(LIVE, new, drains)]


def test_equal_sets_have_no_differences_and_no_unsafe_changes():
    assert find_differences(LIVE, LIVE) == ()
    assert find_unsafe(LIVE) == []


def test_first_publication_is_safe_and_adds_everything():
    differences = find_differences(DeclarationSet(), LIVE)
    assert {each.action for each in differences} == {"added"}
    assert find_unsafe_changes(DeclarationSet(), LIVE, NO_DRAINS) == ()


def test_difference_names_the_key_and_both_values():
    new = change_object("services", "lookup", least_coverage=0.9)
    (difference,) = find_differences(LIVE, new)
    assert str(difference) == "changed [service lookup] least_coverage: 0.0 -> 0.9"


def test_removed_object_is_a_difference():
    (difference,) = find_differences(LIVE, change_object("services", "lookup"))
    assert str(difference) == "removed [service lookup]"


UNSAFE = [
    (change_object("upstreams", "auditor-desk-01"), "is removed while in service"),
    (
        change_object("upstreams", "auditor-desk-01", address="1.1.1.1:1"),
        "moves from 127.0",
    ),
    (change_object("shard_sets", "findings", index_version=0), "index_version falls"),
    (
        change_object("shard_sets", "findings", n_shards=13),
        "n_shards changes from 12 to 13",
    ),
    (
        change_object("services", "corrective-action", repeatable=True),
        "become repeatable",
    ),
]


@pytest.mark.parametrize(("new", "message"), UNSAFE)
def test_unsafe_change_is_found(new, message):
    (found,) = find_unsafe(new)
    assert message in found


def test_drained_upstream_may_be_removed_and_moved():
    drains = Drains(upstreams=frozenset({"auditor-desk-01"}))
    for new, _ in UNSAFE[:2]:
        assert find_unsafe(new, drains) == []


def test_index_version_may_rise_with_a_repartition():
    new = change_object("shard_sets", "findings", index_version=2, n_shards=13)
    assert find_unsafe(new) == []


def test_last_replica_in_service_may_not_be_dropped():
    drains = Drains(upstreams=frozenset({"auditor-desk-07"}))
    new = change_object("upstreams", "auditor-desk-01", shards=(0,))
    (found,) = find_unsafe(new, drains)
    assert "[shard-set findings]: shard 1 and 0 others keep no upstream" in found


def test_all_data_centres_drained_is_unsafe():
    drains = Drains(data_centres=frozenset(LIVE.data_centres))
    (found,) = find_unsafe(LIVE, drains)
    assert "all data centres are drained" in found
