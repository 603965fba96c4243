import pytest

from heatherpick._core.documents import DECLARATIONS, DRAINS, RETRY_S, Documents
from heatherpick._core.effects import SendPeer
from heatherpick._core.membership import Member, Membership, encode_membership
from heatherpick._core.messages import DocumentReply, DocumentRequest
from heatherpick.declarations import DeclarationSet, Drains

MEMBERSHIP = "shared/members/a"
BODY = encode_membership(Membership(0, (Member("n", "1.2.3.4:5", "i"),)))


def decode_drains(body):
    if body == "broken":
        raise RuntimeError("any error of a decoder")
    return Drains(frozenset(body.split()))


@pytest.fixture
def documents():
    return Documents.from_settings(
        "n", "a", lambda body: DeclarationSet(), decode_drains
    )


def test_no_document_is_held_initially(documents):
    assert documents.versions() == ()
    assert documents.get(DRAINS) == (0, "")
    assert documents.drains == Drains()
    assert documents.membership_of("a").members == ()


def test_newer_version_is_learnt(documents):
    assert documents.learn(DRAINS, 3, "a", 0.0)
    assert documents.learn(DRAINS, 5, "b", 0.0)
    assert documents.drains.data_centres == {"b"}
    assert documents.get(DRAINS) == (5, "b")


@pytest.mark.parametrize("version", [5, 4, 0])
def test_version_is_never_lowered(documents, version):
    documents.learn(DRAINS, 5, "b", 0.0)
    assert not documents.learn(DRAINS, version, "a", 0.0)
    assert documents.get(DRAINS) == (5, "b")
    assert documents.drains.data_centres == {"b"}


def test_malformed_body_leaves_the_old_document(documents):
    documents.learn(DRAINS, 5, "b", 0.0)
    assert not documents.learn(DRAINS, 6, "broken", 0.0)
    assert documents.get(DRAINS) == (5, "b")
    assert documents.n_rejected == 1


def test_rejected_version_is_not_requested_again(documents):
    documents.learn(DRAINS, 6, "broken", 0.0)
    assert documents.request_newer("p", [(DRAINS, 6)], 9.0) == []
    assert documents.request_newer("p", [(DRAINS, 7)], 9.0) != []


@pytest.mark.parametrize(
    "body",
    [
        "[]",
        "{",
        '{"members": 3}',
        '{"members": [{"node": "n"}]}',
        '{"members": [{"node": 1, "address": "x", "incarnation": "i"}]}',
        '{"members": [], "previous": ["i"]}',
        '{"members": [], "gone": [1]}',
        BODY.replace(
            '"ghosts":[', '"ghosts":[{"node":"m","address":"x","incarnation":"i"}'
        ),
    ],
)
def test_malformed_membership_is_rejected(documents, body):
    assert not documents.learn(MEMBERSHIP, 2, body, 0.0)
    assert documents.n_rejected == 1


def test_membership_is_learnt(documents):
    assert documents.learn(MEMBERSHIP, 2, BODY, 0.0)
    assert documents.membership_of("a").epoch == 2
    assert documents.address_of("n") == "1.2.3.4:5"
    assert documents.address_of("m") == ""


def test_unknown_names_are_neither_learnt_nor_requested(documents):
    assert not documents.learn("claims/x", 1, "", 0.0)
    assert documents.request_newer("p", [("claims/x", 1)], 0.0) == []


def test_number_of_documents_from_peers_is_bounded(documents):
    for index in range(1000):
        documents.request_newer("p", [(f"shared/members/{index}", 1)], 0.0)
        documents.learn(f"shared/members/{index}", 1, BODY, 0.0)
    assert len(documents.versions()) < 300


def test_newer_document_is_requested_once_until_the_retry_interval_ends(documents):
    request = [SendPeer("p", DocumentRequest(DRAINS))]
    assert documents.request_newer("p", [(DRAINS, 2)], 1.0) == request
    assert documents.request_newer("q", [(DRAINS, 2)], 1.1) == []
    again = documents.request_newer("q", [(DRAINS, 2)], 1.0 + RETRY_S)
    assert again == [SendPeer("q", DocumentRequest(DRAINS))]


def test_older_document_is_not_requested(documents):
    documents.learn(DRAINS, 2, "a", 0.0)
    assert documents.request_newer("p", [(DRAINS, 2), (DECLARATIONS, 0)], 1.0) == []


def test_request_is_answered_with_the_document(documents):
    documents.learn(DRAINS, 2, "a", 0.0)
    reply = DocumentReply(DRAINS, 2, "a")
    assert documents.handle_request("p", DocumentRequest(DRAINS)) == [
        SendPeer("p", reply)
    ]
    assert documents.handle_request("p", DocumentRequest(DECLARATIONS)) == []
