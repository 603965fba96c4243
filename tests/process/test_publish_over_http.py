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


def run(platform, *argv):
    command = [sys.executable, "-m", "heatherpick", *argv, "--platform", platform]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def ask(platform, path, content=None):
    data = None if content is None else json.dumps(content).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(f"http://{platform}{path}", data, headers)
    with urllib.request.urlopen(request, timeout=30) as answer:
        return json.load(answer)


@pytest.mark.parametrize("kind", [None, "lose_answers", "outage"])
def test_set_is_published_once_whatever_becomes_of_the_first_answer(platform, kind):
    if kind is not None:
        fault = {"kind": kind, "n_next": 1, "operations": ["put"]}
        ask(platform, "/_control/faults", fault)
    done = run(platform, "publish", KUUSIKETJU)
    assert (done.returncode, done.stderr) == (0, "")
    live = ask(platform, "/v1/objects/shared/declarations")
    assert (live["version"], live["body"]) == (1, BODY)
