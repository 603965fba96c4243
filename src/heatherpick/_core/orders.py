"""Requests that may not be repeated: each runs at most once for its key."""

from heatherpick._core.claim_store import FLUSH_TIMER, ClaimStore
from heatherpick._core.order_entry import ENTRY_TIMER, RETRY_TIMER, OrderEntry
from heatherpick._core.order_keeper import CLAIM_TIMER, OrderKeeper
from heatherpick.errors import InvalidArgument

__all__ = ["Orders"]

#: Shortest time for which keys may be kept, in seconds. It is far above every
#: deadline, so that no claim is forgotten while its order may still be running.
LEAST_RETENTION_S = 300.0

#: Writes a second that one node asks of the platform, unless it is told otherwise.
N_WRITES_PER_S = 20.0


class Orders:
    """Orders of this node's callers, and orders whose keys this node claims.

    Parameters
    ----------
    node_name, incarnation : str
        Name of this node and the unique id of this start of it. Claims carry it,
        so two starts with the same one could take each other's claims for theirs.
    documents : Documents
        Gives the declarations and drains in force.
    members : Members
        Gives ``owner_of(group, now)``.
    slots : Admission
        Gives slots of the upstreams that this node owns.
    retention_s : float
        Seconds for which keys are kept. Times are those of ``now``, which must be
        the wall clock, as claims are read by other nodes.
    n_writes_per_s : float
        Writes a second that this node may ask of the platform.
    wall_offset_s : float
        Seconds to add to ``now`` for the time of day, by which claims age.
    """

    def __init__(
        self,
        node_name,
        incarnation,
        documents,
        members,
        slots,
        retention_s,
        n_writes_per_s,
        wall_offset_s,
    ):
        self._out = []
        self._node_name = node_name
        self._connected = {node_name}
        self._store = ClaimStore(self._out, retention_s, n_writes_per_s, wall_offset_s)
        self._entry = OrderEntry(documents, members, self._connected, self._out)
        self._keeper = OrderKeeper(
            node_name,
            incarnation,
            documents,
            members,
            slots,
            self._connected,
            self._out,
            self._store,
        )

    @classmethod
    def from_parts(
        cls,
        node_name,
        incarnation,
        documents,
        members,
        slots,
        retention_s,
        n_writes_per_s=N_WRITES_PER_S,
        wall_offset_s=0.0,
    ):
        """Return the orders of a node that has none yet.

        Raises
        ------
        InvalidArgument
            If keys would be kept too short, or no write is allowed.
        """
        if not retention_s >= LEAST_RETENTION_S:
            raise InvalidArgument(
                f"retention_s is {retention_s}: set it to {LEAST_RETENTION_S} or more"
            )
        if not n_writes_per_s > 0:
            raise InvalidArgument(f"n_writes_per_s is {n_writes_per_s}: set it above 0")
        return cls(
            node_name,
            incarnation,
            documents,
            members,
            slots,
            retention_s,
            n_writes_per_s,
            wall_offset_s,
        )

    def begin(self, event, now):
        """Take in a caller's `RequestArrived`; returns effects."""
        self._entry.begin(event, now)
        return self._keeper.take_effects(now)

    def call(self, source_node, message, now):
        """Take in a `KeyedCall` of a node; returns effects."""
        self._keeper.call(source_node, message, now)
        return self._keeper.take_effects(now)

    def result(self, node, message, now):
        """Take in a `KeyedResult` of a node; returns effects."""
        self._entry.result(node, message, now)
        return self._keeper.take_effects(now)

    def order_ended(self, event, now):
        """Take in an `OrderEnded`; returns effects."""
        self._keeper.order_ended(event, now)
        return self._keeper.take_effects(now)

    def object_read(self, event, now):
        """Take in an `ObjectRead`; returns effects."""
        self._store.object_read(event, now)
        return self._keeper.take_effects(now)

    def object_written(self, event, now):
        """Take in an `ObjectWritten`; returns effects."""
        self._store.object_written(event, now)
        return self._keeper.take_effects(now)

    def object_conflict(self, event, now):
        """Take in an `ObjectConflict`; returns effects."""
        self._store.object_read(event, now)
        return self._keeper.take_effects(now)

    def object_failed(self, event, now):
        """Take in an `ObjectFailed`; returns effects."""
        self._store.object_failed(event, now)
        return self._keeper.take_effects(now)

    def timer(self, name, now):
        """Take in one of this component's timers; returns effects."""
        if name == FLUSH_TIMER:
            self._store.timer(now)
        elif name == ENTRY_TIMER:
            self._entry.timer(now)
        elif name == RETRY_TIMER:
            self._entry.retry(now)
        elif name == CLAIM_TIMER:
            self._keeper.timer(now)
        return self._keeper.take_effects(now)

    def peer_connected(self, node, now):
        """Note that messages can be sent to a node; returns effects."""
        self._connected.add(node)
        self._keeper.peer_connected(node, now)
        return self._keeper.take_effects(now)

    def peer_lost(self, node, now):
        """Note that a node is lost; returns effects."""
        if node != self._node_name:
            self._connected.discard(node)
        self._entry.peer_lost(node, now)
        return self._keeper.take_effects(now)

    def caller_gone(self, request_id, now):
        """Note that a caller is gone; returns effects."""
        self._entry.caller_gone(request_id)
        return self._keeper.take_effects(now)

    def begin_leaving(self, now):
        """Take no new order from other nodes; returns effects."""
        self._keeper.begin_leaving()
        return self._keeper.take_effects(now)

    def is_idle(self):
        """Return whether nobody waits and nothing is left to write."""
        return self._entry.is_idle and self._keeper.is_idle
