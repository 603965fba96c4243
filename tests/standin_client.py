"""In-memory calls to a stand-in's HTTP server, with a clock that tests advance."""

import orjson
from treq.testing import StubTreq
from twisted.python.failure import Failure

LOST = "lost"


class StandinClient:
    """Sends requests to a klein app and records each response when it arrives."""

    def __init__(self, app, clock):
        self._client = StubTreq(app.resource())
        self._clock = clock

    def call(self, method, path, body=None, **headers):
        """Send a request; return a list that is empty until the request ends.

        It then holds (status, content), or `LOST` if the connection was lost.
        """
        responses = []
        data = None if body is None else orjson.dumps(body)
        header_values = {name.replace("_", "-"): text for name, text in headers.items()}
        self.pending_request = self._client.request(
            method, f"http://standin{path}", data=data, headers=header_values
        )
        self.pending_request.addCallback(self._read)
        self.pending_request.addBoth(
            lambda result: responses.append(_replace_failure(result))
        )
        self._client.flush()
        return responses

    def advance(self, seconds):
        """Advance the clock and deliver what was written."""
        self._clock.advance(seconds)
        self._client.flush()

    def flush(self):
        """Deliver what was written."""
        self._client.flush()

    def close(self):
        """Close the connection of the last call."""
        self.pending_request.cancel()
        self._client.flush()

    def _read(self, response):
        pending_content = self._client.content(response)
        return pending_content.addCallback(
            lambda text: (response.code, orjson.loads(text))
        )


def _replace_failure(result):
    return LOST if isinstance(result, Failure) else result
