"""Stages of a node from its start to a planned stop that interrupts no request."""

from typing import Protocol

from automat import TypeMachineBuilder

from heatherpick._core.effects import Exit, Log, SetReadiness, SetTimer

__all__ = ["Lifecycle"]

#: Time for which requests are still accepted after the node reports that it is not
#: ready, in milliseconds. A balancer that polls once a second has noticed by then.
SETTLE_MS = 2500.0
#: Interval between checks whether all work has ended, in milliseconds.
IDLE_CHECK_MS = 50.0
#: Longest wait for unfinished work, in milliseconds. It is far above every deadline,
#: so the callers of what is left by then no longer wait.
MAX_FINISH_MS = 10000.0

#: Longest wait for reachable owners before requests are accepted, in seconds. An
#: isolated node serves what it can after that.
OPEN_WAIT_S = 5.0

_SETTLED = "lifecycle:settled"
_CHECK = "lifecycle:check"


class _Inputs(Protocol):
    def open(self) -> list:
        """Accept requests: the first declarations are in force."""

    def stop(self) -> list:
        """Begin the stop that the operator requested."""

    def settle(self) -> list:
        """Refuse new requests: the balancer has had time to notice the stop."""

    def finish(self) -> list:
        """End: all work has finished or its time limit has passed."""

    def name(self) -> str:
        """Return the name of the stage."""


class _NoState:
    """Empty core of the state machine, which needs no data beyond its state."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _NoState)
    starting = builder.state("starting")
    serving = builder.state("serving")
    settling = builder.state("settling")
    finishing = builder.state("finishing")
    stopped = builder.state("stopped")

    @starting.upon(_Inputs.open).to(serving)
    def become_ready(inputs, core):
        return [SetReadiness(True), Log("serving")]

    @starting.upon(_Inputs.stop).to(settling)
    @serving.upon(_Inputs.stop).to(settling)
    def begin_stop(inputs, core):
        return [SetReadiness(False), SetTimer(_SETTLED, SETTLE_MS), Log("leaving")]

    @settling.upon(_Inputs.settle).to(finishing)
    def begin_finishing(inputs, core):
        return [SetTimer(_CHECK, IDLE_CHECK_MS)]

    @finishing.upon(_Inputs.finish).to(stopped)
    def exit_process(inputs, core):
        return [Log("stopped"), Exit(0)]

    for state in (serving, settling, finishing, stopped):
        state.upon(_Inputs.open).loop().returns([])
    for state in (settling, finishing, stopped):
        state.upon(_Inputs.stop).loop().returns([])
    for state in (starting, serving, finishing, stopped):
        state.upon(_Inputs.settle).loop().returns([])
    for state in (starting, serving, settling, stopped):
        state.upon(_Inputs.finish).loop().returns([])
    for state, name in (
        (starting, "starting"),
        (serving, "serving"),
        (settling, "settling"),
        (finishing, "finishing"),
        (stopped, "stopped"),
    ):
        state.upon(_Inputs.name).loop().returns(name)
    return builder.build()


_MACHINE = _build_machine()


class Lifecycle:
    """The stage of this node, and the steps of a planned stop.

    After a stop begins, requests are accepted until the balancer has had time to
    notice, so a caller that it still sends in between is served, not refused.

    Attributes
    ----------
    stage : str
        Name of the stage.
    """

    def __init__(self):
        self._machine = _MACHINE(_NoState())
        # Cached because it is read at every event.
        self.stage = self._machine.name()
        self._open_deadline = None
        self._finish_deadline = None

    @property
    def is_accepting(self):
        """Whether callers' requests are accepted."""
        return self.stage in ("serving", "settling")

    @property
    def is_leaving(self):
        """Whether a planned stop has begun."""
        return self.stage in ("settling", "finishing", "stopped")

    def open(self, can_route, now):
        """Accept requests as soon as they can be served; return effects.

        Parameters
        ----------
        can_route : callable
            Returns whether an owner of every group can be reached.
        now : float
            Time in seconds.
        """
        if self.stage != "starting":
            return []
        if self._open_deadline is None:
            self._open_deadline = now + OPEN_WAIT_S
        if now < self._open_deadline and not can_route():
            return []
        return self._apply(self._machine.open)

    def stop(self, now):
        """Begin a planned stop; return effects."""
        if self._finish_deadline is None:
            self._finish_deadline = now + (SETTLE_MS + MAX_FINISH_MS) / 1000.0
        return self._apply(self._machine.stop)

    def timer(self, name, is_idle, now):
        """Handle a timer of a stop; return effects.

        Parameters
        ----------
        name : str
            Name of the timer.
        is_idle : bool
            Whether all accepted work is finished.
        now : float
            Time in seconds.
        """
        if name == _SETTLED:
            return self._apply(self._machine.settle)
        if is_idle or now >= self._finish_deadline:
            return self._apply(self._machine.finish)
        return [SetTimer(_CHECK, IDLE_CHECK_MS)]

    def _apply(self, transition):
        effects = transition()
        self.stage = self._machine.name()
        return effects
