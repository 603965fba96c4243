"""Conditional updates of the membership document, one at a time."""

import xxhash

from heatherpick._core.effects import ReadObject, SetTimer, WriteObject
from heatherpick._core.membership import encode_membership

__all__ = ["PLATFORM_TIMER", "Registration"]

#: Timer after which a change of the document is tried again.
PLATFORM_TIMER = "members:platform"

#: Milliseconds that the platform has for an answer.
TIMEOUT_MS = 2_000.0

#: First and longest wait in seconds after a failure or conflict.
FIRST_WAIT_S = 0.05
LONGEST_WAIT_S = 5.0


class Registration:
    """Reads and writes one object; never has two calls outstanding.

    A write whose answer is lost is resolved by reading back. A conflict gives the
    newer document, from which the caller works out the change anew.
    """

    def __init__(self, object_name, seed):
        self._object_name = object_name
        self._seed = seed
        self._n_calls = 0
        self._n_setbacks = 0
        self._token = ""
        self._body = ""
        self._not_before = 0.0
        self.has_read = False

    def read(self, now):
        """Return effects that read the document, if no call is outstanding."""
        if not self.is_free(now):
            return []
        self._token = self._next_token("read")
        return [ReadObject(self._token, self._object_name, TIMEOUT_MS)]

    def write(self, membership, now):
        """Return effects that write ``membership`` over the version it stems from."""
        if not self.is_free(now):
            return []
        self._token = self._next_token("write")
        self._body = encode_membership(membership)
        epoch = membership.epoch
        return [
            WriteObject(self._token, self._object_name, epoch, self._body, TIMEOUT_MS)
        ]

    def is_free(self, now):
        """Return whether a call may be made now."""
        return not self._token and now >= self._not_before

    def finish(self, event):
        """Return the version and body that an answer proves, None for a stray one."""
        if event.token != self._token:
            return None
        self._token = ""
        self.has_read = True
        body = getattr(event, "body", None)
        if body is None:
            self._n_setbacks = 0
            body = self._body
        return event.version, body

    def wait_for_turn(self, now):
        """Return the timer for the next try after a conflict."""
        return self._back_off(now)

    def fail(self, event, now):
        """Return the timer for the next try after a call without an answer."""
        if event.token != self._token:
            return []
        self._token = ""
        self.has_read = False
        return self._back_off(now)

    def wake(self):
        """Permit the next call; the wait of `PLATFORM_TIMER` is over."""
        self._not_before = 0.0

    def _back_off(self, now):
        self._n_setbacks += 1
        longest_s = min(LONGEST_WAIT_S, FIRST_WAIT_S * 2.0 ** min(self._n_setbacks, 10))
        draw = xxhash.xxh32_intdigest(f"{self._seed}\n{self._n_calls}".encode()) / 2**32
        wait_s = longest_s * (0.5 + draw / 2)
        self._not_before = now + wait_s
        return [SetTimer(PLATFORM_TIMER, wait_s * 1000)]

    def _next_token(self, kind):
        self._n_calls += 1
        return f"members:{kind}/{self._n_calls}"
