"""Change profiles during a chaos run, sometimes concurrently, and check their versions."""

import random
from collections import Counter
from typing import Final

from result import Ok
from twisted.internet.defer import Deferred, gatherResults

from papayapier import codec
from papayapier.clock import Clock
from papayapier.config.profiles import Profile, RetryRule
from papayapier.load.chaos_fleet import ChaosFleet, InstanceRef
from papayapier.load.http_calls import http_call_json
from papayapier.load.operators import Operator, put_profile

MEAN_GAP_MS: Final = 6_000
CONCURRENT_SHARE: Final = 0.3
WATCH_MS: Final = 700
RETRY_MS: Final = 500
MAX_ATTEMPTS: Final = 9
START_LIMIT_MS: Final = 20_000


class ChaosOperators:
    """Make the profile changes of a chaos run."""

    def __init__(
        self,
        clock: Clock,
        chaos_fleet: ChaosFleet,
        profiles: tuple[Profile, ...],
        run_id: str,
        rand: random.Random,
    ) -> None:
        self._clock = clock
        self._chaos_fleet = chaos_fleet
        self._profiles = profiles
        self._run_id = run_id
        self._rand = rand
        self._stopping = False
        self._newest: dict[str, tuple[int, Profile]] = {}
        self._last_versions: dict[tuple[int, int, str], int] = {}
        self._changes = 0
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []

    async def create(self) -> None:
        """Create the profiles, and wait until each instance has applied them."""
        for profile in self._profiles:
            while not await self._put(profile):
                await self._clock.sleep(RETRY_MS)
        await self.wait_until_applied(START_LIMIT_MS)

    async def run(self) -> None:
        """Change profiles until stop() is called."""
        while not self._stopping:
            await self._clock.sleep(self._rand.expovariate(1 / MEAN_GAP_MS))
            base = self._rand.choice(self._profiles)
            concurrent = 2 if self._rand.random() < CONCURRENT_SHARE else 1
            changes = [
                Deferred.fromCoroutine(self._put(self._vary(base))) for _ in range(concurrent)
            ]
            await gatherResults(changes)

    async def watch(self) -> None:
        """Check that no instance reports a lower version than it did before."""
        while not self._stopping:
            await self._clock.sleep(WATCH_MS)
            for ref in self._chaos_fleet.running_instances():
                await self._check_versions(ref)

    def stop(self) -> None:
        """Stop making changes."""
        self._stopping = True

    async def wait_until_applied(self, limit_ms: int) -> None:
        """Wait until every instance has the newest version of every profile."""
        deadline_ms = self._clock.now() + limit_ms
        outdated = await self._outdated()
        while outdated and self._clock.now() < deadline_ms:
            await self._clock.sleep(RETRY_MS)
            outdated = await self._outdated()
        self.violations += outdated

    async def _outdated(self) -> list[str]:
        errors = []
        for ref in self._chaos_fleet.running_instances():
            for name, (version, profile) in self._newest.items():
                read = await _read(ref, name)
                if read is None or read[0] < version:
                    current = "none" if read is None else str(read[0])
                    errors.append(
                        f"instance {ref.number} has {name} at version {current}, expected {version}"
                    )
                elif read[0] == version and read[1] != codec.to_document(profile):
                    errors.append(
                        f"instance {ref.number} has a different {name} at version {version}"
                    )
        return errors

    def _vary(self, base: Profile) -> Profile:
        """Return a profile that differs only in fields that affect no checked guarantee."""
        attempts = self._rand.randrange(2, MAX_ATTEMPTS)
        self._changes += 1
        return base._replace(retry=RetryRule(attempts), description=f"change {self._changes}")

    async def _put(self, profile: Profile) -> bool:
        ref = self._chaos_fleet.pick_instance()
        if ref is None:
            return False
        self._changes += 1
        operator = Operator(ref.operator, "", f"{self._run_id}-{self._changes}")
        result = await put_profile(operator, profile, "chaos")
        if not isinstance(result, Ok):
            self.counts["not accepted"] += 1
            return False
        self.counts["accepted"] += 1
        version = result.ok_value
        known = self._newest.get(profile.name)
        if known is not None and known[0] == version and known[1] != profile:
            self.violations.append(f"two changes of {profile.name} both got version {version}")
        if known is None or version > known[0]:
            self._newest[profile.name] = (version, profile)
        return True

    async def _check_versions(self, ref: InstanceRef) -> None:
        for name in self._newest:
            read = await _read(ref, name)
            if read is None:
                continue
            latest = self._last_versions.get((ref.number, ref.boot, name), 0)
            if read[0] < latest:
                self.violations.append(
                    f"instance {ref.number} went back from version {latest} of {name} to {read[0]}"
                )
            self._last_versions[ref.number, ref.boot, name] = max(latest, read[0])


async def _read(ref: InstanceRef, name: str) -> tuple[int, object] | None:
    """Return the version and the document of a profile at one instance."""
    response = await http_call_json("GET", f"http://{ref.operator}/v1/profiles/{name}")
    if not isinstance(response, Ok):
        return None
    answer = response.ok_value
    return int(answer["version"]), answer["document"]
