"""In-memory platform and nodes that replace treq, with injected faults."""

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
    """Store of objects that also answers as a node.

    Attributes
    ----------
    objects : dict of str to (int, str)
        Version and body of each object, by name.
    read_faults, write_faults : list
        One fault for each GET or PUT, taken in order: None, "refuse" (connection
        refused), "outage" (status 503), "lose before" or "lose after" (response lost
        before or after the operation took effect), or a function that changes the
        platform and returns one of these.
    statuses : list
        Contents of the next responses to ``GET /-/status``.
    responses : list
        Next responses to POST.
    n_writes : int
        Number of writes received.
    requests : list of tuple
        Method, URL, JSON and headers of each request.
    """

    def __init__(self):
        self.clock = Clock()
        self.objects = {}
        self.read_faults = []
        self.write_faults = []
        self.statuses = []
        self.n_writes = 0
        self.requests = []
        self.responses = []

    def put(self, name, body):
        version, _ = self.objects.get(name, (0, ""))
        self.objects[name] = (version + 1, body)

    async def request(self, method, url, json=None, headers=None):
        self.requests.append((method, url, json, headers))
        if method == "POST":
            return self.responses.pop(0)
        if url.endswith("/-/status"):
            return make_response(200, self.statuses.pop(0))
        name = url.partition("/v1/objects/")[2]
        faults = self.read_faults if method == "GET" else self.write_faults
        fault = faults.pop(0) if faults else None
        if callable(fault):
            fault = fault(self)
        if fault == "refuse":
            raise ConnectionRefusedError()
        if fault == "outage":
            return make_response(503, {})
        if fault == "lose before":
            raise ResponseNeverReceived([])
        response = self.read(name)
        if method == "PUT":
            response = self.write(name, int(headers["If-Match"]), json["body"])
        if fault == "lose after":
            raise ResponseNeverReceived([])
        return response

    def read(self, name):
        if name not in self.objects:
            return make_response(404, {})
        version, body = self.objects[name]
        return make_response(200, {"name": name, "version": version, "body": body})

    def write(self, name, expected_version, body):
        self.n_writes += 1
        version, _ = self.objects.get(name, (0, ""))
        if version != expected_version:
            return make_response(409, self.read(name).content)
        self.put(name, body)
        return make_response(200, {"version": version + 1})

    async def collect(self, response, collector):
        collector(json.dumps(response.content).encode())

    def run(self, *argv):
        """Run a command until it ends and return its exit code or error."""
        arguments = _build_parser().parse_args(argv)
        context = Context(self, self.clock)
        results = []
        deferred = ensureDeferred(arguments.command.execute(arguments, context))
        deferred.addCallbacks(
            results.append, lambda failure: results.append(failure.value)
        )
        self.clock.pump([] if results else [0.1] * 1000)
        return results[0]


def make_response(status, content):
    return SimpleNamespace(code=status, content=content)
