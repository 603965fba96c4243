"""Claims in the platform's store: what is asked of it, how often, and its answers."""

from itertools import count

from heatherpick._core.claim_buckets import ClaimBucket, Need
from heatherpick._core.claims import compute_bucket, format_object_name
from heatherpick._core.effects import Count, ReadObject, SetTimer, WriteObject
from heatherpick.errors import FrameError

__all__ = ["ClaimStore"]

#: Time that the platform has for one answer, in milliseconds.
PLATFORM_TIMEOUT_MS = 300.0

#: Writes that may follow at once when there were none for a while.
N_BURST_WRITES = 20

#: Memory for objects of idle buckets, in bytes.
MAX_IDLE_BYTES = 4_000_000

FLUSH_TIMER = "orders:flush"


class WritePacer:
    """Keeps this node's writes below a rate, so that claims gather into fewer.

    Parameters
    ----------
    n_per_s : float
        Writes a second that this node may ask of the platform.
    """

    def __init__(self, n_per_s):
        self._n_per_s = n_per_s
        self._n_tokens = float(N_BURST_WRITES)
        self._filled_at = 0.0

    def wait(self, now):
        """Return the seconds until the next write may be asked for."""
        gained = (now - self._filled_at) * self._n_per_s
        self._n_tokens = min(self._n_tokens + max(gained, 0.0), N_BURST_WRITES)
        self._filled_at = now
        if self._n_tokens < 1.0:
            return (1.0 - self._n_tokens) / self._n_per_s
        return 0.0

    def take(self):
        """Count a write."""
        self._n_tokens -= 1.0


class ClaimStore:
    """The buckets that this node has to do with.

    Parameters
    ----------
    out : list
        Effects go here.
    retention_s : float
        Seconds after which a claim is forgotten.
    n_writes_per_s : float
        Writes a second that this node may ask of the platform.
    wall_offset_s : float
        Seconds to add to ``now`` for the time of day.
    """

    def __init__(self, out, retention_s, n_writes_per_s, wall_offset_s):
        self._out = out
        self._retention_s = retention_s
        self._wall_offset_s = wall_offset_s
        self._pacer = WritePacer(n_writes_per_s)
        self._buckets = {}
        self._requests = {}
        self._numbers = count(1)
        self._dirty = {}
        self._waiting = {}
        self._is_flushing = False
        self._armed_at = None

    @property
    def is_idle(self):
        """Whether nothing is wanted of the platform."""
        return all(bucket.is_idle for bucket in self._buckets.values())

    def add(self, service, change, now):
        """Take in a `Change`; `flush` then sends it."""
        name = format_object_name(service, compute_bucket(change.key))
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = ClaimBucket(name, self._retention_s, self._wall_offset_s)
            self._buckets[name] = bucket
        bucket.add(change, now)
        if now < bucket.retry_at:
            change.fail(bucket.n_failures, now)
        self._dirty[name] = bucket

    def flush(self, now):
        """Finish what is decided and ask the platform for what is needed."""
        # Finishing a change may ask for a flush: the one under way sees to it.
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            self._write_waiting(now)
            while self._dirty:
                name = next(iter(self._dirty))
                bucket = self._dirty.pop(name)
                bucket.settle(now)
                self._ask(bucket, now)
                self._write_waiting(now)
        finally:
            self._is_flushing = False
        self._forget_idle()

    def object_read(self, event, now):
        """Take in an `ObjectRead` or `ObjectConflict`."""
        bucket = self._end_request(event)
        if bucket is None:
            return
        try:
            bucket.end_read(event.version, event.body, now)
        except FrameError:
            # Overwriting what cannot be read might free keys that have run.
            self._out.append(Count("claims_failed", "unreadable object"))
            bucket.fail(False, now)

    def object_written(self, event, now):
        """Take in an `ObjectWritten`."""
        bucket = self._end_request(event)
        if bucket is not None:
            bucket.end_write(event.version)

    def object_failed(self, event, now):
        """Take in an `ObjectFailed`."""
        bucket = self._end_request(event)
        if bucket is None:
            return
        self._out.append(Count("claims_failed", "no answer"))
        bucket.fail(event.sent, now)

    def timer(self, now):
        """Try again what had to wait."""
        self._armed_at = None
        for name, bucket in self._buckets.items():
            if bucket.has_changes:
                self._dirty[name] = bucket

    def _end_request(self, event):
        bucket = self._requests.pop(event.token, None)
        if bucket is None:
            self._out.append(Count("claims_failed", "strange answer"))
            return None
        self._dirty[bucket.name] = bucket
        return bucket

    def _ask(self, bucket, now):
        if bucket.name in self._waiting:
            return
        need = bucket.next_need(now)
        if need is Need.READ:
            bucket.begin_read()
            token = self._begin_request(bucket)
            self._out.append(ReadObject(token, bucket.name, PLATFORM_TIMEOUT_MS))
        elif need is Need.WRITE:
            self._waiting[bucket.name] = bucket
        elif bucket.has_changes and now < bucket.retry_at:
            self._arm(bucket.retry_at, now)

    def _write_waiting(self, now):
        """Write buckets in the order in which they came to wait for a write."""
        while self._waiting:
            wait_s = self._pacer.wait(now)
            if wait_s:
                self._arm(now + wait_s, now)
                return
            bucket = self._waiting.pop(next(iter(self._waiting)))
            # What was wanted may have been given up in the meantime.
            if bucket.next_need(now) is Need.WRITE:
                self._pacer.take()
                self._write(bucket, now)
            else:
                self._dirty[bucket.name] = bucket

    def _write(self, bucket, now):
        expected = bucket.version
        body = bucket.begin_write(now)
        token = self._begin_request(bucket)
        self._out.append(
            WriteObject(token, bucket.name, expected, body, PLATFORM_TIMEOUT_MS)
        )

    def _begin_request(self, bucket):
        token = f"orders:{next(self._numbers)}"
        self._requests[token] = bucket
        return token

    def _arm(self, due, now):
        if self._armed_at is not None and self._armed_at <= due:
            return
        self._armed_at = due
        # A clock that fires a rounding error early must not fire in a loop.
        self._out.append(SetTimer(FLUSH_TIMER, (due - now) * 1000 + 0.01))

    def _forget_idle(self):
        idle = [each for each in self._buckets.values() if each.is_idle]
        n_bytes = sum(each.n_bytes for each in idle)
        if n_bytes <= MAX_IDLE_BYTES:
            return
        for bucket in sorted(idle, key=lambda each: each.used_at):
            n_bytes -= bucket.n_bytes
            del self._buckets[bucket.name]
            if n_bytes <= MAX_IDLE_BYTES:
                return
