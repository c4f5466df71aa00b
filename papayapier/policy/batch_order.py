"""Decide which batch items go first, and which give way first.

The load this answers: for a minute 1.7 times as many items come as the slots can run. In order of
due time alone every item then waits until its time has just passed: 0.37 are in time, though the
slots could finish more than half. So items that can no
longer be done in time stand behind those that can, and give their slots to them; they are still
run, since a late result is worth something.

How long an item will run is learnt from those that have ended: how many events a whole item
has, and how long an event takes on the present load.
"""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, TypeVar

T = TypeVar("T")

# Weight of the newest whole item: some ten items decide, which end within a second or two.
NEWEST_SHARE: Final = 0.1
# Items are started at the last moment in overload, and half of all are longer than the mean; so
# this many mean deviations are added. Played at 1.7 times the load for a minute: 0.60 in time
# with none, 0.65 with 1, 0.63 with 2.
DEVIATIONS: Final = 1.0
# An item that has more events than usual is near its end all the same; one event is left at least.
LEAST_EVENTS_LEFT: Final = 1.0
# Results are gathered for a quarter of a second and written before anybody can read them.
LISTING_MS: Final = 300


class Standing(NamedTuple):
    """Rank an item: those that can be done in time first, then by due time (wall clock, ms)."""

    late: bool
    due_ms: float


class RunTimes:
    """Learn how long whole items run at one upstream."""

    __slots__ = ("_deviation", "_event_ms", "_events")

    def __init__(self) -> None:
        self._events = 0.0
        self._deviation = 0.0
        self._event_ms = 0.0

    def on_done(self, events: int, ran_ms: int) -> None:
        """Take a whole item: its events, and how long it ran in all its runs."""
        if events <= 0:
            return
        event_ms = ran_ms / events
        if not self._events:
            self._events, self._event_ms = float(events), event_ms
            return
        self._deviation += NEWEST_SHARE * (abs(events - self._events) - self._deviation)
        self._events += NEWEST_SHARE * (events - self._events)
        self._event_ms += NEWEST_SHARE * (event_ms - self._event_ms)

    def left_ms(self, events: int) -> float:
        """Return how long an item with so many events has yet to run; 0 while nothing is known."""
        if not self._events:
            return 0.0
        long_item = self._events + DEVIATIONS * self._deviation
        return max(LEAST_EVENTS_LEFT, long_item - events) * self._event_ms


def standing(times: RunTimes, events: int, due_ms: float, now_ms: float) -> Standing:
    """Rank an item that has so many events, if it ran from now on."""
    late = now_ms + times.left_ms(events) + LISTING_MS > due_ms
    return Standing(late, due_ms)


def victims(runs: Iterable[tuple[Standing, T]], count: int) -> Sequence[T]:
    """Return the runs that give way: late ones, then those with the most time left.

    A run that is cut goes on elsewhere from its last event and loses some milliseconds; what it
    loses is its slot, and who has the most time can best wait for another.
    """
    ranked = sorted(runs, key=lambda run: run[0], reverse=True)
    return [run for _, run in ranked[:count]]
