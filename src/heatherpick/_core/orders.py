"""Requests that may not be repeated: each runs at most once for its key."""

from heatherpick._core.claim_store import FLUSH_TIMER, ClaimStore
from heatherpick._core.order_dispatcher import DISPATCH_DEADLINE_TIMER, OrderDispatcher
from heatherpick._core.order_ingress import (
    INGRESS_DEADLINE_TIMER,
    INGRESS_RETRY_TIMER,
    OrderIngress,
)
from heatherpick.errors import InvalidArgument

__all__ = ["Orders"]

#: Minimum retention of keys, in seconds. It is far above every deadline, so that
#: no claim is pruned while its order may still be running.
MIN_RETENTION_S = 300.0

#: Default limit of a node's writes to the platform per second.
DEFAULT_WRITES_PER_S = 20.0


class Orders:
    """Orders of this node's callers, and orders whose keys this node claims.

    Parameters
    ----------
    node_name, incarnation : str
        Name of this node and the unique id of this start of it. Claims carry it,
        so two starts with the same one could mistake each other's claims for their own.
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
        Limit of this node's writes to the platform per second.
    wall_offset_s : float
        Seconds to add to ``now`` for the time of day, from which claims are aged.
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
        self._effects = []
        self._node_name = node_name
        self._connected_nodes = {node_name}
        self._store = ClaimStore(
            self._effects, retention_s, n_writes_per_s, wall_offset_s
        )
        self._ingress = OrderIngress(
            documents, members, self._connected_nodes, self._effects
        )
        self._dispatcher = OrderDispatcher(
            node_name,
            incarnation,
            documents,
            members,
            slots,
            self._connected_nodes,
            self._effects,
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
        n_writes_per_s=DEFAULT_WRITES_PER_S,
        wall_offset_s=0.0,
    ):
        """Return an instance without open orders.

        Raises
        ------
        InvalidArgument
            If ``retention_s`` is too short or ``n_writes_per_s`` is not above 0.
        """
        if not retention_s >= MIN_RETENTION_S:
            raise InvalidArgument(
                f"retention_s is {retention_s}: set it to {MIN_RETENTION_S} or more"
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
        """Handle a caller's `RequestArrived`; returns effects."""
        self._ingress.begin(event, now)
        return self._dispatcher.collect_effects(now)

    def handle_call(self, source_node, message, now):
        """Handle a `KeyedCall` from a node; returns effects."""
        self._dispatcher.handle_call(source_node, message, now)
        return self._dispatcher.collect_effects(now)

    def handle_result(self, node, message, now):
        """Handle a `KeyedResult` from a node; returns effects."""
        self._ingress.handle_result(node, message, now)
        return self._dispatcher.collect_effects(now)

    def order_ended(self, event, now):
        """Handle an `OrderEnded`; returns effects."""
        self._dispatcher.order_ended(event, now)
        return self._dispatcher.collect_effects(now)

    def object_read(self, event, now):
        """Handle an `ObjectRead`; returns effects."""
        self._store.object_read(event, now)
        return self._dispatcher.collect_effects(now)

    def object_written(self, event, now):
        """Handle an `ObjectWritten`; returns effects."""
        self._store.object_written(event, now)
        return self._dispatcher.collect_effects(now)

    def object_conflict(self, event, now):
        """Handle an `ObjectConflict`; returns effects."""
        self._store.object_read(event, now)
        return self._dispatcher.collect_effects(now)

    def object_failed(self, event, now):
        """Handle an `ObjectFailed`; returns effects."""
        self._store.object_failed(event, now)
        return self._dispatcher.collect_effects(now)

    def timer(self, name, now):
        """Handle one of this component's timers; returns effects."""
        if name == FLUSH_TIMER:
            self._store.timer(now)
        elif name == INGRESS_DEADLINE_TIMER:
            self._ingress.timer(now)
        elif name == INGRESS_RETRY_TIMER:
            self._ingress.retry_due(now)
        elif name == DISPATCH_DEADLINE_TIMER:
            self._dispatcher.timer(now)
        return self._dispatcher.collect_effects(now)

    def peer_connected(self, node, now):
        """Handle that a node can be sent messages; returns effects."""
        self._connected_nodes.add(node)
        self._dispatcher.peer_connected(node, now)
        return self._dispatcher.collect_effects(now)

    def peer_lost(self, node, now):
        """Handle the loss of a node; returns effects."""
        if node != self._node_name:
            self._connected_nodes.discard(node)
        self._ingress.peer_lost(node, now)
        return self._dispatcher.collect_effects(now)

    def caller_gone(self, request_id, now):
        """Handle that a caller disconnected; returns effects."""
        self._ingress.caller_gone(request_id)
        return self._dispatcher.collect_effects(now)

    def begin_leaving(self, now):
        """Refuse new orders from now on; returns effects."""
        self._dispatcher.begin_leaving()
        return self._dispatcher.collect_effects(now)

    def is_idle(self):
        """Return whether no request is open and nothing is left to write."""
        return self._ingress.is_idle and self._dispatcher.is_idle
