"""Remember the replicas that have certainly ended, so that nothing waits for them.

A replica that sends nothing may go on. One at whose address nothing listens any more, or which
another replica has, will not.
"""

from typing import Final

MAX_ENDED: Final = 1_000


class EndedReplicas:
    """Hold the replicas that ended last, by id."""

    def __init__(self) -> None:
        self._ids: dict[str, None] = {}

    def add(self, replica_id: str) -> None:
        """Add a replica."""
        self._ids[replica_id] = None
        if len(self._ids) > MAX_ENDED:
            del self._ids[next(iter(self._ids))]

    def has(self, replica_id: str) -> bool:
        """Return whether a replica has ended."""
        return replica_id in self._ids
