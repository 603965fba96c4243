"""Decodes JSON text of which some parts cannot be decoded.

The store returns objects of many writers in one document. What one of them wrote may be
invalid UTF-8, nested too deeply, or a number that no float holds, and the decoder then
rejects the whole document.
"""

import re

import orjson

__all__ = ["decode_leniently"]

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Runs of brackets are one token, as a hostile value may hold 100,000 of them.
_TOKEN = re.compile(_STRING + rb"|[\[{]++|[\]}]++|,", re.DOTALL)
_KEY = re.compile(rb"\s*+(" + _STRING + rb")\s*+:", re.DOTALL)


def decode_leniently(text, n_levels):
    """Decode JSON text; a part that cannot be decoded becomes None.

    Parameters
    ----------
    text : bytes
        JSON text.
    n_levels : int
        Number of levels of arrays and objects that are decoded piece by piece if they
        cannot be decoded as a whole.

    Returns
    -------
    object
        The decoded value. Members of an object whose key cannot be decoded are left
        out.

    Examples
    --------
    >>> decode_leniently(b'{"items": [1, 1e999, {"a": 2}]}', n_levels=2)
    {'items': [1, None, {'a': 2}]}
    >>> decode_leniently(b'{"items": [1, 1e999, {"a": 2}]}', n_levels=1)
    {'items': None}
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        if not n_levels:
            return None
    text = text.strip()
    if text.startswith(b"["):
        return [decode_leniently(piece, n_levels - 1) for piece in _split(text)]
    if not text.startswith(b"{"):
        return None
    members = {}
    for piece in _split(text):
        match = _KEY.match(piece)
        key = None if match is None else decode_leniently(match[1], 0)
        if key is not None:
            members[key] = decode_leniently(piece[match.end() :], n_levels - 1)
    return members


def _split(text):
    """Return the pieces between the outermost brackets, without the commas."""
    depth = 0
    start = 1
    pieces = []
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token == b",":
            if depth == 1:
                pieces.append(text[start : match.start()])
                start = match.end()
        elif token[0] in b"[{":
            depth += len(token)
        elif token[0] in b"]}":
            if len(token) >= depth:
                pieces.append(text[start : match.start() + depth - 1])
                break
            depth -= len(token)
    return [piece for piece in pieces if piece.strip()]
