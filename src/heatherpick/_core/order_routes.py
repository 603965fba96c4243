"""Where an order goes: the replicas for its key, and the nodes that own them."""

from heatherpick._core.claims import compute_bucket
from heatherpick._core.rendezvous import rank

__all__ = ["rank_replicas"]


def rank_replicas(declarations, service, key):
    """Return the upstreams for a key, as names, the preferred one first.

    All keys of a bucket have the same preference. So one node makes nearly all
    claims of a bucket, which makes its writes few and its conflicts rare.
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
