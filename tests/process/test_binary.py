import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tools.binary import build, list_distributions

# A sitecustomize module, which every Python imports at startup, so that the audit hook
# records each process start, however early.
RECORDER = """\
import os, sys
STARTS = ("os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.system",
          "subprocess.Popen")
def record(event, arguments):
    if event.startswith(STARTS):
        with open(os.environ["STARTS_FILE"], "a") as file:
            file.write(f"{event}\\n")
sys.addaudithook(record)
"""


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    target = tmp_path_factory.mktemp("dist") / "heatherpick"
    build(target)
    return target


@pytest.fixture
def environment(tmp_path):
    (tmp_path / "sitecustomize.py").write_text(RECORDER)
    return {
        "PATH": f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}",
        "PYTHONPATH": str(tmp_path),
        "SHIV_ROOT": str(tmp_path / "unpacked"),
        "STARTS_FILE": str(tmp_path / "starts"),
    }


def list_children(pid):
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return [
        child for task in tasks for child in (task / "children").read_text().split()
    ]


def test_binary_runs_as_one_process(binary, environment):
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        command = [binary, "status", "--node", address]
        process = subprocess.Popen(command, env=environment, stderr=subprocess.PIPE)
        # The connection shows that the program has unpacked itself and is running.
        connection, _ = server.accept()
        children = list_children(process.pid)
        connection.close()
        _, errors = process.communicate(timeout=60)
    assert children == []
    assert process.returncode == 1, errors
    assert not Path(environment["STARTS_FILE"]).exists()


def test_recorder_records_a_process_start(environment):
    code = "import subprocess, sys; subprocess.run([sys.executable, '-c', ''])"
    subprocess.run([sys.executable, "-c", code], env=environment, check=True)
    assert "subprocess.Popen" in Path(environment["STARTS_FILE"]).read_text()


def test_binary_is_one_executable_file_with_its_own_code(binary, environment):
    assert [path.name for path in binary.parent.iterdir()] == ["heatherpick"]
    command = [binary, "check", "examples/kuusiketju"]
    completed = subprocess.run(command, env=environment, capture_output=True, text=True)
    assert (completed.returncode, completed.stdout) == (0, "findings: 0\n")


def test_requirements_include_extras_and_transitive_dependencies():
    names = {each.name.lower() for each in list_distributions(["treq"])}
    assert {"treq", "twisted", "pyopenssl", "cffi"} <= names
    assert "pytest" not in names
