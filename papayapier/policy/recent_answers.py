"""Remember which requests were answered recently, for a bounded number of fingerprints."""


class RecentAnswers:
    """Keep the time of each fingerprint's last answer, the latest last."""

    __slots__ = ("_at_ms", "_expiry_ms", "_max_entries")

    def __init__(self, max_entries: int, expiry_ms: int) -> None:
        self._max_entries = max_entries
        self._expiry_ms = expiry_ms
        self._at_ms: dict[str, int] = {}

    def note(self, fingerprint: str, now: int) -> None:
        """Record that a request was answered."""
        self._at_ms.pop(fingerprint, None)
        self._at_ms[fingerprint] = now
        if len(self._at_ms) > self._max_entries:
            del self._at_ms[next(iter(self._at_ms))]

    def knows(self, fingerprint: str, now: int) -> bool:
        """Tell whether a request was answered recently."""
        at_ms = self._at_ms.get(fingerprint)
        return at_ms is not None and now - at_ms <= self._expiry_ms
