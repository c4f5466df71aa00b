"""Test which work is held after replicas were lost under it, and for how long."""

import pytest

from papayapier.policy.crashes import (
    ANSWERED_LATELY_MS,
    FORGET_MS,
    ITEM_PAUSE_MS,
    LISTED_ALIVE_MS,
    LOSSES_MOST,
    MAX_ANSWERED,
    MAX_FINGERPRINTS,
    MAX_ITEM_LOSSES,
    MAX_LOSSES_ANSWERED,
    MAX_LOSSES_KEPT,
    MAX_SNAPSHOT_LOSSES,
    QUARANTINE_MS,
    SAME_LOSS_MS,
    SUSPECT_PAUSE_MS,
    CrashBook,
    Loss,
)

START = 1_000_000


def lose(book: CrashBook, count: int, work: str = "w", now: int = START) -> None:
    for number in range(count):
        book.on_lost(work, f"r{number}", now)


@pytest.mark.parametrize("count", range(LOSSES_MOST + 2))
def test_work_is_held_from_the_third_loss_on(count: int) -> None:
    book = CrashBook()
    lose(book, count)
    assert book.hold_ms("w", START) == (QUARANTINE_MS if count >= LOSSES_MOST else 0)
    assert book.hold_ms("other", START) == 0


@pytest.mark.parametrize("count", range(LOSSES_MOST + 2))
def test_work_that_one_more_loss_would_hold_is_kept_apart(count: int) -> None:
    book = CrashBook()
    lose(book, count)
    assert book.apart_ms("w") == (SUSPECT_PAUSE_MS if count == LOSSES_MOST - 1 else 0)
    book.on_answered("w")
    assert book.apart_ms("w") == (SUSPECT_PAUSE_MS if count == LOSSES_MOST else 0)


@pytest.mark.parametrize("count", range(LOSSES_MOST, MAX_LOSSES_KEPT))
def test_work_answered_lately_is_not_held_beside_work_that_ends_replicas(count: int) -> None:
    # Failure: what many ask is refused for minutes, since it was open beside a crashing request.
    book = CrashBook()
    book.note_answered("sound", START - 1)
    lose(book, count, "sound")
    lose(book, count, "crash")
    expected = {"crash"} if count < MAX_LOSSES_ANSWERED else {"crash", "sound"}
    assert book.held(START) == expected


def test_an_answer_of_long_ago_clears_no_work() -> None:
    book = CrashBook()
    book.note_answered("w", START - ANSWERED_LATELY_MS - 1)
    lose(book, LOSSES_MOST)
    assert book.held(START) == {"w"}


def test_the_works_answered_lately_are_bounded() -> None:
    book = CrashBook()
    book.note_answered("w", START)
    for number in range(MAX_ANSWERED):
        book.note_answered(f"w{number}", START)
    lose(book, LOSSES_MOST)
    assert book.held(START) == {"w"}


def test_copies_lost_at_one_replica_are_one_loss() -> None:
    book = CrashBook()
    for _ in range(LOSSES_MOST):
        book.on_lost("w", "r", START)
    assert book.replicas("w") == ["r"]


def test_a_name_that_is_started_again_is_lost_again() -> None:
    # Symptom: two engines that start again under their names are ended without end.
    # Cause: the losses of a work were counted by the engine's name.
    book = CrashBook()
    for number in range(LOSSES_MOST):
        now = START + number * SAME_LOSS_MS
        book.on_lost("w", "r", now)
        book.on_ended("r")
        book.on_alive("r", now + 1)
    assert book.hold_ms("w", now)


def test_an_answer_takes_a_loss_away() -> None:
    # What many callers ask in the same words is open wherever a replica ends.
    book = CrashBook()
    lose(book, LOSSES_MOST - 1)
    assert book.on_answered("w")
    lose(book, LOSSES_MOST)
    assert not book.hold_ms("w", START)
    for _ in range(LOSSES_MOST):
        book.on_answered("w")
    assert book.empty()


@pytest.mark.parametrize(("sent", "held"), [(-1, True), (0, False), (1, False)])
def test_a_replica_that_answers_a_later_call_was_not_lost(sent: int, held: bool) -> None:
    # Symptom: sound requests are refused after connections were reset or answers were late.
    book = CrashBook()
    lose(book, LOSSES_MOST)
    book.on_alive("r0", START + sent)
    assert bool(book.hold_ms("w", START)) is held


def test_one_at_whose_address_nobody_listens_has_ended() -> None:
    book = CrashBook()
    lose(book, LOSSES_MOST)
    book.on_ended("r0")
    book.on_alive("r0", START + 1)
    assert book.hold_ms("w", START + 1)


@pytest.mark.parametrize(
    ("listed", "fresh", "after_ms", "held"),
    [
        (["r0"], True, LISTED_ALIVE_MS, False),
        (["r0"], True, LISTED_ALIVE_MS - 1, True),
        # The store is away: what it last listed may be gone.
        (["r0"], False, LISTED_ALIVE_MS, True),
        (["other"], True, LISTED_ALIVE_MS, True),
    ],
)
def test_what_is_listed_long_after_was_not_lost(
    listed: list[str], fresh: bool, after_ms: int, held: bool
) -> None:
    book = CrashBook()
    lose(book, LOSSES_MOST)
    book.on_listed(listed, ())
    book.sweep(START + after_ms, fresh)
    assert bool(book.hold_ms("w", START + after_ms)) is held


def test_a_replica_that_leaves_cuts_off_what_is_open() -> None:
    book = CrashBook()
    book.on_listed(["r0", "r1", "r2"], ["r0", "r1", "r2"])
    book.on_listed([], [])
    lose(book, LOSSES_MOST)
    assert book.empty()


def test_held_work_may_be_tried_once_after_the_hold() -> None:
    book = CrashBook()
    lose(book, LOSSES_MOST)
    later = START + QUARANTINE_MS
    assert not book.hold_ms("w", later)
    book.on_lost("w", "r9", later)
    assert book.hold_ms("w", later) == QUARANTINE_MS
    book.sweep(later + FORGET_MS, True)
    assert book.empty()


@pytest.mark.parametrize(
    ("count", "pause_ms"),
    [
        (LOSSES_MOST - 1, 0),
        (LOSSES_MOST, ITEM_PAUSE_MS),
        (LOSSES_MOST + 1, 2 * ITEM_PAUSE_MS),
        (MAX_ITEM_LOSSES - 1, 4 * ITEM_PAUSE_MS),
        (MAX_ITEM_LOSSES, QUARANTINE_MS),
    ],
)
def test_items_are_tried_some_more_times(count: int, pause_ms: int) -> None:
    book = CrashBook()
    lose(book, count)
    assert book.item_hold_ms("w", START) == pause_ms
    assert book.item_done_for("w") is (count >= MAX_ITEM_LOSSES)


def test_what_others_tell_counts_once() -> None:
    book, other = CrashBook(), CrashBook()
    lose(book, LOSSES_MOST)
    told = book.snapshot(START + 10)
    assert len(other.on_told(told, START + 20)) == LOSSES_MOST
    assert other.on_told(told, START + 30) == []
    assert book.on_told([Loss("w", "r0", 0)], START + 40) == []
    assert other.hold_ms("w", START + 30) == QUARANTINE_MS - 20


def test_what_is_kept_is_bounded() -> None:
    book = CrashBook()
    lose(book, MAX_LOSSES_KEPT + 5, "w")
    for number in range(2 * MAX_FINGERPRINTS):
        book.on_lost(f"w{number}", f"r{number}", START + number)
    assert len(book.replicas("w")) == MAX_LOSSES_KEPT
    told = book.snapshot(START)
    assert len(told) == MAX_SNAPSHOT_LOSSES
    assert [loss.work for loss in told[:MAX_LOSSES_KEPT]] == ["w"] * MAX_LOSSES_KEPT
    known = sum(book.knows(f"w{number}") for number in range(2 * MAX_FINGERPRINTS))
    assert known == MAX_FINGERPRINTS - 1


def test_a_caller_is_told_to_come_when_a_doubt_will_be_over() -> None:
    book = CrashBook()
    lose(book, LOSSES_MOST)
    assert book.return_ms("w", START) == LISTED_ALIVE_MS
    assert book.return_ms("w", START + LISTED_ALIVE_MS) == QUARANTINE_MS - LISTED_ALIVE_MS
    for number in range(LOSSES_MOST):
        book.on_ended(f"r{number}")
    assert book.return_ms("w", START + 1) == QUARANTINE_MS - 1
