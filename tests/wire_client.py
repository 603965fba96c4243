"""Calls to a stand-in's HTTP server in memory, under a clock that tests advance."""

import orjson
from treq.testing import StubTreq
from twisted.python.failure import Failure

LOST = "lost"


class WireClient:
    """Sends requests to a klein app and notes each answer when it comes."""

    def __init__(self, app, clock):
        self._client = StubTreq(app.resource())
        self._clock = clock

    def call(self, method, path, body=None, **headers):
        """Return a list that will hold (status, content), `LOST` or nothing yet."""
        answers = []
        data = None if body is None else orjson.dumps(body)
        names = {name.replace("_", "-"): text for name, text in headers.items()}
        self.sending = self._client.request(
            method, f"http://standin{path}", data=data, headers=names
        )
        self.sending.addCallback(self._read)
        self.sending.addBoth(lambda result: answers.append(_simplify(result)))
        self._client.flush()
        return answers

    def advance(self, seconds):
        """Let time pass and deliver what was written meanwhile."""
        self._clock.advance(seconds)
        self._client.flush()

    def flush(self):
        """Deliver what was written."""
        self._client.flush()

    def close(self):
        """Close the connection of the last call."""
        self.sending.cancel()
        self._client.flush()

    def _read(self, response):
        reading = self._client.content(response)
        return reading.addCallback(lambda text: (response.code, orjson.loads(text)))


def _simplify(result):
    return LOST if isinstance(result, Failure) else result
