"""The life of one order at the node that claims its key.

The states make it impossible to send an order twice: only the state ``holding``,
in which this node knows that it holds the claim and that no upstream has started
the order, can be left by sending.
"""

from dataclasses import dataclass, field
from typing import Protocol

from automat import TypeMachineBuilder

from heatherpick._core.claim_buckets import Change, Need
from heatherpick._core.messages import KeyedCall, Outcome
from heatherpick._core.slots import SlotUser

__all__ = ["KeyedOrder", "RecordChange"]

#: Failures of the platform in a row after which no claim is waited for.
N_CLAIM_FAILURES = 2


class _Life(Protocol):
    def win(self, now) -> None:
        """The claim is known to be written."""

    def lose(self, entry, now) -> None:
        """Another order holds the key."""

    def refuse(self, reason, now) -> None:
        """No upstream takes the order."""

    def give_up(self, reason, now) -> None:
        """It is too late to send the order, or nobody waits for it."""

    def send(self, now) -> None:
        """A slot is free."""

    def answer(self, receipt, now) -> None:
        """The upstream answered."""

    def return_unstarted(self, reason, now) -> None:
        """The upstream proved that it did not start the order."""

    def vanish(self, reason, now) -> None:
        """The order may have run, and no answer will come."""

    def record(self, now) -> None:
        """The outcome is written."""

    def release(self, now) -> None:
        """The claim is known to be gone."""


def _hold(life, order, now):
    order.keeper.seek_slot(order, now)


def _lose(life, order, entry, now):
    order.keeper.answer_from(order, entry, now)


def _refuse_unclaimed(life, order, reason, now):
    order.keeper.answer_free(order, reason, now)


def _give_up_claim(life, order, reason, now):
    # The change stays in its bucket and undoes what a late write may do.
    order.claim.is_wanted = False
    order.keeper.answer(order, Outcome.NOT_RUN, now, reason=reason)


def _send(life, order, now):
    order.keeper.send(order, now)


def _refuse_claimed(life, order, reason, now):
    order.reason = reason
    order.keeper.release_claim(order, now)


def _give_up_slot(life, order, reason, now):
    order.keeper.withdraw(order)
    order.keeper.release_claim(order, now)
    order.keeper.answer(order, Outcome.NOT_RUN, now, reason=reason)


def _answer(life, order, receipt, now):
    order.receipt = receipt
    order.keeper.record_outcome(order, now)
    order.keeper.tell(order, Outcome.ANSWERED, now, receipt)


def _hold_again(life, order, reason, now):
    order.reason = reason
    order.keeper.seek_slot(order, now)


def _vanish(life, order, reason, now):
    order.keeper.answer(order, Outcome.UNKNOWN, now, reason=reason)


def _record(life, order, now):
    order.keeper.forget(order)


def _release(life, order, now):
    order.keeper.answer_free(order, order.reason, now)


def _answer_unreleased(life, order, reason, now):
    order.keeper.answer(order, Outcome.NOT_RUN, now, reason=order.reason)


def _build_life():
    builder = TypeMachineBuilder(_Life, KeyedOrder)
    claiming = builder.state("claiming")
    holding = builder.state("holding")
    sent = builder.state("sent")
    recording = builder.state("recording")
    releasing = builder.state("releasing")
    done = builder.state("done")
    claiming.upon(_Life.win).to(holding)(_hold)
    claiming.upon(_Life.lose).to(done)(_lose)
    claiming.upon(_Life.refuse).to(done)(_refuse_unclaimed)
    claiming.upon(_Life.give_up).to(done)(_give_up_claim)
    holding.upon(_Life.send).to(sent)(_send)
    holding.upon(_Life.refuse).to(releasing)(_refuse_claimed)
    holding.upon(_Life.give_up).to(done)(_give_up_slot)
    sent.upon(_Life.answer).to(recording)(_answer)
    sent.upon(_Life.return_unstarted).to(holding)(_hold_again)
    sent.upon(_Life.vanish).to(done)(_vanish)
    recording.upon(_Life.record).to(done)(_record)
    releasing.upon(_Life.release).to(done)(_release)
    releasing.upon(_Life.give_up).to(done)(_answer_unreleased)
    for state in (sent, recording, done):
        state.upon(_Life.give_up).loop().returns(None)
    done.upon(_Life.release).loop().returns(None)
    return builder.build()


class ClaimChange(Change):
    """The claim of an order; once given up, the removal of that claim.

    Parameters
    ----------
    order : KeyedOrder
        The order.
    refusal : str
        Why the order cannot be sent whatever the claims say. Then the key is only
        looked up, so that a repeat learns the outcome of its first request.
    """

    def __init__(self, order, refusal=""):
        super().__init__(order.key, order.claim_id)
        self._order = order
        self.refusal = refusal
        self.is_wanted = True

    @property
    def is_void(self):
        """Whether it is given up and was never part of a write."""
        return not (self.is_wanted or self.is_in_write or self.may_be_written)

    @property
    def is_given_up(self):
        """Whether the claim must go."""
        return not self.is_wanted

    def judge(self, view):
        """Return the `Need` that remains in face of a `View`."""
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
        """Tell the order what became of its claim."""
        life = self._order.life
        entry = view.entry
        if not self.is_wanted:
            life.release(now)
        elif entry is not None and entry.claim_id == self.claim_id:
            life.win(now)
        elif entry is None or view.is_never_sent:
            life.refuse(self.refusal or "claims full", now)
        else:
            life.lose(entry, now)

    def apply(self, table, wall_s):
        """Put the claim in, or take it out."""
        if self.is_wanted:
            table.claim(self.key, self.claim_id, wall_s, self._order.body_hash)
            return
        entry = table.get(self.key)
        if entry is not None and entry.claim_id == self.claim_id:
            table.release(self.key)

    def fail(self, n_failures, now):
        """Give up waiting when the platform is away."""
        if not self.is_wanted or n_failures >= N_CLAIM_FAILURES:
            self._order.life.give_up("platform away", now)


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

    def judge(self, view):
        """Return the `Need` that remains in face of a `View`."""
        entry = view.entry
        if entry is None:
            return Need.WRITE
        if entry.claim_id != self.claim_id:
            return Need.NOTHING if view.is_fresh else Need.READ
        return Need.NOTHING if entry.is_answered else Need.WRITE

    def finish(self, view, now):
        """Tell the order that its outcome is kept."""
        self._order.life.record(now)

    def apply(self, table, wall_s):
        """Put the outcome in."""
        entry = table.get(self.key)
        if entry is None:
            # The claim was pruned: the repeat that comes even later is told so.
            table.claim(self.key, self.claim_id, wall_s, self._order.body_hash)
            entry = table.get(self.key)
        table.record(self.key, entry, self._order.receipt)

    def fail(self, n_failures, now):
        """Keep trying: the outcome is wanted as long as this node lives."""


@dataclass(slots=True, eq=False)
class KeyedOrder(SlotUser):
    """An order at the node that claims its key.

    Parameters
    ----------
    keeper : OrderKeeper
        Carries out what the order's life asks for.
    call : KeyedCall
        The request that brought it.
    claim_id : str
        Unique id of its claim.
    body_hash : str
        Hash of its body.
    deadline : float
        Time in seconds at which its answer is worthless.
    waiters : dict
        Source node of each request that waits for the outcome, by request id.
    claim : ClaimChange or None
        Its claim.
    tried : set of str
        Upstreams that did not take it.
    upstream : str
        The upstream that it waits for or was sent to.
    sent_at : float
        When it was sent, in seconds.
    reason : str
        Why it cannot be sent.
    receipt : str or None
        Its answer.
    life : object
        Its state machine.
    """

    keeper: object
    call: KeyedCall
    claim_id: str
    body_hash: str
    deadline: float
    waiters: dict[str, str] = field(default_factory=dict)
    claim: ClaimChange | None = None
    tried: set[str] = field(default_factory=set)
    upstream: str = ""
    sent_at: float = 0.0
    reason: str = ""
    receipt: str | None = None
    life: object = None

    @classmethod
    def from_call(cls, keeper, call, claim_id, body_hash, deadline):
        """Return a new order that still needs its claim."""
        order = cls(keeper, call, claim_id, body_hash, deadline)
        order.life = _LIFE(order)
        order.claim = ClaimChange(order)
        return order

    @property
    def key(self):
        """Idempotency key."""
        return self.call.key

    def handle_slot_granted(self, now):
        """Use the slot that was just taken; returns effects."""
        self.life.send(now)
        return self.keeper.take_effects(now)

    def handle_slot_refused(self, reason, now):
        """Look for another upstream; returns effects."""
        self.keeper.seek_other(self, reason, now)
        return self.keeper.take_effects(now)


_LIFE = _build_life()
