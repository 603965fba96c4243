"""Conditional reads and writes of the membership document, one call at a time."""

import xxhash

from heatherpick._core.effects import ReadObject, SetTimer, WriteObject
from heatherpick._core.membership import encode_membership

__all__ = ["PLATFORM_TIMER", "MembershipStore"]

#: Timer of the next attempt to update the document.
PLATFORM_TIMER = "members:platform"

#: Timeout of a platform call, in milliseconds.
TIMEOUT_MS = 2_000.0

#: Shortest and longest delay after a failure or conflict, in seconds.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0


class MembershipStore:
    """Reads and writes one object, with at most one call outstanding.

    After a write without a response the object is read to see whether the write took
    effect. A conflict returns the newer document, from which the change is computed
    again.
    """

    def __init__(self, object_name, seed):
        self._object_name = object_name
        self._seed = seed
        self._n_calls = 0
        self._n_failures = 0
        self._token = ""
        self._body = ""
        self._next_call_at = 0.0
        self.has_read = False

    def read(self, now):
        """Return effects that read the document, if no call is outstanding."""
        if not self.can_call(now):
            return []
        self._token = self._next_token("read")
        return [ReadObject(self._token, self._object_name, TIMEOUT_MS)]

    def write(self, membership, now):
        """Return effects that write ``membership`` over the version it is based on."""
        if not self.can_call(now):
            return []
        self._token = self._next_token("write")
        self._body = encode_membership(membership)
        epoch = membership.epoch
        return [
            WriteObject(self._token, self._object_name, epoch, self._body, TIMEOUT_MS)
        ]

    def can_call(self, now):
        """Return whether a call may be made now."""
        return not self._token and now >= self._next_call_at

    def handle_response(self, event):
        """Return the version and body that a response confirms.

        Returns None when the response belongs to no outstanding call.
        """
        if event.token != self._token:
            return None
        self._token = ""
        self.has_read = True
        body = getattr(event, "body", None)
        if body is None:
            self._n_failures = 0
            body = self._body
        return event.version, body

    def delay_after_conflict(self, now):
        """Return the timer for the next attempt after a conflict."""
        return self._back_off(now)

    def handle_failure(self, event, now):
        """Return the timer for the next attempt after a call without a response."""
        if event.token != self._token:
            return []
        self._token = ""
        self.has_read = False
        return self._back_off(now)

    def allow_next_call(self):
        """Permit the next call, because `PLATFORM_TIMER` has fired."""
        self._next_call_at = 0.0

    def _back_off(self, now):
        self._n_failures += 1
        max_wait_s = min(
            MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(self._n_failures, 10)
        )
        fraction = (
            xxhash.xxh32_intdigest(f"{self._seed}\n{self._n_calls}".encode()) / 2**32
        )
        wait_s = max_wait_s * (0.5 + fraction / 2)
        self._next_call_at = now + wait_s
        return [SetTimer(PLATFORM_TIMER, wait_s * 1000)]

    def _next_token(self, kind):
        self._n_calls += 1
        return f"members:{kind}/{self._n_calls}"
