"""Run the fleet of a chaos run: stand-ins and instances on one reactor, over real sockets."""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple, cast

from result import Err
from twisted.internet.defer import Deferred

from papayapier.clock import Clock, Timers
from papayapier.compose import start_instance
from papayapier.instance import Instance
from papayapier.load.chaos_plan import Kind, Planned, Sizes
from papayapier.load.pausing import PausableTimers
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
from papayapier.standin.platform import PlatformControl
from papayapier.standin.run import Fleet, FleetParams, run_fleet
from papayapier.standin.switches import Control, Mode
from papayapier.store.api import LEAVING

HOST: Final = "127.0.0.1"
ENGINES_NAME: Final = "assistant"
SERVICES_NAME: Final = "gate"
DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")
BALANCER_LAG_MS: Final = 600
DRAIN_LAG_MS: Final = 1_500
FEWEST_RUNNING: Final = 2
START_AGAIN_MS: Final = 500

# Small and slow engines: the whole chaos run shares one processor core, and saturating it
# would cause timeouts that no injected fault explains.
ENGINE: Final = EngineParams(slots=4, base_ms=25.0, per_sequence_ms=0.5)


class _Place:
    """Hold the state of one instance, which keeps its id when it is restarted."""

    def __init__(self, cfg: Settings, timers: Timers) -> None:
        self.cfg = cfg
        self.timers = PausableTimers(timers)
        self.instance: Instance | None = None
        self.changing = False
        self.lost_ms = -1
        self.boots = 0


class Spot(NamedTuple):
    """Identify one run of an instance by its number and boot, with its addresses."""

    place: int
    boot: int
    entry: str
    operator: str


class World:
    """Own the stand-ins and the instances, and apply planned faults to them."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        rand: random.Random,
        sizes: Sizes,
        note: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._rand = rand
        self._sizes = sizes
        self._note = note
        self._fleet: Fleet | None = None
        self._places: list[_Place] = []
        self._balanced: list[Spot] = []
        self._crashed: set[int] = set()
        self.disturbed_ms = 0
        self._leaving_until: dict[int, int] = {}
        self.leaving_watch: Callable[[int], None] = lambda _engine: None

    @property
    def fleet(self) -> Fleet:
        """Return the stand-ins."""
        assert self._fleet is not None
        return self._fleet

    async def start(self) -> None:
        """Start everything."""
        params = FleetParams(
            engines=self._sizes.engines,
            services=self._sizes.services,
            engine_upstream=ENGINES_NAME,
            service_upstream=SERVICES_NAME,
            data_centres=DATA_CENTRES,
            engine=ENGINE,
        )
        self._fleet = await run_fleet(self._reactor, self._clock, params)
        for number in range(self._sizes.instances):
            cfg = _settings(number, self.fleet.platform.port)
            self._places.append(_Place(cfg, self._clock.timers))
            await self._start_instance(number)

    def spots(self) -> list[Spot]:
        """Return the running instances, including those that the balancer does not know yet."""
        return [
            self._spot(number, place)
            for number, place in enumerate(self._places)
            if place.instance is not None
        ]

    def pick(self) -> Spot | None:
        """Choose an instance as the load balancer does, which learns of changes after a lag."""
        return self._rand.choice(self._balanced) if self._balanced else None

    def was_lost(self, spot: Spot) -> bool:
        """Return whether an instance has been lost since the reference was taken."""
        place = self._places[spot.place]
        return place.boots != spot.boot or place.lost_ms >= 0

    def apply(self, event: Planned) -> None:
        """Start a fault and schedule its end."""
        match event.kind:
            case Kind.ENGINE:
                self._replica_fault(self.fleet.engines[event.target], event)
            case Kind.SERVICE:
                self._replica_fault(self.fleet.services[event.target], event)
            case Kind.PLATFORM:
                self._platform_fault(event)
            case Kind.LEAVE:
                self._replica_leaves(event)
            case Kind.PAUSE:
                self._pause(event)
            case Kind.STOP | Kind.LOSE:
                self._take_down(event)

    def heal(self) -> None:
        """End all faults at once.

        Leaving engines are listed as live again. Updating disturbed_ms voids the open checks
        for new requests at leaving engines, which would otherwise report ordinary calls.
        """
        self.disturbed_ms = max(self.disturbed_ms, self._clock.now())
        self._heal_platform()
        for replica in (*self.fleet.engines, *self.fleet.services):
            self._heal_replica(replica)
        for member in self.fleet.members:
            self.fleet.platform.register(member)
        for place in self._places:
            place.timers.resume()

    async def close(self) -> None:
        """Stop everything."""
        for place in self._places:
            place.timers.resume()
            if place.instance is not None:
                await place.instance.leave()
        await self.fleet.close()

    def _replica_fault(self, replica: Any, event: Planned) -> None:
        if event.control.get("mode") == Mode.CRASH.value:
            self._crashed.add(replica.port)
        replica.control(cast(Control, _with_mode(event.control)))
        self._clock.call_later(event.ms, lambda: self._heal_replica(replica))

    def _heal_replica(self, replica: Any) -> None:
        if replica.port in self._crashed:
            self._crashed.discard(replica.port)
            self._background("restart of a replica", replica.restart())
        replica.control(cast(Control, {"mode": Mode.OK, "slow_factor": 1.0}))

    def _platform_fault(self, event: Planned) -> None:
        self.fleet.platform.control(cast(PlatformControl, event.control))
        self.disturbed_ms = max(self.disturbed_ms, self._clock.now() + event.ms)
        self._clock.call_later(event.ms, self._heal_platform)

    def _heal_platform(self) -> None:
        self.fleet.platform.control(NO_FAULTS)

    def _replica_leaves(self, event: Planned) -> None:
        member = self.fleet.members[event.target]
        self.fleet.platform.register(member._replace(state=LEAVING))
        self.leaving_watch(event.target)
        until_ms = self._clock.now() + event.ms
        self._leaving_until[event.target] = until_ms

        def end() -> None:
            # Another event may have made the same engine leave again in the meantime.
            if self._leaving_until[event.target] == until_ms:
                self.fleet.platform.register(member)

        self._clock.call_later(event.ms, end)

    def _pause(self, event: Planned) -> None:
        timers = self._places[event.target].timers
        timers.pause()
        self.disturbed_ms = max(self.disturbed_ms, self._clock.now() + event.ms)
        self._clock.call_later(event.ms, timers.resume)

    def _take_down(self, event: Planned) -> None:
        """Stop or kill an instance, unless too few would be left; restart it later."""
        place = self._places[event.target]
        running = sum(1 for one in self._places if one.instance is not None and not one.changing)
        if place.changing or place.instance is None or running <= FEWEST_RUNNING:
            self._note(f"skipped: {event.text()}")
            return
        place.changing = True
        place.timers.resume()
        down = self._down(event, place, place.instance)
        self._background(f"{event.kind.value} {event.target}", Deferred.fromCoroutine(down))

    async def _down(self, event: Planned, place: _Place, instance: Instance) -> None:
        if event.kind is Kind.LOSE:
            place.lost_ms = self._clock.now()
            self._clock.call_later(BALANCER_LAG_MS, self._rebalance)
            await instance.kill()
            # Pending timers of the killed instance must not run any more.
            place.timers.end()
            place.timers = PausableTimers(self._clock.timers)
        else:
            self._clock.call_later(BALANCER_LAG_MS, self._rebalance)
            await instance.leave()
        place.instance = None
        self._rebalance()
        await self._clock.sleep(event.ms)
        await self._start_instance(event.target)

    async def _start_instance(self, number: int) -> None:
        """Start an instance, retrying while an outage of the platform prevents it."""
        place = self._places[number]
        while True:
            rand = random.Random(self._rand.getrandbits(64))
            clock = Clock(place.timers, self._clock.wall_source)
            started = await start_instance(self._reactor, clock, place.cfg, rand)
            if not isinstance(started, Err):
                break
            self._note(f"instance {number} failed to start: {started.err_value}")
            await self._clock.sleep(START_AGAIN_MS)
        place.instance = started.ok_value
        place.boots += 1
        place.lost_ms = -1
        place.changing = False
        self._clock.call_later(BALANCER_LAG_MS, self._rebalance)

    def _rebalance(self) -> None:
        """Update the balancer's list of instances that accept requests."""
        self._balanced = [
            self._spot(number, place)
            for number, place in enumerate(self._places)
            if place.instance is not None and not place.changing
        ]

    def _spot(self, number: int, place: _Place) -> Spot:
        assert place.instance is not None
        ports = place.instance.ports
        return Spot(number, place.boots, f"{HOST}:{ports.entry}", f"{HOST}:{ports.operator}")

    def _background(self, what: str, work: "Deferred[Any]") -> None:
        work.addErrback(lambda failure: self._note(f"FAILED {what}: {failure.getTraceback()}"))


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
