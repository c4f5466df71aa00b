"""Take replicas out of use that fail or are far slower than their siblings."""

from collections.abc import Sequence
from typing import Final

from papayapier.upstream.api import Replica

FAILURES_IN_A_ROW: Final = 5
FIRST_EJECTION_MS: Final = 2_000
MAX_EJECTION_MS: Final = 60_000


class _Health:
    __slots__ = ("ejections", "failures", "until")

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.until = 0


class Outliers:
    """Track the ends of calls and say which replicas are ejected."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}
        self._siblings: dict[str, list[str]] = {}

    def on_listed(self, replicas: Sequence[Replica]) -> None:
        """Take the instance list's replicas."""
        upstreams: dict[str, list[str]] = {}
        for replica in replicas:
            upstreams.setdefault(replica.upstream, []).append(replica.id)
        self._siblings = {r.id: upstreams[r.upstream] for r in replicas}
        self._health = {r.id: self._health.get(r.id) or _Health() for r in replicas}

    def on_start(self, replica_id: str, now: int) -> None:
        """Count a call that was sent, which may be the probe of a returning replica."""

    def on_end(self, replica_id: str, ok: bool, first_token_ms: float | None, now: int) -> None:
        """Take the end of a call; not ok means that the replica failed it."""
        health = self._health.get(replica_id)
        if health is None:
            return
        if ok:
            health.failures = 0
            health.ejections = 0
            return
        health.failures += 1
        if health.failures >= FAILURES_IN_A_ROW and self._may_eject(replica_id, now):
            health.until = now + min(FIRST_EJECTION_MS << health.ejections, MAX_EJECTION_MS)
            health.ejections = min(health.ejections + 1, 16)
            health.failures = 0

    def ejected(self, replica_id: str, now: int) -> bool:
        """Tell whether a replica is out of use."""
        health = self._health.get(replica_id)
        return health is not None and now < health.until

    def _may_eject(self, replica_id: str, now: int) -> bool:
        siblings = self._siblings[replica_id]
        out = sum(1 for sibling in siblings if self.ejected(sibling, now))
        return 2 * (out + 1) < len(siblings)
