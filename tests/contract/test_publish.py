import json

import pytest

from heatherpick._commands.command import ExitCode
from heatherpick.declarations import (
    DECLARATIONS_OBJECT,
    DRAINS_OBJECT,
    Drains,
    decode_declarations,
    encode_declarations,
    encode_drains,
    load_declarations,
)
from heatherpick.errors import (
    DeclarationError,
    OperationFailed,
    PlatformUnavailable,
    WriteOutcomeUnknown,
)
from tests.contract.fake_platform import ADDRESS, FakePlatform

KUUSIKETJU = "examples/kuusiketju"
OWN_BODY = encode_declarations(load_declarations([KUUSIKETJU]))
LIVE_BODY = OWN_BODY.replace('"yard","yes"', '"desk","yes"')
OTHER_BODY = LIVE_BODY.replace('"0.5","1"', '"0.6","1"')


@pytest.fixture
def platform():
    platform = FakePlatform()
    platform.put(DECLARATIONS_OBJECT, LIVE_BODY)
    return platform


def publish(platform, *options):
    return platform.run("publish", KUUSIKETJU, "--platform", ADDRESS, *options)


def write_other(platform):
    platform.put(DECLARATIONS_OBJECT, OTHER_BODY)


def test_set_is_published_with_the_next_version(platform, capsys):
    assert publish(platform) is ExitCode.OK
    assert platform.objects[DECLARATIONS_OBJECT] == (2, OWN_BODY)
    assert "changed [service lookup] deadline: desk -> yard" in capsys.readouterr().out


def test_first_set_is_published_to_an_empty_platform(platform):
    platform.objects.clear()
    assert publish(platform) is ExitCode.OK
    assert platform.objects[DECLARATIONS_OBJECT] == (1, OWN_BODY)


def test_set_that_is_already_live_is_not_written(platform):
    platform.put(DECLARATIONS_OBJECT, OWN_BODY)
    assert publish(platform) is ExitCode.OK
    assert platform.n_writes == 0


def test_concurrent_publish_is_a_conflict_that_names_the_other_change(platform, capsys):
    platform.write_faults = [write_other]
    assert publish(platform) is ExitCode.CONFLICT
    assert platform.objects[DECLARATIONS_OBJECT] == (2, OTHER_BODY)
    out = capsys.readouterr().out
    assert "another operator has published version 2" in out
    assert "changed [service certificate-desk] least_coverage: 0.5 -> 0.6" in out
    assert "service lookup" not in out


def write_both_then_lose(platform):
    platform.put(DECLARATIONS_OBJECT, OWN_BODY)
    platform.put(DECLARATIONS_OBJECT, OTHER_BODY)
    return "lose before"


def write_other_then_lose(platform):
    platform.put(DECLARATIONS_OBJECT, OTHER_BODY)
    return "lose after"


def apply_delayed_write(platform):
    """Apply the first write, which seemed lost, just before it is repeated."""
    platform.put(DECLARATIONS_OBJECT, OWN_BODY)


# Each row: a fault for each write, exit code, version, writes received.
LOST_RESPONSES = [
    (["lose after"], ExitCode.OK, 2, 1),
    (["lose before"], ExitCode.OK, 2, 1),
    (["lose before", "lose after"], ExitCode.OK, 2, 1),
    (["lose before", apply_delayed_write], ExitCode.OK, 2, 1),
    (["outage", "outage"], ExitCode.OK, 2, 1),
    ([write_other_then_lose], ExitCode.CONFLICT, 2, 1),
    ([write_both_then_lose], ExitCode.CONFLICT, 3, 0),
    (["lose before", write_other], ExitCode.CONFLICT, 2, 1),
]


@pytest.mark.parametrize(("faults", "code", "version", "n_writes"), LOST_RESPONSES)
def test_lost_response_is_resolved_by_reading_back(
    platform, faults, code, version, n_writes
):
    platform.write_faults = list(faults)
    assert publish(platform) is code
    assert platform.objects[DECLARATIONS_OBJECT][0] == version
    assert platform.n_writes == n_writes


def test_lost_response_and_failed_read_back_leave_the_write_unknown(platform):
    platform.write_faults = ["lose after"]
    platform.read_faults = [None, None, *["outage"] * 100]
    assert isinstance(publish(platform), WriteOutcomeUnknown)
    assert platform.n_writes == 1


def test_read_back_is_retried_until_the_platform_recovers(platform):
    platform.write_faults = ["lose after"]
    platform.read_faults = [None, None, "outage", "refuse", "lose before"]
    assert publish(platform) is ExitCode.OK
    assert platform.n_writes == 1


@pytest.mark.parametrize("fault", ["refuse", "outage", "lose before"])
def test_unreachable_platform_changes_nothing(platform, fault):
    platform.read_faults = [fault]
    assert isinstance(publish(platform), PlatformUnavailable)
    assert platform.n_writes == 0


def test_write_that_was_not_sent_is_not_repeated(platform):
    platform.write_faults = ["refuse"]
    assert isinstance(publish(platform), PlatformUnavailable)
    assert platform.n_writes == 0


def add_extra_upstream(body):
    content = json.loads(body)
    del content["kinds"]["service"]["rows"][1:]
    row = ["extra", "fi-south-1", "127.0.0.1:1", "car-register", "findings", "0"]
    content["kinds"]["upstream"]["rows"].append(row)
    return json.dumps(content)


def test_unsafe_change_is_refused_unless_allowed(platform):
    platform.put(DECLARATIONS_OBJECT, add_extra_upstream(LIVE_BODY))
    error = publish(platform)
    assert isinstance(error, OperationFailed)
    assert "[upstream extra]: is removed while in service" in str(error)
    assert platform.n_writes == 0
    assert publish(platform, "--allow-unsafe") is ExitCode.OK


def test_drained_upstream_may_be_removed(platform):
    platform.put(DECLARATIONS_OBJECT, add_extra_upstream(LIVE_BODY))
    drains = Drains(upstreams=frozenset({"extra"}))
    platform.put(DRAINS_OBJECT, encode_drains(drains))
    assert publish(platform) is ExitCode.OK
    live = decode_declarations(platform.objects[DECLARATIONS_OBJECT][1])
    assert "extra" not in live.upstreams


def test_undecodable_live_set_is_replaced_only_with_allow_unsafe(platform):
    platform.put(DECLARATIONS_OBJECT, "{}")
    assert isinstance(publish(platform), DeclarationError)
    assert publish(platform, "--allow-unsafe") is ExitCode.OK


def test_confirmation_waits_for_every_node(platform, capsys):
    old, new = ({"documents": {DECLARATIONS_OBJECT: version}} for version in (1, 2))
    platform.statuses = [old, "?", new, old, new]
    nodes = ("--nodes", "127.0.0.1:1", "127.0.0.1:2")
    assert publish(platform, *nodes) is ExitCode.OK
    assert platform.statuses == []
    assert "confirmed by 2 nodes" in capsys.readouterr().out


def test_node_that_lacks_the_version_is_named(platform):
    platform.statuses = [{"documents": {}}] * 1000
    error = publish(platform, "--nodes", "127.0.0.1:1", "--wait-ms", "500")
    assert isinstance(error, OperationFailed)
    assert "not confirmed by 127.0.0.1:1 within 500 ms" in str(error)


def test_diff_writes_nothing(platform, capsys):
    assert platform.run("diff", KUUSIKETJU, "--platform", ADDRESS) is ExitCode.OK
    assert platform.n_writes == 0
    out = capsys.readouterr().out
    assert "changed [service lookup] deadline: desk -> yard" in out
    assert out.endswith("differences from version 1: 1\n")
