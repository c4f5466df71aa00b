"""Track the open calls that peers report outside heartbeats, and expire stale reports.

In a large fleet most instances exchange no heartbeats. Instances that place calls at a replica or
run batch there receive its open calls in separate CallsTold messages. A sender that crashes cannot
report that its calls have ended, so reports that are not repeated expire.
"""

from collections.abc import Callable
from typing import Final

from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import CallsTold, Heartbeat
from papayapier.policy.loads import LoadBook
from papayapier.store.watch import report_failure

# Open calls are reported again each second. After three missing reports the sender has crashed or
# has no open calls there.
TOLD_STANDS_MS: Final = 3_500
SWEEP_MS: Final = 1_000


def follow_calls(hub: PeerHub, book: LoadBook, clock: Clock) -> Deferred[None]:
    """Record the open calls of CallsTold messages; return the task that expires them."""
    told: dict[str, int] = {}

    def on_told(peer_id: str, message: CallsTold) -> None:
        now = clock.now()
        told[peer_id] = now
        book.on_peer_uses(peer_id, message.uses, now)

    def on_beat(peer_id: str, _beat: Heartbeat) -> None:
        told.pop(peer_id, None)

    async def forget() -> None:
        while True:
            await clock.sleep(SWEEP_MS)
            limit = clock.now() - TOLD_STANDS_MS
            for peer_id in [one for one, at in told.items() if at < limit]:
                del told[peer_id]
                book.on_peer_uses(peer_id, (), clock.now())

    hub.subscribe(CallsTold, on_told)
    hub.subscribe(Heartbeat, on_beat)
    task = Deferred.fromCoroutine(forget())
    task.addErrback(report_failure, "calls heard")
    return task


def follow_totals(
    hub: PeerHub, book: LoadBook, matters: Callable[[str], bool] = lambda _replica: True
) -> None:
    """Record the totals that hubs send, and drop those of instances that are no longer hubs.

    is_relevant selects the replicas for which totals are recorded.
    """
    told: set[str] = set()

    def on_beat(peer_id: str, beat: Heartbeat) -> None:
        if peer_id in hub.plan().hubs:
            told.add(peer_id)
            book.on_totals(peer_id, [use for use in beat.totals if matters(use.replica)])

    def on_change() -> None:
        for gone in told.difference(hub.plan().hubs):
            told.discard(gone)
            book.on_totals(gone, ())

    hub.subscribe(Heartbeat, on_beat)
    hub.on_change(on_change)
