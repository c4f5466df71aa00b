"""Start a fleet of stand-ins: one platform, model engines and plain services."""

from typing import Any, Final, NamedTuple

from papayapier.clock import Clock
from papayapier.standin.engine import EngineServer, start_engine
from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.platform import PlatformParams, PlatformServer, start_platform
from papayapier.standin.service import ServiceParams, ServiceServer, start_service
from papayapier.store.api import LIVE, REPLICA, Member

DATA_CENTRES: Final = ("dc-a", "dc-b", "dc-c")


class FleetParams(NamedTuple):
    """Set the size of a fleet; data centres are assigned round robin.

    platform_port 0 picks a free port. first is the number of the first replica of each
    upstream, so that two fleets can share a platform.
    """

    engines: int = 9
    services: int = 3
    host: str = "127.0.0.1"
    platform_port: int = 0
    engine_upstream: str = "lm"
    service_upstream: str = "gate"
    data_centres: tuple[str, ...] = DATA_CENTRES
    region: str = "local"
    first: int = 1
    platform: PlatformParams = PlatformParams()
    engine: EngineParams = EngineParams()
    service: ServiceParams = ServiceParams()


class Replicas(NamedTuple):
    """Hold running replicas and their records in the instance list, engines first."""

    engines: list[EngineServer]
    services: list[ServiceServer]
    members: list[Member]

    async def close(self) -> None:
        """Stop all of them."""
        for engine in self.engines:
            await engine.close()
        for service in self.services:
            await service.close()


class Fleet(NamedTuple):
    """Hold a running platform and its replicas."""

    platform: PlatformServer
    engines: list[EngineServer]
    services: list[ServiceServer]
    members: list[Member]

    async def close(self) -> None:
        """Stop all of them."""
        await Replicas(self.engines, self.services, self.members).close()
        await self.platform.close()


async def run_fleet(reactor: Any, clock: Clock, fleet: FleetParams) -> Fleet:
    """Start a platform and replicas, and list the replicas as static members.

    Unless an address is configured, the engines read their weights from the platform.
    """
    platform = await start_platform(reactor, clock, fleet.platform, fleet.host, fleet.platform_port)
    if not fleet.engine.weights.address:
        source = fleet.engine.weights._replace(address=f"{fleet.host}:{platform.port}")
        fleet = fleet._replace(engine=fleet.engine._replace(weights=source))
    replicas = await run_replicas(reactor, clock, fleet)
    for member in replicas.members:
        platform.register(member)
    return Fleet(platform, *replicas)


async def run_replicas(reactor: Any, clock: Clock, fleet: FleetParams) -> Replicas:
    """Start replicas only; the caller registers them with a platform."""
    replicas = Replicas([], [], [])
    for index in range(fleet.engines):
        params = fleet.engine._replace(seed=fleet.engine.seed + index)
        engine = await start_engine(reactor, clock, params, fleet.host, 0)
        replicas.engines.append(engine)
        replicas.members.append(_member(fleet, fleet.engine_upstream, index, engine.port))
    for index in range(fleet.services):
        service = await start_service(reactor, clock, fleet.service, fleet.host, 0)
        replicas.services.append(service)
        replicas.members.append(_member(fleet, fleet.service_upstream, index, service.port))
    return replicas


def _member(fleet: FleetParams, upstream: str, index: int, port: int) -> Member:
    return Member(
        id=f"{upstream}-{fleet.first + index}",
        kind=REPLICA,
        upstream=upstream,
        host=fleet.host,
        port=port,
        peer_port=0,
        data_centre=fleet.data_centres[index % len(fleet.data_centres)],
        region=fleet.region,
        state=LIVE,
        static=True,
    )
