"""Count the messages between instances, and log frames that cannot be decoded."""

from collections import Counter
from typing import TYPE_CHECKING, Final

from papayapier import events
from papayapier.metrics import Metrics
from papayapier.peer.messages import Message

if TYPE_CHECKING:
    from prometheus_client import Counter as PromCounter

MAX_REFUSAL_REASONS: Final = 256


class MessageCounts:
    """Own one instance's counters of peer messages."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        # Looking up a counter by its labels costs more than incrementing it.
        self._counters: dict[tuple[type[Message], str], tuple[PromCounter, PromCounter]] = {}
        self._refused: Counter[str] = Counter()

    def count(self, message: Message, direction: str, size: int) -> None:
        """Count one message and its bytes."""
        counters = self._counters.get((type(message), direction))
        if counters is None:
            kind = type(message).__name__
            counters = (
                self._metrics.peer_messages.labels(kind=kind, direction=direction),
                self._metrics.peer_bytes.labels(direction=direction),
            )
            self._counters[type(message), direction] = counters
        counters[0].inc()
        counters[1].inc(size)

    def count_refused(self, reason: str) -> None:
        """Count a frame that cannot be decoded, and log each reason only once.

        During an upgrade a newer release may send many messages per second of kinds that this
        one does not know; one log line for each would hide every other event.
        """
        self._metrics.peer_messages.labels(kind="refused", direction="received").inc()
        if reason in self._refused or len(self._refused) < MAX_REFUSAL_REASONS:
            self._refused[reason] += 1
        if self._refused[reason] == 1:
            events.emit(events.PEER_REFUSED, why=reason)
