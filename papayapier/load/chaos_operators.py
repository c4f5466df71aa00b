"""Change profiles during a chaos run, sometimes concurrently, and check their versions."""

import random
from collections import Counter
from typing import Final

from result import Ok
from twisted.internet.defer import Deferred, gatherResults

from papayapier import codec
from papayapier.clock import Clock
from papayapier.config.profiles import Profile, RetryRule
from papayapier.load.calls import call_json
from papayapier.load.chaos_world import Spot, World
from papayapier.load.operators import Operator, put_profile

MEAN_GAP_MS: Final = 6_000
RACING: Final = 0.3
WATCH_MS: Final = 700
AGAIN_MS: Final = 500
MOST_ATTEMPTS: Final = 9
START_LIMIT_MS: Final = 20_000


class Operators:
    """Make the profile changes of a chaos run."""

    def __init__(
        self,
        clock: Clock,
        world: World,
        profiles: tuple[Profile, ...],
        run_id: str,
        rand: random.Random,
    ) -> None:
        self._clock = clock
        self._world = world
        self._profiles = profiles
        self._run_id = run_id
        self._rand = rand
        self._stopping = False
        self._newest: dict[str, tuple[int, Profile]] = {}
        self._seen: dict[tuple[int, int, str], int] = {}
        self._changes = 0
        self.counts: Counter[str] = Counter()
        self.broken: list[str] = []

    async def create(self) -> None:
        """Create the profiles, and wait until each instance has applied them."""
        for profile in self._profiles:
            while not await self._put(profile):
                await self._clock.sleep(AGAIN_MS)
        await self.until_in_force(START_LIMIT_MS)

    async def run(self) -> None:
        """Change profiles until stop() is called."""
        while not self._stopping:
            await self._clock.sleep(self._rand.expovariate(1 / MEAN_GAP_MS))
            base = self._rand.choice(self._profiles)
            racing = 2 if self._rand.random() < RACING else 1
            changes = [Deferred.fromCoroutine(self._put(self._varied(base))) for _ in range(racing)]
            await gatherResults(changes)

    async def watch(self) -> None:
        """Check that no instance reports a lower version than it did before."""
        while not self._stopping:
            await self._clock.sleep(WATCH_MS)
            for spot in self._world.spots():
                await self._look(spot)

    def stop(self) -> None:
        """Stop making changes."""
        self._stopping = True

    async def until_in_force(self, limit_ms: int) -> None:
        """Wait until every instance has the newest version of every profile."""
        until = self._clock.now() + limit_ms
        late = await self._late()
        while late and self._clock.now() < until:
            await self._clock.sleep(AGAIN_MS)
            late = await self._late()
        self.broken += late

    async def _late(self) -> list[str]:
        found = []
        for spot in self._world.spots():
            for name, (version, profile) in self._newest.items():
                read = await _read(spot, name)
                if read is None or read[0] < version:
                    has = "none" if read is None else str(read[0])
                    found.append(
                        f"instance {spot.place} has {name} at version {has}, expected {version}"
                    )
                elif read[0] == version and read[1] != codec.to_document(profile):
                    found.append(
                        f"instance {spot.place} has a different {name} at version {version}"
                    )
        return found

    def _varied(self, base: Profile) -> Profile:
        """Return a profile that differs only in fields that affect no checked guarantee."""
        attempts = self._rand.randrange(2, MOST_ATTEMPTS)
        self._changes += 1
        return base._replace(retry=RetryRule(attempts), description=f"change {self._changes}")

    async def _put(self, profile: Profile) -> bool:
        spot = self._world.pick()
        if spot is None:
            return False
        self._changes += 1
        operator = Operator(spot.operator, "", f"{self._run_id}-{self._changes}")
        made = await put_profile(operator, profile, "chaos")
        if not isinstance(made, Ok):
            self.counts["not accepted"] += 1
            return False
        self.counts["accepted"] += 1
        version = made.ok_value
        known = self._newest.get(profile.name)
        if known is not None and known[0] == version and known[1] != profile:
            self.broken.append(f"two changes of {profile.name} both got version {version}")
        if known is None or version > known[0]:
            self._newest[profile.name] = (version, profile)
        return True

    async def _look(self, spot: Spot) -> None:
        for name in self._newest:
            read = await _read(spot, name)
            if read is None:
                continue
            seen = self._seen.get((spot.place, spot.boot, name), 0)
            if read[0] < seen:
                self.broken.append(
                    f"instance {spot.place} went back from version {seen} of {name} to {read[0]}"
                )
            self._seen[spot.place, spot.boot, name] = max(seen, read[0])


async def _read(spot: Spot, name: str) -> tuple[int, object] | None:
    """Return the version and the document of a profile at one instance."""
    got = await call_json("GET", f"http://{spot.operator}/v1/profiles/{name}")
    if not isinstance(got, Ok):
        return None
    answer = got.ok_value
    return int(answer["version"]), answer["document"]
