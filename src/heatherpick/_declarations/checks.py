"""Checks over a whole set of declarations, each of which finds one kind of fault.

References point from one kind to another in one direction only (service to shard
set and deadline, upstream to data centre, limit and shard set, data centre to
region), so they cannot form a cycle, and no check looks for one.
"""

__all__ = ["check_policy", "check_structure"]

#: References between kinds: kind, its key, and the kind of which the key holds a name.
REFERENCES = (
    ("data-centre", "region", "region"),
    ("upstream", "data_centre", "data-centre"),
    ("upstream", "limit", "limit"),
    ("upstream", "shard_set", "shard-set"),
    ("service", "shard_set", "shard-set"),
    ("service", "deadline", "deadline"),
)

#: Number of shards without an upstream that a finding shows.
MAX_SHARDS_SHOWN = 10


def check_structure(objects, findings):
    """Find faults that make a set unusable: broken references, shards out of range.

    Parameters
    ----------
    objects : DeclaredObjects
        Every object of the set.
    findings : Findings
        Receives the faults.
    """
    _check_references(objects, findings)
    _check_shard_range(objects, findings)


def check_policy(objects, findings):
    """Find contradictions, with which a set must not be published.

    Parameters
    ----------
    objects : DeclaredObjects
        Every object of the set.
    findings : Findings
        Receives the faults.
    """
    for check in _POLICY_CHECKS:
        check(objects, findings)


def _add(findings, declared, key, message):
    findings.add(
        declared.section.find_location(key), declared.format_subject(key), message
    )


def _check_references(objects, findings):
    for kind, key, target in REFERENCES:
        for declared in objects.list_kind(kind):
            name = getattr(declared.item, key)
            if not objects.is_declared(target, name):
                _add(
                    findings,
                    declared,
                    key,
                    f"there is no [{target} {name}]; declare it",
                )


def _check_shard_range(objects, findings):
    for declared in objects.list_kind("upstream"):
        shard_set = objects.find("shard-set", declared.item.shard_set)
        if shard_set is None:
            continue
        n_shards = shard_set.item.n_shards
        if declared.item.shards[-1] >= n_shards:
            _add(
                findings,
                declared,
                "shards",
                f"shard {declared.item.shards[-1]} does not exist; "
                f"{shard_set.item.name} has shards 0 to {n_shards - 1}",
            )


def _check_shards_served(objects, findings):
    # Faulty upstreams are left out of the objects, so their shards would be reported
    # as unserved by mistake.
    if "upstream" in objects.faulty_kinds:
        return
    served = {}
    for declared in objects.list_kind("upstream"):
        served.setdefault(declared.item.shard_set, set()).update(declared.item.shards)
    for declared in objects.list_kind("shard-set"):
        shards = range(declared.item.n_shards)
        missing = sorted(set(shards) - served.get(declared.item.name, set()))
        if missing:
            _add(findings, declared, "n_shards", _describe_missing(missing))


def _describe_missing(missing):
    shown = ", ".join(map(str, missing[:MAX_SHARDS_SHOWN]))
    more = ", ..." if len(missing) > MAX_SHARDS_SHOWN else ""
    return (
        f"no upstream serves {len(missing)} of its shards ({shown}{more}); give each "
        "shard to an upstream"
    )


def _check_addresses(objects, findings):
    first_by_address = {}
    for declared in objects.list_kind("upstream"):
        first = first_by_address.setdefault(declared.item.address, declared)
        if first is not declared:
            _add(
                findings,
                declared,
                "address",
                f"{declared.item.address} is the address of "
                f"[upstream {first.item.name}] already; give each upstream its own",
            )


def _check_slots(objects, findings):
    for declared in objects.list_kind("limit"):
        limit = declared.item
        if limit.n_cold_slots > limit.n_slots:
            _add(
                findings,
                declared,
                "n_cold_slots",
                f"{limit.n_cold_slots} exceeds n_slots {limit.n_slots}; a cold "
                "upstream cannot run more calls than a warm one",
            )
        if limit.n_slots > limit.n_connections:
            _add(
                findings,
                declared,
                "n_slots",
                f"{limit.n_slots} exceeds n_connections {limit.n_connections}; each "
                "call takes a connection",
            )


def _check_margins(objects, findings):
    for declared in objects.list_kind("deadline"):
        deadline = declared.item
        if deadline.margin_ms >= deadline.total_ms:
            _add(
                findings,
                declared,
                "margin_ms",
                f"{deadline.margin_ms} leaves nothing of total_ms "
                f"{deadline.total_ms}; lower it",
            )


def _check_network_time(objects, findings):
    network_ms_by_shard_set = _find_network_ms(objects)
    for declared in objects.list_kind("service"):
        deadline = objects.find("deadline", declared.item.deadline)
        network_ms = network_ms_by_shard_set.get(declared.item.shard_set, 0)
        if deadline is None:
            continue
        min_ms = 2 * network_ms + deadline.item.margin_ms
        if deadline.item.total_ms <= min_ms:
            _add(
                findings,
                declared,
                "deadline",
                f"{deadline.item.name} allows {deadline.item.total_ms} ms, but the "
                f"network round trip and the margin take {min_ms} ms; raise "
                "total_ms",
            )


def _find_network_ms(objects):
    """Return the longest one-way time to upstreams in a region, by shard set."""
    network_ms_by_shard_set = {}
    for upstream in objects.list_kind("upstream"):
        data_centre = objects.find("data-centre", upstream.item.data_centre)
        region = data_centre and objects.find("region", data_centre.item.region)
        if region:
            longest_ms = network_ms_by_shard_set.get(upstream.item.shard_set, 0)
            network_ms = region.item.between_data_centres_ms
            network_ms_by_shard_set[upstream.item.shard_set] = max(
                longest_ms, network_ms
            )
    return network_ms_by_shard_set


def _check_hedging(objects, findings):
    for declared in objects.list_kind("service"):
        if not declared.item.repeatable and declared.item.hedge_budget > 0:
            _add(
                findings,
                declared,
                "hedge_budget",
                f"{declared.item.hedge_budget} allows repeats of requests that may not "
                "be repeated; set it to 0 or leave it out",
            )


_POLICY_CHECKS = (
    _check_shards_served,
    _check_addresses,
    _check_slots,
    _check_margins,
    _check_network_time,
    _check_hedging,
)
