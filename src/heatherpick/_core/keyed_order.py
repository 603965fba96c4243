"""State machine of one order at the node that claims its key, and its changes.

An order cannot be sent twice: it is sent only from the state ``holding``, in which
this node knows that it holds the claim and that no upstream has started the order.
"""

from dataclasses import dataclass, field
from typing import Protocol

from automat import TypeMachineBuilder

from heatherpick._core.claim_buckets import Change, Need
from heatherpick._core.messages import KeyedCall, Outcome
from heatherpick._core.slots import SlotUser

__all__ = ["KeyedOrder", "RecordChange"]

#: Consecutive failures of the platform after which a claim is abandoned.
MAX_CLAIM_FAILURES = 2


class _OrderInputs(Protocol):
    def win_claim(self, now) -> None:
        """The claim is known to be written."""

    def lose_claim(self, entry, now) -> None:
        """Another order holds the key."""

    def refuse(self, reason, now) -> None:
        """No upstream accepts the order."""

    def abandon(self, reason, now) -> None:
        """It is too late to send the order, or the platform does not respond."""

    def grant_slot(self, now) -> None:
        """A slot is free."""

    def answer(self, receipt, now) -> None:
        """The upstream answered."""

    def mark_unstarted(self, reason, now) -> None:
        """It is certain that the upstream did not start the order."""

    def lose_outcome(self, reason, now) -> None:
        """The order may have run, and no response will come."""

    def confirm_record(self, now) -> None:
        """The outcome is written."""

    def confirm_release(self, now) -> None:
        """The claim is known to be gone."""


def _request_slot(machine, order, now):
    order.dispatcher.request_slot(order, now)


def _answer_from_claim(machine, order, entry, now):
    order.dispatcher.answer_from_claim(order, entry, now)


def _refuse_unclaimed(machine, order, reason, now):
    order.dispatcher.answer_not_run(order, reason, now)


def _abandon_claim(machine, order, reason, now):
    # The change stays in its bucket, to undo a write that takes effect late.
    order.claim.is_wanted = False
    order.dispatcher.answer(order, Outcome.NOT_RUN, now, reason=reason)


def _send_order(machine, order, now):
    order.dispatcher.send_order(order, now)


def _refuse_claimed(machine, order, reason, now):
    order.reason = reason
    order.dispatcher.release_claim(order, now)


def _abandon_slot_request(machine, order, reason, now):
    order.dispatcher.withdraw_slot_request(order)
    order.dispatcher.release_claim(order, now)
    order.dispatcher.answer(order, Outcome.NOT_RUN, now, reason=reason)


def _send_answer(machine, order, receipt, now):
    order.receipt = receipt
    order.dispatcher.record_outcome(order, now)
    order.dispatcher.send_results(order, Outcome.ANSWERED, now, receipt)


def _request_other_slot(machine, order, reason, now):
    order.reason = reason
    order.dispatcher.request_slot(order, now)


def _answer_unknown(machine, order, reason, now):
    order.dispatcher.answer(order, Outcome.UNKNOWN, now, reason=reason)


def _remove_order(machine, order, now):
    order.dispatcher.remove_order(order)


def _answer_not_run(machine, order, now):
    order.dispatcher.answer_not_run(order, order.reason, now)


def _answer_unreleased(machine, order, reason, now):
    order.dispatcher.answer(order, Outcome.NOT_RUN, now, reason=order.reason)


def _build_machine():
    builder = TypeMachineBuilder(_OrderInputs, KeyedOrder)
    claiming = builder.state("claiming")
    holding = builder.state("holding")
    sent = builder.state("sent")
    recording = builder.state("recording")
    releasing = builder.state("releasing")
    done = builder.state("done")
    claiming.upon(_OrderInputs.win_claim).to(holding)(_request_slot)
    claiming.upon(_OrderInputs.lose_claim).to(done)(_answer_from_claim)
    claiming.upon(_OrderInputs.refuse).to(done)(_refuse_unclaimed)
    claiming.upon(_OrderInputs.abandon).to(done)(_abandon_claim)
    holding.upon(_OrderInputs.grant_slot).to(sent)(_send_order)
    holding.upon(_OrderInputs.refuse).to(releasing)(_refuse_claimed)
    holding.upon(_OrderInputs.abandon).to(done)(_abandon_slot_request)
    sent.upon(_OrderInputs.answer).to(recording)(_send_answer)
    sent.upon(_OrderInputs.mark_unstarted).to(holding)(_request_other_slot)
    sent.upon(_OrderInputs.lose_outcome).to(done)(_answer_unknown)
    recording.upon(_OrderInputs.confirm_record).to(done)(_remove_order)
    releasing.upon(_OrderInputs.confirm_release).to(done)(_answer_not_run)
    releasing.upon(_OrderInputs.abandon).to(done)(_answer_unreleased)
    for state in (sent, recording, done):
        state.upon(_OrderInputs.abandon).loop().returns(None)
    done.upon(_OrderInputs.confirm_release).loop().returns(None)
    return builder.build()


class ClaimChange(Change):
    """The claim of an order; once it is abandoned, the removal of that claim.

    Parameters
    ----------
    order : KeyedOrder
        The order.
    refusal : str
        Why the order cannot be sent, whatever the claims hold. Then the key is only
        looked up, so that a repeat learns the outcome of its first request.
    """

    def __init__(self, order, refusal=""):
        super().__init__(order.key, order.claim_id)
        self._order = order
        self.refusal = refusal
        self.is_wanted = True

    @property
    def is_void(self):
        """Whether it is abandoned and was never part of a write."""
        return not (self.is_wanted or self.is_in_write or self.may_be_written)

    @property
    def is_abandoned(self):
        """Whether the claim must be removed."""
        return not self.is_wanted

    def evaluate(self, view):
        """Return what the change still needs, given a `KeyView`."""
        entry = view.entry
        if entry is not None and entry.claim_id == self.claim_id:
            return Need.NOTHING if self.is_wanted else Need.WRITE
        if not self.is_wanted:
            return Need.NOTHING if view.is_settled else Need.WRITE
        is_free = entry is None or view.is_never_sent
        if is_free and view.has_room and not self.refusal:
            return Need.WRITE
        if not is_free and entry.is_answered:
            return Need.NOTHING
        return Need.NOTHING if view.is_fresh else Need.READ

    def finish(self, view, now):
        """Notify the order of the result of its claim."""
        machine = self._order.machine
        entry = view.entry
        if not self.is_wanted:
            machine.confirm_release(now)
        elif entry is not None and entry.claim_id == self.claim_id:
            machine.win_claim(now)
        elif entry is None or view.is_never_sent:
            machine.refuse(self.refusal or "claims full", now)
        else:
            machine.lose_claim(entry, now)

    def apply(self, table, wall_s):
        """Add the claim to a table, or remove it."""
        if self.is_wanted:
            table.claim(self.key, self.claim_id, wall_s, self._order.body_hash)
            return
        entry = table.get(self.key)
        if entry is not None and entry.claim_id == self.claim_id:
            table.release(self.key)

    def note_failure(self, n_failures, now):
        """Abandon the order when the platform does not respond."""
        if not self.is_wanted or n_failures >= MAX_CLAIM_FAILURES:
            self._order.machine.abandon("platform away", now)


class RecordChange(Change):
    """The outcome of an order that holds the claim.

    Parameters
    ----------
    order : KeyedOrder
        The order.
    """

    def __init__(self, order):
        super().__init__(order.key, order.claim_id)
        self._order = order

    def evaluate(self, view):
        """Return what the change still needs, given a `KeyView`."""
        entry = view.entry
        if entry is None:
            return Need.WRITE
        if entry.claim_id != self.claim_id:
            return Need.NOTHING if view.is_fresh else Need.READ
        return Need.NOTHING if entry.is_answered else Need.WRITE

    def finish(self, view, now):
        """Notify the order that its outcome is stored."""
        self._order.machine.confirm_record(now)

    def apply(self, table, wall_s):
        """Add the outcome to a table."""
        entry = table.get(self.key)
        if entry is None:
            # The claim was pruned; it is added again so that a later repeat gets the
            # outcome.
            table.claim(self.key, self.claim_id, wall_s, self._order.body_hash)
            entry = table.get(self.key)
        table.record(self.key, entry, self._order.receipt)

    def note_failure(self, n_failures, now):
        """Do nothing: the write is retried until this node stops."""


@dataclass(slots=True, eq=False)
class KeyedOrder(SlotUser):
    """An order at the node that claims its key.

    Parameters
    ----------
    dispatcher : OrderDispatcher
        Carries out the actions of the state machine.
    call : KeyedCall
        The call that the order came with.
    claim_id : str
        Unique id of its claim.
    body_hash : str
        Hash of its body.
    deadline : float
        Time in seconds after which an answer is useless.
    waiters : dict
        Source node of each request that waits for the outcome, by request id.
    claim : ClaimChange or None
        Its claim.
    tried_upstreams : set of str
        Upstreams that did not accept it.
    upstream : str
        The upstream that it waits for or was sent to.
    sent_at : float
        When it was sent, in seconds.
    reason : str
        Why it cannot be sent.
    receipt : str or None
        Its answer.
    machine : object
        Its state machine.
    """

    dispatcher: object
    call: KeyedCall
    claim_id: str
    body_hash: str
    deadline: float
    waiters: dict[str, str] = field(default_factory=dict)
    claim: ClaimChange | None = None
    tried_upstreams: set[str] = field(default_factory=set)
    upstream: str = ""
    sent_at: float = 0.0
    reason: str = ""
    receipt: str | None = None
    machine: object = None

    @classmethod
    def from_call(cls, dispatcher, call, claim_id, body_hash, deadline):
        """Return a new order without a stored claim."""
        order = cls(dispatcher, call, claim_id, body_hash, deadline)
        order.machine = _MACHINE(order)
        order.claim = ClaimChange(order)
        return order

    @property
    def key(self):
        """Idempotency key."""
        return self.call.key

    def handle_slot_granted(self, now):
        """Use the slot that was just taken; returns effects."""
        self.machine.grant_slot(now)
        return self.dispatcher.collect_effects(now)

    def handle_slot_refused(self, reason, now):
        """Request a slot of another upstream; returns effects."""
        self.dispatcher.try_next_upstream(self, reason, now)
        return self.dispatcher.collect_effects(now)


_MACHINE = _build_machine()
