"""One claims object of the platform: its pending changes and its last known state."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from heatherpick._core.claims import ClaimEntry, ClaimTable

__all__ = ["Change", "ClaimBucket", "Need", "KeyView"]

#: Initial and maximum delay of retries after the platform did not respond, in
#: seconds.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0


class Need(Enum):
    """What a change still needs before it is decided."""

    NOTHING = 0
    READ = 1
    WRITE = 2


@dataclass(frozen=True, slots=True)
class KeyView:
    """State of one key, as known when a change to it is evaluated.

    Parameters
    ----------
    entry : ClaimEntry or None
        The key's claim in the newest known object.
    is_fresh : bool
        Whether the object was requested after the change was added.
    is_settled : bool
        Whether no earlier write of this node can still take effect unnoticed.
    has_room : bool
        Whether the object has room for one more claim.
    is_never_sent : bool
        Whether the entry is a claim of this node that was abandoned before its order
        was sent.
    """

    entry: ClaimEntry | None
    is_fresh: bool
    is_settled: bool
    has_room: bool
    is_never_sent: bool


class Change(ABC):
    """A pending change to one key of a claims object.

    Parameters
    ----------
    key : str
        Idempotency key.
    claim_id : str
        Id of the claim that the change belongs to.
    """

    def __init__(self, key, claim_id):
        self.key = key
        self.claim_id = claim_id
        self.n_requests_before = 0
        self.is_in_write = False
        self.may_be_written = False

    @property
    def is_void(self):
        """Whether the change is obsolete and cannot have been written."""
        return False

    @property
    def is_abandoned(self):
        """Whether this is a claim that was abandoned before its order was sent."""
        return False

    @abstractmethod
    def evaluate(self, view):
        """Return what the change still needs, given a `KeyView`."""

    @abstractmethod
    def finish(self, view, now):
        """Act on the result: the change needs nothing more."""

    @abstractmethod
    def apply(self, table, wall_s):
        """Apply the change to a `ClaimTable`; ``wall_s`` is the time of day."""

    @abstractmethod
    def note_failure(self, n_failures, now):
        """Handle the ``n_failures``-th consecutive failure of the platform."""


class ClaimBucket:
    """The claims object of one bucket.

    At most one read or write is in flight. A write whose response was lost may take
    effect as long as the object still has the version that it expected. Until a
    higher version was read, a missing entry proves nothing.

    Parameters
    ----------
    name : str
        Name of the object.
    retention_s : float
        Seconds after which a claim is pruned.
    wall_offset_s : float
        Seconds to add to ``now`` for the time of day. Nodes share the claims, and
        their own clocks count from the start of each VM.
    """

    def __init__(self, name, retention_s, wall_offset_s):
        self.name = name
        self._retention_s = retention_s
        self._wall_offset_s = wall_offset_s
        self.table = None
        self.version = 0
        self.n_failures = 0
        self.retry_at = 0.0
        self.used_at = 0.0
        self._changes = []
        self._unevaluated = []
        self._n_requests = 0
        self._n_requests_at_table = 0
        self._is_busy = False
        self._table_in_write = None
        self._unsettled_version = None

    @property
    def has_changes(self):
        """Whether any change is pending."""
        return bool(self._changes or self._unevaluated)

    @property
    def is_idle(self):
        """Whether no change is pending and no request is in flight."""
        return not self.has_changes and not self._is_busy

    @property
    def n_bytes(self):
        """Approximate memory of the last known object."""
        return self.table.n_bytes if self.table is not None else 0

    def add(self, change, now):
        """Add a pending change."""
        change.n_requests_before = self._n_requests
        self._unevaluated.append(change)
        self.used_at = now

    def finish_decided(self, now):
        """Finish every change that is decided.

        A change is evaluated when it is added and again when a new state of the
        object is known, so that it costs nothing while others arrive.
        """
        while self._unevaluated:
            change = self._unevaluated.pop()
            view = self._build_view(change)
            if self._evaluate(change, view) is not Need.NOTHING:
                self._changes.append(change)
            elif not change.is_void:
                change.finish(view, now)

    def next_need(self, now):
        """Return the request to send to the platform now, as a `Need`."""
        if self._is_busy or now < self.retry_at:
            return Need.NOTHING
        self._requeue_changes()
        self.finish_decided(now)
        needs = {self._evaluate(each, self._build_view(each)) for each in self._changes}
        if not needs:
            return Need.NOTHING
        return Need.READ if Need.READ in needs else Need.WRITE

    def begin_read(self):
        """Record that a read is sent."""
        self._is_busy = True
        self._n_requests += 1

    def begin_write(self, now):
        """Record that a write is sent; returns the object's text."""
        table = self.table.copy()
        table.prune(self._compute_cutoff(now))
        for change in self._changes:
            if self._evaluate(change, self._build_view(change)) is Need.WRITE:
                change.is_in_write = True
                change.apply(table, now + self._wall_offset_s)
        self._is_busy = True
        self._n_requests += 1
        self._table_in_write = table
        return table.build_body()

    def _compute_cutoff(self, now):
        return now + self._wall_offset_s - self._retention_s

    def end_write(self, version):
        """Record that the write took effect."""
        self._mark_maybe_written()
        self._replace_table(version, self._table_in_write)

    def end_read(self, version, body, now):
        """Record the object that a read or a write conflict returned.

        Raises
        ------
        FrameError
            If the text is not a valid table of claims.
        """
        table = ClaimTable.from_body(body)
        table.prune(self._compute_cutoff(now))
        self._replace_table(version, table)

    def note_failure(self, was_sent, now):
        """Record that the platform did not respond."""
        if self._table_in_write is not None and was_sent:
            self._unsettled_version = self.version
        if was_sent:
            self._mark_maybe_written()
        self._end_request()
        self.table = None
        delay_s = INITIAL_RETRY_DELAY_S * 2 ** min(self.n_failures, 8)
        self.retry_at = now + min(delay_s, MAX_RETRY_DELAY_S)
        self.n_failures += 1
        for change in list(self._unevaluated):
            change.note_failure(self.n_failures, now)

    def _replace_table(self, version, table):
        self._end_request()
        if self._unsettled_version is not None and version > self._unsettled_version:
            self._unsettled_version = None
        self.version = version
        self.table = table
        self._n_requests_at_table = self._n_requests
        self.n_failures = 0

    def _mark_maybe_written(self):
        for change in self._changes:
            change.may_be_written |= change.is_in_write

    def _end_request(self):
        self._is_busy = False
        self._table_in_write = None
        for change in self._changes:
            change.is_in_write = False
        self._requeue_changes()

    def _requeue_changes(self):
        # Reversed, as changes are evaluated from the end and the oldest comes first.
        self._unevaluated += reversed(self._changes)
        self._changes = []

    def _evaluate(self, change, view):
        if change.is_void:
            return Need.NOTHING
        return Need.READ if view is None else change.evaluate(view)

    def _build_view(self, change):
        if self.table is None:
            return None
        entry = self.table.get(change.key)
        return KeyView(
            entry,
            self._n_requests_at_table > change.n_requests_before,
            self._unsettled_version is None and self._table_in_write is None,
            self.table.has_room,
            entry is not None and self._is_never_sent(entry, change),
        )

    def _is_never_sent(self, entry, change):
        """Return whether an entry is another claim of this node that was abandoned."""
        if entry.claim_id == change.claim_id:
            return False
        return any(
            each.is_abandoned and each.claim_id == entry.claim_id
            for each in (*self._changes, *self._unevaluated)
        )
