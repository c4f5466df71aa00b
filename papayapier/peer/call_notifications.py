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
EarlyRecipients = Callable[[Collection[str]], Collection[str]]
Send = Callable[[str, CallsTold], object]


class Recipients(NamedTuple):
    """Hold the peers to notify early: near are neighbours, others are not."""

    near: Sequence[str]
    others: Sequence[str]


class CallNotifier:
    """Track the non-neighbours that this instance has notified of its open calls."""

    def __init__(self, me: str, early_recipients: EarlyRecipients | None, send: Send) -> None:
        """Start with nobody notified; early_recipients None makes all neighbours recipients."""
        self._me = me
        self._early_recipients = early_recipients
        self._send = send
        # Peers that are not neighbours and have been notified of open calls.
        self._notified: set[str] = set()

    def recipients(
        self, neighbours: Sequence[str], full_mesh: bool, before: Heartbeat, after: Heartbeat
    ) -> Recipients:
        """Return the peers to notify: all in a full mesh, else those that the changes concern."""
        if self._early_recipients is None or full_mesh:
            return Recipients(neighbours, ())
        concerned = set(self._early_recipients(changed_replicas(before.uses, after.uses)))
        near = [peer_id for peer_id in neighbours if peer_id in concerned]
        return Recipients(near, sorted(concerned.difference(near, (self._me,))))

    def send(self, peer_ids: Sequence[str], uses: tuple[ReplicaUse, ...]) -> None:
        """Send all open calls to peers that are not neighbours."""
        self._notified.update(peer_ids)
        for peer_id in peer_ids:
            self._send(peer_id, CallsTold(uses))

    def resend(
        self, neighbours: Sequence[str], full_mesh: bool, uses: tuple[ReplicaUse, ...]
    ) -> None:
        """Resend the open calls to the peers that they concern.

        Otherwise a lost notification would leave a peer with outdated calls for long. A peer
        that was notified of calls before is notified of their end twice.
        """
        if self._early_recipients is None or full_mesh:
            return
        concerned = set(self._early_recipients({use.replica for use in uses}))
        concerned.difference_update(neighbours, (self._me,))
        self.send(sorted(concerned | self._notified), uses)
        self._notified = concerned


def is_worth_notifying(before: Heartbeat, after: Heartbeat, early_calls: int) -> bool:
    """Return whether the open calls changed enough for an early notification."""
    return use_distance(before.uses, after.uses) >= early_calls
