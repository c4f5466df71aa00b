"""Decide how many batch streams one instance may have at a replica beside online calls.

The load this answers: a few instances run batch streams of several seconds each, others send
short online calls to the same replicas, and the online load doubles within a tenth of a
second every few seconds. A batch stream is cancelled and resumed almost for nothing (its
prompt is read again, some milliseconds), so batch takes every slot that online calls leave,
less a few that bridge the time until a jump is heard of, and gives slots back at once.

The slots left are dealt out evenly to the instances that run batch, so that two of them never
take the same one; what one leaves unused, another may take.
"""

from typing import Final, NamedTuple

# Slots of each replica that stay free for the online calls of the next 100 ms or so, the time
# in which heartbeats tell of a jump: 9 replicas x 2 against about 8 more arrivals.
SPARE_SLOTS: Final = 2
# The place of an instance that has no part of a replica's slots.
NO_PART: Final = -1
# Such an instance starts nothing where a larger share of the slots is taken.
NO_PART_SHARE: Final = 0.5


class Use(NamedTuple):
    """Hold the open calls at a replica.

    online and batch are those of all instances, own this instance's part of batch. place is
    this instance's rank, from 0, among those sharing, or NO_PART.
    """

    slots: int
    online: int
    own: int
    batch: int
    place: int
    sharing: int


def start_limit(use: Use) -> int:
    """Return up to how many batch streams an instance may start at a replica."""
    if use.place == NO_PART:
        return 1 if _others(use) < use.slots * NO_PART_SHARE else 0
    return _part(use, use.slots - use.online - SPARE_SLOTS)


def keep_limit(use: Use) -> int:
    """Return how many batch streams an instance may keep at a replica.

    More than it may start: the spare slots are there to be used by online calls. Without the
    difference each online call of less than a second cancels a batch stream of five, which
    begins again as soon as the call has ended.
    """
    if use.place == NO_PART:
        return 1 if _others(use) < use.slots else 0
    return _part(use, use.slots - use.online)


def _part(use: Use, slots_left: int) -> int:
    left = max(0, slots_left)
    fair = left // use.sharing + (1 if use.place < left % use.sharing else 0)
    return max(fair, left - max(0, use.batch - use.own))


def _others(use: Use) -> int:
    """Return the calls at a replica that are not this instance's batch streams."""
    return use.online + max(0, use.batch - use.own)
