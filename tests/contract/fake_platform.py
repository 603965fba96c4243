"""Platform and nodes in memory, in place of treq, with one fault for each write."""

import json
from types import SimpleNamespace

from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.web.client import ResponseNeverReceived

from heatherpick.__main__ import _build_parser
from heatherpick._commands.command import Context

ADDRESS = "127.0.0.1:9000"


class FakePlatform:
    """Objects by name, each (version, body); ``faults`` has one entry a call."""

    def __init__(self):
        self.clock = Clock()
        self.objects = {}
        self.read_faults = []
        self.write_faults = []
        self.statuses = []
        self.n_writes = 0
        self.requests = []
        self.answers = []

    def put(self, name, body):
        version, _ = self.objects.get(name, (0, ""))
        self.objects[name] = (version + 1, body)

    async def request(self, method, url, json=None, headers=None):
        self.requests.append((method, url, json, headers))
        if method == "POST":
            return self.answers.pop(0)
        if url.endswith("/-/status"):
            return answer(200, self.statuses.pop(0))
        name = url.partition("/v1/objects/")[2]
        faults = self.read_faults if method == "GET" else self.write_faults
        fault = faults.pop(0) if faults else None
        if callable(fault):
            fault = fault(self)
        if fault == "refuse":
            raise ConnectionRefusedError()
        if fault == "outage":
            return answer(503, {})
        if fault == "lose before":
            raise ResponseNeverReceived([])
        done = self.read(name)
        if method == "PUT":
            done = self.write(name, int(headers["If-Match"]), json["body"])
        if fault == "lose after":
            raise ResponseNeverReceived([])
        return done

    def read(self, name):
        if name not in self.objects:
            return answer(404, {})
        version, body = self.objects[name]
        return answer(200, {"name": name, "version": version, "body": body})

    def write(self, name, expected, body):
        self.n_writes += 1
        version, _ = self.objects.get(name, (0, ""))
        if version != expected:
            return answer(409, self.read(name).content)
        self.put(name, body)
        return answer(200, {"version": version + 1})

    async def collect(self, response, collector):
        collector(json.dumps(response.content).encode())

    def run(self, *argv):
        """Run a command to its end and return its exit code or its error."""
        arguments = _build_parser().parse_args(argv)
        context = Context(self, self.clock)
        ended = []
        done = ensureDeferred(arguments.command.execute(arguments, context))
        done.addCallbacks(ended.append, lambda failure: ended.append(failure.value))
        self.clock.pump([] if ended else [0.1] * 1000)
        return ended[0]


def answer(status, content):
    return SimpleNamespace(code=status, content=content)
