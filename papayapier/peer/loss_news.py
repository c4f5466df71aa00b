"""Share with the other instances which requests caused replica losses.

A request that ends replicas may be retried at any instance, so each instance must know the
outcomes of all sends. Requests are identified by their fingerprint. In a small fleet each
instance reports its losses to all others. In a large one it reports them to the hubs, and the
hubs notify everybody of quarantined fingerprints: a loss costs one message to each hub, and only
a quarantine, which is rare, costs one to everybody. Without hubs, new losses are forwarded from
neighbour to neighbour.

An instance that starts requests the known losses; without this, each restart would cost three
more replicas.

An instance that answered a fingerprint just before its losses reports that as soon as it receives
one of the losses. In a large fleet the entries receive no losses, so one hub queries all of them
when it receives a fingerprint's first loss, and each hub does when a fingerprint is quarantined.
"""

from collections import deque
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple, TypeVar

from papayapier.clock import Clock, Timer
from papayapier.dispatch.crash_watch import CrashWatch, Hearers
from papayapier.peer.hub import PeerHub
from papayapier.peer.loss_messages import LatelyAsk, LossesAsk, LossesTold, NoLosses
from papayapier.policy.crashes import Loss
from papayapier.policy.rendezvous import score

# All calls of a lost replica fail within a few ms and are reported together; a tenth of a second
# is far below the seconds after which a caller retries.
GATHER_MS: Final = 100
# A message is lost without notice if its link is being replaced, so each loss is reported twice.
AGAIN_MS: Final = 1_000
# A lost replica fails some ten calls; what exceeds this bound goes into the next message.
MOST_TOLD: Final = 100
# Losses that arrive faster than they are sent, a thousand per second, have another cause than a
# single request.
MOST_WAITING: Final = 1_000
# Without hubs this many neighbours are queried at a start: one may know nothing, another be lost.
ASKED_MOST: Final = 3


T = TypeVar("T")


class LossNewsDeps(NamedTuple):
    """Group what the exchange of losses needs; hubs returns the live hubs of a large fleet."""

    clock: Clock
    hub: PeerHub
    watch: CrashWatch
    me: str
    hubs: Callable[[], Collection[str]]


class LossNews:
    """Queue losses and answered fingerprints for the other instances, and process theirs."""

    def __init__(self, deps: LossNewsDeps) -> None:
        self._deps = deps
        # Each loss with the time at which it was observed.
        self._losses: deque[tuple[Loss, int]] = deque(maxlen=MOST_WAITING)
        self._again: deque[tuple[Loss, int]] = deque(maxlen=MOST_TOLD)
        self._answered: deque[str] = deque(maxlen=MOST_WAITING)
        self._asked: set[str] = set()
        self._was_hub = False
        self._heard_some = False
        self._timer: Timer | None = None
        self._again_timer: Timer | None = None
        deps.watch.connect(Hearers(self._on_lost, self._on_answered, self._on_held))
        deps.hub.subscribe(LossesTold, self._on_told)
        deps.hub.subscribe(LossesAsk, self._on_ask)
        deps.hub.subscribe(NoLosses, self._on_none)
        deps.hub.subscribe(LatelyAsk, self._on_lately_ask)
        deps.hub.on_change(self._ask)

    def recall(self, losses: Sequence[Loss]) -> None:
        """Restore losses saved by an earlier run and report them, as all may have restarted."""
        fresh = self._deps.watch.on_told(losses, ())
        if fresh:
            self._tell_hearers(LossesTold(tuple(fresh)))

    def caught_up(self) -> bool:
        """Return whether a peer has reported the losses known before this process started."""
        return self._heard_some

    def close(self) -> None:
        """Stop the timers."""
        for timer in (self._timer, self._again_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self._deps.watch.close()

    def _on_lost(self, loss: Loss) -> None:
        self._losses.append((loss, self._deps.clock.now()))
        self._tell_soon()

    def _on_answered(self, work: str) -> None:
        self._answered.append(work)
        self._tell_soon()

    def _tell_soon(self, wait_ms: int = GATHER_MS) -> None:
        if self._timer is not None and self._timer.active():
            if wait_ms == GATHER_MS:
                return
            self._timer.cancel()
        self._timer = self._deps.clock.call_later(wait_ms, self._tell)

    def _tell(self) -> None:
        losses = _take(self._losses)
        self._tell_standing(losses, tuple(_take(self._answered)))
        works = {loss.work for loss, _ in losses}
        self._ask_lately(works.difference(self._deps.watch.answered_lately(works)))
        if self._losses or self._answered:
            self._tell_soon()
        if losses:
            self._again.extend(losses)
            self._tell_again_later()

    def _tell_again_later(self) -> None:
        if self._again_timer is None or not self._again_timer.active():
            self._again_timer = self._deps.clock.call_later(AGAIN_MS, self._tell_again)

    def _tell_again(self) -> None:
        self._tell_standing(_take(self._again), ())

    def _tell_standing(self, losses: list[tuple[Loss, int]], answered: tuple[str, ...]) -> None:
        """Report losses that still stand; a loss is withdrawn if another attempt was answered."""
        now = self._deps.clock.now()
        watch = self._deps.watch
        lately = set(watch.answered_lately({loss.work for loss, _ in losses}))
        stand = tuple(
            loss._replace(age_ms=now - at, lately=loss.work in lately)
            for loss, at in losses
            if watch.stands(loss)
        )
        if stand or answered:
            self._tell_hearers(LossesTold(stand, answered))

    def _tell_hearers(self, message: LossesTold) -> None:
        if not self._has_hubs():
            self._deps.hub.tell_all(message)
            return
        for hub_id in self._deps.hubs():
            if hub_id != self._deps.me:
                self._deps.hub.tell(hub_id, message)

    def _has_hubs(self) -> bool:
        plan = self._deps.hub.plan()
        return not plan.full_mesh and bool(plan.hubs)

    def _is_hub(self) -> bool:
        return self._has_hubs() and self._deps.me in self._deps.hub.plan().hubs

    def _on_held(self, work: str) -> None:
        if self._is_hub():
            self._deps.hub.tell_all(LossesTold(tuple(self._deps.watch.snapshot({work}))))
            self._deps.hub.tell_all(LatelyAsk((work,)))
        elif self._losses:
            # An instance that answered it recently can report that only once it has the losses.
            self._tell_soon(0)

    def _on_told(self, peer_id: str, message: LossesTold) -> None:
        self._heard_some = self._heard_some or peer_id in self._asked
        watch = self._deps.watch
        said = {*message.lately, *(loss.work for loss in message.losses if loss.lately)}
        held = {work for work in said if watch.is_held(work)}
        cleared = watch.take_lately(said, peer_id)
        fresh = watch.on_told(message.losses, message.answered)
        # Also for losses that are reported again: the first reply may have been lost.
        works = {loss.work for loss in message.losses if not loss.lately}
        lately = set(watch.answered_lately(works))
        if self._has_hubs():
            self._ask_lately(works - lately)
            self._tell_cleared({*cleared, *lately}, held)
        elif self._deps.hub.plan().full_mesh:
            self._tell_lately((), tuple(sorted(lately)))
        else:
            self._tell_lately(tuple(fresh), tuple(sorted({*cleared, *lately})))

    def _ask_lately(self, works: Collection[str]) -> None:
        """Query everybody for recent answers to fingerprints with a first loss.

        For each fingerprint exactly one hub, the winner of rendezvous hashing, sends the query.
        """
        if not self._is_hub():
            return
        hubs = self._deps.hub.plan().hubs
        mine = [one for one in works if max(hubs, key=lambda hub: score(one, hub)) == self._deps.me]
        if mine:
            self._deps.hub.tell_all(LatelyAsk(tuple(sorted(mine))))

    def _on_lately_ask(self, peer_id: str, ask: LatelyAsk) -> None:
        lately = self._deps.watch.answered_lately(ask.works)
        if lately:
            self._deps.hub.tell(peer_id, LossesTold((), (), tuple(lately)))

    def _tell_cleared(self, works: Collection[str], held: Collection[str]) -> None:
        """Report cleared fingerprints to the other hubs, and those quarantined to everybody.

        Everybody was notified of a quarantine, so everybody must be notified of its end.
        """
        if not self._is_hub():
            return
        self._tell_lately((), tuple(sorted(work for work in works if work in held)))
        rest = tuple(sorted(work for work in works if work not in held))
        if rest:
            self._tell_hearers(LossesTold((), (), rest))

    def _tell_lately(self, losses: tuple[Loss, ...], works: tuple[str, ...]) -> None:
        if losses or works:
            self._deps.hub.tell_all(LossesTold(losses, (), works))

    def _on_none(self, _peer_id: str, _message: NoLosses) -> None:
        self._heard_some = True

    def _on_ask(self, peer_id: str, _ask: LossesAsk) -> None:
        losses = self._deps.watch.snapshot()
        self._deps.hub.tell(peer_id, LossesTold(tuple(losses)) if losses else NoLosses())

    def _ask(self) -> None:
        """Request the known losses from peers that have become live and may know of others."""
        if self._is_hub() and not self._was_hub:
            self._asked.clear()
        self._was_hub = self._is_hub()
        # A peer that was unreachable for a while is queried again: either side may have observed
        # losses that the other does not know.
        self._asked.intersection_update(self._deps.hub.live())
        for peer_id in sorted(self._knowing() - self._asked):
            self._asked.add(peer_id)
            if not self._deps.hub.tell(peer_id, LossesAsk()):
                self._asked.discard(peer_id)

    def _knowing(self) -> set[str]:
        live = set(self._deps.hub.live()) - {self._deps.me}
        if self._deps.hub.plan().full_mesh:
            return live
        if self._has_hubs():
            return live & set(self._deps.hubs())
        if len(self._asked) >= ASKED_MOST:
            return set()
        # Choose by hash so that a large fleet does not query the same few instances.
        return set(sorted(live, key=lambda one: -score(self._deps.me, one))[:ASKED_MOST])


def _take(waiting: deque[T]) -> list[T]:
    """Remove and return at most as many entries as one message holds."""
    return [waiting.popleft() for _ in range(min(len(waiting), MOST_TOLD))]
