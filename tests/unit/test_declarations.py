import json
from pathlib import Path

import pytest

from heatherpick._declarations.kinds import KINDS
from heatherpick.declarations import (
    MAX_BODY_BYTES,
    AnswerPreference,
    decode_declarations,
    decode_drains,
    encode_declarations,
    load_declarations,
)
from heatherpick.errors import DeclarationError

EXAMPLES = ("examples/kuusiketju", "examples/agrotrofi")

VALID = """\
[region fi]
between_data_centres_ms = 1.5
to_callers_ms = 3
[data-centre a]
region = fi
[deadline d]
total_ms = 210
margin_ms = 15
[limit l]
n_slots = 3
n_cold_slots = 2
n_connections = 60
connect_ms = 6
n_batch = 16
[shard-set f]
index_version = 7
n_shards = 2
n_group = 3
[upstream u1]
data_centre = a
address = 10.0.0.1:80
limit = l
shard_set = f
shards = 0-1
[upstream u2]
data_centre = a
address = 10.0.0.2:80
limit = l
shard_set = f
shards = 0
[service s]
shard_set = f
deadline = d
"""


def load_text(tmp_path, text):
    path = tmp_path / "set.ini"
    path.write_text(text)
    return load_declarations([path])


def find_faults(tmp_path, text):
    with pytest.raises(DeclarationError) as caught:
        load_text(tmp_path, text)
    prefix = f"{tmp_path}/set.ini"
    return [str(each).removeprefix(prefix) for each in caught.value.findings]


# Each row: text to replace, its replacement, and the start of the only finding.
FAULTS = [
    ("region = fi", "region = se", ":5: [data-centre a] region: there is no [region"),
    ("centre = a", "centre = b", ":20: [upstream u1] data_centre: there is no [data-"),
    ("limit = l", "limit = m", ":22: [upstream u1] limit: there is no [limit m]"),
    ("set = f\nde", "set = g\nde", ":32: [service s] shard_set: there is no [shard-"),
    ("deadline = d", "deadline = e", ":33: [service s] deadline: there is no [deadl"),
    ("total_ms = 210", "total_ms = 18", ":33: [service s] deadline: d allows 18.0 ms"),
    ("gin_ms = 15", "gin_ms = 207", ":33: [service s] deadline: d allows 210.0 ms"),
    ("cold_slots = 2", "cold_slots = 4", ":11: [limit l] n_cold_slots: 4 exceeds n_"),
    ("ctions = 60", "ctions = 2", ":10: [limit l] n_slots: 3 exceeds n_connections 2"),
    ("n_shards = 2", "n_shards = 3", ":17: [shard-set f] n_shards: no upstream ser"),
    ("shards = 0-1", "shards = 0-2", ":24: [upstream u1] shards: shard 2 does not"),
    ("0.2:80", "0.1:080", ":27: [upstream u2] address: 10.0.0.1:80 is the address of"),
    ("n_group = 3", "n_group = 0", ":18: [shard-set f] n_group: '0' is not a whole"),
    ("shards = 0-1", "shards = 1-0", ":24: [upstream u1] shards: '1-0' is not a lis"),
    ("shards = 0-1", "shards = 0-999999999", ":24: [upstream u1] shards: '0-999999"),
    ("connect_ms = 6", "connect_ms = nan", ":13: [limit l] connect_ms: 'nan' is not"),
    ("[limit l]", "[limits l]", ":9: [limits l]: 'limits' is an unknown kind"),
    ("[service s]", "[service s s]", ":31: [service s s]: 's s' is not a name"),
    ("[service s]", "[service]", ":31: [service]: '' is not a name"),
    ("[upstream u2]", "[upstream u1]", ":25: [upstream u1]: is already on line 19;"),
]

SERVICE_FAULTS = [
    ("least_coverage = 1.1", "'1.1' is not a number from 0 to 1"),
    ("least_coverage = -0.1", "'-0.1' is not a number from 0 to 1"),
    ("hedge_budget = 0.06", "'0.06' is not a number from 0 to 0.05"),
    ("priority = 8", "'8' is not a whole number from 0 to 7"),
    ("weigh = both", "'both' is not tail or coverage"),
    ("repeatable = true", "'true' is not yes or no"),
    ("hedge_budget = 0.01\nrepeatable = no", "0.01 allows repeats of requests"),
]


@pytest.mark.parametrize(("old", "new", "start"), FAULTS)
def test_each_fault_is_found_at_its_location(tmp_path, old, new, start):
    found = find_faults(tmp_path, VALID.replace(old, new, 1))
    assert any(each.startswith(start) for each in found), found


@pytest.mark.parametrize(("lines", "message"), SERVICE_FAULTS)
def test_each_fault_of_a_service_is_the_only_finding(tmp_path, lines, message):
    (found,) = find_faults(tmp_path, VALID + lines)
    assert found.startswith(f":34: [service s] {lines.split()[0]}: {message}")


def test_margin_that_leaves_no_time_is_found(tmp_path):
    found = find_faults(tmp_path, VALID.replace("gin_ms = 15", "gin_ms = 210"))
    assert found[0].startswith(":8: [deadline d] margin_ms: 210.0 leaves nothing")


def test_non_repeatable_service_has_no_hedge_budget_by_default(tmp_path):
    declarations = load_text(tmp_path, VALID + "repeatable = no")
    assert declarations.services["s"].hedge_budget == 0


def test_reference_to_a_faulty_object_is_not_reported_as_broken(tmp_path):
    found = find_faults(tmp_path, VALID.replace("n_slots = 3", "n_slots = x"))
    assert [each[:4] for each in found] == [":10:"]


def test_shards_of_a_faulty_upstream_are_not_reported_as_unserved(tmp_path):
    found = find_faults(tmp_path, VALID.replace("10.0.0.1:80", "host"))
    assert [each[:4] for each in found] == [":21:"]


def test_object_declared_in_two_files_is_found(tmp_path):
    (tmp_path / "a.ini").write_text(VALID)
    (tmp_path / "b.ini").write_text("[region fi]\n")
    with pytest.raises(DeclarationError) as caught:
        load_declarations([tmp_path])
    (finding,) = caught.value.findings
    assert finding.message.startswith(f"is declared at {tmp_path}/a.ini:1 already")


def test_file_named_twice_is_read_once(tmp_path):
    (tmp_path / "a.ini").write_text(VALID)
    assert load_declarations([tmp_path, tmp_path / "a.ini"]).services


@pytest.mark.parametrize("content", [None, "", "# nothing\n"])
def test_no_declarations_at_all_is_a_finding(tmp_path, content):
    if content is not None:
        (tmp_path / "a.ini").write_text(content)
    with pytest.raises(DeclarationError):
        load_declarations([tmp_path])


def test_ten_thousand_faults_are_counted_and_a_hundred_shown(tmp_path):
    upstreams = "".join(f"[upstream x{number}]\n" for number in range(2_500))
    with pytest.raises(DeclarationError) as caught:
        load_text(tmp_path, VALID + upstreams)
    assert caught.value.n_found == 12_500
    assert len(caught.value.findings) == 10_000
    assert len(str(caught.value).splitlines()) == 101


@pytest.mark.parametrize("path", EXAMPLES)
def test_example_is_valid_and_round_trips_through_its_document(path):
    declarations = load_declarations([path])
    assert decode_declarations(encode_declarations(declarations)) == declarations


def test_both_examples_can_be_published_as_one_set():
    declarations = load_declarations(EXAMPLES)
    assert declarations.services["lookup"].weigh is AnswerPreference.TAIL
    assert declarations.services["search"].least_coverage == 0.9


def test_each_shard_of_the_examples_is_held_in_two_data_centres():
    declarations = load_declarations(EXAMPLES)
    for name in ("findings", "produce"):
        for replicas in declarations.snapshots[name].replicas:
            data_centres = [
                declarations.upstreams[each].data_centre for each in replicas
            ]
            assert len(data_centres) == len(set(data_centres)) == 2


def test_body_larger_than_the_platform_accepts_is_refused(tmp_path):
    upstreams = "".join(
        f"[upstream {'u' * 50}-{number}]\ndata_centre = a\nlimit = l\nshard_set = f\n"
        f"shards = 0\naddress = 10.1.{number // 250}.{number % 250}:80\n"
        for number in range(12_000)
    )
    declarations = load_text(tmp_path, VALID + upstreams)
    with pytest.raises(DeclarationError, match=f"holds {MAX_BODY_BYTES}"):
        encode_declarations(declarations)


INVALID_BODIES = [
    ("", "is not JSON"),
    ("[]", "is not a JSON object"),
    ('{"format":2,"kinds":{}}', "'2' is not 1"),
    ('{"format":1}', "must hold exactly format, kinds"),
    ('{"format":1,"kinds":[]}', "is not a JSON object"),
    ('{"format":1,"kinds":{"region":1}}', "is not a table"),
    ('{"format":1,"kinds":{"region":{"keys":["name"],"rows":[[1]]}}}', "has a row"),
    ('{"format":1,"kinds":{"region":{"keys":["name"],"rows":[["a"]]}}}', "is missing"),
    ('{"format":1,"kinds":{"x":{"keys":["name"],"rows":[["a"]]}}}', "unknown kind"),
]

DUPLICATE_ROWS = {"keys": ["name", "between_data_centres_ms", "to_callers_ms"]}
DUPLICATE_ROWS["rows"] = [["a", "1", "1"], ["a", "1", "1"]]
DUPLICATE_BODY = json.dumps({"format": 1, "kinds": {"region": DUPLICATE_ROWS}})
INVALID_BODIES.append((DUPLICATE_BODY, "is declared at"))


@pytest.mark.parametrize(("body", "message"), INVALID_BODIES)
def test_invalid_body_is_a_finding(body, message):
    with pytest.raises(DeclarationError, match=message):
        decode_declarations(body)


@pytest.mark.parametrize(
    ("old", "new"),
    [('["fi-south-1","fi-south"]', '["x","fi-south"]'), ('"0-1"', '"0-12"')],
)
def test_body_with_a_broken_reference_is_refused(old, new):
    body = encode_declarations(load_declarations(EXAMPLES))
    assert old in body
    with pytest.raises(DeclarationError):
        decode_declarations(body.replace(old, new))


@pytest.mark.parametrize(
    "body",
    ["{", '{"format":1}', '{"format":1,"data_centres":["/"],"upstreams":[]}']
    + ['{"format":1,"data_centres":1,"upstreams":[1]}'],
)
def test_invalid_body_of_drains_is_a_finding(body):
    with pytest.raises(DeclarationError):
        decode_drains(body)


def test_every_key_is_in_the_manual():
    manual = Path("docs/CONFIGURATION.md").read_text()
    for kind in KINDS.values():
        section = manual.partition(f"### `[{kind.keyword} NAME]`")[2].partition("###")[
            0
        ]
        assert [key for key in kind.value_types if f"| `{key}` |" not in section] == []
