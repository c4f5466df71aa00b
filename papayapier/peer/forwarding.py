"""Decide which neighbours a change is forwarded to, so that each instance gets about one copy.

In a bounded topology a push reaches only the sender's neighbours, who forward it. Forwarded
over every link it would arrive once from each neighbour. So, as in epidemic broadcast trees,
a link that delivers a duplicate is pruned: its other end sends no more copies over it. The
remaining links form a tree of those with the lowest delays. Losing an instance breaks the
tree; then all links carry copies again and the next change prunes anew. Changes that did not
arrive over a broken tree are found through the digests in the heartbeats, on every link.
"""

from collections import OrderedDict
from collections.abc import Collection
from enum import Enum
from typing import Final, NamedTuple

from papayapier.peer.messages import ConfigPush, JobChanged, Message

MAX_SUBJECTS: Final = 4_096


class Novelty(Enum):
    """Say whether a change is new."""

    NEW = "new"
    DUPLICATE = "duplicate"


class Subject(NamedTuple):
    """Identify the object that a change is about; only higher versions of it are new."""

    kind: str
    key: str


class Forwarder:
    """Track the changes received or sent and the pruned links."""

    def __init__(self) -> None:
        self._latest_versions: OrderedDict[Subject, int] = OrderedDict()
        self._pruned: set[str] = set()

    def record(self, message: ConfigPush | JobChanged) -> Novelty:
        """Record a change that was received or is being sent."""
        subject = _subject(message)
        if self._latest_versions.get(subject, -1) >= message.version:
            return Novelty.DUPLICATE
        self._latest_versions[subject] = message.version
        self._latest_versions.move_to_end(subject)
        if len(self._latest_versions) > MAX_SUBJECTS:
            self._latest_versions.popitem(last=False)
        return Novelty.NEW

    def targets(self, neighbours: Collection[str], sender: str) -> list[str]:
        """Return the neighbours to forward a new change to."""
        return [name for name in neighbours if name != sender and name not in self._pruned]

    def prune(self, peer_id: str) -> None:
        """Stop sending copies to a peer that gets them earlier from another one."""
        self._pruned.add(peer_id)

    def graft(self, peer_id: str) -> None:
        """Resume sending copies to a peer that had to request a change."""
        self._pruned.discard(peer_id)

    def reset(self) -> None:
        """Use all links again, because the tree may be broken."""
        self._pruned.clear()


def is_forwarded(message: Message) -> bool:
    """Return whether messages of this kind are forwarded."""
    return isinstance(message, ConfigPush | JobChanged)


def _subject(message: ConfigPush | JobChanged) -> Subject:
    if isinstance(message, ConfigPush):
        return Subject("config", message.key)
    return Subject("job", message.job_id)
