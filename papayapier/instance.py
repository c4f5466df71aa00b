"""Hold one running instance, tell whether it is ready, and end it."""

from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err

from papayapier import events, invariants
from papayapier.errors import ErrorKind, Refusal, not_run
from papayapier.stopping import PlannedStop, StopDeps, stop_listening

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.batch.start import Batch
    from papayapier.claims.service import Claims
    from papayapier.clock import Clock, Timer
    from papayapier.config.start import Config
    from papayapier.dispatch.lanes import BatchLanes
    from papayapier.dispatch.online import OnlineDispatch
    from papayapier.fleet_view import FleetView
    from papayapier.listen import Listening
    from papayapier.metrics import Metrics
    from papayapier.orders.controller import OrderControl
    from papayapier.peer.hub import PeerHub
    from papayapier.peer.loss_news import LossNews
    from papayapier.policy.drain import Drain
    from papayapier.store.api import Store
    from papayapier.store.members import MemberFollower, Reporter
    from papayapier.store.members_folder import MembersFolder
    from papayapier.upstream.api import Upstreams
    from papayapier.upstream.reports import Reports

PULSE_MS: Final = 250
CLAIMS_LIMIT_MS: Final = 10_000
PAUSE_FACTOR: Final = 4


class Ports(NamedTuple):
    """Name the ports in use."""

    entry: int
    operator: int
    peer: int


class Parts(NamedTuple):
    """Group the parts of an instance that stop with it; publish brings metrics up to date."""

    clock: "Clock"
    drain: "Drain"
    hub: "PeerHub"
    loss_news: "LossNews"
    config: "Config"
    online: "OnlineDispatch"
    lanes: "BatchLanes"
    batch: "Batch"
    claims: "Claims"
    orders: "OrderControl"
    reports: "Reports"
    upstreams: "Upstreams"
    follower: "MemberFollower"
    reporter: "Reporter"
    store: "Store"
    publish: "Callable[[int], None]"
    members_folder: "MembersFolder"


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
        self.parts.publish(now)
        self.metrics.peers_live.set(len(self.parts.hub.live()) - 1)
        self._pulse_timer = self.parts.clock.call_later(PULSE_MS, self._pulse)

    async def leave(self) -> None:
        """Stop gracefully; returns when nothing is left under way, or at the limit."""
        parts = self.parts
        stop = PlannedStop(
            StopDeps(
                clock=parts.clock,
                drain=parts.drain,
                listening=self._listening,
                online=parts.online.under_way,
                items=parts.lanes.under_way,
                hand_over=parts.batch.stop,
            )
        )
        parts.reporter.mark_leaving()
        await parts.orders.stop()
        try:
            await stop.run()
        finally:
            # A claim whose end is not in the store would be unknown to everybody from now on.
            await parts.claims.drain(parts.clock.now() + CLAIMS_LIMIT_MS)
            await parts.reporter.withdraw()
            await self._close()

    async def kill(self) -> None:
        """Vanish as a lost machine would: say nothing to anybody, drop every connection."""
        parts = self.parts
        parts.drain.abandon()
        # First whatever could still be heard of this instance, then what runs on it.
        parts.claims.stop()
        parts.loss_news.close()
        parts.hub.close()
        self._drop_connections()
        await stop_listening(self._listening)
        self._drop_connections()
        await parts.upstreams.close()
        await parts.store.close()
        # With the store closed, this cannot give back the controller's lease.
        await parts.orders.stop()
        await self._close()

    async def _close(self) -> None:
        parts = self.parts
        if self._pulse_timer is not None and self._pulse_timer.active():
            self._pulse_timer.cancel()
        parts.follower.stop()
        parts.members_folder.close()
        parts.reporter.stop()
        parts.reports.close()
        parts.online.close()
        parts.claims.stop()
        parts.lanes.close()
        await parts.config.stop()
        parts.loss_news.close()
        parts.hub.close()
        self._drop_connections()
        await parts.upstreams.close()
        await parts.store.close()

    def _drop_connections(self) -> None:
        for one in self._listening:
            one.site.close_all()
