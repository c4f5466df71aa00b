"""Hold one running instance, and stop it without cutting off a request.

A planned stop goes in steps (policy.drain): the instance shows itself as leaving and goes on
serving until the balancer has noticed; then it stops listening and takes no new work; it
ends when nothing is under way. Work that others can take over is given back at once.
"""

from typing import TYPE_CHECKING, Any, Final, NamedTuple

from result import Err
from twisted.internet.defer import maybeDeferred

from papayapier import events, invariants
from papayapier.errors import ErrorKind, Refusal, not_run
from papayapier.invariants import Promise, check

if TYPE_CHECKING:
    from papayapier.batch.start import Batch
    from papayapier.claims.service import Claims
    from papayapier.clock import Clock, Timer
    from papayapier.config.start import Config
    from papayapier.dispatch.lanes import BatchLanes
    from papayapier.dispatch.online import OnlineDispatch
    from papayapier.fleet_view import FleetView
    from papayapier.listen import Listening
    from papayapier.metrics import Metrics
    from papayapier.peer.hub import PeerHub
    from papayapier.policy.drain import Drain
    from papayapier.store.api import Store
    from papayapier.store.members import MemberFollower, Reporter
    from papayapier.upstream.api import Upstreams
    from papayapier.upstream.reports import Reports

DRAIN_TICK_MS: Final = 50
PULSE_MS: Final = 250
CLAIMS_LIMIT_MS: Final = 10_000
PAUSE_FACTOR: Final = 4


class Ports(NamedTuple):
    """Name the ports in use."""

    entry: int
    operator: int
    peer: int


class Parts(NamedTuple):
    """Group the parts of an instance that stop with it."""

    clock: "Clock"
    drain: "Drain"
    hub: "PeerHub"
    config: "Config"
    online: "OnlineDispatch"
    lanes: "BatchLanes"
    batch: "Batch"
    claims: "Claims"
    reports: "Reports"
    upstreams: "Upstreams"
    follower: "MemberFollower"
    reporter: "Reporter"
    store: "Store"


class Readiness:
    """Tell whether this instance should get requests, and why not."""

    def __init__(
        self, clock: "Clock", drain: "Drain", config: "Config", fleet: "FleetView"
    ) -> None:
        self._clock = clock
        self._drain = drain
        self._config = config
        self._fleet = fleet
        self._was_ready = False

    def state(self) -> str:
        """Return the stage of the instance's life."""
        return self._drain.state()

    def why_not(self) -> str:
        """Return the reason why the instance is not ready, or nothing."""
        reason = self._reason()
        if self._was_ready != (not reason):
            self._was_ready = not reason
            events.emit(events.NOT_READY if reason else events.READY, reason=reason)
        return reason

    def _reason(self) -> str:
        if self._drain.state() != "serving":
            return "the instance is leaving"
        fresh = self._config.ready(self._clock.now())
        if isinstance(fresh, Err):
            return fresh.err_value
        if not self._fleet.upstream_names():
            return "no upstream is listed"
        return ""

    def refusing(self) -> Refusal | None:
        """Return the refusal that new requests get, if any.

        An instance that is leaving still serves until the balancer has noticed; one that
        only lost sight of the store still serves by the configuration that it has.
        """
        if self._drain.accepts():
            return None
        return not_run(ErrorKind.LEAVING, "the instance is shutting down", PULSE_MS)


class Instance:
    """Own the lifecycle of a running instance."""

    def __init__(
        self,
        parts: Parts,
        ports: Ports,
        listening: "tuple[Listening, ...]",
        metrics: "Metrics",
    ) -> None:
        self.ports = ports
        self.metrics = metrics
        self.parts = parts
        self._listening = listening
        self._pulse_timer: Timer | None = None
        self._last_pulse = parts.clock.now()

    def start(self) -> None:
        """Begin the regular checks of this process."""
        self._pulse()

    def _pulse(self) -> None:
        """Notice pauses of the process, and publish counts."""
        now = self.parts.clock.now()
        late = now - self._last_pulse - PULSE_MS
        if late > PAUSE_FACTOR * PULSE_MS:
            events.emit(events.PROCESS_PAUSED, late_ms=late)
        self._last_pulse = now
        self.metrics.invariant_failures.set(invariants.broken_count())
        self.metrics.peers_live.set(len(self.parts.hub.live()) - 1)
        self._pulse_timer = self.parts.clock.call_later(PULSE_MS, self._pulse)

    async def leave(self) -> None:
        """Stop gracefully; returns when nothing is left under way."""
        parts = self.parts
        parts.drain.leave(parts.clock.now())
        events.emit(events.PROCESS_LEAVING, under_way=parts.online.under_way())
        parts.reporter.mark_leaving()
        await parts.batch.stop()
        await self._drained()
        check(parts.online.under_way() == 0, Promise.DRAIN_WHOLE, left=parts.online.under_way())
        # A claim whose end is not in the store would be unknown to everybody from now on.
        await parts.claims.drain(parts.clock.now() + CLAIMS_LIMIT_MS)
        await parts.reporter.withdraw()
        await self._close()

    async def _drained(self) -> None:
        parts = self.parts
        listening = True
        while True:
            state = parts.drain.tick(parts.clock.now(), parts.online.under_way())
            if listening and state in ("draining", "stopped"):
                await self._stop_listening()
                listening = False
            if state == "stopped":
                return
            await parts.clock.sleep(DRAIN_TICK_MS)

    async def _stop_listening(self) -> None:
        for one in self._listening:
            await maybeDeferred(one.handle.stopListening)

    async def kill(self) -> None:
        """Vanish as a lost machine would: say nothing to anybody, drop every connection."""
        self.parts.drain.abandon()
        await self._stop_listening()
        self.parts.hub.close()
        await self.parts.upstreams.close()
        await self.parts.store.close()
        await self._close()

    async def _close(self) -> None:
        parts = self.parts
        if self._pulse_timer is not None and self._pulse_timer.active():
            self._pulse_timer.cancel()
        parts.follower.stop()
        parts.reporter.stop()
        parts.reports.close()
        parts.online.close()
        parts.claims.stop()
        parts.lanes.close()
        await parts.config.stop()
        parts.hub.close()
        for one in self._listening:
            _close_connections(one)
        await parts.upstreams.close()
        await parts.store.close()


def _close_connections(listening: "Listening") -> None:
    """Close what is still open, which by now is only idle kept connections."""
    channels: Any = getattr(listening.site, "channels", ())
    for channel in list(channels):
        channel.loseConnection()
