"""Communicate with the other instances: heartbeats, notifications, requests and replies.

The hub owns the sockets and carries out what the roster decides. Nothing here may impair
serving: a frame that cannot be decoded is counted and dropped, sending never blocks, and
queues and the bytes of heartbeats are bounded.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Final, NamedTuple

from result import Err, Result

from papayapier import events
from papayapier.clock import Clock, Millis, Timer
from papayapier.lasting_tasks import call_guarded
from papayapier.metrics import Metrics
from papayapier.peer import wire
from papayapier.peer.call_notifications import CallNotifier, EarlyRecipients, is_worth_notifying
from papayapier.peer.counts import MessageCounts
from papayapier.peer.forwarding import Forwarder, Novelty
from papayapier.peer.link import Inbox, Outbox, Outgoing, Poller
from papayapier.peer.links import Address, Links
from papayapier.peer.messages import (
    ConfigAsk,
    ConfigPush,
    Heartbeat,
    Hello,
    JobChanged,
    Message,
    Prune,
)
from papayapier.peer.open_requests import MakeRequest, OpenRequests, PeerError
from papayapier.peer.pacing import (
    ByteBudget,
    bound_uses,
    heartbeat_interval_ms,
    wire_bytes,
)
from papayapier.peer.peer_state import Change, Disconnect, PeerChange, PeerView, Redial, Step
from papayapier.peer.roster import Roster
from papayapier.peer.signing import NO_SIGNER, load_signer
from papayapier.peer.topology import InstanceLocation, LinkLimits, LinkPlan
from papayapier.settings import PeerSettings
from papayapier.store.api import Member

INTERVAL_JITTER: Final = 0.1
TICKS_PER_SILENCE: Final = 4

Handler = Callable[[str, Any], object]


class Identity(NamedTuple):
    """Identify this instance; boot differs at every start of the process."""

    instance: str
    boot: int
    host: str
    data_centre: str
    region: str
    hub: bool = False


class PeerHub:
    """Exchange messages with the other instances."""

    def __init__(
        self,
        reactor: Poller,
        clock: Clock,
        cfg: PeerSettings,
        me: Identity,
        heartbeat: Callable[[], Heartbeat],
        metrics: Metrics,
        rand: Random,
        early_recipients: EarlyRecipients | None = None,
    ) -> None:
        """Create a hub; early_recipients limits who gets early heartbeats in a large fleet."""
        self._clock = clock
        self._cfg = cfg
        self._me = me
        self._heartbeat = heartbeat
        self._metrics = metrics
        self._rand = rand
        self._signer = NO_SIGNER
        location = InstanceLocation(me.instance, me.data_centre, me.region, me.hub)
        limits = LinkLimits(cfg.full_mesh, cfg.picks, cfg.relays)
        self._roster = Roster(location, limits, cfg.silent_after_ms)
        self._budget = ByteBudget(cfg.early_bytes_per_s, clock.now())
        self._inbox = Inbox(reactor, self._receive)
        self._links = Links(lambda address: Outbox(reactor, address.host, address.port))
        self._open_requests = OpenRequests(clock, rand)
        self._forwarder = Forwarder()
        self._port = 0
        self._handlers: dict[type[Message], list[Handler]] = defaultdict(list)
        self._listeners: list[Callable[[], None]] = []
        self._restart_listeners: list[Callable[[str], None]] = []
        self._live: list[str] = [me.instance]
        self._hubs: tuple[str, ...] = ()
        self._agreed_live = frozenset({me.instance} if me.hub else ())
        self._call_notifier = CallNotifier(me.instance, early_recipients, self.send)
        self._counts = MessageCounts(metrics)
        self._last_sent: Heartbeat | None = None
        self._last_sent_at = clock.now()
        self._interval_ms = cfg.heartbeat_ms
        self._timers: dict[str, Timer] = {}
        self._closed = False

    def start(self) -> Result[int, str]:
        """Listen for peers and start to send heartbeats; return the port in use."""
        signer = load_signer(self._cfg.key_file)
        if isinstance(signer, Err):
            return signer
        self._signer = signer.ok_value
        listening = self._inbox.listen(self._me.host, self._cfg.port)
        if isinstance(listening, Err):
            return listening
        self._port = listening.ok_value
        self._send_regular()
        self._tick()
        return listening

    def close(self) -> None:
        """Close all connections and fail every open request."""
        self._closed = True
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
        self._open_requests.close()
        self._links.close()
        self._inbox.close()

    def set_members(self, members: Sequence[Member]) -> None:
        """Apply the entry instances of a new instance list."""
        if not self._closed:
            self._apply(self._roster.set_members(members, self._clock.now()))
            self._notify_listeners()

    def dial_unlisted(self, members: Sequence[Member]) -> None:
        """Dial instances that no list has contained, to find out whether they exist."""
        if not self._closed:
            self._apply(self._roster.add_unlisted(members, self._clock.now()))

    def live(self) -> list[str]:
        """Return the sorted ids of this instance and of the live peers that are not leaving."""
        return self._live

    def views(self) -> list[PeerView]:
        """Return a view of each peer for the operators."""
        return self._roster.views(self._clock.now())

    def silent(self) -> frozenset[str]:
        """Return the neighbours that are unreachable and have not reported that they leave."""
        return self._roster.silent()

    def silent_hub_candidates(self) -> frozenset[str]:
        """Return the neighbours that may be hubs and are silent, but are not listed as lost."""
        return self._roster.silent_hub_candidates()

    def agreed_live(self) -> frozenset[str]:
        """Return which of the instances that may be hubs are live by a majority of the hubs."""
        return self._agreed_live

    def plan(self) -> LinkPlan:
        """Return the current plan of links; a relay watches the store for its data centre."""
        return self._roster.plan()

    def on_change(self, call: Callable[[], None]) -> None:
        """Call back whenever live(), agreed_live() or the choice of hubs has changed."""
        self._listeners.append(call)

    def on_restart(self, call: Callable[[str], None]) -> None:
        """Call back with each peer that has restarted before it counted as silent."""
        self._restart_listeners.append(call)

    def subscribe(self, kind: type[Message], handler: Handler) -> None:
        """Register a handler that is called with the sender and each message of a kind."""
        self._handlers[kind].append(handler)

    def send(self, peer_id: str, message: Message) -> bool:
        """Send a message to one peer; return False only if it certainly was not sent."""
        now = self._clock.now()
        if not self._links.has(peer_id) and not self._connect_temporary(peer_id, now):
            return False
        return self._send(peer_id, self._encode(message), message, now)

    def broadcast(self, message: Message) -> None:
        """Send a message to every neighbour; neighbours forward changes further."""
        if isinstance(message, ConfigPush | JobChanged):
            self._forwarder.record(message)
        self._broadcast(self._links.neighbours(), message)

    async def send_request(
        self, peer_id: str, make_request: MakeRequest, timeout_ms: int
    ) -> Result[Message, PeerError]:
        """Send a request built with a new request id, and wait for its reply."""
        if self._closed:
            return Err(PeerError.CLOSED)
        if self._roster.get(peer_id) is None:
            return Err(PeerError.NO_PEER)
        correlation_id = self._open_requests.next_id()
        if not self.send(peer_id, make_request(correlation_id)):
            return Err(PeerError.BUSY)
        return await self._open_requests.wait_reply(correlation_id, peer_id, timeout_ms)

    async def wait_further_reply(
        self, peer_id: str, correlation_id: int, timeout_ms: int
    ) -> Result[Message, PeerError]:
        """Wait for a further reply to a request whose earlier reply announced it."""
        if self._closed:
            return Err(PeerError.CLOSED)
        return await self._open_requests.wait_reply(correlation_id, peer_id, timeout_ms)

    def on_uses_changed(self) -> None:
        """Schedule an early heartbeat if needed, as this instance's open calls have changed."""
        if "early" in self._timers or self._closed:
            return
        wait = self._last_sent_at + self._cfg.early_ms - self._clock.now()
        self._timers["early"] = self._clock.call_later(wait, self._send_early)

    def _tick(self) -> None:
        period = min(self._cfg.heartbeat_ms, self._cfg.silent_after_ms // TICKS_PER_SILENCE)
        self._timers["tick"] = self._clock.call_later(period, self._tick)
        now = self._clock.now()
        self._links.close_idle(now)
        self._apply(self._roster.tick(now))

    def _send_regular(self) -> None:
        call_guarded("heartbeat", self._send_own_heartbeat)
        wait = self._interval_ms * self._rand.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        self._timers["beat"] = self._clock.call_later(wait, self._send_regular)

    def _send_own_heartbeat(self) -> None:
        self._send_heartbeat(self._own_heartbeat(), self._clock.now())

    def _send_early(self) -> None:
        del self._timers["early"]
        now = self._clock.now()
        heartbeat = self._own_heartbeat()
        before = self._last_sent or heartbeat._replace(uses=())
        if not is_worth_notifying(before, heartbeat, self._cfg.early_calls):
            return
        full_mesh = self._roster.plan().full_mesh
        near, others = self._call_notifier.recipients(
            self._links.neighbours(), full_mesh, before, heartbeat
        )
        cost = wire_bytes(len(self._encode(heartbeat)), len(near) + len(others))
        if self._budget.has_bytes(cost, now):
            self._budget.spend(cost, now)
            self._send_heartbeat_to(near, self._with_link_state(heartbeat, now))
            self._call_notifier.send(others, heartbeat.uses)
            self._last_sent = heartbeat
            self._last_sent_at = now

    def _own_heartbeat(self) -> Heartbeat:
        heartbeat = self._heartbeat()
        return heartbeat._replace(uses=bound_uses(heartbeat.uses))

    def _send_heartbeat(self, heartbeat: Heartbeat, now: Millis) -> None:
        neighbours = self._links.neighbours()
        size = self._send_heartbeat_to(neighbours, self._with_link_state(heartbeat, now))
        self._call_notifier.resend(neighbours, self._roster.plan().full_mesh, heartbeat.uses)
        min_ms = self._min_interval_ms()
        self._interval_ms = heartbeat_interval_ms(
            min_ms, size, len(neighbours), self._cfg.bytes_per_s
        )
        self._last_sent = heartbeat
        self._last_sent_at = now

    def _min_interval_ms(self) -> int:
        plan = self._roster.plan()
        if plan.full_mesh:
            return self._cfg.heartbeat_ms
        return self._cfg.hub_heartbeat_ms if self._is_hub() else self._cfg.sparse_heartbeat_ms

    def _is_hub(self) -> bool:
        plan = self._roster.plan()
        return not plan.full_mesh and self._me.instance in plan.hubs

    def _with_link_state(self, heartbeat: Heartbeat, now: Millis) -> Heartbeat:
        unavailable = self._roster.unavailable(now) if self._is_hub() else ()
        unreachable = self._roster.unreachable(now)
        return heartbeat._replace(
            unreachable=unreachable, interval_ms=self._interval_ms, unavailable=unavailable
        )

    def _send_heartbeat_to(self, peer_ids: Sequence[str], heartbeat: Heartbeat) -> int:
        """Send a heartbeat and return its size; picked is set for each peer."""
        answered = [peer_id for peer_id in peer_ids if not self._roster.picks(peer_id)]
        picked = [peer_id for peer_id in peer_ids if self._roster.picks(peer_id)]
        if answered:
            self._broadcast(answered, heartbeat._replace(picked=False))
        return self._broadcast(picked, heartbeat)

    def _broadcast(self, peer_ids: Sequence[str], message: Message) -> int:
        """Send one frame to several peers and return its size."""
        now = self._clock.now()
        data = self._encode(message)
        for peer_id in peer_ids:
            self._send(peer_id, data, message, now)
        return len(data)

    def _encode(self, message: Message) -> bytes:
        return self._signer.sign(wire.encode(self._me.instance, message))

    def _send(self, peer_id: str, data: bytes, message: Message, now: Millis) -> bool:
        frame = Outgoing(data, replaceable=isinstance(message, Heartbeat))
        if not self._links.send(peer_id, frame, now):
            return False
        self._counts.count(message, "sent", len(data))
        return True

    def _receive(self, data: bytes) -> None:
        opened = self._signer.verify(data).and_then(wire.decode)
        if isinstance(opened, Err):
            return self._counts.count_refused(opened.err_value)
        sender, message = opened.ok_value
        self._counts.count(message, "received", len(data))
        self._process(sender, message, self._clock.now())
        if self._open_requests.complete(sender, message):
            return None
        for handler in self._handlers[type(message)]:
            call_guarded(f"handler of {type(message).__name__}", handler, sender, message)
        return None

    def _process(self, sender: str, message: Message, now: Millis) -> None:
        """Process what the hub itself needs of a message."""
        if isinstance(message, Heartbeat):
            self._apply(self._roster.on_heartbeat(sender, message, now))
        elif isinstance(message, Hello):
            self._apply(self._roster.on_hello(message, now))
        elif isinstance(message, ConfigPush | JobChanged):
            if not (isinstance(message, JobChanged) and message.number):
                self._forward(sender, message)
        elif isinstance(message, ConfigAsk):
            self._forwarder.graft(sender)
        elif isinstance(message, Prune):
            self._forwarder.prune(sender)

    def _forward(self, sender: str, message: ConfigPush | JobChanged) -> None:
        if self._roster.plan().full_mesh:
            return
        if self._forwarder.record(message) is Novelty.DUPLICATE:
            self._forwarder.prune(sender)
            self.send(sender, Prune())
            return
        self._broadcast(self._forwarder.targets(self._links.neighbours(), sender), message)

    def _apply(self, steps: Sequence[Step]) -> None:
        for step in steps:
            if isinstance(step, Redial):
                self._redial(step.peer_id)
            elif isinstance(step, Disconnect):
                self._links.disconnect(step.peer_id)
            else:
                self._on_peer_change(step)
        if steps:
            self._notify_listeners()

    def _redial(self, peer_id: str) -> None:
        """Open a permanent connection and send a heartbeat at once, ahead of the regular one."""
        address = self._address(peer_id)
        now = self._clock.now()
        if address is not None:
            self._links.connect(peer_id, address, True, now)
            self.send(peer_id, self._hello(self._roster.picks(peer_id)))
            self._send_heartbeat_to([peer_id], self._with_link_state(self._own_heartbeat(), now))

    def _connect_temporary(self, peer_id: str, now: Millis) -> bool:
        address = self._address(peer_id)
        if address is None:
            return False
        self._links.connect(peer_id, address, False, now)
        return True

    def _address(self, peer_id: str) -> Address | None:
        peer = self._roster.get(peer_id)
        return None if peer is None else Address(peer.member.host, peer.member.peer_port)

    def _hello(self, picked: bool) -> Hello:
        me = self._me
        location = (me.host, self._port, me.data_centre, me.region)
        return Hello(me.instance, me.boot, *location, picked, me.hub)

    def _on_peer_change(self, peer_change: PeerChange) -> None:
        if peer_change.change is Change.REMOVED:
            self._links.disconnect(peer_change.peer_id)
        if peer_change.change in (Change.UP, Change.RESTARTED):
            events.emit(events.PEER_UP, peer=peer_change.peer_id, change=peer_change.change.value)
        if peer_change.change is Change.RESTARTED:
            for call in self._restart_listeners:
                call_guarded("restart of a peer", call, peer_change.peer_id)
        if peer_change.change in (Change.DOWN, Change.LEAVING):
            events.emit(events.PEER_DOWN, peer=peer_change.peer_id, change=peer_change.change.value)
        if peer_change.change in (Change.DOWN, Change.REMOVED):
            self._forwarder.reset()

    def _notify_listeners(self) -> None:
        live = self._roster.live()
        hubs = self._roster.plan().hubs
        agreed_live = self._roster.agreed_live(self._clock.now())
        if (live, hubs, agreed_live) == (self._live, self._hubs, self._agreed_live):
            return
        self._agreed_live = agreed_live
        if hubs != self._hubs and not self._roster.plan().full_mesh:
            events.emit(events.HUBS_CHOSEN, hubs=list(hubs), was=list(self._hubs))
        self._live, self._hubs = live, hubs
        self._metrics.peers_live.set(len(live) - 1)
        for call in self._listeners:
            call_guarded("change of the peers", call)
