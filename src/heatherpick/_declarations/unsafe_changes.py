"""Find changes to a valid set that are unsafe against the live set."""

from heatherpick._ini.findings import Findings

__all__ = ["find_unsafe_changes", "find_unserved_shards"]


def find_unsafe_changes(live, new, drains):
    """Return a `Finding` for each unsafe change from one set to another.

    Parameters
    ----------
    live : DeclarationSet
        The live set.
    new : DeclarationSet
        The set to be published.
    drains : Drains
        Data centres and upstreams that operators have taken out of service.

    Returns
    -------
    tuple of Finding
        Empty if the change is safe.
    """
    findings = Findings()
    for check in _CHECKS:
        check(live, new, drains, findings)
    return findings.get_sorted()


def find_unserved_shards(declarations, drains):
    """Return the shards that no upstream in service holds, by shard set.

    Parameters
    ----------
    declarations : DeclarationSet
        The set to check.
    drains : Drains
        Data centres and upstreams that operators have taken out of service.

    Returns
    -------
    dict of str to tuple of int
        Unserved shards of each shard set that has any.
    """
    unserved = {}
    for name, snapshot in declarations.snapshots.items():
        shards = tuple(
            shard
            for shard, replicas in enumerate(snapshot.replicas)
            if not _find_serving(declarations, replicas, drains)
        )
        if shards:
            unserved[name] = shards
    return unserved


def _find_serving(declarations, replicas, drains):
    return {
        name for name in replicas if not drains.covers(declarations.upstreams[name])
    }


def _add(findings, kind, name, message):
    findings.add(("unsafe", 0), f"[{kind} {name}]", message)


def _check_removed_upstreams(live, new, drains, findings):
    for name, upstream in live.upstreams.items():
        if name not in new.upstreams and not drains.covers(upstream):
            _add(
                findings,
                "upstream",
                name,
                f"is removed while in service; run 'drain upstream {name}' first",
            )


def _check_moved_upstreams(live, new, drains, findings):
    for name, upstream in live.upstreams.items():
        new_upstream = new.upstreams.get(name, upstream)
        if new_upstream.address != upstream.address and not drains.covers(upstream):
            _add(
                findings,
                "upstream",
                name,
                f"moves from {upstream.address} to {new_upstream.address} while in "
                f"service; run 'drain upstream {name}' first",
            )


def _check_index_versions(live, new, drains, findings):
    for name, before in live.shard_sets.items():
        after = new.shard_sets.get(name, before)
        if after.index_version < before.index_version:
            _add(
                findings,
                "shard-set",
                name,
                f"index_version falls from {before.index_version} to "
                f"{after.index_version}; give a higher one",
            )
        is_same_version = after.index_version == before.index_version
        if is_same_version and after.n_shards != before.n_shards:
            _add(
                findings,
                "shard-set",
                name,
                f"n_shards changes from {before.n_shards} to {after.n_shards} at the "
                f"same index_version {after.index_version}; raise index_version",
            )


def _check_last_replicas(live, new, drains, findings):
    unserved_before = find_unserved_shards(live, drains)
    for name, snapshot in new.snapshots.items():
        before = live.snapshots.get(name)
        if before is None or before.n_shards != snapshot.n_shards:
            continue
        lost = [
            shard
            for shard in range(snapshot.n_shards)
            if shard not in unserved_before.get(name, ())
            and not _find_still_serving(live, new, before, snapshot, shard, drains)
        ]
        if lost:
            _add(
                findings,
                "shard-set",
                name,
                f"shard {lost[0]} and {len(lost) - 1} others keep no upstream that "
                "serves them now; replace their upstreams in two steps",
            )


def _find_still_serving(live, new, before, after, shard, drains):
    serving_before = _find_serving(live, before.replicas[shard], drains)
    return serving_before & _find_serving(new, after.replicas[shard], drains)


def _check_drained_data_centres(live, new, drains, findings):
    if new.data_centres and new.data_centres.keys() <= drains.data_centres:
        _add(
            findings,
            "data-centre",
            next(iter(new.data_centres)),
            "all data centres are drained; undrain one first",
        )


def _check_repeatable(live, new, drains, findings):
    for name, service in live.services.items():
        after = new.services.get(name, service)
        if after.repeatable and not service.repeatable:
            _add(
                findings,
                "service",
                name,
                "its requests become repeatable, so that one in flight may run twice; "
                "declare a new service instead",
            )


_CHECKS = (
    _check_removed_upstreams,
    _check_moved_upstreams,
    _check_index_versions,
    _check_last_replicas,
    _check_drained_data_centres,
    _check_repeatable,
)
