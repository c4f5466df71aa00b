"""Test which sends count as lost, and that retries have the same fingerprint."""

import pytest

from papayapier.dispatch.lost_sends import is_lost, request_fingerprint
from papayapier.upstream.api import Failure, FailureKind, Sent

REQUEST = ("POST", "site.example", "/ask/1", b"body")


def test_a_retry_has_the_same_fingerprint() -> None:
    """Guard against retries that are not recognised as the same request."""
    assert request_fingerprint(*REQUEST) == request_fingerprint(*REQUEST)


@pytest.mark.parametrize(
    "other",
    [
        ("GET", "site.example", "/ask/1", b"body"),
        ("POST", "other.example", "/ask/1", b"body"),
        ("POST", "site.example", "/ask/2", b"body"),
        ("POST", "site.example", "/ask/1", b"bodies"),
    ],
)
def test_another_request_has_another_fingerprint(other: tuple[str, str, str, bytes]) -> None:
    """Guard against quarantining a request for the losses of another."""
    assert request_fingerprint(*other) != request_fingerprint(*REQUEST)


@pytest.mark.parametrize(
    ("kind", "sent", "lost"),
    [
        (FailureKind.TRUNCATED, Sent.MAYBE, True),
        (FailureKind.TIMED_OUT, Sent.MAYBE, True),
        (FailureKind.DEADLINE, Sent.MAYBE, True),
        # Nothing can have reached the replica.
        (FailureKind.TRUNCATED, Sent.NO, False),
        (FailureKind.CONNECT, Sent.NO, False),
        # The replica answered, or the caller disconnected.
        (FailureKind.INVALID, Sent.MAYBE, False),
        (FailureKind.STATUS, Sent.MAYBE, False),
        (FailureKind.CANCELLED, Sent.MAYBE, False),
    ],
)
def test_which_sends_are_lost(kind: FailureKind, sent: Sent, lost: bool) -> None:
    """Guard against losses that are missed, or counted although no replica can have ended."""
    assert is_lost(Failure(kind, sent, "why")) is lost
