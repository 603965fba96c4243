"""Claims in the platform's store: schedules reads and writes, handles the responses."""

from itertools import count

from heatherpick._core.claim_buckets import ClaimBucket, Need
from heatherpick._core.claims import compute_bucket, format_object_name
from heatherpick._core.effects import Count, ReadObject, SetTimer, WriteObject
from heatherpick.errors import FrameError

__all__ = ["ClaimStore"]

#: Timeout of a request to the platform, in milliseconds.
PLATFORM_TIMEOUT_MS = 300.0

#: Burst size: writes that may be sent at once after an idle period.
MAX_BURST_WRITES = 20

#: Limit of memory for objects of idle buckets, in bytes.
MAX_IDLE_BYTES = 4_000_000

FLUSH_TIMER = "orders:flush"


class WriteRateLimiter:
    """Token bucket that limits this node's writes, so that each carries more claims.

    Parameters
    ----------
    n_per_s : float
        Limit of this node's writes to the platform per second.
    """

    def __init__(self, n_per_s):
        self._n_per_s = n_per_s
        self._n_tokens = float(MAX_BURST_WRITES)
        self._refilled_at = 0.0

    def compute_wait_s(self, now):
        """Return the seconds until the next write may be sent."""
        gained = (now - self._refilled_at) * self._n_per_s
        self._n_tokens = min(self._n_tokens + max(gained, 0.0), MAX_BURST_WRITES)
        self._refilled_at = now
        if self._n_tokens < 1.0:
            return (1.0 - self._n_tokens) / self._n_per_s
        return 0.0

    def count_write(self):
        """Count a write."""
        self._n_tokens -= 1.0


class ClaimStore:
    """The claim buckets that this node uses.

    Parameters
    ----------
    effects : list
        Effects are appended to it.
    retention_s : float
        Seconds after which a claim is pruned.
    n_writes_per_s : float
        Limit of this node's writes to the platform per second.
    wall_offset_s : float
        Seconds to add to ``now`` for the time of day.
    """

    def __init__(self, effects, retention_s, n_writes_per_s, wall_offset_s):
        self._effects = effects
        self._retention_s = retention_s
        self._wall_offset_s = wall_offset_s
        self._rate_limiter = WriteRateLimiter(n_writes_per_s)
        self._buckets = {}
        self._buckets_by_token = {}
        self._token_numbers = count(1)
        self._dirty_buckets = {}
        self._waiting_writes = {}
        self._is_flushing = False
        self._timer_due_at = None

    @property
    def is_idle(self):
        """Whether no change is pending and no request is in flight."""
        return all(bucket.is_idle for bucket in self._buckets.values())

    def add(self, service, change, now):
        """Add a `Change`, which the next `flush` sends."""
        name = format_object_name(service, compute_bucket(change.key))
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = ClaimBucket(name, self._retention_s, self._wall_offset_s)
            self._buckets[name] = bucket
        bucket.add(change, now)
        if now < bucket.retry_at:
            change.note_failure(bucket.n_failures, now)
        self._dirty_buckets[name] = bucket

    def flush(self, now):
        """Finish the decided changes and send the requests that others need."""
        # Finishing a change may call `flush`; the call in progress handles that.
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            self._send_waiting_writes(now)
            while self._dirty_buckets:
                name = next(iter(self._dirty_buckets))
                bucket = self._dirty_buckets.pop(name)
                bucket.finish_decided(now)
                self._issue_request(bucket, now)
                self._send_waiting_writes(now)
        finally:
            self._is_flushing = False
        self._evict_idle()

    def object_read(self, event, now):
        """Handle an `ObjectRead` or `ObjectConflict`."""
        bucket = self._pop_request(event)
        if bucket is None:
            return
        try:
            bucket.end_read(event.version, event.body, now)
        except FrameError:
            # Overwriting an unreadable object might free keys whose orders have run.
            self._effects.append(Count("claims_failed", "unreadable object"))
            bucket.note_failure(False, now)

    def object_written(self, event, now):
        """Handle an `ObjectWritten`."""
        bucket = self._pop_request(event)
        if bucket is not None:
            bucket.end_write(event.version)

    def object_failed(self, event, now):
        """Handle an `ObjectFailed`."""
        bucket = self._pop_request(event)
        if bucket is None:
            return
        self._effects.append(Count("claims_failed", "no answer"))
        bucket.note_failure(event.sent, now)

    def timer(self, now):
        """Retry the changes that were delayed."""
        self._timer_due_at = None
        for name, bucket in self._buckets.items():
            if bucket.has_changes:
                self._dirty_buckets[name] = bucket

    def _pop_request(self, event):
        bucket = self._buckets_by_token.pop(event.token, None)
        if bucket is None:
            self._effects.append(Count("claims_failed", "strange answer"))
            return None
        self._dirty_buckets[bucket.name] = bucket
        return bucket

    def _issue_request(self, bucket, now):
        if bucket.name in self._waiting_writes:
            return
        need = bucket.next_need(now)
        if need is Need.READ:
            bucket.begin_read()
            token = self._register_request(bucket)
            self._effects.append(ReadObject(token, bucket.name, PLATFORM_TIMEOUT_MS))
        elif need is Need.WRITE:
            self._waiting_writes[bucket.name] = bucket
        elif bucket.has_changes and now < bucket.retry_at:
            self._set_timer(bucket.retry_at, now)

    def _send_waiting_writes(self, now):
        """Write the waiting buckets in first-in, first-out order."""
        while self._waiting_writes:
            wait_s = self._rate_limiter.compute_wait_s(now)
            if wait_s:
                self._set_timer(now + wait_s, now)
                return
            bucket = self._waiting_writes.pop(next(iter(self._waiting_writes)))
            # The changes may have been abandoned in the meantime.
            if bucket.next_need(now) is Need.WRITE:
                self._rate_limiter.count_write()
                self._send_write(bucket, now)
            else:
                self._dirty_buckets[bucket.name] = bucket

    def _send_write(self, bucket, now):
        expected_version = bucket.version
        body = bucket.begin_write(now)
        token = self._register_request(bucket)
        self._effects.append(
            WriteObject(token, bucket.name, expected_version, body, PLATFORM_TIMEOUT_MS)
        )

    def _register_request(self, bucket):
        token = f"orders:{next(self._token_numbers)}"
        self._buckets_by_token[token] = bucket
        return token

    def _set_timer(self, due_at, now):
        if self._timer_due_at is not None and self._timer_due_at <= due_at:
            return
        self._timer_due_at = due_at
        # Without the margin, a timer that fires early by a rounding error would fire
        # in a loop.
        self._effects.append(SetTimer(FLUSH_TIMER, (due_at - now) * 1000 + 0.01))

    def _evict_idle(self):
        idle = [each for each in self._buckets.values() if each.is_idle]
        n_bytes = sum(each.n_bytes for each in idle)
        if n_bytes <= MAX_IDLE_BYTES:
            return
        for bucket in sorted(idle, key=lambda each: each.used_at):
            n_bytes -= bucket.n_bytes
            del self._buckets[bucket.name]
            if n_bytes <= MAX_IDLE_BYTES:
                return
