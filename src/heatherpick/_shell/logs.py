"""Structured JSON logs through eliot: an action per request, and single messages."""

import sys

from eliot import (
    FileDestination,
    add_destinations,
    log_message,
    remove_destination,
    start_action,
)
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

from heatherpick._core.effects import Log

__all__ = ["Logs"]

STDOUT = "-"


class Logs:
    """Writes the log of this process.

    Parameters
    ----------
    file : binary file
        Destination of the lines.
    node : str
        Name of this node, added to each line.
    """

    def __init__(self, file, node):
        self._node = node
        self._destination = FileDestination(file=file)
        add_destinations(self._destination)

    @classmethod
    def from_settings(cls, settings):
        """Open the log at ``settings.log_path``, where "-" is standard output."""
        if settings.log_path == STDOUT:
            return cls(sys.stdout.buffer, settings.name)
        return cls(open(settings.log_path, "ab"), settings.name)

    @property
    def effect_handlers(self):
        """Dict of effect type to the handler of that effect."""
        return {Log: lambda effect: self.report(effect.message, **dict(effect.fields))}

    def close(self):
        """Stop logging."""
        remove_destination(self._destination)

    def report(self, message, **fields):
        """Write one log line.

        Parameters
        ----------
        message : str
            What happened.
        **fields : dict
            Additional fields of the line.
        """
        log_message(message, node=self._node, **fields)

    def start_request(self, request_id, service):
        """Start and return the action of a request; its ``finish`` ends it."""
        return start_action(
            action_type="request",
            node=self._node,
            request_id=request_id,
            service=service,
        )

    def log_twisted_events(self):
        """Write events that twisted logs at level warn or above to this log."""
        globalLogBeginner.beginLoggingTo(
            [self._log_twisted_event], redirectStandardIO=False, discardBuffer=True
        )

    def _log_twisted_event(self, event):
        if event.get("log_level", LogLevel.info) < LogLevel.warn:
            return
        failure = event.get("log_failure")
        self.report(
            "twisted warning or error",
            text=formatEvent(event),
            error=repr(failure.value) if failure else "",
        )
