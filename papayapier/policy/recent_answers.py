"""Remember which works were answered lately, for a bounded number of them."""


class RecentAnswers:
    """Hold when each work was last answered, the latest last."""

    __slots__ = ("_at_ms", "_lasts_ms", "_most")

    def __init__(self, most: int, lasts_ms: int) -> None:
        self._most = most
        self._lasts_ms = lasts_ms
        self._at_ms: dict[str, int] = {}

    def note(self, work: str, now: int) -> None:
        """Take that a work was answered."""
        self._at_ms.pop(work, None)
        self._at_ms[work] = now
        if len(self._at_ms) > self._most:
            del self._at_ms[next(iter(self._at_ms))]

    def knows(self, work: str, now: int) -> bool:
        """Tell whether a work was answered lately."""
        at_ms = self._at_ms.get(work)
        return at_ms is not None and now - at_ms <= self._lasts_ms
