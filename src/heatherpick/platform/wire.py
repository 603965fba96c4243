"""Decoding of the platform's documents, and the names of its headers and objects."""

import re

from heatherpick._fleet.addresses import parse_address
from heatherpick._net.header_names import HeaderNames
from heatherpick._net.node import DocumentKinds
from heatherpick._serving.model import (
    CallerLimits,
    Route,
    Service,
    Snapshot,
    UpstreamEntry,
)

__all__ = [
    "DRAINED_KIND",
    "PLATFORM_HEADER_NAMES",
    "PLATFORM_KINDS",
    "READINESS_PATH",
    "decode_snapshot",
    "decode_upstream",
]

#: Kind of the objects that are named after drained data centres.
DRAINED_KIND = "evacuations"
READINESS_PATH = b"/api/readiness"

PLATFORM_HEADER_NAMES = HeaderNames(
    request_id=b"request-id",
    timeout=b"deadline-ms",
    target=b"target-instance",
    signature=b"response-seal",
    unexecuted=b"not-executed",
    load=b"server-load",
    part_signatures=b"Part-Seals",
    n_missing=b"Parts-Missing",
)

_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
# The name of an upstream is sent in headers, in one of them in a list with commas.
_UPSTREAM_NAME = re.compile(r"[!-+\--~]{1,200}")
#: Largest plausible values of an entry's numbers: slots, remaining time in
#: milliseconds (a day), and Unix milliseconds.
MAX_SLOTS = 100_000
MAX_COLD_MS = 86_400_000
MAX_BORN_MS = 2**53


def decode_snapshot(document):
    """Decode a configuration document to a `Snapshot`.

    Raises
    ------
    AttributeError, KeyError, OverflowError, TypeError, ValueError
        A field is missing or has the wrong type. The platform accepts only valid
        documents, so this happens only where bytes were corrupted.
    """
    routes = {}
    for fields in document["routes"]:
        route = _decode_route(fields)
        routes.setdefault(route.host, {})[route.prefix] = route
    services = {
        fields["name"]: Service(
            fields["name"],
            int(fields.get("max-connections", 0)),
            float(fields.get("cold-per-s", 0.0)),
        )
        for fields in document["services"]
    }
    limits = document.get("limits", {})
    return Snapshot(
        version=int(document["version"]),
        routes=routes,
        services=services,
        limits=CallerLimits(
            max_header_bytes=int(limits.get("max-header-bytes", 16384)),
            max_body_bytes=int(limits.get("max-body-bytes", 262144)),
            header_timeout_s=limits.get("header-timeout-ms", 3000) / 1000.0,
            idle_timeout_s=limits.get("idle-timeout-ms", 15000) / 1000.0,
        ),
    )


def _decode_route(fields):
    gather = fields.get("gather")
    if gather:
        services, weights = tuple(gather), ()
    elif fields.get("split"):
        services = tuple(part["service"] for part in fields["split"])
        weights = tuple(float(part["weight"]) for part in fields["split"])
    else:
        services, weights = (fields["service"],), (1.0,)
    return Route(
        name=fields["name"],
        host=fields["host"].lower(),
        prefix=fields["path-prefix"],
        repeatable=fields["type"] == "safe",
        services=services,
        weights=weights,
        is_gather=bool(gather),
        max_upstreams=int(fields.get("attempts", 1)),
        timeout_ms=float(fields["timeout-ms"]),
        objective_ms=float(fields.get("slo-ms", fields["timeout-ms"])),
        priority=int(fields.get("priority", 0)),
        n_records=int(fields.get("top-k", 0)),
        least_coverage=float(fields.get("min-coverage", 0.0)),
    )


def decode_upstream(name, fields):
    """Decode an entry to an `UpstreamEntry`; return None for an invalid entry.

    Parameters
    ----------
    name : str
        The entry's name, which is the upstream's id.
    fields : object
        The entry's value. Other writers may have written a value of any type.
    """
    if not isinstance(fields, dict) or not _UPSTREAM_NAME.fullmatch(name):
        return None
    service, zone, state = (
        fields.get("service"),
        fields.get("zone"),
        fields.get("state"),
    )
    if not all(isinstance(text, str) and text for text in (service, zone, state)):
        return None
    address = parse_address(fields.get("address"))
    numbers = (
        (fields.get("slots"), MAX_SLOTS),
        (fields.get("cold-remaining-ms", 0), MAX_COLD_MS),
        (fields.get("born", 0), MAX_BORN_MS),
    )
    if not all(_is_number(value, maximum) for value, maximum in numbers):
        return None
    if state not in _IS_DRAINING_BY_STATE or address is None:
        return None
    (slots, _), (cold_ms, _), (born, _) = numbers
    host, port = address
    return UpstreamEntry(
        id=name,
        service=service,
        data_centre=zone,
        host=host,
        port=port,
        n_slots=max(1, int(slots)),
        is_draining=_IS_DRAINING_BY_STATE[state],
        cold_ms=float(cold_ms),
        started_ms=int(born),
    )


def _is_number(value, maximum):
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and 0 <= value <= maximum


PLATFORM_KINDS = DocumentKinds(
    routes="config",
    upstreams="servers",
    drains=DRAINED_KIND,
    nodes="heatherpick-nodes",
    routes_name="main",
    decode_snapshot=decode_snapshot,
    decode_upstream=decode_upstream,
)
