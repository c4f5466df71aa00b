"""Play online load against batch streams, and check what each side gets."""

import random

import pytest

from papayapier.policy.batch_room import NO_PART, SPARE_SLOTS, Use, keep_limit, start_limit

SLOTS = 8
ITEM_MS = 5_000
CALL_MS = 700
STEP_MS = 10


def use(online: int, own: int, batch: int, place: int = 0, sharing: int = 1) -> Use:
    return Use(SLOTS, online, own, batch, place, sharing)


@pytest.mark.parametrize("online", range(SLOTS + 3))
@pytest.mark.parametrize("sharing", [1, 2, 3])
def test_the_parts_together_never_pass_the_slots(online: int, sharing: int) -> None:
    parts = [start_limit(use(online, 0, 0, place, sharing)) for place in range(sharing)]
    if sharing > 1:
        parts = [
            start_limit(use(online, one, sum(parts), n, sharing)) for n, one in enumerate(parts)
        ]
    assert max(parts) <= max(0, SLOTS - online)


def test_more_may_be_kept_than_started_by_the_spare_slots() -> None:
    assert keep_limit(use(3, 4, 4)) - start_limit(use(3, 4, 4)) == SPARE_SLOTS


def test_full_replicas_keep_no_batch() -> None:
    assert keep_limit(use(SLOTS, 2, 2)) == 0


def test_unused_parts_are_taken_by_others() -> None:
    assert start_limit(use(0, 0, 0, place=2, sharing=3)) == SLOTS - SPARE_SLOTS


@pytest.mark.parametrize("others", range(SLOTS + 2))
def test_who_has_no_part_runs_one_where_half_is_free(others: int) -> None:
    # Failure: instances that hear of calls late fill the slots of those that have a part.
    for batch in range(others + 1):
        known = use(others - batch, 0, batch, NO_PART, 3)
        assert start_limit(known) == (1 if 2 * others < SLOTS else 0)
        running = use(others - batch, 1, batch + 1, NO_PART, 3)
        assert keep_limit(running) == (1 if others < SLOTS else 0)


def play(keep_spare: bool) -> tuple[int, int]:
    """Play a jump of online calls every six seconds; return items done and streams cut.

    keep_spare False keeps only what might be started, as before.
    """
    rand = random.Random(7)
    online: list[int] = []
    batch: list[int] = []
    done = cut = 0
    for now in range(0, 60_000, STEP_MS):
        rate = 8.5 if now % 6_000 >= 3_600 else 1.8
        if rand.random() < rate * STEP_MS / 1_000 and len(online) < SLOTS:
            online.append(now + CALL_MS)
        online = [end for end in online if end > now]
        done += sum(end <= now for end in batch)
        batch = [end for end in batch if end > now]
        known = use(len(online), len(batch), len(batch))
        limit = keep_limit(known) if keep_spare else start_limit(known)
        while len(batch) > limit:
            batch.pop()
            cut += 1
        while len(batch) < start_limit(known):
            batch.append(now + ITEM_MS)
    return done, cut


def test_short_calls_do_not_cut_long_streams() -> None:
    # Before: each call of 0.7 s cut a stream of 5 s that began again when it had ended.
    done_before, cut_before = play(keep_spare=False)
    done_after, cut_after = play(keep_spare=True)
    assert cut_after < cut_before / 2
    assert done_after > done_before
