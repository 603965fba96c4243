from pathlib import Path

import pytest

from heatherpick.errors import SettingsError
from heatherpick.settings import NodeSettings

VALID = """\
[node]
name = n1
data_centre = fi-south-1
caller_address = 0.0.0.0:8080
peer_address = 10.0.0.1:8081
platform_address = [fd00::9]:9000
seed_peers = n2@10.0.0.2:8081 n1@10.0.0.1:8081
"""


def parse_settings(text):
    return NodeSettings.from_text("node.ini", text)


def test_missing_keys_take_their_defaults():
    settings = parse_settings(VALID)
    assert settings.platform_address == "[fd00::9]:9000"
    assert settings.heartbeat_ms == 500
    assert settings.trace_path == ""


def test_own_name_is_left_out_of_seed_peers():
    assert parse_settings(VALID).seed_peers == (("n2", "10.0.0.2:8081"),)


# Each row: text to replace, its replacement, and the start of the only finding.
FAULTS = [
    ("name = n1\n", "", "node.ini:1: [node] name: is missing"),
    ("name = n1", "name = a/b", "node.ini:2: [node] name: 'a/b' is not a name"),
    ("name = n1", "name =", "node.ini:2: [node] name: '' is not a name"),
    (":8080", ":0", "node.ini:4: [node] caller_address: '0.0.0.0:0' is not an IP"),
    ("10.0.0.1:8081\n", "host:1\n", "node.ini:5: [node] peer_address: 'host:1' is"),
    ("10.0.0.1:8081\n", "0.0.0.0:1\n", "node.ini:5: [node] peer_address: '0.0.0.0:1'"),
    ("[fd00::9]", "fd00::9", "node.ini:6: [node] platform_address: 'fd00::9:9000'"),
    ("n2@", "n1@", "node.ini:7: [node] seed_peers: 'n1@10.0.0.2:8081 n1@1"),
    ("n2@", "", "node.ini:7: [node] seed_peers: '10.0.0.2:8081 n1"),
    ("seed_peers", "seed_pears", "node.ini:7: [node] 'seed_pears': is an unknown key"),
    ("[node]", "junk\n[node]", "node.ini:1: line: 'junk' precedes the first section"),
    ("name = n1", "name = n1\nx", "node.ini:3: line: 'x' is neither"),
    (
        "name = n1",
        "name = n1\nname = n1",
        "node.ini:3: [node] name: is already on line 2",
    ),
    ("[node]", "[nodes]\n[node]", "node.ini:1: [nodes]: is an unknown section"),
    ("[node]", "[DEFAULT]\n[node]", "node.ini:1: [DEFAULT]: is an unknown section"),
    ("0.0.0.0:8080", "10.0.0.1:8081", "node.ini:5: [node] peer_address: 10.0.0.1"),
]

ADDED_FAULTS = [
    ("heartbeat_ms = 9", "'9' is not a whole number from 10 to 10000"),
    ("heartbeat_ms = 1.5", "'1.5' is not a whole number"),
    ("agree_within_ms = 999", "999 is less than 2 times heartbeat_ms 500"),
    ("suspect_after_ms = 1500", "1500 is less than agree_within_ms 1500"),
    ("max_body_bytes = 9999999999999999999", "is not a whole number"),
    ("log_path =", "'' is not one line of text"),
]


@pytest.mark.parametrize(("old", "new", "start"), FAULTS)
def test_each_fault_is_one_finding_with_its_location(old, new, start):
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID.replace(old, new, 1))
    finding_texts = [str(finding) for finding in caught.value.findings]
    # After an invalid first line, configparser does not read the rest of the file.
    assert finding_texts[-1].startswith(start) or finding_texts[0].startswith(start)
    assert len(finding_texts) == 1 or "precedes the first section" in str(caught.value)


@pytest.mark.parametrize(("line", "message"), ADDED_FAULTS)
def test_value_out_of_range_is_found_on_its_line(line, message):
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID + line)
    (finding,) = caught.value.findings
    assert (finding.line, finding.subject) == (8, f"[node] {line.split()[0]}")
    assert message in finding.message


def test_all_findings_are_reported_together():
    with pytest.raises(SettingsError) as caught:
        parse_settings("[node]\nname = /\nheartbeat_ms = x\nwhat = 1\n")
    assert len(caught.value.findings) == 7


@pytest.mark.parametrize("content", [b"\xff", b"[node]\n\xff"])
def test_file_that_is_not_text_is_a_finding(tmp_path, content):
    path = tmp_path / "node.ini"
    path.write_bytes(content)
    with pytest.raises(SettingsError, match="not UTF-8"):
        NodeSettings.from_file(path)


def test_file_that_cannot_be_read_is_a_finding(tmp_path):
    for path in (tmp_path, tmp_path / "none.ini"):
        with pytest.raises(SettingsError, match="cannot be read"):
            NodeSettings.from_file(path)


def test_line_numbers_are_correct_after_a_continued_value():
    text = VALID.replace("n2@10.0.0.2:8081 ", "n2@10.0.0.2:8081\n  ") + "x = 1"
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    (finding,) = caught.value.findings
    assert finding.line == 9


def test_continuation_line_that_looks_like_a_key_is_not_a_key():
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID + "log_path = a\n name = n1")
    (finding,) = caught.value.findings
    assert (finding.line, finding.subject) == (8, "[node] log_path")


def test_text_of_many_findings_is_bounded():
    text = "[node]\n" + "".join(f"k{number} = 1\n" for number in range(10_000))
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert len(str(caught.value).splitlines()) == 101
    assert str(caught.value).endswith("10005 findings in all")
    assert len(caught.value.findings) == 10_000


def test_every_key_is_in_the_manual():
    from heatherpick._settings.node import NODE_VALUE_TYPES

    manual = Path("docs/CONFIGURATION.md").read_text()
    assert [key for key in NODE_VALUE_TYPES if f"| `{key}` |" not in manual] == []
