"""Checks over a whole set of declarations, each looking for one kind of fault.

References lead from one kind to another in one direction only (service to shard
set and deadline, upstream to data centre, limit and shard set, data centre to
region), so no declaration can form a cycle and no check looks for one.
"""

__all__ = ["check_policy", "check_structure"]

#: Kinds that a key of a kind refers to.
REFERENCES = (
    ("data-centre", "region", "region"),
    ("upstream", "data_centre", "data-centre"),
    ("upstream", "limit", "limit"),
    ("upstream", "shard_set", "shard-set"),
    ("service", "shard_set", "shard-set"),
    ("service", "deadline", "deadline"),
)

#: Shards without an upstream that a finding names.
N_SHARDS_NAMED = 10


def check_structure(declared, findings):
    """Find faults that make a set unusable: references and shards out of range.

    Parameters
    ----------
    declared : DeclaredObjects
        Every object of the set.
    findings : Findings
        Takes the faults.
    """
    _check_references(declared, findings)
    _check_shard_range(declared, findings)


def check_policy(declared, findings):
    """Find contradictions, which must never be published.

    Parameters
    ----------
    declared : DeclaredObjects
        Every object of the set.
    findings : Findings
        Takes the faults.
    """
    for check in _POLICY_CHECKS:
        check(declared, findings)


def _add(findings, declared, key, message):
    findings.add(declared.section.find_place(key), declared.find_subject(key), message)


def _check_references(declared, findings):
    for kind, key, target in REFERENCES:
        for each in declared.list_kind(kind):
            name = getattr(each.item, key)
            if not declared.has_title(target, name):
                _add(findings, each, key, f"there is no [{target} {name}]; declare it")


def _check_shard_range(declared, findings):
    for each in declared.list_kind("upstream"):
        shard_set = declared.find("shard-set", each.item.shard_set)
        if shard_set is None:
            continue
        n_shards = shard_set.item.n_shards
        if each.item.shards[-1] >= n_shards:
            _add(
                findings,
                each,
                "shards",
                f"shard {each.item.shards[-1]} does not exist; {shard_set.item.name} "
                f"has shards 0 to {n_shards - 1}",
            )


def _check_shards_served(declared, findings):
    # An upstream with faults is left out, so its shards only look unserved.
    if "upstream" in declared.faulty_kinds:
        return
    served = {}
    for each in declared.list_kind("upstream"):
        served.setdefault(each.item.shard_set, set()).update(each.item.shards)
    for each in declared.list_kind("shard-set"):
        shards = range(each.item.n_shards)
        missing = sorted(set(shards) - served.get(each.item.name, set()))
        if missing:
            _add(findings, each, "n_shards", _describe_missing(missing))


def _describe_missing(missing):
    shown = ", ".join(map(str, missing[:N_SHARDS_NAMED]))
    more = ", ..." if len(missing) > N_SHARDS_NAMED else ""
    return (
        f"no upstream serves {len(missing)} of its shards ({shown}{more}); give each "
        "shard to an upstream"
    )


def _check_addresses(declared, findings):
    taken = {}
    for each in declared.list_kind("upstream"):
        first = taken.setdefault(each.item.address, each)
        if first is not each:
            _add(
                findings,
                each,
                "address",
                f"{each.item.address} is the address of [upstream {first.item.name}] "
                "already; give each upstream its own",
            )


def _check_slots(declared, findings):
    for each in declared.list_kind("limit"):
        limit = each.item
        if limit.n_cold_slots > limit.n_slots:
            _add(
                findings,
                each,
                "n_cold_slots",
                f"{limit.n_cold_slots} exceeds n_slots {limit.n_slots}; a cold "
                "upstream bears no more than a warm one",
            )
        if limit.n_slots > limit.n_connections:
            _add(
                findings,
                each,
                "n_slots",
                f"{limit.n_slots} exceeds n_connections {limit.n_connections}; each "
                "call takes a connection",
            )


def _check_margins(declared, findings):
    for each in declared.list_kind("deadline"):
        deadline = each.item
        if deadline.margin_ms >= deadline.total_ms:
            _add(
                findings,
                each,
                "margin_ms",
                f"{deadline.margin_ms} leaves nothing of total_ms "
                f"{deadline.total_ms}; lower it",
            )


def _check_network_time(declared, findings):
    distances = _find_distances(declared)
    for each in declared.list_kind("service"):
        deadline = declared.find("deadline", each.item.deadline)
        distance_ms = distances.get(each.item.shard_set, 0)
        if deadline is None:
            continue
        least_ms = 2 * distance_ms + deadline.item.margin_ms
        if deadline.item.total_ms <= least_ms:
            _add(
                findings,
                each,
                "deadline",
                f"{deadline.item.name} allows {deadline.item.total_ms} ms, but the "
                f"network out and back and the margin take {least_ms} ms; raise "
                "total_ms",
            )


def _find_distances(declared):
    """Longest one-way time to the upstreams of each shard set, within a region."""
    distances = {}
    for upstream in declared.list_kind("upstream"):
        data_centre = declared.find("data-centre", upstream.item.data_centre)
        region = data_centre and declared.find("region", data_centre.item.region)
        if region:
            known_ms = distances.get(upstream.item.shard_set, 0)
            distance_ms = region.item.between_data_centres_ms
            distances[upstream.item.shard_set] = max(known_ms, distance_ms)
    return distances


def _check_hedging(declared, findings):
    for each in declared.list_kind("service"):
        if not each.item.repeatable and each.item.hedge_budget > 0:
            _add(
                findings,
                each,
                "hedge_budget",
                f"{each.item.hedge_budget} allows repeats of requests that may not be "
                "repeated; set it to 0 or leave it out",
            )


_POLICY_CHECKS = (
    _check_shards_served,
    _check_addresses,
    _check_slots,
    _check_margins,
    _check_network_time,
    _check_hedging,
)
