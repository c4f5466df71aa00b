"""Own the lifecycle of a running instance: readiness, periodic checks and shutdown."""

from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err

from papayapier import events, invariants
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.graceful_shutdown import GracefulShutdown, ShutdownDeps, stop_listening

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.batch.start import Batch
    from papayapier.claims.service import Claims
    from papayapier.clock import Clock, Timer
    from papayapier.config.start import ConfigService
    from papayapier.dispatch.item_dispatch import ItemDispatch
    from papayapier.dispatch.online import OnlineDispatch
    from papayapier.fleet_view import FleetView
    from papayapier.listen import ListeningPort
    from papayapier.metrics import Metrics
    from papayapier.orders.controller import OrderController
    from papayapier.peer.hub import PeerHub
    from papayapier.peer.loss_exchange import LossExchange
    from papayapier.policy.drain import Drain
    from papayapier.store.api import Store
    from papayapier.store.members import MemberFollower, MemberReporter
    from papayapier.store.members_file import MembersFile
    from papayapier.upstream.api import UpstreamClient
    from papayapier.upstream.load_polls import LoadPolls

CHECK_INTERVAL_MS: Final = 250
CLAIMS_DRAIN_TIMEOUT_MS: Final = 10_000
# A check that is late by more than so many intervals is logged as a pause of the process.
PAUSE_INTERVALS: Final = 4


class Ports(NamedTuple):
    """Hold the port numbers in use."""

    entry: int
    operator: int
    peer: int


class Components(NamedTuple):
    """Group the components that stop with the instance; publish updates the metrics."""

    clock: "Clock"
    drain: "Drain"
    hub: "PeerHub"
    loss_exchange: "LossExchange"
    config: "ConfigService"
    online: "OnlineDispatch"
    item_dispatch: "ItemDispatch"
    batch: "Batch"
    claims: "Claims"
    orders: "OrderController"
    load_polls: "LoadPolls"
    upstreams: "UpstreamClient"
    follower: "MemberFollower"
    reporter: "MemberReporter"
    store: "Store"
    publish: "Callable[[int], None]"
    members_file: "MembersFile"


class Readiness:
    """Decide whether this instance should receive requests."""

    def __init__(
        self, clock: "Clock", drain: "Drain", config: "ConfigService", fleet: "FleetView"
    ) -> None:
        self._clock = clock
        self._drain = drain
        self._config = config
        self._fleet = fleet
        self._was_ready = False

    def state(self) -> str:
        """Return the stage of the drain: serving, leaving, draining or stopped."""
        return self._drain.state()

    def not_ready_reason(self) -> str:
        """Return why the instance is not ready, or an empty string if it is."""
        reason = self._reason()
        if self._was_ready != (not reason):
            self._was_ready = not reason
            events.emit(events.NOT_READY if reason else events.READY, reason=reason)
        return reason

    def _reason(self) -> str:
        if self._drain.state() != "serving":
            return "the instance is leaving"
        fresh = self._config.check_ready(self._clock.now())
        if isinstance(fresh, Err):
            return fresh.err_value
        if not self._fleet.upstream_names():
            return "no upstream is listed"
        return ""

    def get_refusal(self) -> Refusal | None:
        """Return the refusal that new requests get, if any.

        A leaving instance still serves until the balancer has taken it out; an instance that
        only cannot reach the store still serves with the configuration that it has.
        """
        if self._drain.accepts():
            return None
        return not_run_refusal(
            ErrorKind.LEAVING, "the instance is shutting down", CHECK_INTERVAL_MS
        )


class Instance:
    """Own the lifecycle of a running instance."""

    def __init__(
        self,
        components: Components,
        ports: Ports,
        listening: "tuple[ListeningPort, ...]",
        metrics: "Metrics",
    ) -> None:
        self.ports = ports
        self.metrics = metrics
        self.components = components
        self._listening = listening
        self._check_timer: Timer | None = None
        self._last_check_ms = components.clock.now()

    def start(self) -> None:
        """Start the periodic checks of this process."""
        self._run_checks()

    def _run_checks(self) -> None:
        """Detect pauses of the process, and publish metrics."""
        self._check_timer = self.components.clock.call_later(CHECK_INTERVAL_MS, self._run_checks)
        now = self.components.clock.now()
        late = now - self._last_check_ms - CHECK_INTERVAL_MS
        if late > PAUSE_INTERVALS * CHECK_INTERVAL_MS:
            events.emit(events.PROCESS_PAUSED, late_ms=late)
        self._last_check_ms = now
        self.metrics.invariant_failures.set(invariants.violation_count())
        self.components.publish(now)
        self.metrics.peers_live.set(len(self.components.hub.live()) - 1)

    async def shut_down(self) -> None:
        """Shut down gracefully; return when no work is left, or at the time limit."""
        components = self.components
        stop = GracefulShutdown(
            ShutdownDeps(
                clock=components.clock,
                drain=components.drain,
                listening=self._listening,
                online_count=components.online.unfinished_count,
                item_count=components.item_dispatch.unfinished_count,
                hand_over=components.batch.stop,
            )
        )
        components.reporter.mark_leaving()
        await components.orders.stop()
        try:
            await stop.run()
        finally:
            # After the exit, nobody knows the outcome of a claim that is not in the store.
            await components.claims.drain(components.clock.now() + CLAIMS_DRAIN_TIMEOUT_MS)
            await components.reporter.withdraw()
            await self._close()

    async def crash(self) -> None:
        """Stop as a crashed machine does: send nothing and drop all connections."""
        components = self.components
        components.drain.abandon()
        # First everything that could still send to others, then what runs here.
        components.claims.stop()
        components.loss_exchange.close()
        components.hub.close()
        self._drop_connections()
        await stop_listening(self._listening)
        self._drop_connections()
        await components.upstreams.close()
        await components.store.close()
        # Now that the store client is closed, this cannot release the controller's lease.
        await components.orders.stop()
        await self._close()

    async def _close(self) -> None:
        components = self.components
        if self._check_timer is not None and self._check_timer.active():
            self._check_timer.cancel()
        components.follower.stop()
        components.members_file.close()
        components.reporter.stop()
        components.load_polls.close()
        components.online.close()
        components.claims.stop()
        components.item_dispatch.close()
        await components.config.stop()
        components.loss_exchange.close()
        components.hub.close()
        self._drop_connections()
        await components.upstreams.close()
        await components.store.close()

    def _drop_connections(self) -> None:
        for port in self._listening:
            port.site.close_all()
