"""Test which sends count as lost, and that work has one name however it comes."""

import pytest

from papayapier.dispatch.lost_sends import is_lost, name_work
from papayapier.upstream.api import Failure, FailureKind, Sent

ASK = ("POST", "site.example", "/ask/1", b"body")


def test_a_return_has_the_same_name() -> None:
    assert name_work(*ASK) == name_work(*ASK)


@pytest.mark.parametrize(
    "other",
    [
        ("GET", "site.example", "/ask/1", b"body"),
        ("POST", "other.example", "/ask/1", b"body"),
        ("POST", "site.example", "/ask/2", b"body"),
        ("POST", "site.example", "/ask/1", b"bodies"),
    ],
)
def test_other_work_has_another_name(other: tuple[str, str, str, bytes]) -> None:
    assert name_work(*other) != name_work(*ASK)


@pytest.mark.parametrize(
    ("kind", "sent", "lost"),
    [
        (FailureKind.CUT, Sent.MAYBE, True),
        (FailureKind.SILENT, Sent.MAYBE, True),
        (FailureKind.DUE, Sent.MAYBE, True),
        # Nothing can have reached the replica.
        (FailureKind.CUT, Sent.NO, False),
        (FailureKind.CONNECT, Sent.NO, False),
        # The replica has spoken, or the caller has left.
        (FailureKind.BROKEN, Sent.MAYBE, False),
        (FailureKind.STATUS, Sent.MAYBE, False),
        (FailureKind.CANCELLED, Sent.MAYBE, False),
    ],
)
def test_which_sends_are_lost(kind: FailureKind, sent: Sent, lost: bool) -> None:
    assert is_lost(Failure(kind, sent, "why")) is lost
