"""Track the online sends under way, to decide whether a suspect request may be sent beside them.

A suspect is a request that one more replica loss would quarantine. While a copy of it is under way,
a second copy could end one replica more than is allowed. Beside another request with the same
losses, the next loss would count for both, whichever of them has caused it. So a suspect is sent
only if no copy of it is under way anywhere, and no request that may have its losses is under way
at the chosen replica.

Fingerprints are computed only when a suspect is about to be sent, so that other sends cost nothing.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple


class WantedSend(NamedTuple):
    """Describe a suspect that is about to be sent: its losses and the chosen replica."""

    fingerprint: str
    lost_replicas: frozenset[str]
    replica: str


# Returns whether a fingerprint has an uncleared loss at one of some replicas.
SharesLoss = Callable[[str, Collection[str]], bool]


class OpenSend:
    """Hold one send under way; its fingerprint is computed at the first use."""

    __slots__ = ("_fingerprint", "_get_fingerprint", "replica")

    def __init__(self, get_fingerprint: Callable[[], str], replica: str) -> None:
        self._get_fingerprint = get_fingerprint
        self._fingerprint = ""
        self.replica = replica

    def fingerprint(self) -> str:
        """Return the request fingerprint."""
        if not self._fingerprint:
            self._fingerprint = self._get_fingerprint()
        return self._fingerprint


class OpenSends:
    """Hold the online sends of this instance that are under way."""

    def __init__(self) -> None:
        self._sends: dict[OpenSend, None] = {}

    def add(self, get_fingerprint: Callable[[], str], replica: str) -> OpenSend:
        """Add a send that begins now."""
        send = OpenSend(get_fingerprint, replica)
        self._sends[send] = None
        return send

    def remove(self, send: OpenSend) -> None:
        """Remove a send that has ended."""
        del self._sends[send]

    def replicas_of(self, fingerprint: str) -> list[str]:
        """Return the replicas at which copies of a request are under way."""
        return [send.replica for send in self._sends if send.fingerprint() == fingerprint]

    def block(self, wanted: WantedSend, shares_loss: SharesLoss) -> bool:
        """Tell whether a suspect may not be sent while these sends are under way."""
        if self.replicas_of(wanted.fingerprint):
            return True
        beside = {send.fingerprint() for send in self._sends if send.replica == wanted.replica}
        return any(
            shares_loss(fingerprint, wanted.lost_replicas)
            or not wanted.lost_replicas.isdisjoint(self.replicas_of(fingerprint))
            for fingerprint in beside
        )
