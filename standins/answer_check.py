"""Tells whether the answer to a search is the true one."""

from standins.hits import expected_hits

__all__ = ["find_answer_fault"]


def find_answer_fault(shard_set, query, answer):
    """Return what is wrong with an answer, "" if it is true.

    An answer is true if its hits are exactly those of the shards that it says to
    cover, all at the index version that it states.

    Parameters
    ----------
    shard_set : str
        Name of the shard set that the service searches.
    query : object
        The query.
    answer : dict
        Body of the answer, with ``outcome``, ``hits``, ``coverage`` and
        ``index_version``.

    Examples
    --------
    >>> from standins.hits import expected_hits
    >>> coverage = {"n_shards": 2, "n_covered": 1, "missing": [1]}
    >>> answer = {"outcome": "partial", "coverage": coverage, "index_version": 7}
    >>> answer["hits"] = expected_hits("s", 7, 0, "pine")
    >>> find_answer_fault("s", "pine", answer)
    ''
    >>> find_answer_fault("s", "oak", answer)
    'hits of shards that are not covered, or of another query or version'
    """
    coverage = answer["coverage"]
    missing = set(coverage["missing"])
    n_shards = coverage["n_shards"]
    if not missing <= set(range(n_shards)):
        return "missing names a shard that does not exist"
    if coverage["n_covered"] != n_shards - len(missing):
        return "n_covered and missing do not add up"
    if (answer["outcome"] == "answered") != (not missing):
        return "the outcome does not agree with the coverage"
    covered = set(range(n_shards)) - missing
    return _find_hits_fault(shard_set, query, answer, covered)


def _find_hits_fault(shard_set, query, answer, covered):
    given = [(hit["id"], hit["score"]) for hit in answer["hits"]]
    true = {
        (hit["id"], hit["score"])
        for shard in covered
        for hit in expected_hits(shard_set, answer["index_version"], shard, query)
    }
    if len(given) != len(set(given)):
        return "a hit stands twice"
    if set(given) - true:
        return "hits of shards that are not covered, or of another query or version"
    if true - set(given):
        return "hits of covered shards are missing"
    return ""
