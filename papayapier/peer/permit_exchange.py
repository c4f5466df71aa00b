"""Request permits from the other instances before a suspect is sent, and answer their requests.

In a small fleet all other instances are asked; each knows its own open sends. In a large one the
hubs are asked, which keep leases for the open sends of the others, so that the cost of a suspect
does not grow with the fleet. A permit request carries the losses of the suspect, so that its
receivers do not send the suspect without a permit either. Other requests cost no message.

An instance that does not reply within the time after which it counts as silent is taken to have
nothing under way, so that a paused or separated instance does not block a suspect for good.
"""

from collections.abc import Callable, Collection
from typing import Any, Final, NamedTuple

from result import Err
from twisted.internet.defer import Deferred, gatherResults

from papayapier.clock import Clock
from papayapier.dispatch.crash_watch import CrashWatch, GetFingerprint
from papayapier.peer.hub import PeerHub
from papayapier.peer.open_requests import PeerError
from papayapier.peer.permit_messages import (
    PermitReply,
    PermitRequest,
    SuspectEnded,
    SuspectUnderWay,
)
from papayapier.policy.open_sends import WantedSend
from papayapier.policy.send_permits import SendPermits

# An instance is silent when its heartbeats are missing for this long.
REPLY_MS: Final = 2_000
# Until then instances that have a suspect under way may not have reported it to the hubs.
SETTLE_MS: Final = 400
# Longest time for which a hub keeps the lease of a send whose end is not reported.
MAX_LEASE_MS: Final = 30_000


class PermitExchangeDeps(NamedTuple):
    """Group what the exchange of permits needs; hubs returns the live hubs of a large fleet."""

    clock: Clock
    hub: PeerHub
    watch: CrashWatch
    me: str
    hubs: Callable[[], Collection[str]]


class PermitExchange:
    """Request permits for the suspects of this instance, and answer the requests of others."""

    def __init__(self, deps: PermitExchangeDeps) -> None:
        self._deps = deps
        self._permits = SendPermits(deps.me)
        # The hubs that keep a lease for a suspect of this instance.
        self._lessors: dict[str, Collection[str]] = {}
        deps.watch.connect_permits(self)
        deps.hub.subscribe(PermitRequest, self._on_request)
        deps.hub.subscribe(SuspectUnderWay, self._on_under_way)
        deps.hub.subscribe(SuspectEnded, self._on_ended)

    async def acquire(self, wanted: WantedSend, within_ms: int) -> bool:
        """Return whether a suspect may be sent now; the send must begin at once."""
        if self._has_conflicting_lease(wanted, self._deps.me) or not self._permits.begin(wanted):
            return False
        peers = self._peers()
        try:
            replies: list[Deferred[object]] = [
                Deferred.fromCoroutine(self._request(peer_id, wanted, within_ms))
                for peer_id in peers
            ]
            blocked = any(await gatherResults(replies))
        finally:
            went_first = self._permits.end(wanted)
        granted = went_first and not blocked
        if self._has_hubs():
            self._lessors[wanted.fingerprint] = peers
        if not granted:
            self.on_send_ended(lambda: wanted.fingerprint)
        return granted

    def on_send_ended(self, get_fingerprint: GetFingerprint) -> None:
        """Report the end of a suspect's last copy here to the hubs that keep a lease for it."""
        if not self._lessors:
            return
        fingerprint = get_fingerprint()
        lessors = self._lessors.get(fingerprint)
        if lessors is None or self._deps.watch.open_replicas(fingerprint):
            return
        del self._lessors[fingerprint]
        report = SuspectEnded(fingerprint, tuple(self._deps.watch.snapshot({fingerprint})))
        for hub_id in lessors:
            self._deps.hub.send(hub_id, report)

    def on_suspect(self, fingerprint: str) -> None:
        """Report the copies of a new suspect that are under way here to the hubs."""
        if not self._has_hubs():
            return
        hubs = self._peers()
        for replica in self._deps.watch.open_replicas(fingerprint):
            self._lessors[fingerprint] = hubs
            for hub_id in hubs:
                self._deps.hub.send(hub_id, SuspectUnderWay(fingerprint, replica, MAX_LEASE_MS))

    def _has_hubs(self) -> bool:
        plan = self._deps.hub.plan()
        return not plan.full_mesh and bool(plan.hubs)

    def _peers(self) -> list[str]:
        """Return whom to ask: the hubs of a large fleet, else all neighbours that are up."""
        if self._has_hubs():
            return [hub_id for hub_id in self._deps.hubs() if hub_id != self._deps.me]
        return [view.id for view in self._deps.hub.views() if view.neighbour and view.up]

    async def _request(self, peer_id: str, wanted: WantedSend, within_ms: int) -> bool:
        """Return whether a peer objects to a send."""
        watch = self._deps.watch
        losses = tuple(watch.snapshot({wanted.fingerprint}))

        def make_request(correlation_id: int) -> PermitRequest:
            return PermitRequest(
                correlation_id, wanted.fingerprint, wanted.replica, losses, within_ms
            )

        wait_ms = min(REPLY_MS, max(0, within_ms))
        reply: Any = await self._deps.hub.send_request(peer_id, make_request, wait_ms)
        if isinstance(reply, Err):
            # Before REPLY_MS a peer that has not replied may have the suspect under way.
            return reply.err_value is PeerError.TIMEOUT and wait_ms < REPLY_MS
        answer: PermitReply = reply.ok_value
        watch.on_reported(answer.losses, ())
        return answer.blocked

    def _on_request(self, peer_id: str, request: PermitRequest) -> None:
        watch = self._deps.watch
        watch.on_reported(request.losses, ())
        wanted = watch.wanted_send(request.fingerprint, request.replica)
        blocked = self._is_blocked(wanted, peer_id)
        if self._has_hubs() and not blocked:
            lease_ms = min(request.within_ms, MAX_LEASE_MS)
            self._permits.add_lease(wanted, peer_id, self._deps.clock.now() + lease_ms)
        losses = tuple(watch.snapshot({request.fingerprint}))
        self._deps.hub.send(peer_id, PermitReply(request.correlation_id, blocked, losses))

    def _is_blocked(self, wanted: WantedSend, holder: str) -> bool:
        watch = self._deps.watch
        return (
            watch.blocks(wanted)
            or (self._has_hubs() and watch.ms_since_loss(wanted.fingerprint) < SETTLE_MS)
            or self._has_conflicting_lease(wanted, holder)
            or self._permits.block(wanted, holder)
        )

    def _has_conflicting_lease(self, wanted: WantedSend, holder: str) -> bool:
        deps = self._deps
        return self._permits.is_leased(wanted, holder, deps.hub.live(), deps.clock.now())

    def _on_under_way(self, peer_id: str, report: SuspectUnderWay) -> None:
        wanted = self._deps.watch.wanted_send(report.fingerprint, report.replica)
        lease_ms = min(report.within_ms, MAX_LEASE_MS)
        self._permits.add_lease(wanted, peer_id, self._deps.clock.now() + lease_ms)

    def _on_ended(self, peer_id: str, report: SuspectEnded) -> None:
        self._deps.watch.on_reported(report.losses, ())
        self._permits.end_lease(report.fingerprint, peer_id)
