"""Detect without a store call that a job has no new group of results.

Motivation: callers read each job twice a second, and most reads return nothing new. Each such read
took a call to the store; these were nine of ten store calls under heavy load. The writer of a group
notifies every instance at once, so a store call is only needed to rule out a lost notification.

Notifications are numbered for this reason. A writer counts the notifications that it has sent, and
its heartbeats carry the count. A reader that has received as many has missed none up to a moment
before the heartbeat. Otherwise it reads the store: when a notification is missing, or when a writer
is unreachable, has restarted, or does not know whether one of its writes took effect.

A writer that is gone notifies of nothing any more. Its last write may have taken effect without a
notification, or may do so later. So no read that is older than the end of a writer counts.
"""

from collections import deque
from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from papayapier import events
from papayapier.peer.messages import UNCONFIRMED, Heartbeat, JobNotification

# A write that takes longer counts as unconfirmed; the store usually responds in 4 ms. A heartbeat
# covers all writes begun at least this long before it.
MAX_WRITE_MS: Final = 200
# How long the confirmation by all writers is valid. Heartbeats every 400 ms renew it in time. A
# result shown by one instance is then shown by all instances 0.7 s later; the platform allows one
# second.
CONFIRMATION_VALID_MS: Final = 700
# Each notification is repeated in three or four heartbeats, so that losing one does no harm.
REPEAT_MS: Final = 1_500
MAX_REPEATED: Final = 64
# The store may carry out a write this long after its writer has ended.
LATE_WRITE_MS: Final = 5_000
# An unreachable writer counts for this long, twice the longest network partition observed in test
# runs: it may be alive and write groups while only other instances receive its messages.
FORGET_WRITER_MS: Final = 20_000


class SentNotifications:
    """Count the notifications that this instance has sent, and track its unconfirmed writes."""

    __slots__ = ("_count", "_recent", "_unconfirmed")

    def __init__(self) -> None:
        self._count = 0
        self._recent: deque[tuple[int, JobNotification]] = deque(maxlen=MAX_REPEATED)
        self._unconfirmed: dict[str, int] = {}

    def write_begun(self, job_id: str, now: int) -> None:
        """Record that a write of a job has begun; a repeated write keeps the first start time."""
        self._unconfirmed.setdefault(job_id, now)

    def write_settled(self, job_id: str) -> None:
        """Record that the outcome of a job's write is known."""
        self._unconfirmed.pop(job_id, None)

    def next_notification(self, job_id: str, groups: int, now: int) -> JobNotification:
        """Create and count the next notification."""
        self._count += 1
        notification = JobNotification(self._count, job_id, groups)
        self._recent.append((now, notification))
        events.emit(events.GROUPS_NOTIFIED, job=job_id, groups=groups, number=self._count)
        return notification

    def recent(self, now: int) -> tuple[JobNotification, ...]:
        """Return recent notifications for a heartbeat; several heartbeats repeat each of them."""
        return tuple(
            notification for sent_ms, notification in self._recent if now - sent_ms <= REPEAT_MS
        )

    def count(self, now: int) -> int:
        """Return the number of notifications, or UNCONFIRMED while a write is overdue."""
        if any(now - begun_ms > MAX_WRITE_MS for begun_ms in self._unconfirmed.values()):
            return UNCONFIRMED
        return self._count


class _Writer(NamedTuple):
    """Hold the state known of one writer.

    received counts its notifications without a gap. complete_since_ms is the time from which on
    none was missed, confirmed_ms the time of its last heartbeat with a matching count.
    """

    boot: int
    received: int
    complete_since_ms: int
    confirmed_ms: int


class ReceivedNotifications:
    """Decide from the writers' notifications whether a read of the store is still current.

    writers returns the instances that may write results, live all instances considered live. A
    live writer counts even if none of its heartbeats arrive here, as is common in a large fleet.
    """

    def __init__(
        self, writers: Callable[[], Collection[str]], live: Callable[[], Collection[str]]
    ) -> None:
        self._writers = writers
        self._live = live
        self._states: dict[str, _Writer] = {}
        self._last_received_ms: dict[str, int] = {}
        # The writers whose notifications counted last.
        self._counted: set[str] = set()
        # Reads that began earlier may lack a group of a writer that has ended since.
        self._valid_from_ms = 0

    def on_notification(self, writer: str, number: int) -> None:
        """Handle a writer's notification of a new group."""
        state = self._states.get(writer)
        if state is not None and number == state.received + 1:
            self._states[writer] = state._replace(received=number)

    def on_heartbeat(self, writer: str, heartbeat: Heartbeat, now: int) -> None:
        """Handle a writer's heartbeat."""
        self._last_received_ms[writer] = now
        if writer in self._writers():
            self._counted.add(writer)
        if heartbeat.notification_count == UNCONFIRMED:
            return
        state = self._states.get(writer)
        if state is not None and state.boot != heartbeat.boot:
            self._on_ended(writer, now + LATE_WRITE_MS)
        if state is not None and state.boot == heartbeat.boot:
            for notification in heartbeat.notifications:
                self.on_notification(writer, notification.number)
            state = self._states[writer]
        if (
            state is None
            or state.boot != heartbeat.boot
            or heartbeat.notification_count > state.received
        ):
            # Missed groups are only visible in the store, so only reads begun from now on count.
            self._states[writer] = _Writer(heartbeat.boot, heartbeat.notification_count, now, now)
            return
        self._states[writer] = state._replace(confirmed_ms=now)

    def is_read_current(self, read_ms: int, now: int) -> bool:
        """Return whether no group was missed since a read of the store that began at read_ms."""
        live = self._live()
        listed = set(self._writers())
        writers = {
            writer_id
            for writer_id in listed
            if writer_id in live or not self._is_forgotten(writer_id, now)
        }
        for writer in self._counted - writers:
            # A writer is forgotten only long after its end; one that is not listed may have just
            # ended.
            self._on_ended(writer, now if writer in listed else now + LATE_WRITE_MS)
        self._counted = writers
        if not writers or read_ms < self._valid_from_ms:
            return False
        for writer in writers:
            state = self._states.get(writer)
            if state is None or read_ms < state.complete_since_ms + MAX_WRITE_MS:
                return False
            if now - (state.confirmed_ms - MAX_WRITE_MS) > CONFIRMATION_VALID_MS:
                return False
        return True

    def _on_ended(self, writer: str, valid_from_ms: int) -> None:
        """Invalidate the reads of the store that began before a time."""
        self._valid_from_ms = max(self._valid_from_ms, valid_from_ms)
        events.emit(events.WRITER_ENDED, writer=writer, valid_from_ms=self._valid_from_ms)

    def _is_forgotten(self, writer: str, now: int) -> bool:
        last_ms = self._last_received_ms.setdefault(writer, now)
        return now - last_ms > FORGET_WRITER_MS
