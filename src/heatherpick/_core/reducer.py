"""The one reducer over all events of a node, with effects as data."""

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
from heatherpick._core.overload import Overload
from heatherpick._core.searches import Searches
from heatherpick._core.timings import Timings
from heatherpick.declarations import decode_declarations, decode_drains

__all__ = ["NodeReducer"]

SECONDS_PER_HOUR = 3600.0


class NodeReducer:
    """Decide everything that a node does, without I/O, clock or unseeded chance.

    Parameters
    ----------
    name, data_centre : str
        This node's name and data centre.
    documents, members, admission, searches, orders, lifecycle, overload : object
        The components. Each owns its part of the state.
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
        self._released = False
        self._handlers = self._list_handlers()
        self._readers = self._list_readers()
        self._timers = self._list_timers()

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
            settings.name, documents, members, timings.longest_call_s
        )
        members.set_excess_check(admission.has_excess)
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
            overload=Overload(),
        )

    def start(self, now):
        """Return the effects of the process's start."""
        return self._settle(
            [*self._members.start(now), *self._overload.start(now)], now
        )

    def reduce(self, event, now):
        """Take one event into account.

        Parameters
        ----------
        event : object
            One of `heatherpick._core.events`.
        now : float
            Time in seconds; never before that of an earlier event.

        Returns
        -------
        list
            Effects, in the order in which to carry them out.
        """
        effects = self._settle(self._handlers[type(event)](event, now), now)
        effects.extend(self._open(now))
        if self._lifecycle.is_leaving and not self._released:
            effects.extend(self._release(now))
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

    def _list_handlers(self):
        orders = self._orders
        return {
            ev.RequestArrived: self._begin_request,
            ev.CallerGone: self._end_caller,
            ev.PeerConnected: self._join_peer,
            ev.PeerHello: self._members.peer_hello,
            ev.PeerLost: self._lose_peer,
            ev.PeerMessage: self._read_message,
            ev.CallEnded: self._admission.end_call,
            ev.OrderEnded: orders.order_ended,
            ev.DocumentSeen: self._learn,
            ev.ObjectRead: self._route_object("object_read"),
            ev.ObjectWritten: self._route_object("object_written"),
            ev.ObjectConflict: self._route_object("object_conflict"),
            ev.ObjectFailed: self._route_object("object_failed"),
            ev.VmsListed: self._members.vms_listed,
            ev.TimerFired: self._fire,
            ev.StopRequested: self._stop,
        }

    def _list_readers(self):
        return {
            msg.Heartbeat: self._members.heartbeat,
            msg.LegBatch: self._admission.accept,
            msg.LegCancel: self._admission.cancel,
            msg.LegResults: self._searches.results,
            msg.KeyedCall: self._orders.call,
            msg.KeyedResult: self._orders.result,
            msg.DocumentRequest: self._answer_document,
            msg.DocumentReply: self._learn_from_peer,
        }

    def _list_timers(self):
        return {
            "members": self._members.timer,
            "admission": self._admission.timer,
            "searches": self._searches.timer,
            "orders": self._orders.timer,
            "lifecycle": self._check_stop,
            "overload": lambda name, now: self._overload.timer(now),
        }

    def _settle(self, effects, now):
        """Deliver this node's messages to itself until only effects remain."""
        waiting = deque(effects)
        outward = []
        while waiting:
            effect = waiting.popleft()
            if type(effect) is fx.SendPeer and effect.node == self._name:
                reader = self._readers[type(effect.message)]
                waiting.extend(reader(self._name, effect.message, now))
            else:
                outward.append(effect)
        return outward

    def _read_message(self, event, now):
        return self._readers[type(event.message)](event.node, event.message, now)

    def _begin_request(self, event, now):
        service = self._documents.declarations.services.get(event.service)
        if service is None:
            return [_refuse(event, "unknown service")]
        if not self._lifecycle.is_accepting:
            return [_refuse(event, self._lifecycle.stage)]
        if not self._overload.admits(service.priority):
            return [_refuse(event, "overload"), fx.Count("refused", "overload")]
        component = self._searches if service.repeatable else self._orders
        return component.begin(event, now)

    def _end_caller(self, event, now):
        return [
            *self._searches.caller_gone(event.request_id, now),
            *self._orders.caller_gone(event.request_id, now),
        ]

    def _join_peer(self, event, now):
        return [
            *self._members.peer_connected(event, now),
            *self._orders.peer_connected(event.node, now),
        ]

    def _lose_peer(self, event, now):
        return [
            *self._members.peer_lost(event, now),
            *self._searches.peer_lost(event.node, now),
            *self._admission.source_lost(event.node, now),
            *self._orders.peer_lost(event.node, now),
        ]

    def _learn(self, event, now):
        if not self._documents.learn(event.name, event.version, event.body, now):
            return []
        return self._change_documents(now)

    def _learn_from_peer(self, node, message, now):
        return self._learn(message, now)

    def _answer_document(self, node, message, now):
        return self._documents.handle_request(node, message)

    def _change_documents(self, now):
        effects = self._members.documents_changed(now)
        effects.extend(self._admission.documents_changed(now))
        effects.extend(self._searches.documents_changed(now))
        return effects

    def _open(self, now):
        if not self._documents.declarations.services:
            return []
        return self._lifecycle.open(lambda: self._can_route(now), now)

    def _can_route(self, now):
        # Whoever knows only some members takes the wrong ones for owners.
        if not self._members.has_recent_heartbeats(now) or self._members.is_isolated(
            now
        ):
            return False
        groups = self._documents.declarations.groups.values()
        owners = {self._members.owner_of(group, now) for group in groups}
        return all(self._members.is_reachable(owner) for owner in owners)

    def _route_object(self, method):
        handlers = {
            "members": getattr(self._members, method),
            "orders": getattr(self._orders, method),
        }

        def handle(event, now):
            component = event.token.partition(":")[0]
            return handlers[component](event, now)

        return handle

    def _fire(self, event, now):
        component = event.name.partition(":")[0]
        return self._timers[component](event.name, now)

    def _stop(self, event, now):
        if self._lifecycle.is_leaving:
            return []
        return [
            *self._lifecycle.stop(now),
            *self._members.begin_leaving(now),
            *self._admission.begin_leaving(now),
            *self._orders.begin_leaving(now),
        ]

    def _check_stop(self, name, now):
        return self._lifecycle.timer(name, self._is_idle(), now)

    def _release(self, now):
        # A successor admits nothing before this node says that nothing of its own
        # is at an upstream any more, so it says so at the first moment.
        if not self._admission.is_idle():
            return []
        self._released = True
        return self._settle(self._members.finish_leaving(now), now)

    def _is_idle(self):
        return (
            self._searches.is_idle
            and self._admission.is_idle()
            and self._orders.is_idle()
        )


def _refuse(event, reason):
    return fx.AnswerCaller(event.request_id, msg.Outcome.NOT_RUN, reason)
