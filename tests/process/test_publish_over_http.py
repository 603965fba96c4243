import json
import subprocess
import sys
import urllib.request

import pytest

from heatherpick.declarations import encode_declarations, load_declarations

KUUSIKETJU = "examples/kuusiketju"
BODY = encode_declarations(load_declarations([KUUSIKETJU]))


@pytest.fixture
def platform():
    """Address of a stand-in for the platform."""
    command = [sys.executable, "-m", "standins.platform", "--port", "0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield f"127.0.0.1:{json.loads(process.stdout.readline())['port']}"
    finally:
        process.terminate()
        process.communicate(timeout=30)


def run_command(platform, *argv):
    command = [sys.executable, "-m", "heatherpick", *argv, "--platform", platform]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def request_json(platform, path, content=None):
    data = None if content is None else json.dumps(content).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(f"http://{platform}{path}", data, headers)
    with urllib.request.urlopen(request, timeout=30) as response:
        return json.load(response)


@pytest.mark.parametrize("kind", [None, "lose_answers", "outage"])
def test_declarations_are_published_once_despite_a_fault_of_the_first_response(
    platform, kind
):
    if kind is not None:
        fault = {"kind": kind, "n_next": 1, "operations": ["put"]}
        request_json(platform, "/_control/faults", fault)
    completed = run_command(platform, "publish", KUUSIKETJU)
    assert (completed.returncode, completed.stderr) == (0, "")
    published = request_json(platform, "/v1/objects/shared/declarations")
    assert (published["version"], published["body"]) == (1, BODY)
