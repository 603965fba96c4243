"""Local copies of shared objects, and the interface of the store they come from."""

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

__all__ = [
    "Change",
    "Changes",
    "HistoryGone",
    "Listing",
    "LocalCopy",
    "SharedStore",
    "StoreFailure",
    "StoredObject",
]

#: Changes that a copy keeps in order to answer polls of other nodes.
N_HISTORY_CHANGES = 256


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store.

    Parameters
    ----------
    name : str
        Name within its kind.
    value : object
        Content as written by a client of the store.
    is_deleted : bool, default=False
        Whether the object has been deleted.
    """

    name: str
    value: object
    is_deleted: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """State of an object as of a revision of the store."""

    revision: int
    object: StoredObject


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one revision."""

    objects: tuple
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Objects that changed up to a revision, oldest first; may be empty."""

    objects: tuple
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes asked for; a new listing is needed."""


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call to the store failed or returned no valid response."""

    reason: str


class SharedStore(ABC):
    """Store of objects by kind and name, read by all nodes.

    Each method returns a callable that cancels the call, so that ``on_done`` is not
    called.
    """

    @abstractmethod
    def list_objects(self, kind, on_done):
        """Call ``on_done`` with a `Listing` or a `StoreFailure`."""

    @abstractmethod
    def watch_objects(self, kind, revision, on_done):
        """Call ``on_done`` after a change, or after a long wait without one.

        ``on_done`` receives `Changes`, `HistoryGone` or a `StoreFailure`.
        """

    @abstractmethod
    def read_revision(self, on_done):
        """Call ``on_done`` with the store's current revision, or a `StoreFailure`."""

    @abstractmethod
    def put_object(self, kind, name, value, on_done):
        """Create or replace an object.

        ``on_done`` receives None or a `StoreFailure`.
        """


class LocalCopy:
    """Copy of all objects of one kind, updated from the store and from relays.

    Updates may come from several sources in any order; older ones are ignored.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    consumer : object
        Has ``replace(objects)``, called with the first listing, and
        ``change(objects)``, called with the objects changed since.

    Attributes
    ----------
    revision : int or None
        Revision up to which the copy is complete; None before the first listing.
    """

    def __init__(self, kind, consumer):
        self.kind = kind
        self.revision = None
        self._consumer = consumer
        self._objects = {}
        self._history = deque(maxlen=N_HISTORY_CHANGES)
        #: Revision after which the history is complete.
        self._history_start = 0

    def list_objects(self):
        """Return a list of all objects."""
        return list(self._objects.values())

    def apply_listing(self, listing):
        """Bring the copy up to a listing; ignore one no newer than the copy."""
        if self.revision is None:
            self._objects = {each.name: each for each in listing.objects}
            self.revision = self._history_start = listing.revision
            self._consumer.replace(listing.objects)
            return
        if listing.revision <= self.revision:
            return
        listed = {each.name for each in listing.objects}
        changed = [
            each for each in listing.objects if self._objects.get(each.name) != each
        ]
        changed += [
            StoredObject(name, None, is_deleted=True)
            for name in self._objects
            if name not in listed
        ]
        changes = [Change(listing.revision, each) for each in changed]
        self.apply_changes(changes, listing.revision)

    def apply_changes(self, changes, revision):
        """Apply changes up to a revision; ignore those already applied.

        Parameters
        ----------
        changes : iterable of Change
            All changes after a revision no newer than that of the copy, oldest first.
        revision : int
            Revision of the copy afterwards.
        """
        if self.revision is None or revision <= self.revision:
            return
        # Only the newest state of each object matters.
        newest = {
            change.object.name: change
            for change in changes
            if change.revision > self.revision
        }
        self.revision = revision
        for change in newest.values():
            self._record_change(change)
        if newest:
            self._consumer.change([change.object for change in newest.values()])

    def find_changes(self, since):
        """Return the changes after a revision; None if the history starts later."""
        if since < self._history_start:
            return None
        return [change for change in self._history if change.revision > since]

    def _record_change(self, change):
        if len(self._history) == N_HISTORY_CHANGES:
            self._history_start = self._history[0].revision
        self._history.append(change)
        if change.object.is_deleted:
            self._objects.pop(change.object.name, None)
        else:
            self._objects[change.object.name] = change.object
