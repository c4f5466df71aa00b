"""Tell a peer that is dead from one that only this instance cannot hear.

Instances that share work take over what a silent one has. Where two of them are cut from each
other and still reach everybody else, each would take over all of the other's work: items run
twice, and both fill the slots that one should leave to online calls. What a third instance says
tells the two cases apart: its heartbeats name the peers that it does not hear.
"""

from collections.abc import Collection


class Witnesses:
    """Keep whom each peer does not hear, from its last heartbeat."""

    def __init__(self) -> None:
        self._unheard: dict[str, frozenset[str]] = {}

    def on_told(self, peer_id: str, unheard: Collection[str]) -> None:
        """Take whom a peer does not hear."""
        self._unheard[peer_id] = frozenset(unheard)

    def heard(self, peer_id: str, live: Collection[str]) -> bool:
        """Tell whether most of the live others hear a peer; nobody to ask says no."""
        asked = [self._unheard[one] for one in live if one in self._unheard and one != peer_id]
        hearing = sum(peer_id not in unheard for unheard in asked)
        return 2 * hearing > len(asked)
