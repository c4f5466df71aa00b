"""Decide which peers need early notice of changed open calls, and notify non-neighbours.

In a large fleet each call that begins or ends would cost a message to every neighbour. So only
the peers that it concerns are notified early: those that place calls or run batch at the
replica.
"""

from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from papayapier.peer.messages import CallsTold, Heartbeat
from papayapier.peer.pacing import changed_replicas, use_distance
from papayapier.policy.loads import ReplicaUse

# Returns the peers that need early notice of changed calls at some replicas.
EarlyTo = Callable[[Collection[str]], Collection[str]]
Tell = Callable[[str, CallsTold], object]


class Hearers(NamedTuple):
    """Hold the peers to notify early: near are neighbours, others are not."""

    near: Sequence[str]
    others: Sequence[str]


class CallWords:
    """Track the non-neighbours that this instance has notified of its open calls."""

    def __init__(self, me: str, early_to: EarlyTo | None, tell: Tell) -> None:
        """Start with nobody notified; without early_to each change concerns all neighbours."""
        self._me = me
        self._early_to = early_to
        self._tell = tell
        # Peers that are not neighbours and have been notified of open calls.
        self._told: set[str] = set()

    def hearers(
        self, neighbours: Sequence[str], full_mesh: bool, before: Heartbeat, after: Heartbeat
    ) -> Hearers:
        """Return the peers to notify: all in a full mesh, else those that the changes concern."""
        if self._early_to is None or full_mesh:
            return Hearers(neighbours, ())
        concerned = set(self._early_to(changed_replicas(before.uses, after.uses)))
        near = [peer_id for peer_id in neighbours if peer_id in concerned]
        return Hearers(near, sorted(concerned.difference(near, (self._me,))))

    def tell(self, peer_ids: Sequence[str], uses: tuple[ReplicaUse, ...]) -> None:
        """Send all open calls to peers that are not neighbours."""
        self._told.update(peer_ids)
        for peer_id in peer_ids:
            self._tell(peer_id, CallsTold(uses))

    def tell_again(
        self, neighbours: Sequence[str], full_mesh: bool, uses: tuple[ReplicaUse, ...]
    ) -> None:
        """Resend the open calls to the peers that they concern.

        Otherwise a lost notification would leave a peer with outdated calls for long. A peer
        that was notified of calls before is notified of their end twice.
        """
        if self._early_to is None or full_mesh:
            return
        concerned = set(self._early_to({use.replica for use in uses}))
        concerned.difference_update(neighbours, (self._me,))
        self.tell(sorted(concerned | self._told), uses)
        self._told = concerned


def worth_a_word(before: Heartbeat, after: Heartbeat, early_calls: int) -> bool:
    """Return whether the open calls changed enough for an early notification."""
    return use_distance(before.uses, after.uses) >= early_calls
