"""Claims on idempotency keys, as an object of the platform holds them."""

from dataclasses import dataclass

import orjson
import xxhash

from heatherpick.errors import FrameError

__all__ = [
    "N_BUCKETS",
    "ClaimEntry",
    "ClaimTable",
    "compute_body_hash",
    "compute_bucket",
    "format_object_name",
]

#: Objects over which the keys of one service are spread. It must not change
#: while claims are stored: a key would be looked up in another object.
N_BUCKETS = 64

#: Size of an object above which no new claim is added, in bytes. The rest up to the
#: platform's limit of 1 MB is room for the outcomes of claims already made.
MAX_CLAIM_BYTES = 800_000

#: Size of an object above which outcomes are kept without their receipt, in bytes.
MAX_RECORD_BYTES = 950_000

#: Maximum size of a receipt that is kept, in bytes.
MAX_RECEIPT_BYTES = 8_192

#: Bytes of an entry beside its key, claim id and receipt, rounded up.
ENTRY_OVERHEAD_BYTES = 60


@dataclass(frozen=True, slots=True)
class ClaimEntry:
    """One key's claim.

    Parameters
    ----------
    claim_id : str
        Unique id of the claim, which names the start of the node that made it.
    claimed_at : float
        When the claim was made, as time of day in seconds on its node's clock.
    body_hash : str
        Hash of the order, to distinguish a repeat from another order with the same key.
    is_answered : bool
        Whether the outcome is known.
    receipt : str or None
        The answer as JSON text; None when there is none or it was too long to keep.
    """

    claim_id: str
    claimed_at: float
    body_hash: str
    is_answered: bool = False
    receipt: str | None = None


class ClaimTable:
    """The claims of one object, by key.

    Parameters
    ----------
    rows : dict
        Row of each key, as the object's JSON has them. Rows are replaced, never
        changed, so that copies may share them.
    n_bytes : int
        Estimated size of the object; at most slightly too low.
    """

    def __init__(self, rows, n_bytes):
        self._rows = rows
        self.n_bytes = n_bytes

    @classmethod
    def from_body(cls, body):
        """Return the table that an object's text holds; "" is an empty one.

        Raises
        ------
        FrameError
            If the text is not a valid table of claims.
        """
        if not body:
            return cls({}, ENTRY_OVERHEAD_BYTES)
        try:
            rows = orjson.loads(body)["keys"]
        except (ValueError, TypeError, KeyError) as error:
            raise FrameError(f"claims object cannot be read: {error}") from error
        if not isinstance(rows, dict) or not all(map(_is_valid_row, rows.values())):
            raise FrameError("claims object has an invalid row")
        return cls(rows, len(body))

    def copy(self):
        """Return a table that can be changed without changing this one."""
        return ClaimTable(dict(self._rows), self.n_bytes)

    def build_body(self):
        """Return the text of the object."""
        return orjson.dumps({"keys": self._rows}).decode()

    def get(self, key):
        """Return the `ClaimEntry` of a key, or None if it is free."""
        row = self._rows.get(key)
        return None if row is None else ClaimEntry(*row)

    @property
    def has_room(self):
        """Whether one more claim may go in."""
        return self.n_bytes < MAX_CLAIM_BYTES

    def claim(self, key, claim_id, claimed_at, body_hash):
        """Add a claim."""
        self._replace(key, [claim_id, claimed_at, body_hash])

    def record(self, key, entry, receipt):
        """Store the outcome of the claim ``entry``."""
        size = len(receipt.encode())
        if size > MAX_RECEIPT_BYTES or self.n_bytes + size > MAX_RECORD_BYTES:
            receipt = None
        claimed = [entry.claim_id, entry.claimed_at, entry.body_hash]
        self._replace(key, [*claimed, True, receipt])

    def release(self, key):
        """Remove the claim of a key."""
        row = self._rows.pop(key)
        self.n_bytes -= _estimate_bytes(key, row)

    def prune(self, cutoff):
        """Remove claims made before ``cutoff``, in seconds."""
        old = []
        for key, row in self._rows.items():
            # Rows are nearly in the order of their time, so the scan stops at the first
            # recent one; an old row behind it is removed at a later write.
            if row[1] >= cutoff:
                break
            old.append(key)
        for key in old:
            self.release(key)

    def _replace(self, key, row):
        old = self._rows.get(key)
        if old is not None:
            self.n_bytes -= _estimate_bytes(key, old)
        self._rows[key] = row
        self.n_bytes += _estimate_bytes(key, row)


def compute_bucket(key):
    """Return the number of the object that holds a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % N_BUCKETS


def compute_body_hash(body):
    """Return the hash by which a repeat of an order is recognised."""
    return xxhash.xxh3_128_hexdigest(body.encode())


def format_object_name(service, bucket):
    """Return the name of the object of a service's bucket."""
    return f"claims/{service}/{bucket}"


def _is_valid_row(row):
    if not isinstance(row, list) or len(row) not in (3, 5):
        return False
    if not isinstance(row[0], str) or not isinstance(row[1], int | float):
        return False
    if not isinstance(row[2], str):
        return False
    return len(row) == 3 or (row[3] is True and isinstance(row[4], str | None))


def _estimate_bytes(key, row):
    receipt = row[4] if len(row) == 5 and row[4] else ""
    # Quotes and line breaks in a receipt are escaped by a second byte.
    return (
        2 * len(key.encode())
        + ENTRY_OVERHEAD_BYTES
        + len(row[0])
        + 2 * len(receipt.encode())
    )
