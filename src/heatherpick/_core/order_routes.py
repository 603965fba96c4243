"""Ranking of the replicas that an order may be sent to."""

from heatherpick._core.claims import compute_bucket
from heatherpick._core.rendezvous import rank

__all__ = ["rank_replicas"]


def rank_replicas(declarations, service, key):
    """Return the names of the upstreams for a key, the preferred one first.

    All keys of a bucket have the same preference. So nearly all claims of
    a bucket are made by one node, which keeps writes few and conflicts rare.
    """
    declared = declarations.services.get(service)
    if declared is None:
        return ()
    snapshot = declarations.snapshots[declared.shard_set]
    if not snapshot.n_shards:
        return ()
    bucket = compute_bucket(key)
    replicas = snapshot.replicas[bucket % snapshot.n_shards]
    return rank(f"{service}/{bucket}", replicas)
