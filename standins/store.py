"""In-memory store of the platform's objects, with versions and conditional writes."""

from dataclasses import dataclass

__all__ = ["ABSENT_VERSION", "MAX_BODY_BYTES", "ObjectStore", "StoredObject"]

#: Largest body of one object, in bytes of UTF-8.
MAX_BODY_BYTES = 1_000_000
#: Version of an object that has never been written.
ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """State of one object after its last write.

    Parameters
    ----------
    name : str
        Name, with ``/`` between its parts.
    version : int
        Number of writes so far; `ABSENT_VERSION` if there was none.
    body : str
        Text of the last write.
    revision : int
        Revision of the whole store at the last write.
    """

    name: str
    version: int
    body: str
    revision: int

    def to_json(self):
        """Return the object as the object API shows it, as a JSON object."""
        return {"name": self.name, "version": self.version, "body": self.body}


class ObjectStore:
    """Objects by name, and a revision that counts the writes to all of them."""

    def __init__(self):
        self.revision = 0
        self._objects = {}

    def read(self, name):
        """Return the `StoredObject` of ``name``, or None if there is none."""
        return self._objects.get(name)

    def write(self, name, expected_version, body):
        """Write ``body`` if the object's version is still ``expected_version``.

        Parameters
        ----------
        name : str
            Name of the object.
        expected_version : int
            Version that the writer has read, `ABSENT_VERSION` to create.
        body : str
            New text.

        Returns
        -------
        is_written : bool
            Whether the write took effect.
        current : StoredObject
            The object after the call.
        """
        absent = StoredObject(name, ABSENT_VERSION, "", 0)
        current = self._objects.get(name, absent)
        if current.version != expected_version:
            return False, current
        self.revision += 1
        written = StoredObject(name, expected_version + 1, body, self.revision)
        self._objects[name] = written
        return True, written

    def list_changes(self, prefix, since):
        """Return the objects under ``prefix`` written after revision ``since``.

        They are in the order of their last writes.
        """
        changed = [
            each
            for each in self._objects.values()
            if each.revision > since and each.name.startswith(prefix)
        ]
        return sorted(changed, key=lambda each: each.revision)
