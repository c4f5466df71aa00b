"""Decide when an item of a job may be sent again after replicas were lost under it.

Items that are handed in for later do not crash replicas by themselves, so however many replicas
were lost under an item, it stays owed until its job ends. In case the next send ends a replica
nevertheless, an item with several losses is a suspect: it is sent after a pause that does not grow,
at a replica with as few other calls as possible, and equal items are sent one at a time.

Losses under items say nothing about equal online requests, which are never refused for them.
"""

from typing import Final

# Two losses may be chance, as for online requests.
MAX_ITEM_LOSSES: Final = 3
# Pause of a suspect after each loss. Most replicas are back by then; those who wait for the item
# hardly notice it.
ITEM_PAUSE_MS: Final = 3_000
# Interval between checks whether an equal item is still under way.
TURN_CHECK_MS: Final = 500
# Items without a new loss for this long are forgotten.
FORGET_MS: Final = 600_000
MAX_ITEMS: Final = 1_000


class _Losses:
    """Count the losses of equal items; last_ms is the time of the last one."""

    __slots__ = ("count", "last_ms")

    def __init__(self) -> None:
        self.count = 0
        self.last_ms = 0


class ItemLosses:
    """Track the losses under the items of this instance, by the fingerprint of the items."""

    def __init__(self) -> None:
        self._losses: dict[str, _Losses] = {}
        # The fingerprints of suspects that are under way, by item id.
        self._under_way: dict[str, str] = {}

    def is_empty(self) -> bool:
        """Tell whether no item has a loss."""
        return not self._losses

    def on_lost(self, fingerprint: str, now: int) -> None:
        """Count a replica that was lost under an item."""
        losses = self._losses.get(fingerprint)
        if losses is None:
            self._make_room(now)
            losses = self._losses[fingerprint] = _Losses()
        losses.count += 1
        losses.last_ms = now

    def on_answered(self, fingerprint: str) -> None:
        """Forget the losses of an item that was answered."""
        self._losses.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether several replicas were lost under an item."""
        losses = self._losses.get(fingerprint)
        return losses is not None and losses.count >= MAX_ITEM_LOSSES

    def pause_ms(self, fingerprint: str, now: int) -> int:
        """Return for how long an item is not sent, in ms; 0 if it may be."""
        if not self.is_suspect(fingerprint):
            return 0
        if fingerprint in self._under_way.values():
            return TURN_CHECK_MS
        return max(0, self._losses[fingerprint].last_ms + ITEM_PAUSE_MS - now)

    def on_begun(self, item_id: str, fingerprint: str) -> None:
        """Record that an item is sent."""
        if self.is_suspect(fingerprint):
            self._under_way[item_id] = fingerprint

    def on_ended(self, item_id: str) -> None:
        """Record the end of a send."""
        self._under_way.pop(item_id, None)

    def _make_room(self, now: int) -> None:
        """Forget old losses, and of too many recent ones the oldest."""
        old = [
            fingerprint
            for fingerprint, losses in self._losses.items()
            if losses.last_ms + FORGET_MS <= now
        ]
        for fingerprint in old:
            del self._losses[fingerprint]
        if len(self._losses) >= MAX_ITEMS:
            del self._losses[min(self._losses, key=lambda name: self._losses[name].last_ms)]
