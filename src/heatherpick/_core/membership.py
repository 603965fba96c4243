"""The membership document of a data centre and its changes.

A change of the members is written in two steps. The first write keeps the members
before the change as ``previous``; until they are removed, a share needs votes of
both sets, as in joint consensus. The second write settles the change and removes
``previous``. Nodes that hold consecutive versions thus share one set of voters.
"""

from dataclasses import dataclass, replace
from functools import cached_property

import orjson

from heatherpick.errors import InvalidArgument

__all__ = [
    "Member",
    "Membership",
    "decode_membership",
    "encode_membership",
    "make_membership_name",
]

#: Name prefix of the membership documents.
MEMBERSHIP_PREFIX = "shared/members/"


def make_membership_name(data_centre):
    """Return the name of the membership document of ``data_centre``."""
    return MEMBERSHIP_PREFIX + data_centre


@dataclass(frozen=True, slots=True)
class Member:
    """One run of a node's process.

    Parameters
    ----------
    node : str
        Name of the node.
    address : str
        ``ip:port`` at which it accepts peer connections.
    incarnation : str
        Unique for each run of the process.
    """

    node: str
    address: str
    incarnation: str


@dataclass(frozen=True)
class Membership:
    """A version of a membership document.

    Parameters
    ----------
    epoch : int
        Version of the object; 0 when it does not exist.
    members : tuple of Member
        Members, sorted by the name of the node.
    ghosts : tuple of Member
        Former members that may still act on an older version of the document.
    previous : tuple of str
        Incarnations of the members before the unsettled change; empty when the
        membership is settled.
    gone : frozenset of str
        Incarnations that are known to have ended.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    ghosts: tuple[Member, ...] = ()
    previous: tuple[str, ...] = ()
    gone: frozenset[str] = frozenset()

    @cached_property
    def universe(self):
        """Members and ghosts in the order of the bits in a heartbeat's bit sets."""
        all_members = self.members + self.ghosts
        return tuple(
            sorted(all_members, key=lambda each: (each.node, each.incarnation))
        )

    @cached_property
    def bit_by_incarnation(self):
        """Index of each incarnation in `universe`, which is its bit in bit sets."""
        return {each.incarnation: bit for bit, each in enumerate(self.universe)}

    @cached_property
    def member_by_incarnation(self):
        """The current members by incarnation."""
        return {each.incarnation: each for each in self.members}

    @cached_property
    def quorums(self):
        """Sets of voters; a share is the smallest that the votes of any set permit."""
        current = frozenset(self.member_by_incarnation)
        if not self.previous:
            return (current,)
        return (current, frozenset(self.previous))

    def add(self, member):
        """Return the membership with ``member``, without its earlier incarnations."""
        if member.incarnation in self.member_by_incarnation:
            return self
        replaced = [
            each
            for each in self.universe
            if each.node == member.node and each.incarnation != member.incarnation
        ]
        ended = {each.incarnation for each in replaced}
        kept = [each for each in self.members if each.incarnation not in ended]
        return self._replace_members([*kept, member], self.gone | ended)

    def remove(self, incarnations, ended=()):
        """Return the membership without some members.

        ``ended`` are the incarnations of members and ghosts that are known to have
        ended, whether this change removes them or an earlier one did.
        """
        kept = [each for each in self.members if each.incarnation not in incarnations]
        return self._replace_members(kept, self.gone | frozenset(ended))

    def settle(self):
        """Return the settled membership, without ghosts and previous voters."""
        return Membership(self.epoch, self.members)

    def _replace_members(self, members, gone):
        members = tuple(sorted(members, key=lambda each: each.node))
        if members == self.members and gone == self.gone:
            return self
        present = {each.incarnation for each in members}
        ghosts = tuple(
            each for each in self.universe if each.incarnation not in present
        )
        previous = self.previous or tuple(sorted(self.member_by_incarnation))
        return replace(
            self,
            members=members,
            ghosts=ghosts,
            previous=previous,
            gone=frozenset(each for each in gone if each not in present),
        )


def encode_membership(membership):
    """Return the body of a membership document as text."""
    body = {
        "members": [_encode_member(each) for each in membership.members],
        "ghosts": [_encode_member(each) for each in membership.ghosts],
        "previous": list(membership.previous),
        "gone": sorted(membership.gone),
    }
    return orjson.dumps(body).decode()


def decode_membership(epoch, body):
    """Return the `Membership` of a document's version and body.

    Raises
    ------
    InvalidArgument
        When the body is not a membership document.
    """
    if not body:
        return Membership(epoch)
    try:
        fields = orjson.loads(body)
        membership = Membership(
            epoch,
            tuple(_decode_member(each) for each in fields["members"]),
            tuple(_decode_member(each) for each in fields.get("ghosts", ())),
            tuple(_check_text(each) for each in fields.get("previous", ())),
            frozenset(_check_text(each) for each in fields.get("gone", ())),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise InvalidArgument(
            f"membership document {epoch} cannot be read ({error!r}): remove the "
            "object; the nodes write it again as they start"
        ) from error
    _check_unique(membership)
    return membership


def _encode_member(member):
    return {
        "node": member.node,
        "address": member.address,
        "incarnation": member.incarnation,
    }


def _decode_member(fields):
    return Member(
        _check_text(fields["node"]),
        _check_text(fields["address"]),
        _check_text(fields["incarnation"]),
    )


def _check_text(value):
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _check_unique(membership):
    incarnations = {each.incarnation for each in membership.universe}
    nodes = {each.node for each in membership.members}
    is_unique = len(incarnations) == len(membership.universe)
    if not is_unique or len(nodes) != len(membership.members):
        raise InvalidArgument(
            f"membership document {membership.epoch} names a node twice: remove the "
            "object; the nodes write it again as they start"
        )
    unknown = (set(membership.previous) | membership.gone) - incarnations
    if unknown:
        raise InvalidArgument(
            f"membership document {membership.epoch} refers to {min(unknown)!r}, "
            "which it does not describe: remove the object"
        )
