"""Tell a peer that is down from one that only this instance cannot reach.

Instances that share work take over that of an unreachable peer. Where two of them are partitioned
from each other and still reach all others, each would take over all of the other's work: items run
twice, and both fill the slots that one of them should leave to online calls. Reports of third
instances tell the two cases apart: their heartbeats name the peers that they cannot reach.
"""

from collections.abc import Collection


class ReachabilityReports:
    """Keep the peers that each peer cannot reach, from its last heartbeat."""

    def __init__(self) -> None:
        self._unreachable: dict[str, frozenset[str]] = {}

    def on_report(self, peer_id: str, unreachable: Collection[str]) -> None:
        """Record which peers a peer cannot reach."""
        self._unreachable[peer_id] = frozenset(unreachable)

    def is_reachable(self, peer_id: str, live: Collection[str]) -> bool:
        """Tell whether most of the other live instances reach a peer; False without any reports."""
        reports = [
            self._unreachable[other]
            for other in live
            if other in self._unreachable and other != peer_id
        ]
        reaching = sum(peer_id not in unreachable for unreachable in reports)
        return 2 * reaching > len(reports)
