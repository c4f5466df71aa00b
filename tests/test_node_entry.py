"""Test when an entry may say that there is no such job."""

from typing import Any, NamedTuple, cast

import pytest

from papayapier.clock import Clock, fake_clock
from papayapier.node.entry import BRINGING_MS, _settled

STARTED_MS = 50_000


class Return:
    def __init__(self, back: int | None) -> None:
        self._back = back

    def back_ms(self) -> int | None:
        return self._back


class Base(NamedTuple):
    clock: Clock
    store_return: Return


@pytest.mark.parametrize(
    ("back", "after_ms", "sure"),
    [
        # The store is away: keepers may hold the job.
        (None, 60_000, False),
        # Never away as far as is known, but the process has just started.
        (0, BRINGING_MS - 1, False),
        (0, BRINGING_MS, True),
        # Back for a moment only, and back for long enough.
        (STARTED_MS + 9_000, 9_000 + BRINGING_MS - 1, False),
        (STARTED_MS + 9_000, 9_000 + BRINGING_MS, True),
    ],
)
def test_a_job_is_called_missing_only_when_no_disk_can_hold_it(
    back: int | None, after_ms: int, sure: bool
) -> None:
    # Symptom: a caller is told that its accepted job does not exist, and gives it up.
    # Events: the job was accepted on disks; the store is back and all processes have started.
    # Cause: an entry that has just started does not know that the store was away.
    time = fake_clock()
    time.advance(STARTED_MS - time.clock.now())
    base = cast(Any, Base(time.clock, Return(back)))
    time.advance(after_ms)
    assert _settled(base, STARTED_MS) is sure
