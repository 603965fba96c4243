import json
import subprocess
import sys

import pytest

from heatherpick.__main__ import main

KUUSIKETJU = "examples/kuusiketju"
PLATFORM = ("--platform", "127.0.0.1:1")


def run_command(*argv):
    command = [sys.executable, "-m", "heatherpick", *map(str, argv)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


NETWORK_COMMANDS = [
    (("diff", KUUSIKETJU, *PLATFORM), 4),
    (("publish", KUUSIKETJU, *PLATFORM), 4),
    (("drain", "upstream", "a", *PLATFORM), 4),
    (("undrain", "upstream", "a", *PLATFORM), 4),
    (("status", "--node", "127.0.0.1:1"), 1),
    (("query", "lookup", "--node", "127.0.0.1:1", "--query", "x"), 1),
]


@pytest.mark.parametrize(("argv", "code"), NETWORK_COMMANDS)
def test_command_without_its_server_ends_with_one_line(argv, code):
    completed = run_command(*argv)
    assert completed.returncode == code
    assert completed.stdout == ""
    assert len(completed.stderr.splitlines()) == 1
    assert "refused" in completed.stderr


@pytest.mark.parametrize("command", ["publish", "diff"])
def test_faulty_files_end_a_network_command_with_findings(tmp_path, command):
    path = tmp_path / "set.ini"
    path.write_text("[region r]\n")
    completed = run_command(command, path, *PLATFORM)
    assert completed.returncode == 2
    assert completed.stderr.splitlines()[0].startswith(f"{path}:1: [region r] between_")
    assert "Traceback" not in completed.stderr


def test_faulty_settings_end_the_node_with_findings(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text("[node]\n")
    completed = run_command("node", "--settings", path)
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 5


@pytest.mark.parametrize(
    "argv",
    [
        (),
        ("fly",),
        ("check",),
        ("publish", KUUSIKETJU),
        ("publish", KUUSIKETJU, "--platform", "localhost:1"),
        ("drain", "rack", "a", *PLATFORM),
        ("query", "lookup", "--node", "127.0.0.1:1"),
        ("publish", KUUSIKETJU, *PLATFORM, "--wait-ms", "nan"),
    ],
)
def test_faulty_arguments_exit_with_code_2(argv, capsys):
    with pytest.raises(SystemExit) as caught:
        main(argv)
    assert caught.value.code == 2
    assert "usage: heatherpick" in capsys.readouterr().err


def test_check_of_the_examples_finds_nothing(capsys):
    assert main(["check", KUUSIKETJU, "examples/agrotrofi"]) == 0
    assert capsys.readouterr().out == "findings: 0\n"


def write_settings(tmp_path, data_centre):
    path = tmp_path / "node.ini"
    path.write_text(
        f"[node]\nname = n\ndata_centre = {data_centre}\n"
        "caller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n"
        "platform_address = 127.0.0.1:3\n"
    )
    return str(path)


@pytest.mark.parametrize(("data_centre", "code"), [("fi-south-1", 0), ("attiki-1", 2)])
def test_check_compares_settings_with_declarations(tmp_path, data_centre, code):
    settings = write_settings(tmp_path, data_centre)
    assert main(["check", KUUSIKETJU, "--settings", settings]) == code


def test_check_reports_files_and_settings_together_as_json(tmp_path, capsys):
    (tmp_path / "set.ini").write_text("[data-centre a]\nregion = r\n")
    (tmp_path / "node.ini").write_text("[node]\n")
    argv = ["check", f"{tmp_path}/set.ini", "--settings", f"{tmp_path}/node.ini"]
    assert main([*argv, "--json"]) == 2
    report = json.loads(capsys.readouterr().out)
    assert report["n_findings"] == len(report["findings"]) == 6
    assert report["findings"][0]["subject"] == "[data-centre a] region"


def test_undecodable_file_name_is_printed(tmp_path):
    completed = run_command("check", tmp_path / "\udcff.ini")
    assert completed.returncode == 2
    assert "Traceback" not in completed.stderr
