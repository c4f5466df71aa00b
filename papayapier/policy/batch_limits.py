"""Decide how many batch streams one instance may have at a replica beside online calls.

Motivation: a few instances run batch streams of several seconds each, others send short online
calls to the same replicas, and the online load doubles within a tenth of a second every few
seconds. Cancelling and resuming a batch stream costs little (its prompt is processed again, some
milliseconds), so batch uses every slot that online calls leave, except a few that bridge the time
until a jump is known, and releases slots at once.

The remaining slots are divided evenly among the instances that run batch, so that two of them never
use the same one; slots that one leaves unused, another may use.
"""

from typing import Final, NamedTuple

# Slots of each replica that stay free for the online calls of the next 100 ms or so, the time in
# which heartbeats report a jump: 9 replicas x 2 against about 8 more arrivals.
SPARE_SLOTS: Final = 2
# Rank of an instance that has no share of a replica's slots.
NO_SHARE: Final = -1
# Such an instance starts nothing where a larger fraction of the slots is in use.
MAX_USE_WITHOUT_SHARE: Final = 0.5


class SlotUse(NamedTuple):
    """Hold the open calls at a replica.

    online and batch are those of all instances, own this instance's portion of batch. rank is this
    instance's rank, from 0, among those sharing, or NO_SHARE.
    """

    slots: int
    online: int
    own: int
    batch: int
    rank: int
    sharing: int


def start_limit(use: SlotUse) -> int:
    """Return up to how many batch streams an instance may start at a replica."""
    if use.rank == NO_SHARE:
        return 1 if _other_calls(use) < use.slots * MAX_USE_WITHOUT_SHARE else 0
    return _share(use, use.slots - use.online - SPARE_SLOTS)


def keep_limit(use: SlotUse) -> int:
    """Return how many batch streams an instance may keep at a replica.

    This is more than it may start, as the spare slots are there to be used by online calls. Without
    the difference each online call of less than a second would cancel a batch stream of five, which
    would resume as soon as the call ended.
    """
    if use.rank == NO_SHARE:
        return 1 if _other_calls(use) < use.slots else 0
    return _share(use, use.slots - use.online)


def _share(use: SlotUse, slots_left: int) -> int:
    left = max(0, slots_left)
    fair_share = left // use.sharing + (1 if use.rank < left % use.sharing else 0)
    return max(fair_share, left - max(0, use.batch - use.own))


def _other_calls(use: SlotUse) -> int:
    """Return the calls at a replica that are not this instance's batch streams."""
    return use.online + max(0, use.batch - use.own)
