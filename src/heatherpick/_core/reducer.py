"""The reducer of a node: turns each event into effects, which are plain data."""

import random
from collections import deque

from heatherpick._core import effects as fx
from heatherpick._core import events as ev
from heatherpick._core import messages as msg
from heatherpick._core.admission import Admission
from heatherpick._core.documents import Documents
from heatherpick._core.lifecycle import Lifecycle
from heatherpick._core.members import Members
from heatherpick._core.orders import Orders
from heatherpick._core.overload import OverloadDetector
from heatherpick._core.searches import Searches
from heatherpick._core.timings import Timings
from heatherpick.declarations import decode_declarations, decode_drains

__all__ = ["NodeReducer"]

SECONDS_PER_HOUR = 3600.0


class NodeReducer:
    """Decides all that a node does, without I/O, clock or unseeded randomness.

    Parameters
    ----------
    name, data_centre : str
        This node's name and data centre.
    documents, members, admission, searches, orders, lifecycle, overload : object
        The components, each with its part of the state.
    """

    def __init__(
        self,
        name,
        data_centre,
        documents,
        members,
        admission,
        searches,
        orders,
        lifecycle,
        overload,
    ):
        self._name = name
        self._data_centre = data_centre
        self._documents = documents
        self._members = members
        self._admission = admission
        self._searches = searches
        self._orders = orders
        self._lifecycle = lifecycle
        self._overload = overload
        self._has_finished_leaving = False
        self._event_handlers = self._map_event_handlers()
        self._message_handlers = self._map_message_handlers()
        self._timer_handlers = self._map_timer_handlers()

    @classmethod
    def from_settings(cls, settings, incarnation, seed, wall_offset_s=0.0):
        """Build a node's reducer.

        Parameters
        ----------
        settings : NodeSettings
            Checked settings of the process.
        incarnation : str
            Unique id of this start of the process.
        seed : int
            Seed of every random choice.
        wall_offset_s : float, default=0.0
            Seconds to add to the events' time for the time of day.
        """
        timings = Timings.from_settings(settings)
        documents = Documents.from_settings(
            settings.name, settings.data_centre, decode_declarations, decode_drains
        )
        members = Members.from_settings(
            settings.name,
            settings.data_centre,
            settings.peer_address,
            incarnation,
            documents,
            timings,
            settings.seed_peers,
        )
        admission = Admission.from_parts(
            settings.name, documents, members, timings.max_call_s
        )
        members.set_excess_check(admission.has_excess_calls)
        rng = random.Random(seed)
        return cls(
            name=settings.name,
            data_centre=settings.data_centre,
            documents=documents,
            members=members,
            admission=admission,
            searches=Searches(settings.data_centre, documents, members, rng),
            orders=Orders.from_parts(
                settings.name,
                incarnation,
                documents,
                members,
                admission,
                settings.key_retention_hours * SECONDS_PER_HOUR,
                wall_offset_s=wall_offset_s,
            ),
            lifecycle=Lifecycle(),
            overload=OverloadDetector(),
        )

    def start(self, now):
        """Return the effects of starting the node."""
        return self._deliver_to_self(
            [*self._members.start(now), *self._overload.start(now)], now
        )

    def reduce(self, event, now):
        """Update the state for one event and return the effects.

        Parameters
        ----------
        event : object
            One of `heatherpick._core.events`.
        now : float
            Time in seconds; not earlier than that of the event before.

        Returns
        -------
        list
            Effects, in the order in which to carry them out.
        """
        effects = self._deliver_to_self(
            self._event_handlers[type(event)](event, now), now
        )
        effects.extend(self._try_open(now))
        if self._lifecycle.is_leaving and not self._has_finished_leaving:
            effects.extend(self._finish_leaving(now))
        return effects

    def has_service(self, name):
        """Return whether a service of that name is declared."""
        return name in self._documents.declarations.services

    def is_repeatable(self, name):
        """Return whether requests of a declared service may run more than once."""
        return self._documents.declarations.services[name].repeatable

    def describe(self, now):
        """Return what the status page shows."""
        return {
            "node": self._name,
            "data_centre": self._data_centre,
            "stage": self._lifecycle.stage,
            "lateness_ms": round(self._overload.lateness_ms, 2),
            "documents": dict(self._documents.versions()),
            "members": self._members.describe(now),
            "admission": self._admission.describe(now),
            "searches": self._searches.describe(),
        }

    def _map_event_handlers(self):
        orders = self._orders
        return {
            ev.RequestArrived: self._handle_request,
            ev.CallerGone: self._handle_caller_gone,
            ev.PeerConnected: self._handle_peer_connected,
            ev.PeerHello: self._members.peer_hello,
            ev.PeerLost: self._handle_peer_lost,
            ev.PeerMessage: self._handle_peer_message,
            ev.CallEnded: self._admission.handle_call_ended,
            ev.OrderEnded: orders.order_ended,
            ev.DocumentSeen: self._handle_document,
            ev.ObjectRead: self._build_object_handler("object_read"),
            ev.ObjectWritten: self._build_object_handler("object_written"),
            ev.ObjectConflict: self._build_object_handler("object_conflict"),
            ev.ObjectFailed: self._build_object_handler("object_failed"),
            ev.VmsListed: self._members.vms_listed,
            ev.TimerFired: self._handle_timer,
            ev.StopRequested: self._handle_stop,
        }

    def _map_message_handlers(self):
        return {
            msg.Heartbeat: self._members.heartbeat,
            msg.LegBatch: self._admission.handle_batch,
            msg.LegCancel: self._admission.handle_cancel,
            msg.LegResults: self._searches.handle_results,
            msg.KeyedCall: self._orders.handle_call,
            msg.KeyedResult: self._orders.handle_result,
            msg.DocumentRequest: self._handle_document_request,
            msg.DocumentReply: self._handle_document_reply,
        }

    def _map_timer_handlers(self):
        return {
            "members": self._members.timer,
            "admission": self._admission.handle_timer,
            "searches": self._searches.handle_timer,
            "orders": self._orders.timer,
            "lifecycle": self._handle_lifecycle_timer,
            "overload": lambda name, now: self._overload.handle_timer(now),
        }

    def _deliver_to_self(self, effects, now):
        """Handle this node's messages to itself and return the other effects."""
        pending = deque(effects)
        outgoing = []
        while pending:
            effect = pending.popleft()
            if type(effect) is fx.SendPeer and effect.node == self._name:
                handler = self._message_handlers[type(effect.message)]
                pending.extend(handler(self._name, effect.message, now))
            else:
                outgoing.append(effect)
        return outgoing

    def _handle_peer_message(self, event, now):
        return self._message_handlers[type(event.message)](
            event.node, event.message, now
        )

    def _handle_request(self, event, now):
        service = self._documents.declarations.services.get(event.service)
        if service is None:
            return [_build_refusal(event, "unknown service")]
        if not self._lifecycle.is_accepting:
            return [_build_refusal(event, self._lifecycle.stage)]
        if not self._overload.admits(service.priority):
            return [_build_refusal(event, "overload"), fx.Count("refused", "overload")]
        component = self._searches if service.repeatable else self._orders
        return component.begin(event, now)

    def _handle_caller_gone(self, event, now):
        return [
            *self._searches.handle_caller_gone(event.request_id, now),
            *self._orders.caller_gone(event.request_id, now),
        ]

    def _handle_peer_connected(self, event, now):
        return [
            *self._members.peer_connected(event, now),
            *self._orders.peer_connected(event.node, now),
        ]

    def _handle_peer_lost(self, event, now):
        return [
            *self._members.peer_lost(event, now),
            *self._searches.handle_peer_lost(event.node, now),
            *self._admission.handle_source_lost(event.node, now),
            *self._orders.peer_lost(event.node, now),
        ]

    def _handle_document(self, event, now):
        if not self._documents.learn(event.name, event.version, event.body, now):
            return []
        return self._notify_documents_changed(now)

    def _handle_document_reply(self, node, message, now):
        return self._handle_document(message, now)

    def _handle_document_request(self, node, message, now):
        return self._documents.handle_request(node, message)

    def _notify_documents_changed(self, now):
        effects = self._members.documents_changed(now)
        effects.extend(self._admission.handle_documents_changed(now))
        effects.extend(self._searches.handle_documents_changed(now))
        return effects

    def _try_open(self, now):
        if not self._documents.declarations.services:
            return []
        return self._lifecycle.open(lambda: self._can_route(now), now)

    def _can_route(self, now):
        # A node that knows only some of the members computes wrong owners.
        if not self._members.has_recent_heartbeats(now) or self._members.is_isolated(
            now
        ):
            return False
        groups = self._documents.declarations.groups.values()
        owners = {self._members.owner_of(group, now) for group in groups}
        return all(self._members.is_reachable(owner) for owner in owners)

    def _build_object_handler(self, method_name):
        handlers = {
            "members": getattr(self._members, method_name),
            "orders": getattr(self._orders, method_name),
        }

        def handle(event, now):
            component = event.token.partition(":")[0]
            return handlers[component](event, now)

        return handle

    def _handle_timer(self, event, now):
        component = event.name.partition(":")[0]
        return self._timer_handlers[component](event.name, now)

    def _handle_stop(self, event, now):
        if self._lifecycle.is_leaving:
            return []
        return [
            *self._lifecycle.stop(now),
            *self._members.begin_leaving(now),
            *self._admission.begin_leaving(now),
            *self._orders.begin_leaving(now),
        ]

    def _handle_lifecycle_timer(self, name, now):
        return self._lifecycle.timer(name, self._is_idle(), now)

    def _finish_leaving(self, now):
        # The next owner admits nothing until this node reports that it has no call
        # at an upstream any more, so it reports this as early as possible.
        if not self._admission.is_idle():
            return []
        self._has_finished_leaving = True
        return self._deliver_to_self(self._members.finish_leaving(now), now)

    def _is_idle(self):
        return (
            self._searches.is_idle
            and self._admission.is_idle()
            and self._orders.is_idle()
        )


def _build_refusal(event, reason):
    return fx.AnswerCaller(event.request_id, msg.Outcome.NOT_RUN, reason)
