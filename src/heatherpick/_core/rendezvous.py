"""Rendezvous hashing: every node computes the same ranking of names for a key."""

import xxhash

__all__ = ["find_first", "rank", "score"]


def score(key, node):
    """Return the weight of ``node`` for ``key``; the highest comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{node}".encode())


def rank(key, nodes):
    """Return ``nodes``, an iterable of names, as a tuple ordered for ``key``.

    Removing a name leaves the order of the others unchanged, so that only the keys
    of a lost node move.
    """
    return tuple(sorted(nodes, key=lambda node: (-score(key, node), node)))


def find_first(key, nodes):
    """Return the first of `rank`, "" when there are no nodes."""
    return min(nodes, key=lambda node: (-score(key, node), node), default="")
