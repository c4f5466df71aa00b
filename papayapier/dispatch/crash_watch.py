"""Track the results of sends, and quarantine requests under which replicas are lost.

Every kind of send is tracked: a request's retries, its caller's retries, resumed streams and items
of jobs. Losses reported by peers count like those observed here. Sends of the same request are
recognised by its fingerprint, a digest of its contents.
"""

from collections.abc import Callable, Collection, Iterable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any, Final, NamedTuple, Protocol

from result import Ok, Result

from papayapier import events
from papayapier.clock import MS_PER_S, Clock, Timer
from papayapier.dispatch.lost_sends import is_lost, log_lost_send, no_parts
from papayapier.dispatch.part_watch import PROBE_PREFIX, PartWatch
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.lasting_tasks import call_guarded
from papayapier.metrics import Metrics
from papayapier.policy.crash_quarantine import (
    MAX_LOSSES,
    MAX_LOSSES_ANSWERED,
    CrashTracker,
    ReplicaLoss,
)
from papayapier.policy.ended_replicas import EndedReplicas
from papayapier.policy.item_losses import ItemLosses
from papayapier.policy.open_sends import OpenSends, WantedSend
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent

# Far below the time for which a loss counts. No timer runs while there are no losses.
SWEEP_MS: Final = 1_000

# Returns the request fingerprint; the digest is computed only when it is needed.
GetFingerprint = Callable[[], str]
# Returns the parts of a prompt that other prompts may share; decoded only when they are needed.
GetParts = Callable[[], tuple[str, ...]]


def ignore_suspect(_fingerprint: str) -> None:
    """Do nothing; the default of CrashListeners.on_suspect."""


class CrashListeners(NamedTuple):
    """Hold the callbacks for losses and answers observed here and for new quarantines.

    on_suspect is called with a request that one more loss would quarantine.
    """

    on_loss: Callable[[ReplicaLoss], None]
    on_answered: Callable[[str], None]
    on_quarantined: Callable[[str], None]
    on_suspect: Callable[[str], None] = ignore_suspect


class PermitSource(Protocol):
    """Describe how instances agree on which of them sends a suspect."""

    async def acquire(self, wanted: WantedSend, within_ms: int) -> bool:
        """Return whether a suspect may be sent now."""

    def on_send_ended(self, get_fingerprint: GetFingerprint) -> None:
        """Process the end of an online send, or that a permit was not used."""

    def on_suspect(self, fingerprint: str) -> None:
        """Process that a request has become a suspect."""


class CrashWatch:
    """Own the replica losses and notify the listeners of changes."""

    def __init__(self, clock: Clock, metrics: Metrics, list_is_fresh: Callable[[], bool]) -> None:
        """Create a tracker; list_is_fresh returns whether the list of replicas is up to date."""
        self._clock = clock
        self._metrics = metrics
        self._list_is_fresh = list_is_fresh
        self._tracker = CrashTracker()
        self._item_losses = ItemLosses()
        self._ended = EndedReplicas()
        # The same for the parts of prompts.
        self.parts = PartWatch(clock, metrics)
        self._quarantined: frozenset[str] = frozenset()
        self._reviewed_changes = 0
        self._timer: Timer | None = None
        self._listeners: CrashListeners | None = None
        self._permits: PermitSource | None = None
        self._open_sends = OpenSends()
        self._suspects: frozenset[str] = frozenset()

    def connect(self, listeners: CrashListeners) -> None:
        """Set the listeners."""
        self._listeners = listeners

    def connect_permits(self, permits: PermitSource) -> None:
        """Set how instances agree on which of them sends a suspect."""
        self._permits = permits
        self.parts.connect_permits(permits)

    def refusal(self, request_id: str, get_fingerprint: GetFingerprint) -> Refusal | None:
        """Return the refusal of a request that is quarantined, or None."""
        if self._tracker.is_empty():
            return None
        fingerprint = get_fingerprint()
        quarantine_ms = self._tracker.quarantine_ms(fingerprint, self._clock.now())
        return self._refuse(request_id, fingerprint) if quarantine_ms else None

    def retry_spacing_ms(self, get_fingerprint: GetFingerprint) -> int:
        """Return the minimum pause before a request that one more loss would quarantine, in ms."""
        return 0 if self._tracker.is_empty() else self._tracker.suspect_pause_ms(get_fingerprint())

    def send_window_wait_ms(self, get_fingerprint: GetFingerprint) -> int:
        """Return the wait before a request that one more loss would quarantine, in ms."""
        return (
            0
            if self._tracker.is_empty()
            else self._tracker.send_windows.wait_ms(get_fingerprint(), self._clock.now())
        )

    def take_send_window(self, get_fingerprint: GetFingerprint) -> bool:
        """Return whether a request may be sent now, and take its send window if it needs one."""
        return self._tracker.is_empty() or self._tracker.send_windows.try_send(
            get_fingerprint(), self._clock.now()
        )

    def suspects(self, get_fingerprint: GetFingerprint) -> list[str]:
        """Return the fingerprints that share replica losses, and send windows, with a request."""
        return self._tracker.send_windows.other_suspects(get_fingerprint())

    def is_suspect(self, get_fingerprint: GetFingerprint) -> bool:
        """Return whether a request may be sent with a permit only."""
        if self._tracker.is_empty():
            return False
        fingerprint = get_fingerprint()
        now = self._clock.now()
        return self._tracker.is_suspect(fingerprint) or self._tracker.is_undecided(fingerprint, now)

    def is_free_after_loss(self, get_fingerprint: GetFingerprint, replica_id: str) -> bool:
        """Return whether a request could still be sent without a permit after one more loss."""
        if self._tracker.is_empty():
            return True
        fingerprint = get_fingerprint()
        lost = {*self._tracker.lost_replicas(fingerprint), replica_id}
        answered = self._tracker.recently_answered([fingerprint], self._clock.now())
        return len(lost) < (MAX_LOSSES_ANSWERED if answered else MAX_LOSSES - 1)

    async def acquire_permit(
        self, get_fingerprint: GetFingerprint, replica_id: str, within_ms: int
    ) -> bool:
        """Return whether a suspect may be sent to a replica now; the send must begin at once."""
        fingerprint = get_fingerprint()
        if self._tracker.is_undecided(fingerprint, self._clock.now()) or self.blocks(
            self.wanted_send(fingerprint, replica_id)
        ):
            return False
        if self._permits is None:
            return True
        granted = await self._permits.acquire(self.wanted_send(fingerprint, replica_id), within_ms)
        if not granted:
            return False
        if not self._may_use_permit(fingerprint, replica_id):
            self._permits.on_send_ended(lambda: fingerprint)
            return False
        return True

    def return_permit(self, get_fingerprint: GetFingerprint) -> None:
        """Process that a request is not sent after all."""
        if self._permits is not None:
            self._permits.on_send_ended(get_fingerprint)

    def _may_use_permit(self, fingerprint: str, replica_id: str) -> bool:
        """Return whether what came with the replies of the others still allows a send."""
        now = self._clock.now()
        return not (
            self._tracker.quarantine_ms(fingerprint, now)
            or self._tracker.is_undecided(fingerprint, now)
            or self.blocks(self.wanted_send(fingerprint, replica_id))
        )

    def wanted_send(self, fingerprint: str, replica_id: str) -> WantedSend:
        """Return what decides whether a suspect may be sent to a replica."""
        return WantedSend(
            fingerprint, frozenset(self._tracker.lost_replicas(fingerprint)), replica_id
        )

    def blocks(self, wanted: WantedSend) -> bool:
        """Return whether sends that are under way here forbid a suspect or a probe."""
        if wanted.fingerprint.startswith(PROBE_PREFIX):
            return self.parts.blocks_probe(wanted.fingerprint, wanted.replica)
        return self._open_sends.block(wanted, self._tracker.shares_loss)

    def open_replicas(self, fingerprint: str) -> list[str]:
        """Return the replicas at which copies of a request, or probes, are under way from here."""
        if fingerprint.startswith(PROBE_PREFIX):
            return self.parts.open_replicas(fingerprint)
        return self._open_sends.replicas_of(fingerprint)

    def ms_since_loss(self, fingerprint: str) -> int:
        """Return the time since the last loss of a fingerprint, or of a probe's part, in ms."""
        if fingerprint.startswith(PROBE_PREFIX):
            return self.parts.ms_since_loss(fingerprint)
        return self._tracker.ms_since_loss(fingerprint, self._clock.now())

    @contextmanager
    def track_send(
        self, get_fingerprint: GetFingerprint, replica: Replica, request_id: str
    ) -> Iterator[None]:
        """Record that a send of an online request is under way, until its result is recorded."""
        send = self._open_sends.add(get_fingerprint, replica.id)
        try:
            yield
        finally:
            self._open_sends.remove(send)
            self.parts.on_send_ended(request_id)
            if self._permits is not None:
                self._permits.on_send_ended(send.fingerprint)

    def item_pause_ms(self, get_fingerprint: GetFingerprint) -> int:
        """Return for how long an item may not be sent, in ms; 0 if it may."""
        if self._tracker.is_empty() and self._item_losses.is_empty():
            return 0
        fingerprint, now = get_fingerprint(), self._clock.now()
        return max(
            self._tracker.item_pause_ms(fingerprint, now),
            self._item_losses.pause_ms(fingerprint, now),
        )

    def is_item_suspect(self, get_fingerprint: GetFingerprint) -> bool:
        """Return whether several replicas were lost under an item."""
        return not self._item_losses.is_empty() and self._item_losses.is_suspect(get_fingerprint())

    def on_item_begun(self, item_id: str, replica_id: str, get_fingerprint: GetFingerprint) -> None:
        """Record that an item is sent."""
        self.parts.on_item_begun(item_id, replica_id)
        if not self._item_losses.is_empty():
            self._item_losses.on_begun(item_id, get_fingerprint())

    def on_item_ended(self, item_id: str) -> None:
        """Record that the send of an item has ended, after its result."""
        self._item_losses.on_ended(item_id)
        self.parts.on_send_ended(item_id)

    def _refuse(self, request_id: str, fingerprint: str) -> Refusal:
        replicas = self._tracker.lost_replicas(fingerprint)
        retry_after_ms = self._tracker.retry_after_ms(fingerprint, self._clock.now())
        events.emit(
            events.REQUEST_HELD,
            request=request_id,
            work=fingerprint,
            replicas=replicas,
            return_ms=retry_after_ms,
        )
        reason = (
            f"{len(replicas)} replicas were lost while they ran the same request; "
            f"it is not sent for {retry_after_ms // MS_PER_S} s"
        )
        return not_run_refusal(ErrorKind.ENDS_REPLICAS, reason, retry_after_ms)

    def on_send_finished(
        self,
        request_id: str,
        get_fingerprint: GetFingerprint,
        replica: Replica,
        result: "Result[Any, Failure]",
        started_ms: int,
        get_parts: GetParts = no_parts,
        first_data_ms: int = 0,
    ) -> None:
        """Record the result of a send; first_data_ms is 0 if no part of its answer arrived."""
        if isinstance(result, Ok) and is_answer(result.ok_value):
            self.parts.on_answered(replica.upstream, get_parts)
        if _is_alive(result):
            self._tracker.on_alive(replica.id, started_ms)
            self._record_answer(get_fingerprint())
        elif self._is_loss(replica, result):
            failure = result.unwrap_err()
            answering_ms = self._log_loss(
                request_id, get_fingerprint, replica, failure, get_parts, first_data_ms
            )
            self._record_loss(get_fingerprint(), replica, failure)
            if failure.kind is FailureKind.TRUNCATED and not self._tracker.is_leaving(replica.id):
                self.parts.on_lost(request_id, replica, get_parts, answering_ms)
        self._review_if_changed()

    def on_item_finished(
        self,
        item_id: str,
        get_fingerprint: GetFingerprint,
        replica: Replica,
        result: "Result[Any, Failure]",
        started_ms: int,
        get_parts: GetParts = no_parts,
        first_data_ms: int = 0,
    ) -> None:
        """Record the result of a send of an item, which says little about online requests."""
        if isinstance(result, Ok) and is_answer(result.ok_value):
            self.parts.on_item_answered(replica.upstream, get_parts)
        if _is_alive(result):
            self._tracker.on_alive(replica.id, started_ms)
            fingerprint = get_fingerprint()
            self._item_losses.on_answered(fingerprint)
            if not self._tracker.quarantine_ms(fingerprint, self._clock.now()):
                self._record_answer(fingerprint)
        elif self._is_loss(replica, result):
            failure = result.unwrap_err()
            answering_ms = self._log_loss(
                item_id, get_fingerprint, replica, failure, get_parts, first_data_ms
            )
            if not self._tracker.is_leaving(replica.id):
                self._item_losses.on_lost(get_fingerprint(), self._clock.now())
                if failure.kind is FailureKind.TRUNCATED:
                    self.parts.on_item_lost(item_id, replica, get_parts, answering_ms)
        self._review_if_changed()

    def _is_loss(self, replica: Replica, result: "Result[Any, Failure]") -> bool:
        """Return whether a send may have ended its replica; record a replica that has ended."""
        failure = result.unwrap_err()
        if failure.connection_refused:
            self._on_refused(replica.id)
            return False
        return is_lost(failure)

    def _log_loss(
        self,
        request_id: str,
        get_fingerprint: GetFingerprint,
        replica: Replica,
        failure: Failure,
        get_parts: GetParts,
        first_data_ms: int,
    ) -> int | None:
        """Log a lost send; return for how long its answer had been arriving, None if not at all."""
        answering_ms = self._clock.now() - first_data_ms if first_data_ms else None
        log_lost_send(request_id, get_fingerprint(), replica, failure, get_parts(), answering_ms)
        if answering_ms is None:
            self._metrics.sends_lost_unanswered.labels(failure.kind.value).inc()
        self._metrics.sends_lost.labels(failure.kind.value).inc()
        return answering_ms

    def on_poll_failed(self, replica: Replica, failure: Failure) -> None:
        """Record the failure of a call other than a send, such as a load poll."""
        if failure.connection_refused:
            self._on_refused(replica.id)

    def on_replica_ended(self, replica_id: str) -> None:
        """Record that nothing listens at a replica's address, or that another replica has it."""
        self._ended.add(replica_id)

    def _on_refused(self, replica_id: str) -> None:
        self.on_replica_ended(replica_id)
        self._tracker.on_ended(replica_id)

    def has_ended(self, replica_id: str) -> bool:
        """Return whether a replica has certainly ended."""
        return self._ended.has(replica_id)

    def on_reported(
        self, losses: Iterable[ReplicaLoss], answered: Iterable[str]
    ) -> list[ReplicaLoss]:
        """Record losses and answers from a peer or a disk; return the losses not known before."""
        new_losses = self._tracker.on_losses_received(losses, self._clock.now())
        for fingerprint in answered:
            self._tracker.on_answered(fingerprint)
        self._review_if_changed()
        return new_losses

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined."""
        return fingerprint in self._quarantined

    def recently_answered(self, fingerprints: Iterable[str]) -> list[str]:
        """Return the fingerprints answered just before their losses, or recently here."""
        return self._tracker.recently_answered(fingerprints, self._clock.now())

    def on_recently_answered(self, fingerprints: Iterable[str], peer_id: str) -> list[str]:
        """Record that a peer answered requests recently; return those whose losses count less."""
        cleared = self._tracker.on_answers_received(fingerprints, self._clock.now())
        for fingerprint in cleared:
            events.emit(events.WORK_CLEARED, work=fingerprint, peer=peer_id)
        self._review_if_changed()
        return cleared

    def on_listed(self, listed: Collection[str], leaving: Collection[str]) -> None:
        """Replace the list of replicas, and of those that leave as planned."""
        self._tracker.on_listed(listed, leaving)

    def snapshot(self, only: Collection[str] = ()) -> list[ReplicaLoss]:
        """Return the losses of all requests, or of the given fingerprints."""
        return self._tracker.snapshot(self._clock.now(), only)

    def still_counts(self, loss: ReplicaLoss) -> bool:
        """Return whether a loss still counts."""
        return self._tracker.is_current(loss)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.parts.close()

    def _record_answer(self, fingerprint: str) -> None:
        self._tracker.record_answer(fingerprint, self._clock.now())
        if self._tracker.on_answered(fingerprint) and self._listeners is not None:
            self._listeners.on_answered(fingerprint)

    def _record_loss(self, fingerprint: str, replica: Replica, failure: Failure) -> None:
        silent = failure.kind is not FailureKind.TRUNCATED
        is_new = self._tracker.on_replica_lost(fingerprint, replica.id, self._clock.now(), silent)
        if is_new and self._listeners is not None:
            self._listeners.on_loss(ReplicaLoss(fingerprint, replica.id, 0, silent=silent))

    def _review_if_changed(self) -> None:
        if self._reviewed_changes != self._tracker.change_count:
            self._review()

    def _review(self) -> None:
        """Notify of requests that have entered or left quarantine."""
        self._reviewed_changes = self._tracker.change_count
        before, self._quarantined = self._quarantined, self._tracker.quarantined(self._clock.now())
        for fingerprint in sorted(self._quarantined - before):
            replicas = self._tracker.lost_replicas(fingerprint)
            events.emit(events.WORK_HELD, work=fingerprint, replicas=replicas)
            if self._listeners is not None:
                self._listeners.on_quarantined(fingerprint)
        for fingerprint in sorted(before - self._quarantined):
            events.emit(events.WORK_RELEASED, work=fingerprint)
        self._notify_of_suspects()
        self._metrics.works_held.set(len(self._quarantined))
        if not self._tracker.is_empty() and (self._timer is None or not self._timer.active()):
            self._timer = self._clock.call_later(SWEEP_MS, self._sweep)

    def _notify_of_suspects(self) -> None:
        before, self._suspects = self._suspects, self._tracker.suspects()
        for fingerprint in sorted(self._suspects - before):
            if self._permits is not None:
                self._permits.on_suspect(fingerprint)
            if self._listeners is not None:
                self._listeners.on_suspect(fingerprint)

    def _sweep(self) -> None:
        if not call_guarded("sweep of losses", self._sweep_once):
            self._timer = self._clock.call_later(SWEEP_MS, self._sweep)

    def _sweep_once(self) -> None:
        self._tracker.sweep(self._clock.now(), self._list_is_fresh())
        self._review()


def is_answer(answer: Any) -> bool:
    """Return whether what a replica sent is the complete answer of a request that succeeded."""
    status = getattr(answer, "status", 0)
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


def _is_alive(result: "Result[Any, Failure]") -> bool:
    """Return whether the replica itself answered, be it that the call failed."""
    if isinstance(result, Ok):
        return True
    failure = result.err_value
    return failure.kind is FailureKind.STATUS and failure.sent is Sent.MAYBE
