"""Explain how a request ended, from the logs of several nodes."""

import json
import sys

from heatherpick._commands.command import Command, ExitCode
from heatherpick.errors import OperationFailed

__all__ = ["ExplainCommand"]

#: Time before the end of a request whose other log lines may explain it, in seconds.
CONTEXT_WINDOW_S = 10.0
#: Messages about the end of a request.
REQUEST_MESSAGES = frozenset({"request ended", "request refused"})
#: Message about legs that a node sent for another one, if not all were answered.
GROUP_MESSAGE = "legs gathered"
#: Fields that are shown of each other log line.
CONTEXT_FIELDS = (
    "version",
    "kind",
    "reason",
    "state",
    "revision",
    "names",
    "relay",
    "aggregator",
    "accepted",
    "gatherer",
)


class ExplainCommand(Command):
    """Print what the logs of nodes record about a request."""

    name = "explain"
    summary = "explain from logs how a request ended"
    description = (
        "Reads JSON log lines of nodes, from files or standard input, and prints how a "
        "request ended, which shards were missing and why, and what the node logged "
        "about routes, upstreams and the store shortly before."
    )

    def add_arguments(self, parser):
        """Add the id and the log files."""
        parser.add_argument("id", metavar="ID", help="id of the caller's attempt")
        parser.add_argument("logs", metavar="FILE", nargs="*", help="logs of nodes")

    def run(self, arguments):
        """Print an explanation of each end of the request."""
        lines = list(read_lines(arguments.logs))
        request_lines = [
            line
            for line in lines
            if line.get("message") in REQUEST_MESSAGES
            and line.get("request") == arguments.id
        ]
        if not request_lines:
            raise OperationFailed(
                f"no log line about request {arguments.id!r} in {len(lines)} lines; "
                "give the logs of all nodes, and look for lines_dropped_before in them"
            )
        for line in request_lines:
            print("\n".join(describe_request(line, lines)))
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
        # Log collectors often put a time and a name before the line.
        _, brace, rest = text.partition("{")
        try:
            line = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(line, dict):
            yield line


def describe_request(line, lines):
    """Return the explanation of one request as lines of text.

    Parameters
    ----------
    line : dict
        The log line about the end of the request.
    lines : list of dict
        All log lines that were read.
    """
    node, ended_at = line.get("node"), line.get("time", 0.0)
    output = [
        f"request {line.get('request')} at {node}, time {ended_at}",
        f"  outcome: {line.get('outcome')}, status {line.get('status')}",
        f"  routes of version {line.get('version')}",
    ]
    if "aggregator" in line:
        output.append(
            f"  route {line.get('route')}: run by the node that takes searches at "
            f"{line['aggregator']}, answered after {line.get('ms')} ms"
        )
    elif "route" in line:
        if line.get("for_peer"):
            output.append("  run for another node, which serves the caller")
        output += [
            f"  route {line['route']}: {line.get('answered')} of {line.get('shards')} "
            f"shards after {line.get('ms')} ms",
            f"  extra legs: {line.get('hedges')} hedges, {line.get('retries')} retries",
        ]
        if "groups" in line:
            output.append(f"  groups of legs sent by other nodes: {line['groups']}")
    output += [
        f"    {each.get('node')} answered with {each.get('answered')} of "
        f"{each.get('legs')} legs after {each.get('ms')} ms"
        for each in lines
        if each.get("message") == GROUP_MESSAGE
        and each.get("request") == line.get("request")
    ]
    asked_upstreams = set()
    for shard in line.get("missing", ()):
        asked_upstreams.update(shard["asked"])
        asked_upstreams.update(each.partition(":")[0] for each in shard["trouble"])
        output.append(
            f"  without an answer: {shard['service']}, {shard['sent']} legs, "
            f"{shard['listed']} upstreams listed"
        )
        output += [f"    {trouble}" for trouble in shard["trouble"]]
    context = [
        each
        for each in lines
        if each.get("node") == node
        and ended_at - CONTEXT_WINDOW_S <= each.get("time", 0.0) <= ended_at
        and each.get("message") not in (*REQUEST_MESSAGES, GROUP_MESSAGE)
        and (each.get("upstream") in asked_upstreams or "upstream" not in each)
    ]
    if context:
        output.append(f"  logged by {node} in the {CONTEXT_WINDOW_S:g} s before:")
        output += [f"    {_describe_context_line(each, ended_at)}" for each in context]
    return output


def _describe_context_line(line, ended_at):
    fields = [
        f"{name}={line[name]}" for name in ("upstream", *CONTEXT_FIELDS) if name in line
    ]
    age_s = ended_at - line.get("time", 0.0)
    return f"{age_s:.1f} s before: {line.get('message')} {' '.join(fields)}".rstrip()
