"""Simulate online load beside batch streams, and check what each side gets."""

import random

import pytest

from papayapier.policy.batch_limits import NO_SHARE, SPARE_SLOTS, SlotUse, keep_limit, start_limit

SLOTS = 8
ITEM_MS = 5_000
CALL_MS = 700
STEP_MS = 10


def use(online: int, own: int, batch: int, place: int = 0, sharing: int = 1) -> SlotUse:
    return SlotUse(SLOTS, online, own, batch, place, sharing)


@pytest.mark.parametrize("online", range(SLOTS + 3))
@pytest.mark.parametrize("sharing", [1, 2, 3])
def test_limits_together_stay_within_slots(online: int, sharing: int) -> None:
    """Guard against limits that together exceed the slots that online calls leave."""
    limits = [start_limit(use(online, 0, 0, place, sharing)) for place in range(sharing)]
    if sharing > 1:
        limits = [
            start_limit(use(online, limit, sum(limits), index, sharing))
            for index, limit in enumerate(limits)
        ]
    assert max(limits) <= max(0, SLOTS - online)


def test_spare_slots_may_be_kept_but_not_started() -> None:
    """Guard against cancelling streams for online calls that fit into the spare slots."""
    assert keep_limit(use(3, 4, 4)) - start_limit(use(3, 4, 4)) == SPARE_SLOTS


def test_full_replica_keeps_no_batch() -> None:
    """Guard against batch streams at a replica that online calls fill."""
    assert keep_limit(use(SLOTS, 2, 2)) == 0


def test_unused_shares_are_used_by_others() -> None:
    """Guard against idle slots while another instance has batch work."""
    assert start_limit(use(0, 0, 0, place=2, sharing=3)) == SLOTS - SPARE_SLOTS


@pytest.mark.parametrize("others", range(SLOTS + 2))
def test_instance_without_share_runs_one_where_half_is_free(others: int) -> None:
    """Guard against instances that learn of calls late filling the slots of those with a share."""
    for batch in range(others + 1):
        known = use(others - batch, 0, batch, NO_SHARE, 3)
        assert start_limit(known) == (1 if 2 * others < SLOTS else 0)
        running = use(others - batch, 1, batch + 1, NO_SHARE, 3)
        assert keep_limit(running) == (1 if others < SLOTS else 0)


def simulate(keep_spare: bool) -> tuple[int, int]:
    """Simulate a jump of online calls every six seconds; return items done and streams cancelled.

    keep_spare False keeps only as many streams as might be started.
    """
    rand = random.Random(7)
    online: list[int] = []
    batch: list[int] = []
    done = cancelled = 0
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
            cancelled += 1
        while len(batch) < start_limit(known):
            batch.append(now + ITEM_MS)
    return done, cancelled


def test_short_calls_do_not_cancel_long_streams() -> None:
    """Guard against calls of 0.7 s that each cancel a stream of 5 s, which then starts again."""
    done_before, cancelled_before = simulate(keep_spare=False)
    done_after, cancelled_after = simulate(keep_spare=True)
    assert cancelled_after < cancelled_before / 2
    assert done_after > done_before
