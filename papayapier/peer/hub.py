"""Talk with the other instances: heartbeats, messages, questions and answers.

The hub owns the sockets and does what the roster decides. Nothing here may harm serving: a
frame that is not understood is counted and dropped, sending never blocks, queues and the
bytes of heartbeats are bounded.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.metrics import Metrics
from papayapier.peer import wire
from papayapier.peer.link import MAX_FRAME_BYTES, Inbox, Outbox, Outgoing, Poller
from papayapier.peer.messages import ClaimTell, ConfigTell, Heartbeat, Hello, Message
from papayapier.peer.pacing import ByteBudget, use_distance
from papayapier.peer.roster import Change, Noted, PeerView, Redial, Roster
from papayapier.settings import PeerSettings
from papayapier.store.api import Member

ASK_ID_BITS: Final = 32

Handler = Callable[[str, Message], None]
MakeAsk = Callable[[int], Message]


class PeerError(Enum):
    """Name each way in which asking a peer can fail."""

    NO_PEER = "no_peer"
    BUSY = "busy"
    TOO_LARGE = "too_large"
    TIMEOUT = "timeout"
    CLOSED = "closed"


class Identity(NamedTuple):
    """Say who this instance is; boot differs at every start of the process."""

    instance: str
    boot: int
    host: str
    data_centre: str
    region: str


class _Question(NamedTuple):
    peer_id: str
    answered: Deferred[Result[Message, PeerError]]
    timer: Timer


class PeerHub:
    """Hold the connections with the other instances."""

    def __init__(
        self,
        reactor: Poller,
        clock: Clock,
        cfg: PeerSettings,
        me: Identity,
        heartbeat: Callable[[], Heartbeat],
        metrics: Metrics,
        rand: Random,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._cfg = cfg
        self._me = me
        self._heartbeat = heartbeat
        self._metrics = metrics
        self._rand = rand
        self._roster = Roster(me.instance, cfg.silent_after_ms)
        self._budget = ByteBudget(cfg.bytes_per_s, clock.now())
        self._inbox = Inbox(reactor, self._receive)
        self._port = 0
        self._outboxes: dict[str, Outbox] = {}
        self._handlers: dict[type[Message], list[Handler]] = defaultdict(list)
        self._listeners: list[Callable[[], None]] = []
        self._live: list[str] = [me.instance]
        self._questions: dict[int, _Question] = {}
        self._next_ask = rand.getrandbits(ASK_ID_BITS)
        self._refused: Counter[str] = Counter()
        self._last_sent: Heartbeat | None = None
        self._last_sent_at = clock.now()
        self._regular: Timer | None = None
        self._early: Timer | None = None
        self._closed = False

    def start(self) -> Result[int, str]:
        """Listen for peers and begin to send heartbeats; return the port in use."""
        listening = self._inbox.listen(self._me.host, self._cfg.port)
        if isinstance(listening, Err):
            return listening
        self._port = listening.ok_value
        self._beat()
        return listening

    def close(self) -> None:
        """Close all connections and end every open question."""
        self._closed = True
        for timer in (self._regular, self._early):
            if timer is not None and timer.active():
                timer.cancel()
        for ask_id in list(self._questions):
            self._answer(ask_id, Err(PeerError.CLOSED))
        for outbox in self._outboxes.values():
            outbox.close()
        self._outboxes.clear()
        self._inbox.close()

    def set_members(self, members: Sequence[Member]) -> None:
        """Take over the entry instances of a new instance list."""
        if not self._closed:
            self._apply(self._roster.set_members(list(members), self._clock.now()))

    def live(self) -> list[str]:
        """Return this instance and the live peers that are not leaving, in order."""
        return self._live

    def views(self) -> list[PeerView]:
        """Return what is known of each peer, for the operators."""
        return self._roster.views(self._clock.now())

    def on_change(self, call: Callable[[], None]) -> None:
        """Call back whenever live() has changed."""
        self._listeners.append(call)

    def subscribe(self, kind: type[Message], handler: Handler) -> None:
        """Call a handler with the sender and each message of a kind."""
        self._handlers[kind].append(handler)

    def tell(self, peer_id: str, message: Message) -> bool:
        """Send a message to one peer; return False when it certainly was not sent."""
        return self._send(peer_id, wire.encode(self._me.instance, message), message)

    def tell_all(self, message: Message) -> None:
        """Send a message to every peer."""
        data = wire.encode(self._me.instance, message)
        for peer_id in list(self._outboxes):
            self._send(peer_id, data, message)

    async def ask(
        self, peer_id: str, make_ask: MakeAsk, timeout_ms: int
    ) -> Result[Message, PeerError]:
        """Send a question made with a fresh ask id, and wait for its answer."""
        if self._closed:
            return Err(PeerError.CLOSED)
        if peer_id not in self._outboxes:
            return Err(PeerError.NO_PEER)
        self._next_ask += 1
        ask_id = self._next_ask
        message = make_ask(ask_id)
        data = wire.encode(self._me.instance, message)
        if len(data) > MAX_FRAME_BYTES:
            return Err(PeerError.TOO_LARGE)
        if not self._send(peer_id, data, message):
            return Err(PeerError.BUSY)
        timer = self._clock.call_later(
            timeout_ms, lambda: self._answer(ask_id, Err(PeerError.TIMEOUT))
        )
        answered: Deferred[Result[Message, PeerError]] = Deferred(
            lambda _: self._drop_question(ask_id)
        )
        self._questions[ask_id] = _Question(peer_id, answered, timer)
        return await answered

    def uses_changed(self) -> None:
        """Consider an early heartbeat, because this instance's open calls have changed."""
        if self._early is not None or self._closed:
            return
        wait = self._last_sent_at + self._cfg.early_ms - self._clock.now()
        self._early = self._clock.call_later(wait, self._beat_early)

    def _beat(self) -> None:
        """Send the regular heartbeat and look for silent peers."""
        spread = self._rand.uniform(0.9, 1.1)
        self._regular = self._clock.call_later(self._cfg.heartbeat_ms * spread, self._beat)
        self._apply(self._roster.tick(self._clock.now()))
        self._send_heartbeat(self._heartbeat())

    def _beat_early(self) -> None:
        self._early = None
        heartbeat = self._heartbeat()
        before = () if self._last_sent is None else self._last_sent.uses
        if use_distance(before, heartbeat.uses) < self._cfg.early_calls:
            return
        cost = len(wire.encode(self._me.instance, heartbeat)) * len(self._outboxes)
        if self._budget.has(cost, self._clock.now()):
            self._send_heartbeat(heartbeat)

    def _send_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = self._clock.now()
        full = heartbeat._replace(unheard=self._roster.unheard(now))
        data = wire.encode(self._me.instance, full)
        for peer_id in list(self._outboxes):
            self._send(peer_id, data, full)
        self._budget.spend(len(data) * len(self._outboxes), now)
        self._last_sent = heartbeat
        self._last_sent_at = now

    def _send(self, peer_id: str, data: bytes, message: Message) -> bool:
        outbox = self._outboxes.get(peer_id)
        if outbox is None or len(data) > MAX_FRAME_BYTES:
            return False
        if not outbox.send(Outgoing(data, isinstance(message, Heartbeat))):
            return False
        self._count(message, "sent", len(data))
        return True

    def _receive(self, data: bytes) -> None:
        decoded = wire.decode(data)
        if isinstance(decoded, Err):
            self._refuse(decoded.err_value)
            return
        sender, message = decoded.ok_value
        self._count(message, "received", len(data))
        now = self._clock.now()
        if isinstance(message, Hello):
            self._apply(self._roster.hello(message, now))
        if isinstance(message, Heartbeat):
            self._apply(self._roster.heard(sender, message, now))
        if isinstance(message, ConfigTell | ClaimTell) and self._settle(sender, message):
            return
        for handler in self._handlers[type(message)]:
            handler(sender, message)

    def _settle(self, sender: str, message: ConfigTell | ClaimTell) -> bool:
        question = self._questions.get(message.ask_id)
        if question is None or question.peer_id != sender:
            return False
        self._answer(message.ask_id, Ok(message))
        return True

    def _answer(self, ask_id: int, outcome: Result[Message, PeerError]) -> None:
        question = self._forget_question(ask_id)
        if question is not None:
            question.answered.callback(outcome)

    def _drop_question(self, ask_id: int) -> None:
        self._forget_question(ask_id)

    def _forget_question(self, ask_id: int) -> _Question | None:
        question = self._questions.pop(ask_id, None)
        if question is not None and question.timer.active():
            question.timer.cancel()
        return question

    def _refuse(self, why: str) -> None:
        """Count a frame that is not understood, and log each reason only once.

        During an upgrade a newer release may send kinds that this one does not know, many a
        second; a line for each would bury every other event.
        """
        self._metrics.peer_messages.labels(kind="refused", direction="received").inc()
        if why not in self._refused:
            events.emit(events.PEER_REFUSED, why=why)
        self._refused[why] += 1

    def _apply(self, steps: Sequence[Noted | Redial]) -> None:
        for step in steps:
            if isinstance(step, Redial):
                self._redial(step.peer_id)
            else:
                self._note(step)
        self._announce_live()

    def _redial(self, peer_id: str) -> None:
        old = self._outboxes.pop(peer_id, None)
        if old is not None:
            old.close()
        peer = self._roster.get(peer_id)
        if peer is None:
            return
        member = peer.member
        self._outboxes[peer_id] = Outbox(self._reactor, member.host, member.peer_port)
        self.tell(peer_id, self._hello())

    def _hello(self) -> Hello:
        me = self._me
        return Hello(me.instance, me.boot, me.host, self._port, me.data_centre, me.region)

    def _note(self, noted: Noted) -> None:
        if noted.change is Change.GONE:
            self._drop(noted.peer_id)
        if noted.change in (Change.UP, Change.RESTARTED):
            events.emit(events.PEER_UP, peer=noted.peer_id, change=noted.change.value)
        if noted.change in (Change.DOWN, Change.LEAVING):
            events.emit(events.PEER_DOWN, peer=noted.peer_id, change=noted.change.value)

    def _drop(self, peer_id: str) -> None:
        outbox = self._outboxes.pop(peer_id, None)
        if outbox is not None:
            outbox.close()

    def _announce_live(self) -> None:
        live = self._roster.live()
        if live == self._live:
            return
        self._live = live
        self._metrics.peers_live.set(len(live) - 1)
        for call in self._listeners:
            call()

    def _count(self, message: Message, direction: str, size: int) -> None:
        kind = type(message).__name__
        self._metrics.peer_messages.labels(kind=kind, direction=direction).inc()
        self._metrics.peer_bytes.labels(direction=direction).inc(size)
