"""Test which peers are notified of changed calls in a large fleet."""

from collections.abc import Collection

import pytest

from papayapier.peer.call_notifications import CallNotifier, Recipients, is_worth_notifying
from papayapier.peer.messages import CallsTold, Heartbeat
from papayapier.policy.loads import ReplicaUse

CALM = Heartbeat("me", 1, "live", 0)
ONE_CALL = CALM._replace(uses=(ReplicaUse("r0", 1, 0),))


@pytest.mark.parametrize(
    ("before", "after", "early_calls", "worth"),
    [
        (CALM, CALM, 1, False),
        (CALM, ONE_CALL, 1, True),
        (CALM, ONE_CALL, 2, False),
    ],
)
def test_only_enough_changed_calls_are_worth_notifying(
    before: Heartbeat, after: Heartbeat, early_calls: int, worth: bool
) -> None:
    assert is_worth_notifying(before, after, early_calls) is worth


def concerned(changed: Collection[str]) -> Collection[str]:
    return {"keeper", "me", "far"} if changed else ()


@pytest.mark.parametrize(
    ("before", "after", "full_mesh", "recipients"),
    [
        (CALM, ONE_CALL, True, Recipients(["hub", "keeper", "other"], ())),
        (CALM, ONE_CALL, False, Recipients(["keeper"], ["far"])),
        (CALM, CALM, False, Recipients([], [])),
    ],
)
def test_beyond_a_full_mesh_only_concerned_peers_are_notified_early(
    before: Heartbeat, after: Heartbeat, full_mesh: bool, recipients: Recipients
) -> None:
    notifier = CallNotifier("me", concerned, lambda _peer, _message: None)
    neighbours = ["hub", "keeper", "other"]
    assert notifier.recipients(neighbours, full_mesh, before, after) == recipients


def test_a_notified_peer_gets_the_end_of_its_calls_twice() -> None:
    # Failure: the only notification of a call's end is lost, and its slot stays occupied.
    sent: list[tuple[str, CallsTold]] = []
    notifier = CallNotifier("me", concerned, lambda peer, message: sent.append((peer, message)))
    notifier.send(["far"], ONE_CALL.uses)
    notifier.resend(["keeper"], False, ())
    notifier.resend(["keeper"], False, ())
    assert sent == [("far", CallsTold(ONE_CALL.uses)), ("far", CallsTold(()))]
