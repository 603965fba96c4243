"""Rendezvous hashing: every node ranks the same names for a key alike."""

import xxhash

__all__ = ["rank", "score"]


def score(key, node):
    """Return the weight of ``node`` for ``key``; the highest comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{node}")


def rank(key, nodes):
    """Return ``nodes``, an iterable of names, as a tuple ordered for ``key``.

    Taking a name away leaves the order of the others as it was, so that only the
    keys of a lost node move.
    """
    return tuple(sorted(nodes, key=lambda node: (-score(key, node), node)))
