"""Account of the worth that a day on the platform's bench lost, by cause.

Usage: ``python -m tools.losses SITE DAY REPORT LOG [--plot FILE]``, where the report
and the log come from one run with ``--report REPORT --log all``.

The report tells how much worth was lost in each window of the day, the nodes' log
lines why each request was late, partial or refused. A caller's attempts have different
ids, so a refusal does not show whether a later attempt was served: the losses of a
window that the log explains are scaled down to what the report says, and what the log
leaves unexplained is that of callers who reached no node.
"""

import argparse
import json
import re
import sys
import tomllib
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["Loss", "RequestKind", "account_losses", "read_kinds", "read_log"]

#: Length of the report's windows, in seconds.
WINDOW_S = 2
#: Time within which a node that refuses requests detects that it is isolated, if it is,
#: in seconds.
DETECTION_S = 6.0
LOG_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")

NO_NODE = "no node reached"
NOT_KNOWN_ISOLATED = "refused: isolated, not detected yet"
KNOWN_ISOLATED = "refused: isolated, detected"
REFUSED = "refused: too few shards available"
LATE = "late"
NONE_LISTED = "part missing: no upstream listed"
ALL_ASKED = "part missing: all upstreams asked, none in time"
NOT_RUN_ONLY = "part missing: rejected, no other asked"
NEVER_ASKED = "part missing: another upstream never asked"
NOT_LOGGED = "part missing: not logged"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of requests.

    Parameters
    ----------
    name : str
        Name in the site file.
    objective_ms : float
        Its objective.
    weight : float
        Worth of a complete answer in time.
    late_share : float
        Share of it that a late answer is worth.
    is_gather : bool
        Whether it asks many shards.
    """

    name: str
    objective_ms: float
    weight: float
    late_share: float
    is_gather: bool


@dataclass(frozen=True, slots=True)
class Loss:
    """Worth that was lost for one cause.

    Parameters
    ----------
    second : float
        Time of the day.
    data_centre, kind, cause : str
        Where, on which kind of requests, and why; the first two are "?" if unknown.
    amount : float
        Lost worth, in units of the kinds' weights.
    """

    second: float
    data_centre: str
    kind: str
    cause: str
    amount: float


def read_kinds(site, day_name):
    """Return the kinds of requests of a day; ``site`` is the parsed site file."""
    day = next(each for each in site.get("day", ()) if each["name"] == day_name)
    classes = day.get("classes") or site.get("classes", ())
    return [
        RequestKind(
            each["name"],
            float(each["aim_ms"]),
            float(each["worth"]),
            float(each["late_worth"]),
            "gather" in each,
        )
        for each in classes
    ]


def read_log(lines):
    """Yield time, node and fields of each log line of a node."""
    for line in lines:
        match = LOG_LINE.match(line)
        if match is None:
            continue
        try:
            fields = json.loads(match[3])
        except json.JSONDecodeError:
            # The bench may cut a line in which a process was killed.
            continue
        yield float(match[1]), match[2], fields


def account_losses(kinds, windows, records):
    """Attribute the lost worth of a day.

    Parameters
    ----------
    kinds : list of RequestKind
        The kinds of requests.
    windows : list of dict
        The report's windows with ``name`` (the first second), ``n`` and ``worth``.
    records : iterable of tuple
        What `read_log` yields.

    Returns
    -------
    list of Loss
        Together as much as the windows have lost.
    """
    records = sorted(records, key=lambda record: record[0])
    logged = _list_logged_losses(kinds, records)
    by_window = defaultdict(list)
    for loss in logged:
        by_window[int(loss.second // WINDOW_S) * WINDOW_S].append(loss)
    mean_weight = _compute_mean_weight(kinds, records)
    losses = []
    for window in windows:
        start = int(window["name"])
        lost = window["n"] * mean_weight * (1.0 - window["worth"])
        explained = sum(loss.amount for loss in by_window[start])
        scale = min(1.0, lost / explained) if explained else 0.0
        losses += [
            Loss(
                loss.second,
                loss.data_centre,
                loss.kind,
                loss.cause,
                loss.amount * scale,
            )
            for loss in by_window[start]
        ]
        if lost > explained:
            losses.append(Loss(start, "?", "?", NO_NODE, lost - explained))
    return losses


def _list_logged_losses(kinds, records):
    data_centres = {
        node: fields["data_centre"]
        for _, node, fields in records
        if fields.get("message") == "started"
    }
    spans = _find_isolated_spans(records)
    losses = []
    for at, node, fields in records:
        kind = _find_kind(kinds, fields)
        if kind is None:
            continue
        for cause, share in _classify(kind, fields, spans[node], at):
            where = data_centres.get(node, "?")
            losses.append(Loss(at, where, kind.name, cause, share * kind.weight))
    return losses


def _find_kind(kinds, fields):
    """Return the kind of a request that the log line is about, or None."""
    objective_ms = fields.get("objective_ms")
    is_request = fields.get("message") == "request ended" and objective_ms
    # A search that was handed over is logged by the node that received it, too.
    if not is_request or fields.get("for_peer") or not fields.get("priority"):
        return None
    is_gather = fields["shards"] > 1
    candidates = [kind for kind in kinds if kind.is_gather == is_gather]
    return min(
        candidates, key=lambda kind: abs(kind.objective_ms - objective_ms), default=None
    )


def _find_isolated_spans(records):
    spans = defaultdict(list)
    for at, node, fields in records:
        if fields.get("message") == "isolated":
            spans[node].append([at, float("inf")])
        elif fields.get("message") in ("no longer isolated", "started") and spans[node]:
            spans[node][-1][1] = min(spans[node][-1][1], at)
    return spans


def _classify(kind, fields, spans, at):
    """Return pairs of a cause and the share of the request's worth that it cost."""
    if fields["status"] == 0:
        return []
    if fields["status"] >= 400:
        # The node logs that it is isolated at its next readiness check only.
        is_known = fields.get("outcome") == "isolated"
        if is_known or any(start <= at < end for start, end in spans):
            return [(KNOWN_ISOLATED, 1.0)]
        if any(start - DETECTION_S <= at < start for start, _ in spans):
            return [(NOT_KNOWN_ISOLATED, 1.0)]
        return [(REFUSED, 1.0)]
    causes = []
    n_missing = fields["shards"] - fields["answered"]
    left = 1.0
    if fields["ms"] > fields["objective_ms"]:
        causes.append((LATE, 1.0 - kind.late_share))
        left = kind.late_share
    if n_missing and "missing" in fields:
        share = left * (1.0 - (fields["answered"] / fields["shards"]) ** 2) / n_missing
        shards = fields["missing"]
        causes += [(_classify_shard(shard), share) for shard in shards]
        if n_missing > len(shards):
            causes.append((NOT_LOGGED, share * (n_missing - len(shards))))
    return causes


def _classify_shard(shard):
    if not shard["listed"]:
        return NONE_LISTED
    if len(shard["asked"]) >= shard["listed"]:
        return ALL_ASKED
    if shard["trouble"] and all("not run" in text for text in shard["trouble"]):
        return NOT_RUN_ONLY
    return NEVER_ASKED


def _compute_mean_weight(kinds, records):
    weights = [
        kind.weight
        for kind in (_find_kind(kinds, fields) for _, _, fields in records)
        if kind is not None
    ]
    return sum(weights) / len(weights) if weights else 1.0


def format_table(losses, key, n_columns=48):
    """Return lines with the share of the lost worth by a field of the losses."""
    total = sum(loss.amount for loss in losses) or 1.0
    amounts = defaultdict(float)
    for loss in losses:
        amounts[getattr(loss, key)] += loss.amount
    ordered = sorted(amounts.items(), key=lambda pair: -pair[1])
    return [
        f"{name:{n_columns}} {amount:8.2f} {amount / total:7.1%}"
        for name, amount in ordered
    ]


def plot_losses(path, losses):
    """Draw the lost worth of each window, stacked by cause, into an SVG file."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot as plt

    amounts = defaultdict(lambda: defaultdict(float))
    for loss in losses:
        start = int(loss.second // WINDOW_S) * WINDOW_S
        amounts[loss.cause][start] += loss.amount
    starts = sorted({start for by_start in amounts.values() for start in by_start})
    figure, axes = plt.subplots(figsize=(9.0, 4.5))
    bottoms = [0.0] * len(starts)
    for cause in sorted(amounts):
        heights = [amounts[cause][start] for start in starts]
        axes.bar(starts, heights, WINDOW_S, bottoms, align="edge", label=cause)
        bottoms = [a + b for a, b in zip(bottoms, heights, strict=True)]
    axes.set(xlabel="second of the day", ylabel="lost worth")
    axes.legend(fontsize="small")
    figure.savefig(path)
    plt.close(figure)


def main(arguments=None):
    """Print the account of one run; return the exit status."""
    parser = argparse.ArgumentParser(prog="tools.losses", description=__doc__)
    parser.add_argument("site", help="site file of the deployment")
    parser.add_argument("day", help="name of the day")
    parser.add_argument("report", help="report of the run")
    parser.add_argument("log", help="output of the run, with the nodes' log lines")
    parser.add_argument("--plot", help="SVG file to write")
    options = parser.parse_args(arguments)
    with open(options.site, "rb") as file:
        kinds = read_kinds(tomllib.load(file), options.day)
    with open(options.report) as file:
        report = json.load(file)
    with open(options.log, errors="replace") as file:
        losses = account_losses(kinds, report["windows"], read_log(file))
    for key in ("cause", "data_centre", "kind"):
        print(f"{'lost worth by ' + key:48}    units   share")
        print("\n".join(format_table(losses, key)), end="\n\n")
    prices = sorted(report["prices"], key=lambda price: -price[2])
    print("prices, in worth of the day")
    for name, quantity, price in prices:
        if price > 0.0:
            print(f"{name:48} {quantity:12.3f} {price:7.4f}")
    if options.plot:
        plot_losses(options.plot, losses)
    return 0


if __name__ == "__main__":
    sys.exit(main())
