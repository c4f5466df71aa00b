"""Deal the slots of each replica out to the instances.

The slots are dealt in turn, beginning at a place that rendezvous hashing gives the replica.
So all instances agree without a message, every one has its part of every replica, the parts
of any number of slots differ by one at most and add up exactly, and when an instance goes no
part of another shrinks. Giving whole replicas to instances by rendezvous hashing leaves some
with none: with six instances and nine replicas in 82 of 100 fleets (misc/slot_ownership.py).

Instances that have told of no batch calls lately are left out, so that a job which runs on
few instances gets all the idle slots. That is safe only when every instance with batch calls
has told of them. So an instance leaves others out only after its own batch calls have been
open for longer than the others take to tell: when all begin at once, after a burst, say, none
of them takes more than its part of all.
"""

from collections.abc import Sequence
from typing import Final

from papayapier.policy.loads import LoadBook
from papayapier.policy.rendezvous import score

LEAVE_OUT_AFTER_MS: Final = 1_500
BATCH_REPORT_MS: Final = 1_500
REVIEW_MS: Final = 100


class SlotShares:
    """Keep which instances share the slots."""

    def __init__(self, instance_id: str) -> None:
        self._own = instance_id
        self._live: tuple[str, ...] = (instance_id,)
        self._sharing: tuple[str, ...] = (instance_id,)
        self._reviewed_ms = -REVIEW_MS
        self._places: dict[str, dict[str, int]] = {}

    def set_live(self, instances: Sequence[str]) -> None:
        """Take the live instances; this one is always counted."""
        self._live = tuple(sorted({*instances, self._own}))
        self._share_among(self._live)

    def review(self, book: LoadBook, now: int) -> None:
        """Leave out the instances without batch calls, or take them in again."""
        if now < self._reviewed_ms + REVIEW_MS:
            return
        self._reviewed_ms = now
        if book.batch_open_ms(now) < LEAVE_OUT_AFTER_MS:
            self._share_among(self._live)
            return
        busy = book.batch_peers(now, BATCH_REPORT_MS)
        self._share_among(tuple(n for n in self._live if n == self._own or n in busy))

    def live(self) -> int:
        """Return how many instances live."""
        return len(self._live)

    def sharing(self) -> tuple[str, ...]:
        """Return the instances that have a share at present."""
        return self._sharing

    def part(self, replica_id: str, slots: int, instance: str = "") -> int:
        """Return an instance's part (this one's by default) of the first slots of a replica."""
        places = self._places.get(replica_id)
        if places is None:
            ranked = sorted(self._sharing, key=lambda name: score(replica_id, name))
            places = self._places[replica_id] = {name: i for i, name in enumerate(ranked)}
        place = places.get(instance or self._own)
        if place is None:
            return 0
        return (slots + len(places) - 1 - place) // len(places)

    def _share_among(self, instances: tuple[str, ...]) -> None:
        if instances != self._sharing:
            self._sharing = instances
            self._places.clear()
