"""Decide to whom a change is passed on, so that each instance gets about one copy.

In a bounded topology a push reaches only the sender's neighbours, who pass it on. Passed on
over every link it would arrive as often as an instance has neighbours. So, as epidemic
broadcast trees do, a link over which a copy came too late is pruned: its other end sends no
more copies over it. What remains is a tree that the delays themselves have chosen. A lost
instance breaks the tree; then all links carry copies again and the next change prunes anew.
What a broken tree lost is found through the digests in the heartbeats, on every link.
"""

from collections import OrderedDict
from collections.abc import Collection
from enum import Enum
from typing import Final, NamedTuple

from papayapier.peer.messages import ConfigPush, JobChanged, Message

REMEMBERED: Final = 4_096


class Verdict(Enum):
    """Say whether a change was new."""

    NEW = "new"
    DUPLICATE = "duplicate"


class Subject(NamedTuple):
    """Name what a change is about; of one subject only higher versions are new."""

    kind: str
    key: str


class Spreader:
    """Hold what has been seen and which links are pruned."""

    def __init__(self) -> None:
        self._seen: OrderedDict[Subject, int] = OrderedDict()
        self._pruned: set[str] = set()

    def note(self, message: ConfigPush | JobChanged) -> Verdict:
        """Take note of a change that was received or is being sent."""
        subject = _subject(message)
        if self._seen.get(subject, -1) >= message.version:
            return Verdict.DUPLICATE
        self._seen[subject] = message.version
        self._seen.move_to_end(subject)
        if len(self._seen) > REMEMBERED:
            self._seen.popitem(last=False)
        return Verdict.NEW

    def targets(self, neighbours: Collection[str], sender: str) -> list[str]:
        """Return the neighbours to pass a new change on to."""
        return [name for name in neighbours if name != sender and name not in self._pruned]

    def prune(self, peer_id: str) -> None:
        """Send no more copies over the link to a peer that gets them earlier elsewhere."""
        self._pruned.add(peer_id)

    def graft(self, peer_id: str) -> None:
        """Send copies again to a peer that had to ask for a change."""
        self._pruned.discard(peer_id)

    def reset(self) -> None:
        """Use all links again, because the tree may be broken."""
        self._pruned.clear()


def spreads(message: Message) -> bool:
    """Tell whether messages of this kind are passed on."""
    return isinstance(message, ConfigPush | JobChanged)


def _subject(message: ConfigPush | JobChanged) -> Subject:
    if isinstance(message, ConfigPush):
        return Subject("config", message.key)
    return Subject("job", message.job_id)
