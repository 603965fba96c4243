import pytest

from heatherpick._commands.command import ExitCode
from heatherpick.declarations import (
    DECLARATIONS_OBJECT,
    DRAINS_OBJECT,
    Drains,
    decode_drains,
    encode_declarations,
    encode_drains,
    load_declarations,
)
from heatherpick.errors import InvalidArgument, OperationFailed, WriteConflict
from tests.contract.fake_platform import ADDRESS, FakePlatform

BODY = encode_declarations(load_declarations(["examples/kuusiketju"]))


@pytest.fixture
def platform():
    platform = FakePlatform()
    platform.put(DECLARATIONS_OBJECT, BODY)
    return platform


def run(platform, command, kind, name, *options):
    return platform.run(command, kind, name, "--platform", ADDRESS, *options)


def set_drains(platform, data_centres=(), upstreams=()):
    drains = Drains(frozenset(data_centres), frozenset(upstreams))
    platform.put(DRAINS_OBJECT, encode_drains(drains))


def get_drains(platform):
    return decode_drains(platform.objects[DRAINS_OBJECT][1])


def test_undrain_reverts_drain(platform):
    assert run(platform, "drain", "data-centre", "fi-south-1") is ExitCode.OK
    assert get_drains(platform) == Drains(frozenset({"fi-south-1"}))
    assert run(platform, "undrain", "data-centre", "fi-south-1") is ExitCode.OK
    assert get_drains(platform) == Drains()


def test_drain_of_a_drained_upstream_writes_nothing(platform):
    set_drains(platform, upstreams=["auditor-desk-01"])
    assert run(platform, "drain", "upstream", "auditor-desk-01") is ExitCode.OK
    assert platform.n_writes == 0


def drain_other_upstream(platform):
    set_drains(platform, upstreams=["auditor-desk-02"])


def test_concurrent_drains_both_take_effect(platform):
    platform.write_faults = [drain_other_upstream]
    assert run(platform, "drain", "upstream", "auditor-desk-01") is ExitCode.OK
    both = frozenset({"auditor-desk-01", "auditor-desk-02"})
    assert get_drains(platform).upstreams == both


def drain_other_data_centre(platform):
    set_drains(platform, data_centres=["fi-south-2"])


def test_concurrent_drains_do_not_drain_the_last_data_centre(platform):
    platform.write_faults = [drain_other_data_centre]
    error = run(platform, "drain", "data-centre", "fi-south-1")
    assert isinstance(error, OperationFailed)
    assert get_drains(platform).data_centres == {"fi-south-2"}


def write_twice_then_lose(platform):
    set_drains(platform, upstreams=["auditor-desk-01"])
    set_drains(platform, upstreams=["auditor-desk-01", "auditor-desk-02"])
    return "lose before"


@pytest.mark.parametrize(
    "faults", [["lose after"], ["lose before"], ["outage"], [write_twice_then_lose]]
)
def test_drain_takes_effect_although_the_response_is_lost(platform, faults):
    platform.write_faults = faults
    assert run(platform, "drain", "upstream", "auditor-desk-01") is ExitCode.OK
    assert "auditor-desk-01" in get_drains(platform).upstreams


def test_repeated_conflicts_end_with_a_conflict_error(platform):
    platform.write_faults = [
        lambda platform, number=number: set_drains(platform, upstreams=[f"x{number}"])
        for number in range(100)
    ]
    error = run(platform, "drain", "upstream", "auditor-desk-01")
    assert isinstance(error, WriteConflict)


# Each row: data centres and upstreams already drained, object to drain, refusal.
REFUSALS = [
    (["fi-south-2"], [], "data-centre", "fi-south-1", "is the only data centre"),
    (["fi-south-2"], [], "upstream", "auditor-desk-01", "leaves 2 shards of findings"),
    ([], ["auditor-desk-01"], "upstream", "auditor-desk-07", "leaves 2 shards of find"),
    ([], ["auditor-desk-07"], "data-centre", "fi-south-1", "leaves 2 shards of findi"),
]


@pytest.mark.parametrize(
    ("data_centres", "upstreams", "kind", "name", "message"), REFUSALS
)
def test_drain_that_leaves_shards_unserved_needs_force(
    platform, data_centres, upstreams, kind, name, message
):
    set_drains(platform, data_centres, upstreams)
    error = run(platform, "drain", kind, name)
    assert isinstance(error, OperationFailed)
    assert message in str(error)
    assert platform.n_writes == 0
    assert run(platform, "drain", kind, name, "--force") is ExitCode.OK


def test_drain_of_an_undeclared_name_is_invalid(platform):
    error = run(platform, "drain", "data-centre", "fi-north")
    assert isinstance(error, InvalidArgument)


def test_undrain_of_an_undeclared_data_centre_is_possible(platform):
    set_drains(platform, data_centres=["fi-north"])
    assert run(platform, "undrain", "data-centre", "fi-north") is ExitCode.OK
    assert get_drains(platform) == Drains()
