"""Run the fleet of a chaos run: stand-ins and instances on one reactor, over real sockets."""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple, cast

from result import Err
from twisted.internet.defer import Deferred

from papayapier.clock import Clock, Timers
from papayapier.compose import start_instance
from papayapier.instance import Instance
from papayapier.load.chaos_plan import FaultKind, FleetSizes, PlannedFault
from papayapier.load.pausable_timers import PausableTimers
from papayapier.settings import (
    BatchSettings,
    ConfigSettings,
    DrainSettings,
    EntrySettings,
    InstanceSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    UpstreamSettings,
)
from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.fleet import Fleet, FleetParams, run_fleet
from papayapier.standin.platform import PlatformControl
from papayapier.standin.switches import Control, Mode
from papayapier.store.api import LEAVING

HOST: Final = "127.0.0.1"
ENGINE_UPSTREAM: Final = "assistant"
SERVICE_UPSTREAM: Final = "gate"
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")
BALANCER_LAG_MS: Final = 600
DRAIN_LAG_MS: Final = 1_500
MIN_RUNNING: Final = 2
START_RETRY_MS: Final = 500

# Small and slow engines: the whole chaos run shares one processor core, and saturating it
# would cause timeouts that no injected fault explains.
ENGINE: Final = EngineParams(slots=4, base_ms=25.0, per_sequence_ms=0.5)


class _InstanceState:
    """Hold the state of one instance, which keeps its id when it is restarted."""

    def __init__(self, cfg: Settings, timers: Timers) -> None:
        self.cfg = cfg
        self.timers = PausableTimers(timers)
        self.instance: Instance | None = None
        self.restarting = False
        self.lost_ms = -1
        self.boots = 0


class InstanceRef(NamedTuple):
    """Identify one run of an instance by its number and boot, with its addresses."""

    number: int
    boot: int
    entry: str
    operator: str


class ChaosFleet:
    """Own the stand-ins and the instances, and apply planned faults to them."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rand: random.Random,
        sizes: FleetSizes,
        add_event: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rand = rand
        self._sizes = sizes
        self._add_event = add_event
        self._standins: Fleet | None = None
        self._states: list[_InstanceState] = []
        self._balancer_targets: list[InstanceRef] = []
        self._crashed: set[int] = set()
        self.disturbed_until_ms = 0
        self._leaving_until_ms: dict[int, int] = {}
        self.on_engine_leaving: Callable[[int], None] = lambda _engine: None

    @property
    def standins(self) -> Fleet:
        """Return the stand-ins."""
        assert self._standins is not None
        return self._standins

    async def start(self) -> None:
        """Start everything."""
        params = FleetParams(
            engines=self._sizes.engines,
            services=self._sizes.services,
            engine_upstream=ENGINE_UPSTREAM,
            service_upstream=SERVICE_UPSTREAM,
            data_centres=DATA_CENTRES,
            engine=ENGINE,
        )
        self._standins = await run_fleet(self._reactor, self._clock, params)
        for number in range(self._sizes.instances):
            cfg = _settings(number, self.standins.platform.port)
            self._states.append(_InstanceState(cfg, self._clock.timers))
            await self._start_instance(number)

    def running_instances(self) -> list[InstanceRef]:
        """Return the running instances, including those that the balancer does not know yet."""
        return [
            self._instance_ref(number, state)
            for number, state in enumerate(self._states)
            if state.instance is not None
        ]

    def pick_instance(self) -> InstanceRef | None:
        """Choose an instance as the load balancer does, which learns of changes after a lag."""
        return self._rand.choice(self._balancer_targets) if self._balancer_targets else None

    def was_lost(self, ref: InstanceRef) -> bool:
        """Return whether an instance has been lost since the reference was taken."""
        state = self._states[ref.number]
        return state.boots != ref.boot or state.lost_ms >= 0

    def apply(self, event: PlannedFault) -> None:
        """Start a fault and schedule its end."""
        match event.kind:
            case FaultKind.ENGINE:
                self._replica_fault(self.standins.engines[event.target], event)
            case FaultKind.SERVICE:
                self._replica_fault(self.standins.services[event.target], event)
            case FaultKind.PLATFORM:
                self._platform_fault(event)
            case FaultKind.LEAVE:
                self._start_leaving(event)
            case FaultKind.PAUSE:
                self._pause(event)
            case FaultKind.STOP | FaultKind.LOSE:
                self._stop_instance(event)

    def clear_faults(self) -> None:
        """End all faults at once.

        Leaving engines are listed as live again. Updating disturbed_until_ms voids the open
        checks of leaving engines, which would otherwise report ordinary calls as violations.
        """
        self.disturbed_until_ms = max(self.disturbed_until_ms, self._clock.now())
        self._clear_platform_faults()
        for replica in (*self.standins.engines, *self.standins.services):
            self._clear_replica_fault(replica)
        for member in self.standins.members:
            self.standins.platform.register(member)
        for state in self._states:
            state.timers.resume()

    async def close(self) -> None:
        """Stop everything."""
        for state in self._states:
            state.timers.resume()
            if state.instance is not None:
                await state.instance.shut_down()
        await self.standins.close()

    def _replica_fault(self, replica: Any, event: PlannedFault) -> None:
        if event.control.get("mode") == Mode.CRASH.value:
            self._crashed.add(replica.port)
        replica.control(cast(Control, _with_mode(event.control)))
        self._clock.call_later(event.ms, lambda: self._clear_replica_fault(replica))

    def _clear_replica_fault(self, replica: Any) -> None:
        if replica.port in self._crashed:
            self._crashed.discard(replica.port)
            self._run_in_background("restart of a replica", replica.restart())
        replica.control(cast(Control, {"mode": Mode.OK, "slow_factor": 1.0}))

    def _platform_fault(self, event: PlannedFault) -> None:
        self.standins.platform.control(cast(PlatformControl, event.control))
        self.disturbed_until_ms = max(self.disturbed_until_ms, self._clock.now() + event.ms)
        self._clock.call_later(event.ms, self._clear_platform_faults)

    def _clear_platform_faults(self) -> None:
        self.standins.platform.control(NO_FAULTS)

    def _start_leaving(self, event: PlannedFault) -> None:
        member = self.standins.members[event.target]
        self.standins.platform.register(member._replace(state=LEAVING))
        self.on_engine_leaving(event.target)
        until_ms = self._clock.now() + event.ms
        self._leaving_until_ms[event.target] = until_ms

        def end_fault() -> None:
            # Another event may have made the same engine leave again in the meantime.
            if self._leaving_until_ms[event.target] == until_ms:
                self.standins.platform.register(member)

        self._clock.call_later(event.ms, end_fault)

    def _pause(self, event: PlannedFault) -> None:
        timers = self._states[event.target].timers
        timers.pause()
        self.disturbed_until_ms = max(self.disturbed_until_ms, self._clock.now() + event.ms)
        self._clock.call_later(event.ms, timers.resume)

    def _stop_instance(self, event: PlannedFault) -> None:
        """Stop or crash an instance, unless too few would be left; restart it later."""
        state = self._states[event.target]
        running = sum(
            1 for other in self._states if other.instance is not None and not other.restarting
        )
        if state.restarting or state.instance is None or running <= MIN_RUNNING:
            self._add_event(f"skipped: {event.text()}")
            return
        state.restarting = True
        state.timers.resume()
        coroutine = self._stop_and_restart(event, state, state.instance)
        self._run_in_background(
            f"{event.kind.value} {event.target}", Deferred.fromCoroutine(coroutine)
        )

    async def _stop_and_restart(
        self, event: PlannedFault, state: _InstanceState, instance: Instance
    ) -> None:
        if event.kind is FaultKind.LOSE:
            state.lost_ms = self._clock.now()
            self._clock.call_later(BALANCER_LAG_MS, self._update_balancer)
            await instance.crash()
            # Pending timers of the crashed instance must not run any more.
            state.timers.stop_permanently()
            state.timers = PausableTimers(self._clock.timers)
        else:
            self._clock.call_later(BALANCER_LAG_MS, self._update_balancer)
            await instance.shut_down()
        state.instance = None
        self._update_balancer()
        await self._clock.sleep(event.ms)
        await self._start_instance(event.target)

    async def _start_instance(self, number: int) -> None:
        """Start an instance, retrying while an outage of the platform prevents it."""
        state = self._states[number]
        while True:
            rand = random.Random(self._rand.getrandbits(64))
            clock = Clock(state.timers, self._clock.wall_source)
            started = await start_instance(self._reactor, clock, state.cfg, rand)
            if not isinstance(started, Err):
                break
            self._add_event(f"instance {number} failed to start: {started.err_value}")
            await self._clock.sleep(START_RETRY_MS)
        state.instance = started.ok_value
        state.boots += 1
        state.lost_ms = -1
        state.restarting = False
        self._clock.call_later(BALANCER_LAG_MS, self._update_balancer)

    def _update_balancer(self) -> None:
        """Update the balancer's list of instances that accept requests."""
        self._balancer_targets = [
            self._instance_ref(number, state)
            for number, state in enumerate(self._states)
            if state.instance is not None and not state.restarting
        ]

    def _instance_ref(self, number: int, state: _InstanceState) -> InstanceRef:
        assert state.instance is not None
        ports = state.instance.ports
        return InstanceRef(number, state.boots, f"{HOST}:{ports.entry}", f"{HOST}:{ports.operator}")

    def _run_in_background(self, what: str, task: "Deferred[Any]") -> None:
        task.addErrback(lambda failure: self._add_event(f"FAILED {what}: {failure.getTraceback()}"))


NO_FAULTS: Final[PlatformControl] = {
    "outage": False,
    "slow_ms": 0,
    "lose_answers": 0,
    "drop_watches": False,
    "reads_per_s": 2_000,
    "writes_per_s": 400,
}


def _with_mode(control: dict[str, Any]) -> dict[str, Any]:
    if "mode" not in control:
        return control
    return {**control, "mode": Mode(control["mode"])}


def _settings(number: int, platform_port: int) -> Settings:
    """Return settings with short timeouts, so that recoveries complete within a short run."""
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return Settings(
        instance=InstanceSettings(f"entry-{number + 1}", data_centre, "local", HOST),
        platform=PlatformSettings(HOST, platform_port, timeout_ms=1_000),
        entry=EntrySettings(port=0),
        operator=OperatorSettings(port=0),
        peer=PeerSettings(port=0, heartbeat_ms=300, silent_after_ms=1_200),
        upstream=UpstreamSettings(first_byte_ms=4_000),
        batch=BatchSettings(shards=8, lease_ms=3_000, renew_ms=1_000, chunk_items=40),
        config=ConfigSettings(poll_ms=1_000, watch_ms=4_000),
        drain=DrainSettings(balancer_lag_ms=DRAIN_LAG_MS, limit_ms=60_000),
    )
