"""One claims object of the platform: what is wanted of it, and what is known."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from heatherpick._core.claims import ClaimEntry, ClaimTable

__all__ = ["Change", "ClaimBucket", "Need", "View"]

#: First and longest pause after the platform failed to answer, in seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0


class Need(Enum):
    """What a change still needs before it is decided."""

    NOTHING = 0
    READ = 1
    WRITE = 2


@dataclass(frozen=True, slots=True)
class View:
    """What is known of one key when a change to it is judged.

    Parameters
    ----------
    entry : ClaimEntry or None
        The key's claim in the newest known object.
    is_fresh : bool
        Whether the object was asked for after the change was wanted.
    is_settled : bool
        Whether no write of this node can still take effect unseen.
    has_room : bool
        Whether the object takes one more claim.
    is_never_sent : bool
        Whether the entry is a claim of this very node that it gave up unsent.
    """

    entry: ClaimEntry | None
    is_fresh: bool
    is_settled: bool
    has_room: bool
    is_never_sent: bool


class Change(ABC):
    """A change that is wanted of one key of a claims object.

    Parameters
    ----------
    key : str
        Idempotency key.
    claim_id : str
        Claim on behalf of which it is wanted.
    """

    def __init__(self, key, claim_id):
        self.key = key
        self.claim_id = claim_id
        self.wanted_at = 0
        self.is_in_write = False
        self.may_be_written = False

    @property
    def is_void(self):
        """Whether nothing is wanted any more and no trace of it can be left."""
        return False

    @property
    def is_given_up(self):
        """Whether this is a claim that was given up before its order was sent."""
        return False

    @abstractmethod
    def judge(self, view):
        """Return the `Need` that remains in face of a `View`."""

    @abstractmethod
    def finish(self, view, now):
        """Act on the decision: there is no need any more."""

    @abstractmethod
    def apply(self, table, now):
        """Make the change in a `ClaimTable`."""

    @abstractmethod
    def fail(self, n_failures, now):
        """Note that the platform has failed to answer so often in a row."""


class ClaimBucket:
    """The claims object of one bucket.

    At most one read or write is in flight. A write whose answer was lost may take
    effect as long as the object still has the version that it expected. Until a
    higher version was seen, an entry that is missing proves nothing.

    Parameters
    ----------
    name : str
        Name of the object.
    retention_s : float
        Seconds after which a claim is forgotten.
    """

    def __init__(self, name, retention_s):
        self.name = name
        self._retention_s = retention_s
        self.changes = []
        self.table = None
        self.version = 0
        self.n_failures = 0
        self.retry_at = 0.0
        self.used_at = 0.0
        self._n_requests = 0
        self._table_request = 0
        self._busy = False
        self._writing = None
        self._unsettled = None

    @property
    def is_idle(self):
        """Whether nothing is wanted and nothing is in flight."""
        return not self.changes and not self._busy

    @property
    def n_bytes(self):
        """Memory that the known object takes, roughly."""
        return self.table.n_bytes if self.table is not None else 0

    def add(self, change, now):
        """Take in a change."""
        change.wanted_at = self._n_requests
        self.changes.append(change)
        self.used_at = now

    def settle(self, now):
        """Finish every change that is decided."""
        while True:
            judged = self._judge_changes()
            decided = [each for each in judged if each[2] is Need.NOTHING]
            if not decided:
                return
            # What finishing one change adds is judged in the next round.
            self.changes = [each[0] for each in judged if each[2] is not Need.NOTHING]
            for change, view, _ in decided:
                if not change.is_void:
                    change.finish(view, now)

    def next_need(self, now):
        """Return what to ask of the platform now, as a `Need`."""
        if self._busy or not self.changes or now < self.retry_at:
            return Need.NOTHING
        needs = {need for _, _, need in self._judge_changes()}
        return Need.READ if Need.READ in needs else Need.WRITE

    def begin_read(self):
        """Note that a read was asked for."""
        self._busy = True
        self._n_requests += 1

    def begin_write(self, now):
        """Note that a write is asked for; returns its text."""
        table = self.table.copy()
        table.prune(now - self._retention_s)
        for change, _, need in self._judge_changes():
            if need is Need.WRITE:
                change.is_in_write = True
                change.apply(table, now)
        self._busy = True
        self._n_requests += 1
        self._writing = table
        return table.build_body()

    def end_write(self, version):
        """Note that the write took effect."""
        self._keep_trace()
        self._learn(version, self._writing)

    def end_read(self, version, body, now):
        """Note what a read, or a write that lost a race, showed.

        Raises
        ------
        FrameError
            If the text is no table of claims.
        """
        table = ClaimTable.from_body(body)
        table.prune(now - self._retention_s)
        self._learn(version, table)

    def fail(self, was_sent, now):
        """Note that the platform did not answer."""
        if self._writing is not None and was_sent:
            self._unsettled = self.version
        if was_sent:
            self._keep_trace()
        self._end_request()
        self.table = None
        pause_s = FIRST_PAUSE_S * 2 ** min(self.n_failures, 8)
        self.retry_at = now + min(pause_s, LONGEST_PAUSE_S)
        self.n_failures += 1
        for change in list(self.changes):
            change.fail(self.n_failures, now)

    def forget_table(self):
        """Give back the memory of an idle bucket's object."""
        self.table = None

    def _learn(self, version, table):
        self._end_request()
        if self._unsettled is not None and version > self._unsettled:
            self._unsettled = None
        self.version = version
        self.table = table
        self._table_request = self._n_requests
        self.n_failures = 0

    def _keep_trace(self):
        for change in self.changes:
            change.may_be_written |= change.is_in_write

    def _end_request(self):
        self._busy = False
        self._writing = None
        for change in self.changes:
            change.is_in_write = False

    def _judge_changes(self):
        """Return each change with what is known of its key and its need."""
        given_up = {each.claim_id for each in self.changes if each.is_given_up}
        return [self._judge(each, given_up) for each in self.changes]

    def _judge(self, change, given_up):
        if change.is_void:
            return change, None, Need.NOTHING
        if self.table is None:
            return change, None, Need.READ
        entry = self.table.get(change.key)
        view = View(
            entry,
            self._table_request > change.wanted_at,
            self._unsettled is None and self._writing is None,
            self.table.has_room,
            entry is not None and entry.claim_id in given_up,
        )
        return change, view, change.judge(view)
