"""Decide when requests that one more loss would quarantine may be sent: one at a time.

Motivation: a frequent request and a request that ends its replicas are open together at each of the
few replicas of a service. After two ends both have the same losses, and the next send tells them
apart only if the other is not open beside it: one is answered, the other ends a third replica. Sent
together, both are quarantined, and the frequent request for as long as the other.

So fingerprints that share a lost replica (suspects) get send windows one after the other, in the
order of their names and counted from their last loss, which every instance knows. Requests are sent
in the first part of a window; in the rest they are answered, or end their replica.
"""

from collections.abc import Collection
from typing import Final

# Longer than most calls, as they are to be answered within the window.
WINDOW_MS: Final = 400
SEND_PERIOD_MS: Final = 200
# Bounds how long a suspect waits for its first window; further suspects share windows.
MAX_WINDOWS: Final = 8


class _Suspect:
    """Record where and when a fingerprint had losses, and when it was last sent here."""

    __slots__ = ("last_ms", "replicas", "sent_ms")

    def __init__(self) -> None:
        self.replicas: frozenset[str] = frozenset()
        self.last_ms = 0
        self.sent_ms: int | None = None

    def pause_ms(self, now: int) -> int:
        """Return for how long nothing else is sent here after a request was sent in a window."""
        return 0 if self.sent_ms is None else max(0, self.sent_ms + WINDOW_MS - now)


class SendWindows:
    """Track the fingerprints that one more loss would quarantine."""

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}

    def add_suspect(self, fingerprint: str, replicas: Collection[str], last_ms: int) -> None:
        """Record the replicas lost under a fingerprint, and the time of its last loss."""
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.replicas = frozenset(replicas)
        suspect.last_ms = last_ms

    def remove_suspect(self, fingerprint: str) -> None:
        """Remove a fingerprint that was answered, is quarantined, or was forgotten."""
        self._suspects.pop(fingerprint, None)

    def suspects(self) -> frozenset[str]:
        """Return all fingerprints that one more loss would quarantine."""
        return frozenset(self._suspects)

    def other_suspects(self, fingerprint: str) -> list[str]:
        """Return the other suspects: fingerprints that share a lost replica with this one."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return []
        return [
            name
            for name, other in self._suspects.items()
            if name != fingerprint and not suspect.replicas.isdisjoint(other.replicas)
        ]

    def wait_ms(self, fingerprint: str, now: int) -> int:
        """Return when a request may be sent, in ms; 0 for now, or without other suspects."""
        others = self.other_suspects(fingerprint)
        if not others:
            return 0
        last_ms = max(self._suspects[name].last_ms for name in (fingerprint, *others))
        pause_ms = self._suspects[fingerprint].pause_ms(now)
        return pause_ms + ms_to_window(fingerprint, others, now + pause_ms - last_ms)

    def try_send(self, fingerprint: str, now: int) -> bool:
        """Tell whether a request may be sent now, and use its send window if so."""
        if self.wait_ms(fingerprint, now):
            return False
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.sent_ms = now
        return True


def ms_to_window(fingerprint: str, others: Collection[str], since_ms: int) -> int:
    """Return when a fingerprint's send window begins, in ms from now; 0 within it.

    since_ms counts from the last loss of any of the suspects. Nothing is sent in the first
    WINDOW_MS, as requests sent before it are still open.
    """
    windows = min(len(others) + 1, MAX_WINDOWS)
    position = sum(other < fingerprint for other in others) % windows
    first_ms = WINDOW_MS * (1 + position)
    if since_ms < first_ms:
        return first_ms - since_ms
    cycle_ms = windows * WINDOW_MS
    offset_ms = (since_ms - first_ms) % cycle_ms
    return 0 if offset_ms < SEND_PERIOD_MS else cycle_ms - offset_ms
