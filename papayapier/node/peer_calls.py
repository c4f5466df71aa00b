"""Track the open calls that peers report outside heartbeats, and expire stale reports.

In a large fleet most instances exchange no heartbeats. Instances that place calls at a replica or
run batch there receive its open calls in separate CallsTold messages. A sender that crashes cannot
report that its calls have ended, so reports that are not repeated expire.
"""

from collections.abc import Callable
from typing import Final

from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.lasting_tasks import run_always
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import CallsTold, Heartbeat
from papayapier.policy.loads import LoadTracker

# Open calls are reported again each second. After three missing reports the sender has crashed or
# has no open calls there.
REPORT_TTL_MS: Final = 3_500
SWEEP_MS: Final = 1_000


def track_peer_calls(hub: PeerHub, load_tracker: LoadTracker, clock: Clock) -> Deferred[None]:
    """Record the open calls of CallsTold messages; return the task that expires them."""
    last_report_ms: dict[str, int] = {}

    def on_calls(peer_id: str, message: CallsTold) -> None:
        now = clock.now()
        last_report_ms[peer_id] = now
        load_tracker.on_peer_calls(peer_id, message.uses, now)

    def on_heartbeat(peer_id: str, _heartbeat: Heartbeat) -> None:
        last_report_ms.pop(peer_id, None)

    async def expire() -> None:
        while True:
            await clock.sleep(SWEEP_MS)
            oldest_ms = clock.now() - REPORT_TTL_MS
            for peer_id in [peer for peer, at in last_report_ms.items() if at < oldest_ms]:
                del last_report_ms[peer_id]
                load_tracker.on_peer_calls(peer_id, (), clock.now())

    hub.subscribe(CallsTold, on_calls)
    hub.subscribe(Heartbeat, on_heartbeat)
    return run_always(clock, "peer calls", expire)


def track_totals(
    hub: PeerHub,
    load_tracker: LoadTracker,
    is_relevant: Callable[[str], bool] = lambda _replica: True,
) -> None:
    """Record the totals that hubs send, and drop those of instances that are no longer hubs.

    is_relevant selects the replicas for which totals are recorded.
    """
    senders: set[str] = set()

    def on_heartbeat(peer_id: str, heartbeat: Heartbeat) -> None:
        if peer_id in hub.plan().hubs:
            senders.add(peer_id)
            load_tracker.on_totals(
                peer_id, [use for use in heartbeat.totals if is_relevant(use.replica)]
            )

    def on_change() -> None:
        for former_hub in senders.difference(hub.plan().hubs):
            senders.discard(former_hub)
            load_tracker.on_totals(former_hub, ())

    hub.subscribe(Heartbeat, on_heartbeat)
    hub.on_change(on_change)
