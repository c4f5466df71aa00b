"""Decide whether an instance may send a suspect, among instances that ask at the same time.

An instance requests a permit from all others that may have a copy under way, and sends only if
none objects. Of two that request one at the same time, the one with the lower id goes first. Hubs
of a large fleet also keep leases: the suspects that other instances have under way, until these
end or their time is over.
"""

from collections.abc import Collection
from typing import NamedTuple

from papayapier.policy.open_sends import WantedSend


class Lease(NamedTuple):
    """Record a suspect that another instance has under way, at most until a time."""

    wanted: WantedSend
    until_ms: int


class SendPermits:
    """Hold the requests for a permit that this instance has made, and the leases it has granted."""

    def __init__(self, me: str) -> None:
        self._me = me
        # True while nobody with a lower id has asked for a conflicting permit.
        self._pending: dict[WantedSend, bool] = {}
        # The leases by holder and fingerprint.
        self._leases: dict[tuple[str, str], Lease] = {}

    def begin(self, wanted: WantedSend) -> bool:
        """Record a request for a permit; return False if another one of this instance conflicts."""
        if any(conflict(wanted, other) for other in self._pending):
            return False
        self._pending[wanted] = True
        return True

    def end(self, wanted: WantedSend) -> bool:
        """Remove a request for a permit; return False if another instance went first."""
        return self._pending.pop(wanted)

    def block(self, wanted: WantedSend, holder: str) -> bool:
        """Tell whether a request for a permit here goes before another instance's."""
        rivals = [other for other in self._pending if conflict(wanted, other)]
        if rivals and self._me < holder:
            return True
        for rival in rivals:
            self._pending[rival] = False
        return False

    def is_leased(self, wanted: WantedSend, holder: str, live: Collection[str], now: int) -> bool:
        """Tell whether another live instance has a conflicting send under way."""
        self._leases = {
            key: lease
            for key, lease in self._leases.items()
            if lease.until_ms > now and key[0] in live
        }
        return any(
            conflict(wanted, lease.wanted)
            for (other, _), lease in self._leases.items()
            if other != holder
        )

    def add_lease(self, wanted: WantedSend, holder: str, until_ms: int) -> None:
        """Record that an instance has a suspect under way, or is about to send it."""
        self._leases[holder, wanted.fingerprint] = Lease(wanted, until_ms)

    def end_lease(self, fingerprint: str, holder: str) -> None:
        """Record that an instance has no copy of a suspect under way any more."""
        self._leases.pop((holder, fingerprint), None)


def conflict(one: WantedSend, other: WantedSend) -> bool:
    """Tell whether two suspects may not be under way together.

    They are copies of one request, or have common losses and go to the same replica.
    """
    if one.fingerprint == other.fingerprint:
        return True
    return one.replica == other.replica and not one.lost_replicas.isdisjoint(other.lost_replicas)
