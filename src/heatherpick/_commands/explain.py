"""Tell the story of one request from the logs of several nodes."""

import json
import sys

from heatherpick._commands.command import Command, ExitCode
from heatherpick.errors import OperationFailed

__all__ = ["ExplainCommand"]

#: Time before a request's end in which what a node came to believe may explain it, in
#: seconds.
CONTEXT_S = 10.0
#: Messages about a request itself, and about what a node believes.
REQUEST_MESSAGES = frozenset({"request ended", "request refused"})
BELIEF_FIELDS = (
    "version",
    "kind",
    "reason",
    "state",
    "revision",
    "names",
    "relay",
    "aggregator",
    "accepted",
)


class ExplainCommand(Command):
    """Print what the logs of nodes say about a request."""

    name = "explain"
    summary = "tell from logs what became of a request"
    description = (
        "Reads JSON lines of nodes, from files or standard input, and prints how a "
        "request ended, which shards were missing and why, and what the node learned "
        "about routes, upstreams and the store shortly before."
    )

    def add_arguments(self, parser):
        """Add the id and the log files."""
        parser.add_argument("id", metavar="ID", help="id of the caller's attempt")
        parser.add_argument("logs", metavar="FILE", nargs="*", help="logs of nodes")

    def run(self, arguments):
        """Print the story."""
        lines = list(read_lines(arguments.logs))
        story = [
            line
            for line in lines
            if line.get("message") in REQUEST_MESSAGES
            and line.get("request") == arguments.id
        ]
        if not story:
            raise OperationFailed(
                f"no line about request {arguments.id!r} in {len(lines)} lines; "
                "give the logs of all nodes, and look for lines_dropped_before in them"
            )
        for line in story:
            print("\n".join(describe(line, lines)))
        return ExitCode.OK


def read_lines(paths):
    """Yield the JSON objects of log files, or of standard input if there are none."""
    for path in paths or ["-"]:
        if path == "-":
            yield from _parse(sys.stdin)
        else:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from _parse(file)


def _parse(file):
    for text in file:
        # Tools that collect logs often put a time and a name before the line.
        _, brace, rest = text.partition("{")
        try:
            line = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(line, dict):
            yield line


def describe(line, lines):
    """Return the story of one request as lines of text.

    Parameters
    ----------
    line : dict
        The log line of its end.
    lines : list of dict
        All log lines at hand.
    """
    node, at = line.get("node"), line.get("time", 0.0)
    told = [
        f"request {line.get('request')} at {node}, time {at}",
        f"  outcome: {line.get('outcome')}, status {line.get('status')}",
        f"  routes of version {line.get('version')}",
    ]
    if "aggregator" in line:
        told.append(
            f"  route {line.get('route')}: run by the node that takes searches at "
            f"{line['aggregator']}, answered after {line.get('ms')} ms"
        )
    elif "route" in line:
        if line.get("for_peer"):
            told.append("  run for another node, which has the caller")
        told += [
            f"  route {line['route']}: {line.get('answered')} of {line.get('shards')} "
            f"shards after {line.get('ms')} ms",
            f"  extra legs: {line.get('hedges')} hedges, {line.get('retries')} retries",
        ]
    asked = set()
    for shard in line.get("missing", ()):
        asked.update(shard["asked"])
        asked.update(each.partition(":")[0] for each in shard["trouble"])
        told.append(
            f"  without an answer: {shard['service']}, {shard['sent']} legs, "
            f"{shard['listed']} upstreams listed"
        )
        told += [f"    {trouble}" for trouble in shard["trouble"]]
    context = [
        each
        for each in lines
        if each.get("node") == node
        and at - CONTEXT_S <= each.get("time", 0.0) <= at
        and each.get("message") not in REQUEST_MESSAGES
        and (each.get("upstream") in asked or "upstream" not in each)
    ]
    if context:
        told.append(f"  {node} learned in the {CONTEXT_S:g} s before:")
        told += [f"    {_describe_belief(each, at)}" for each in context]
    return told


def _describe_belief(line, at):
    fields = [
        f"{name}={line[name]}" for name in ("upstream", *BELIEF_FIELDS) if name in line
    ]
    age_s = at - line.get("time", 0.0)
    return f"{age_s:.1f} s before: {line.get('message')} {' '.join(fields)}".rstrip()
