"""Share with the other instances which requests caused replica losses.

A request that ends replicas may be retried at any instance, so each instance must know the
outcomes of all sends. Requests are identified by their fingerprint. In a small fleet each
instance reports its losses to all others. In a large one it reports them to the hubs, and the
hubs notify everybody of quarantined fingerprints: a loss costs one message to each hub, and only
a quarantine, which is rare, costs one to everybody. Without hubs, new losses are forwarded from
neighbour to neighbour.

An instance that starts requests the known losses; without this, each restart would cost three
more replicas.

The parts of prompts with which replicas were lost are reported in the same messages, and so is an
answer that takes such losses back. In a large fleet the hubs notify everybody of a part before it
is quarantined, so that whoever answers it reports that in time. Nothing is sent while no replica is
lost.

An instance that answered a fingerprint just before its losses reports that as soon as it receives
one of the losses. In a large fleet the entries receive no losses, so one hub queries all of them
when it receives a fingerprint's first loss, and each hub does when a fingerprint is quarantined.
"""

from collections import deque
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple, TypeVar

from papayapier.clock import Clock, Timer
from papayapier.dispatch.crash_watch import CrashListeners, CrashWatch
from papayapier.dispatch.part_watch import PartListeners
from papayapier.peer.hub import PeerHub
from papayapier.peer.loss_messages import LatelyAsk, LossesAsk, LossesTold, NoLosses
from papayapier.policy.crash_quarantine import ReplicaLoss
from papayapier.policy.part_quarantine import (
    NO_REPORTS,
    LostReplica,
    PartAnswer,
    PartReports,
)
from papayapier.policy.rendezvous import score

# All calls of a lost replica fail within a few ms and are reported together; a tenth of a second
# is far below the seconds after which a caller retries.
COLLECT_MS: Final = 100
# A message is lost without notice if its link is being replaced, so each loss is reported twice.
RESEND_MS: Final = 1_000
# A lost replica fails some ten calls; what exceeds this bound goes into the next message.
MAX_PER_MESSAGE: Final = 100
# Losses that arrive faster than they are sent, a thousand per second, have another cause than a
# single request.
MAX_QUEUED: Final = 1_000
# Without hubs this many neighbours are queried at a start: one may know nothing, another be lost.
MAX_QUERIED: Final = 3


T = TypeVar("T")


class LossExchangeDeps(NamedTuple):
    """Group what the exchange of losses needs; hubs returns the live hubs of a large fleet."""

    clock: Clock
    hub: PeerHub
    watch: CrashWatch
    me: str
    hubs: Callable[[], Collection[str]]


class LossExchange:
    """Queue losses and answered fingerprints for the other instances, and process theirs."""

    def __init__(self, deps: LossExchangeDeps) -> None:
        self._deps = deps
        # Each loss with the time at which it was observed.
        self._losses: deque[tuple[ReplicaLoss, int]] = deque(maxlen=MAX_QUEUED)
        self._to_resend: deque[tuple[ReplicaLoss, int]] = deque(maxlen=MAX_PER_MESSAGE)
        self._answered: deque[str] = deque(maxlen=MAX_QUEUED)
        # Losses and answers of parts, with the time at which each was observed.
        self._part_losses: deque[tuple[LostReplica, int]] = deque(maxlen=MAX_QUEUED)
        self._parts_to_resend: deque[tuple[LostReplica, int]] = deque(maxlen=MAX_PER_MESSAGE)
        self._part_answers: deque[tuple[PartAnswer, int]] = deque(maxlen=MAX_QUEUED)
        self._suspects: deque[str] = deque(maxlen=MAX_QUEUED)
        # Parts that everybody was notified of by this hub, and that were not answered since.
        self._spread: set[str] = set()
        self._queried: set[str] = set()
        self._was_hub = False
        self._has_reply = False
        self._timer: Timer | None = None
        self._resend_timer: Timer | None = None
        deps.watch.connect(
            CrashListeners(
                self._on_replica_lost, self._on_answered, self._on_quarantined, self._on_suspect
            )
        )
        deps.watch.parts.connect(PartListeners(self._on_part_lost, self._on_part_answered))
        deps.hub.subscribe(LossesTold, self._on_losses_told)
        deps.hub.subscribe(LossesAsk, self._on_losses_request)
        deps.hub.subscribe(NoLosses, self._on_no_losses)
        deps.hub.subscribe(LatelyAsk, self._on_recent_query)
        deps.hub.on_change(self._request_losses)
        deps.hub.on_restart(self._on_peer_restarted)

    def restore(self, losses: Sequence[ReplicaLoss], parts: PartReports = NO_REPORTS) -> None:
        """Restore losses saved by an earlier run and report them, as all may have restarted."""
        new_losses = self._deps.watch.on_reported(losses, ())
        new_parts = self._deps.watch.parts.on_told(parts)
        if new_losses or new_parts.losses:
            self._send_to_recipients(LossesTold(tuple(new_losses), (), (), new_parts))

    def has_known_losses(self) -> bool:
        """Return whether a peer has reported the losses known before this process started."""
        return self._has_reply

    def close(self) -> None:
        """Stop the timers."""
        for timer in (self._timer, self._resend_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._deps.watch.close()

    def _on_replica_lost(self, loss: ReplicaLoss) -> None:
        self._losses.append((loss, self._deps.clock.now()))
        self._schedule_send()

    def _on_answered(self, fingerprint: str) -> None:
        self._answered.append(fingerprint)
        self._schedule_send()

    def _on_part_lost(self, lost: LostReplica, urgent: bool) -> None:
        self._part_losses.append((lost, self._deps.clock.now()))
        if urgent:
            # Before the end of the probe is reported, which permits the next one.
            self._send_queued()
        else:
            self._schedule_send()

    def _on_part_answered(self, answer: PartAnswer) -> None:
        self._part_answers.append((answer, self._deps.clock.now()))
        self._schedule_send()

    def _schedule_send(self, wait_ms: int = COLLECT_MS) -> None:
        if self._timer is not None and self._timer.active():
            if wait_ms == COLLECT_MS:
                return
            self._timer.cancel()
        self._timer = self._deps.clock.call_later(wait_ms, self._send_queued)

    def _send_queued(self) -> None:
        losses, part_losses = _pop_batch(self._losses), _pop_batch(self._part_losses)
        parts = self._part_reports(part_losses, _pop_batch(self._part_answers))
        self._send_standing(losses, tuple(_pop_batch(self._answered)), parts)
        self._spread_parts(parts)
        fingerprints = {loss.fingerprint for loss, _ in losses}
        self._query_recent_answers(
            fingerprints.difference(self._deps.watch.recently_answered(fingerprints))
        )
        suspects = _pop_batch(self._suspects)
        if suspects:
            self._deps.hub.broadcast(LossesTold(tuple(self._deps.watch.snapshot(suspects))))
        if (
            self._losses
            or self._answered
            or self._suspects
            or self._part_losses
            or self._part_answers
        ):
            self._schedule_send()
        if losses or part_losses:
            self._to_resend.extend(losses)
            self._parts_to_resend.extend(part_losses)
            self._schedule_resend()

    def _schedule_resend(self) -> None:
        if self._resend_timer is None or not self._resend_timer.active():
            self._resend_timer = self._deps.clock.call_later(RESEND_MS, self._resend)

    def _resend(self) -> None:
        parts = self._part_reports(_pop_batch(self._parts_to_resend), [])
        self._send_standing(_pop_batch(self._to_resend), (), parts)

    def _part_reports(
        self, losses: list[tuple[LostReplica, int]], answers: list[tuple[PartAnswer, int]]
    ) -> PartReports:
        now = self._deps.clock.now()
        return PartReports(
            tuple(lost._replace(age_ms=now - at) for lost, at in losses),
            tuple(answer._replace(age_ms=now - at) for answer, at in answers),
        )

    def _send_standing(
        self,
        losses: list[tuple[ReplicaLoss, int]],
        answered: tuple[str, ...],
        parts: PartReports,
    ) -> None:
        """Report losses that still stand; a loss is withdrawn if another attempt was answered."""
        now = self._deps.clock.now()
        watch = self._deps.watch
        recent = set(watch.recently_answered({loss.fingerprint for loss, _ in losses}))
        standing = tuple(
            loss._replace(age_ms=now - at, recently_answered=loss.fingerprint in recent)
            for loss, at in losses
            if watch.still_counts(loss)
        )
        if standing or answered or parts != NO_REPORTS:
            self._send_to_recipients(LossesTold(standing, answered, (), parts))

    def _send_to_recipients(self, message: LossesTold) -> None:
        if not self._has_hubs():
            self._deps.hub.broadcast(message)
            return
        for hub_id in self._deps.hubs():
            if hub_id != self._deps.me:
                self._deps.hub.send(hub_id, message)

    def _spread_parts(self, news: PartReports) -> None:
        """Notify everybody, as a hub, of parts that may soon be quarantined, and of answers."""
        if not self._is_hub():
            return
        watch = self._deps.watch.parts
        lost = {part for loss in news.losses for part in loss.parts}
        spread = frozenset(
            part
            for part in lost
            if watch.is_quarantined(part) or (watch.is_suspect(part) and self._is_responsible(part))
        )
        reports = watch.snapshot(spread) if spread else NO_REPORTS
        answers = [answer for answer in news.answers if answer.part in self._spread]
        kept = self._spread if len(self._spread) < MAX_QUEUED else set()
        self._spread = {*kept, *spread} - {answer.part for answer in answers}
        reports = reports._replace(answers=(*reports.answers, *answers))
        if reports != NO_REPORTS:
            self._deps.hub.broadcast(LossesTold((), (), (), reports))

    def _has_hubs(self) -> bool:
        plan = self._deps.hub.plan()
        return not plan.full_mesh and bool(plan.hubs)

    def _forwards_news(self) -> bool:
        """Return whether instances forward what is new to their neighbours."""
        return not self._has_hubs() and not self._deps.hub.plan().full_mesh

    def _is_hub(self) -> bool:
        return self._has_hubs() and self._deps.me in self._deps.hub.plan().hubs

    def _on_quarantined(self, fingerprint: str) -> None:
        if self._is_hub():
            self._deps.hub.broadcast(LossesTold(tuple(self._deps.watch.snapshot({fingerprint}))))
            self._deps.hub.broadcast(LatelyAsk((fingerprint,)))
        elif self._losses:
            # An instance that answered it recently can report that only once it has the losses.
            self._schedule_send(0)

    def _on_suspect(self, fingerprint: str) -> None:
        """Report the losses of a suspect before any instance sends it without a permit."""
        if self._is_hub():
            if self._is_responsible(fingerprint):
                self._suspects.append(fingerprint)
                self._schedule_send()
        elif self._losses:
            self._schedule_send(0)

    def _on_losses_told(self, peer_id: str, message: LossesTold) -> None:
        self._has_reply = self._has_reply or peer_id in self._queried
        watch = self._deps.watch
        answered_recently = {
            *message.recently_answered,
            *(loss.fingerprint for loss in message.losses if loss.recently_answered),
        }
        quarantined = {
            fingerprint for fingerprint in answered_recently if watch.is_quarantined(fingerprint)
        }
        self._on_parts_told(message.parts)
        cleared = watch.on_recently_answered(answered_recently, peer_id)
        new_losses = watch.on_reported(message.losses, message.answered)
        # Also for losses that are reported again: the first reply may have been lost.
        fingerprints = {loss.fingerprint for loss in message.losses if not loss.recently_answered}
        recent = set(watch.recently_answered(fingerprints))
        if self._has_hubs():
            self._query_recent_answers(fingerprints - recent)
            self._report_cleared({*cleared, *recent}, quarantined)
        elif self._deps.hub.plan().full_mesh:
            self._report_recent((), tuple(sorted(recent)))
        else:
            self._report_recent(tuple(new_losses), tuple(sorted({*cleared, *recent})))

    def _on_parts_told(self, reports: PartReports) -> None:
        if reports == NO_REPORTS:
            return
        news = self._deps.watch.parts.on_told(reports)
        if self._is_hub():
            self._spread_parts(news)
        elif self._forwards_news() and news != NO_REPORTS:
            self._deps.hub.broadcast(LossesTold((), (), (), news))

    def _query_recent_answers(self, fingerprints: Collection[str]) -> None:
        """Query everybody for recent answers to fingerprints with a first loss.

        For each fingerprint exactly one hub, the winner of rendezvous hashing, sends the query.
        """
        if not self._is_hub():
            return
        own = [fingerprint for fingerprint in fingerprints if self._is_responsible(fingerprint)]
        if own:
            self._deps.hub.broadcast(LatelyAsk(tuple(sorted(own))))

    def _is_responsible(self, fingerprint: str) -> bool:
        """Return whether this hub is the one that notifies everybody of a fingerprint."""
        hubs = self._deps.hub.plan().hubs
        return max(hubs, key=lambda hub: score(fingerprint, hub)) == self._deps.me

    def _on_recent_query(self, peer_id: str, query: LatelyAsk) -> None:
        recent = self._deps.watch.recently_answered(query.fingerprints)
        if recent:
            self._deps.hub.send(peer_id, LossesTold((), (), tuple(recent)))

    def _report_cleared(self, fingerprints: Collection[str], quarantined: Collection[str]) -> None:
        """Report cleared fingerprints to the other hubs, and those quarantined to everybody.

        Everybody was notified of a quarantine, so everybody must be notified of its end.
        """
        if not self._is_hub():
            return
        self._report_recent(
            (),
            tuple(
                sorted(fingerprint for fingerprint in fingerprints if fingerprint in quarantined)
            ),
        )
        rest = tuple(
            sorted(fingerprint for fingerprint in fingerprints if fingerprint not in quarantined)
        )
        if rest:
            self._send_to_recipients(LossesTold((), (), rest))

    def _report_recent(
        self, losses: tuple[ReplicaLoss, ...], fingerprints: tuple[str, ...]
    ) -> None:
        if losses or fingerprints:
            self._deps.hub.broadcast(LossesTold(losses, (), fingerprints))

    def _on_no_losses(self, _peer_id: str, _message: NoLosses) -> None:
        self._has_reply = True

    def _on_losses_request(self, peer_id: str, _request: LossesAsk) -> None:
        losses, parts = self._deps.watch.snapshot(), self._deps.watch.parts.snapshot()
        known = losses or parts != NO_REPORTS
        reply = LossesTold(tuple(losses), (), (), parts) if known else NoLosses()
        self._deps.hub.send(peer_id, reply)

    def _on_peer_restarted(self, peer_id: str) -> None:
        """Query a peer again that may have restored losses from its disk."""
        self._queried.discard(peer_id)
        self._request_losses()

    def _request_losses(self) -> None:
        """Request the known losses from peers that have become live and may know of others."""
        if self._is_hub() and not self._was_hub:
            self._queried.clear()
        self._was_hub = self._is_hub()
        # A peer that was unreachable for a while is queried again: either side may have observed
        # losses that the other does not know.
        self._queried.intersection_update(self._deps.hub.live())
        for peer_id in sorted(self._peers_to_query() - self._queried):
            self._queried.add(peer_id)
            if not self._deps.hub.send(peer_id, LossesAsk()):
                self._queried.discard(peer_id)

    def _peers_to_query(self) -> set[str]:
        live = set(self._deps.hub.live()) - {self._deps.me}
        if self._deps.hub.plan().full_mesh:
            return live
        if self._has_hubs():
            return live & set(self._deps.hubs())
        if len(self._queried) >= MAX_QUERIED:
            return set()
        # Choose by hash so that a large fleet does not query the same few instances.
        return set(sorted(live, key=lambda peer_id: -score(self._deps.me, peer_id))[:MAX_QUERIED])


def _pop_batch(waiting: deque[T]) -> list[T]:
    """Remove and return at most as many entries as one message holds."""
    return [waiting.popleft() for _ in range(min(len(waiting), MAX_PER_MESSAGE))]
