"""Decide how many batch streams one instance may have at a replica beside online calls.

The load this answers: a few instances run batch streams of several seconds each, others send
short online calls to the same replicas, and the online load doubles within a tenth of a
second every few seconds. A batch stream is cancelled and resumed almost for nothing (its
prompt is read again, some milliseconds), so batch takes every slot that online calls leave,
less a few that bridge the time until a jump is heard of, and gives slots back at once.

The slots left are dealt out evenly to the instances that run batch, so that two of them never
take the same one; what one leaves unused, another may take.
"""

from typing import Final

# Slots of each replica that stay free for the online calls of the next 100 ms or so, the time
# in which heartbeats tell of a jump: 9 replicas x 2 against about 8 more arrivals.
SPARE_SLOTS: Final = 2


def batch_limit(slots: int, online: int, own: int, batch: int, place: int, sharing: int) -> int:
    """Return how many batch streams an instance may have at a replica.

    online and batch are the open calls of all instances there, own this instance's part of
    batch. place is this instance's rank, from 0, among those sharing.
    """
    left = max(0, slots - online - SPARE_SLOTS)
    fair = left // sharing + (1 if place < left % sharing else 0)
    others = max(0, batch - own)
    return max(fair, left - others)
