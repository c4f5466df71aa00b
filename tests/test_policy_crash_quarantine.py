"""Test which requests are quarantined after replicas were lost under them, and for how long."""

import pytest

from papayapier.policy.crash_quarantine import (
    ANSWERED_RECENTLY_MS,
    FORGET_MS,
    LISTED_ALIVE_MS,
    MAX_ANSWERED,
    MAX_FINGERPRINTS,
    MAX_LOSSES,
    MAX_LOSSES_ANSWERED,
    MAX_LOSSES_KEPT,
    MAX_SNAPSHOT_LOSSES,
    QUARANTINE_MS,
    SAME_LOSS_MS,
    SUSPECT_PAUSE_MS,
    CrashTracker,
    ReplicaLoss,
)
from papayapier.policy.item_losses import ITEM_PAUSE_MS

START = 1_000_000


def lose(tracker: CrashTracker, count: int, fingerprint: str = "w", now: int = START) -> None:
    for n in range(count):
        tracker.on_replica_lost(fingerprint, f"r{n}", now)


@pytest.mark.parametrize("count", range(MAX_LOSSES + 2))
def test_request_is_quarantined_from_third_loss(count: int) -> None:
    """Guard against quarantining too early, too late, or the wrong request."""
    tracker = CrashTracker()
    lose(tracker, count)
    assert tracker.quarantine_ms("w", START) == (QUARANTINE_MS if count >= MAX_LOSSES else 0)
    assert tracker.quarantine_ms("other", START) == 0


@pytest.mark.parametrize("count", range(MAX_LOSSES + 2))
def test_suspect_is_paused_before_resend(count: int) -> None:
    """Guard against suspects being resent at once, together with the request that ends replicas."""
    tracker = CrashTracker()
    lose(tracker, count)
    assert tracker.suspect_pause_ms("w") == (SUSPECT_PAUSE_MS if count == MAX_LOSSES - 1 else 0)
    tracker.on_answered("w")
    assert tracker.suspect_pause_ms("w") == (SUSPECT_PAUSE_MS if count == MAX_LOSSES else 0)


@pytest.mark.parametrize("count", range(MAX_LOSSES, MAX_LOSSES_KEPT))
def test_recently_answered_request_is_not_quarantined(count: int) -> None:
    """Guard against refusing a frequent request for minutes because it was open beside a crash."""
    tracker = CrashTracker()
    tracker.record_answer("sound", START - 1)
    lose(tracker, count, "sound")
    lose(tracker, count, "crash")
    expected = {"crash"} if count < MAX_LOSSES_ANSWERED else {"crash", "sound"}
    assert tracker.quarantined(START) == expected


def test_old_answer_does_not_raise_limit() -> None:
    """Guard against an answer counting as recent for longer than ANSWERED_RECENTLY_MS."""
    tracker = CrashTracker()
    tracker.record_answer("w", START - ANSWERED_RECENTLY_MS - 1)
    lose(tracker, MAX_LOSSES)
    assert tracker.quarantined(START) == {"w"}


def test_recent_answers_are_bounded() -> None:
    """Guard against unbounded memory for answered fingerprints."""
    tracker = CrashTracker()
    tracker.record_answer("w", START)
    for number in range(MAX_ANSWERED):
        tracker.record_answer(f"w{number}", START)
    lose(tracker, MAX_LOSSES)
    assert tracker.quarantined(START) == {"w"}


def test_several_calls_lost_at_one_replica_are_one_loss() -> None:
    """Guard against counting one crash once per open call."""
    tracker = CrashTracker()
    for _ in range(MAX_LOSSES):
        tracker.on_replica_lost("w", "r", START)
    assert tracker.lost_replicas("w") == ["r"]


def test_restarted_replica_counts_as_new_loss() -> None:
    """Guard against endless crashes of two engines that restart under their own names.

    Losses were counted once per engine name, so that further crashes under a known name did not
    count.
    """
    tracker = CrashTracker()
    for number in range(MAX_LOSSES):
        now = START + number * SAME_LOSS_MS
        tracker.on_replica_lost("w", "r", now)
        tracker.on_ended("r")
        tracker.on_alive("r", now + 1)
    assert tracker.quarantine_ms("w", now)


def test_answer_removes_a_loss() -> None:
    """Guard against quarantining a frequent request, which is open wherever a replica ends."""
    tracker = CrashTracker()
    lose(tracker, MAX_LOSSES - 1)
    assert tracker.on_answered("w")
    lose(tracker, MAX_LOSSES)
    assert not tracker.quarantine_ms("w", START)
    for _ in range(MAX_LOSSES):
        tracker.on_answered("w")
    assert tracker.is_empty()


@pytest.mark.parametrize(("sent", "held"), [(-1, True), (0, False), (1, False)])
def test_replica_that_answers_later_call_was_not_lost(sent: int, held: bool) -> None:
    """Guard against refusing good requests after reset connections or late answers."""
    tracker = CrashTracker()
    lose(tracker, MAX_LOSSES)
    tracker.on_alive("r0", START + sent)
    assert bool(tracker.quarantine_ms("w", START)) is held


def test_replica_whose_address_refuses_has_ended() -> None:
    """Guard against an answer of a restarted replica withdrawing a confirmed loss."""
    tracker = CrashTracker()
    lose(tracker, MAX_LOSSES)
    tracker.on_ended("r0")
    tracker.on_alive("r0", START + 1)
    assert tracker.quarantine_ms("w", START + 1)


@pytest.mark.parametrize(
    ("listed", "fresh", "after_ms", "held"),
    [
        (["r0"], True, LISTED_ALIVE_MS, False),
        (["r0"], True, LISTED_ALIVE_MS - 1, True),
        # The store is unavailable: a replica that it last listed may have ended.
        (["r0"], False, LISTED_ALIVE_MS, True),
        (["other"], True, LISTED_ALIVE_MS, True),
    ],
)
def test_replica_listed_long_after_was_not_lost(
    listed: list[str], fresh: bool, after_ms: int, held: bool
) -> None:
    """Guard against losses that stand although the replica is still listed."""
    tracker = CrashTracker()
    lose(tracker, MAX_LOSSES)
    tracker.on_listed(listed, ())
    tracker.sweep(START + after_ms, fresh)
    assert bool(tracker.quarantine_ms("w", START + after_ms)) is held


def test_leaving_replica_counts_no_loss() -> None:
    """Guard against counting calls that a planned stop cuts off."""
    tracker = CrashTracker()
    tracker.on_listed(["r0", "r1", "r2"], ["r0", "r1", "r2"])
    tracker.on_listed([], [])
    lose(tracker, MAX_LOSSES)
    assert tracker.is_empty()


def test_request_may_be_tried_once_after_quarantine() -> None:
    """Guard against a quarantine that never ends, or that starts from nothing after it."""
    tracker = CrashTracker()
    lose(tracker, MAX_LOSSES)
    later = START + QUARANTINE_MS
    assert not tracker.quarantine_ms("w", later)
    tracker.on_replica_lost("w", "r9", later)
    assert tracker.quarantine_ms("w", later) == QUARANTINE_MS
    tracker.sweep(later + FORGET_MS, True)
    assert tracker.is_empty()


@pytest.mark.parametrize("count", range(MAX_LOSSES_KEPT + 1))
def test_item_equal_to_a_crashing_request_is_delayed(count: int) -> None:
    """Guard against an item that ends replicas without a pause, or is not sent at all."""
    tracker = CrashTracker()
    lose(tracker, count)
    pause_ms = ITEM_PAUSE_MS if count >= MAX_LOSSES else 0
    assert tracker.item_pause_ms("w", START) == pause_ms
    assert tracker.item_pause_ms("w", START + ITEM_PAUSE_MS) == 0


def test_reported_losses_count_once() -> None:
    """Guard against counting a loss again that several instances report."""
    tracker, other = CrashTracker(), CrashTracker()
    lose(tracker, MAX_LOSSES)
    reported = tracker.snapshot(START + 10)
    assert len(other.on_losses_received(reported, START + 20)) == MAX_LOSSES
    assert other.on_losses_received(reported, START + 30) == []
    assert tracker.on_losses_received([ReplicaLoss("w", "r0", 0)], START + 40) == []
    assert other.quarantine_ms("w", START + 30) == QUARANTINE_MS - 20


def test_recorded_losses_are_bounded() -> None:
    """Guard against unbounded memory for losses, and against unbounded snapshots."""
    tracker = CrashTracker()
    lose(tracker, MAX_LOSSES_KEPT + 5, "w")
    for number in range(2 * MAX_FINGERPRINTS):
        tracker.on_replica_lost(f"w{number}", f"r{number}", START + number)
    assert len(tracker.lost_replicas("w")) == MAX_LOSSES_KEPT
    reported = tracker.snapshot(START)
    assert len(reported) == MAX_SNAPSHOT_LOSSES
    assert [loss.fingerprint for loss in reported[:MAX_LOSSES_KEPT]] == ["w"] * MAX_LOSSES_KEPT
    known = sum(tracker.has_losses(f"w{number}") for number in range(2 * MAX_FINGERPRINTS))
    assert known == MAX_FINGERPRINTS - 1


def test_retry_time_is_when_losses_are_confirmed() -> None:
    """Guard against a retry time of the whole quarantine while the losses are unconfirmed."""
    tracker = CrashTracker()
    lose(tracker, MAX_LOSSES)
    assert tracker.retry_after_ms("w", START) == LISTED_ALIVE_MS
    assert tracker.retry_after_ms("w", START + LISTED_ALIVE_MS) == QUARANTINE_MS - LISTED_ALIVE_MS
    for number in range(MAX_LOSSES):
        tracker.on_ended(f"r{number}")
    assert tracker.retry_after_ms("w", START + 1) == QUARANTINE_MS - 1


def lose_in_silence(tracker: CrashTracker, count: int = MAX_LOSSES) -> None:
    for number in range(count):
        tracker.on_replica_lost("w", f"r{number}", START, silent=True)


def state(tracker: CrashTracker, now: int = START) -> str:
    if tracker.quarantine_ms("w", now):
        return "quarantined"
    return "undecided" if tracker.is_undecided("w", now) else "allowed"


@pytest.mark.parametrize("silent", range(MAX_LOSSES + 1))
def test_slow_replicas_do_not_quarantine(silent: int) -> None:
    """Guard against refusing a frequent request for minutes because its replicas are slow."""
    tracker = CrashTracker()
    lose_in_silence(tracker, silent)
    lose(tracker, MAX_LOSSES)
    assert state(tracker) == "quarantined"
    tracker = CrashTracker()
    lose_in_silence(tracker, silent)
    for number in range(silent, MAX_LOSSES):
        tracker.on_replica_lost("w", f"r{number}", START)
    assert state(tracker) == ("undecided" if silent else "quarantined")


def test_silent_losses_are_settled() -> None:
    """Guard against a request that ends replicas in silence and is never quarantined."""
    tracker = CrashTracker()
    lose_in_silence(tracker)
    assert state(tracker, START + LISTED_ALIVE_MS - 1) == "undecided"
    assert state(tracker, START + LISTED_ALIVE_MS) == "quarantined"
    for number in range(MAX_LOSSES):
        tracker.on_ended(f"r{number}")
    assert state(tracker) == "quarantined"


def test_answer_of_a_slow_replica_allows_the_request() -> None:
    """Guard against a request that waits although one of its replicas was only slow."""
    tracker = CrashTracker()
    lose_in_silence(tracker)
    tracker.on_alive("r0", START + 1)
    assert state(tracker) == "allowed"


def test_cut_connection_settles_a_silent_loss() -> None:
    """Guard against an end that one instance sees as silence and another as a cut connection."""
    tracker = CrashTracker()
    lose_in_silence(tracker)
    lose(tracker, MAX_LOSSES)
    assert state(tracker) == "quarantined"


def test_reported_losses_stay_silent() -> None:
    """Guard against a silence that counts as a cut connection at the other instances."""
    tracker, other = CrashTracker(), CrashTracker()
    lose_in_silence(tracker)
    other.on_losses_received(tracker.snapshot(START), START)
    assert state(other) == "undecided"
