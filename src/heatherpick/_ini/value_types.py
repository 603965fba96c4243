"""Types of values in INI files: how each is parsed from text and formatted as text."""

import ipaddress
import re
from abc import ABC, abstractmethod

from returns.result import Failure, Success

__all__ = [
    "AddressType",
    "BooleanType",
    "ChoiceType",
    "IntegerType",
    "NameType",
    "NumberType",
    "PeerListType",
    "ShardListType",
    "TextType",
    "ValueType",
    "quote",
]

#: Number of characters of an offending value that a finding shows.
MAX_SHOWN_CHARACTERS = 60

MAX_PORT = 65_535

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# A set holds thousands of addresses, most of them IPv4 in the canonical form that
# ipaddress would give. These skip ipaddress, which parses all others.
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_CANONICAL_PORT = r"(?:[1-9][0-9]{0,3}|[1-5][0-9]{4})"
_CANONICAL_IPV4_ADDRESS = re.compile(
    rf"(?!0\.){_OCTET}(?:\.{_OCTET}){{3}}:{_CANONICAL_PORT}"
)
_INTEGER = re.compile(r"-?[0-9]{1,18}")
_NUMBER = re.compile(r"-?[0-9]+(\.[0-9]+)?(e-?[0-9]{1,3})?")
_SHARD_RANGE = re.compile(r"([0-9]{1,9})(?:-([0-9]{1,9}))?")


def quote(text):
    r"""Return ``text`` quoted on one line, truncated if it is long.

    Examples
    --------
    >>> quote("a\n")
    "'a\\n'"
    """
    if len(text) > MAX_SHOWN_CHARACTERS:
        text = text[:MAX_SHOWN_CHARACTERS] + "..."
    return repr(text)


class ValueType(ABC):
    """A type of value that a key can take."""

    def parse(self, text):
        """Return `Success` with the value of ``text``, or `Failure` with a message."""
        try:
            return Success(self.convert(text))
        except ValueError:
            return Failure(f"{quote(text)} is not {self.describe()}")

    @abstractmethod
    def convert(self, text):
        """Return the value of ``text``; raise ValueError if it has none."""

    @abstractmethod
    def describe(self):
        """Return a description of valid values that can follow the words "must be"."""

    def format(self, value):
        """Return the text from which `parse` gives ``value``."""
        return str(value)


class TextType(ValueType):
    """Any text on one line.

    Parameters
    ----------
    is_optional : bool
        Whether the text may be empty.
    """

    def __init__(self, is_optional=False):
        self._is_optional = is_optional

    def convert(self, text):
        """Return ``text`` itself."""
        if "\n" in text or not (text or self._is_optional):
            raise ValueError
        return text

    def describe(self):
        """Return a description of valid values."""
        return "one line of text"


class NameType(ValueType):
    """Name of an object or a node."""

    def convert(self, text):
        """Return ``text`` itself."""
        if not _NAME.fullmatch(text):
            raise ValueError
        return text

    def describe(self):
        """Return a description of valid values."""
        return "a name of 1 to 63 letters, digits, '.', '_' and '-'"


class IntegerType(ValueType):
    """A whole number within inclusive bounds."""

    def __init__(self, minimum, maximum):
        self._minimum = minimum
        self._maximum = maximum

    def convert(self, text):
        """Return the int of ``text``."""
        if not _INTEGER.fullmatch(text):
            raise ValueError
        number = int(text)
        if not self._minimum <= number <= self._maximum:
            raise ValueError
        return number

    def describe(self):
        """Return a description of valid values."""
        return f"a whole number from {self._minimum} to {self._maximum}"


class NumberType(ValueType):
    """A decimal number within inclusive bounds."""

    def __init__(self, minimum, maximum):
        self._minimum = minimum
        self._maximum = maximum

    def convert(self, text):
        """Return the float of ``text``."""
        if not _NUMBER.fullmatch(text):
            raise ValueError
        number = float(text)
        if not self._minimum <= number <= self._maximum:
            raise ValueError
        return number

    def describe(self):
        """Return a description of valid values."""
        return f"a number from {self._minimum} to {self._maximum}"


class BooleanType(ValueType):
    """Yes or no."""

    def convert(self, text):
        """Return the bool of ``text``."""
        if text not in ("yes", "no"):
            raise ValueError
        return text == "yes"

    def describe(self):
        """Return a description of valid values."""
        return "yes or no"

    def format(self, value):
        """Return "yes" or "no"."""
        return "yes" if value else "no"


class ChoiceType(ValueType):
    """A member of an enumeration whose values are strings."""

    def __init__(self, choices):
        self._choices = choices

    def convert(self, text):
        """Return the member whose value is ``text``."""
        return self._choices(text)

    def describe(self):
        """Return a description of valid values."""
        return " or ".join(choice.value for choice in self._choices)

    def format(self, value):
        """Return the member's value."""
        return value.value


class AddressType(ValueType):
    """An IP address and a port, ``ip:port`` or ``[ip]:port``.

    Parameters
    ----------
    is_listen_address : bool
        Whether the unspecified address, such as 0.0.0.0, is valid and means every
        address of the machine.
    """

    def __init__(self, is_listen_address=False):
        self._is_listening = is_listen_address

    def convert(self, text):
        """Return ``text`` in canonical form, so that equal addresses compare equal."""
        if _CANONICAL_IPV4_ADDRESS.fullmatch(text):
            return text
        host, _, port_text = text.rpartition(":")
        is_bracketed = host.startswith("[") and host.endswith("]")
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
        if is_bracketed != (address.version == 6):
            raise ValueError
        if address.is_unspecified and not self._is_listening:
            raise ValueError
        port = _PORT_TYPE.convert(port_text)
        return f"[{address}]:{port}" if is_bracketed else f"{address}:{port}"

    def describe(self):
        """Return a description of valid values."""
        return f"an IP address and a port from 1 to {MAX_PORT}, such as 10.0.0.7:8080"


class PeerListType(ValueType):
    """Names and addresses of peers, ``name@ip:port`` separated by spaces."""

    def convert(self, text):
        """Return a tuple of (name, address)."""
        peers = tuple(self._convert_peer(word) for word in text.split())
        if len({name for name, _ in peers}) < len(peers):
            raise ValueError
        return peers

    def _convert_peer(self, word):
        name, _, address = word.partition("@")
        return _NAME_TYPE.convert(name), _PEER_ADDRESS_TYPE.convert(address)

    def describe(self):
        """Return a description of valid values."""
        return "a list NAME@IP:PORT ... separated by spaces, each name once"

    def format(self, value):
        """Return the peers as one line."""
        return " ".join(f"{name}@{address}" for name, address in value)


class ShardListType(ValueType):
    """Shard numbers and ranges of them, separated by spaces.

    Parameters
    ----------
    maximum : int
        Highest valid shard number.

    Examples
    --------
    >>> ShardListType(99).parse("0-2 7")
    <Success: (0, 1, 2, 7)>
    """

    def __init__(self, maximum):
        self._maximum = maximum

    def convert(self, text):
        """Return the shard numbers as a tuple of int, in ascending order."""
        shards = []
        for word in text.split():
            shards.extend(self._convert_range(word))
            if len(shards) > self._maximum + 1:
                raise ValueError
        if not shards or len(set(shards)) < len(shards):
            raise ValueError
        return tuple(sorted(shards))

    def _convert_range(self, word):
        match = _SHARD_RANGE.fullmatch(word)
        if not match:
            raise ValueError
        first = int(match.group(1))
        last = int(match.group(2) or first)
        # The bound is checked before the range is expanded, so that a huge range
        # does not exhaust the memory.
        if not first <= last <= self._maximum:
            raise ValueError
        return range(first, last + 1)

    def describe(self):
        """Return a description of valid values."""
        return f"a list of shards from 0 to {self._maximum}, such as '0-3 7', each once"

    def format(self, value):
        """Return the list as one line, with consecutive shards as ranges."""
        runs = []
        for shard in value:
            if runs and shard == runs[-1][1] + 1:
                runs[-1][1] = shard
            else:
                runs.append([shard, shard])
        return " ".join(
            f"{first}-{last}" if first < last else str(first) for first, last in runs
        )


_PORT_TYPE = IntegerType(1, MAX_PORT)
_NAME_TYPE = NameType()
_PEER_ADDRESS_TYPE = AddressType()
