"""Send requests and jobs with prompts in parts, some of which end the replicas."""

import itertools
from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

from twisted.internet import reactor as installed
from twisted.internet.defer import gatherResults

from tests.site.prompts import prompt_headers
from tests.site.world import SiteWorld, new_request_id, sleep, start_task

reactor: Any = installed

CRASHING_GAP_S: Final = 0.25
SOUND_GAP_S: Final = 0.1
CALM_S: Final = 3.0
# Bounds of the users: how long after the fifth crash sends are not counted, and how long after it
# sound requests are.
CONTACT_S: Final = 3.0
UNCOUNTED_CRASHES: Final = 5
MAX_LATE_SENDS: Final = 3
_OWN: Final = (f"e{number:06x}" for number in itertools.count())

# Returns the shared parts of the prompt of the request with a number.
GetShared = Callable[[int], Sequence[str]]


class SoundRequest(NamedTuple):
    """Hold when a sound request was sent, and whether its first attempt was served."""

    at_s: float
    served: bool


class PartLoad:
    """Send crashing and sound requests to all entries in turn; no two are alike.

    Callers send a crashing request that fails up to attempts times, each time to another entry.
    """

    def __init__(
        self, world: SiteWorld, crashing: GetShared, sound: GetShared, attempts: int = 1
    ) -> None:
        self.world = world
        self._crashing = crashing
        self._sound = sound
        self._attempts = attempts
        self.sound: list[SoundRequest] = []
        self.began_s = 0.0
        self._stopping = False
        self._tasks: list[Any] = []

    async def run(self, seconds: float) -> None:
        """Send sound requests, and after a calm time crashing ones for some seconds."""
        sound = start_task(self._send_sound())
        await sleep(CALM_S)
        self.began_s = reactor.seconds()
        crashing = start_task(self._send_crashing())
        await sleep(seconds)
        self._stopping = True
        await gatherResults([sound, crashing])
        await gatherResults(self._tasks)

    def late_sends(self, part: str) -> int:
        """Return how many sends of a part are counted: those long after its fifth crash."""
        crashes = self.world.part_crash_times_s[part]
        if len(crashes) < UNCOUNTED_CRASHES:
            return 0
        counted_s = crashes[UNCOUNTED_CRASHES - 1] + CONTACT_S
        sends = [send for send in self.world.crash_part_sends if send.part == part]
        return sum(send.at_s > counted_s for send in sends)

    def served_shares(self) -> tuple[float, float]:
        """Return the shares of sound requests served before the crashes and after containment."""
        crashes = self.world.crash_times_s
        contained_s = crashes[min(len(crashes), UNCOUNTED_CRASHES) - 1] + 2 * CONTACT_S
        before = [request.served for request in self.sound if request.at_s < self.began_s]
        after = [request.served for request in self.sound if request.at_s >= contained_s]
        assert min(len(before), len(after)) >= 20, (len(before), len(after))
        return sum(before) / len(before), sum(after) / len(after)

    async def _send_sound(self) -> None:
        for number in itertools.count():
            if self._stopping:
                return
            self._tasks.append(start_task(self._send_one_sound(number)))
            await sleep(SOUND_GAP_S)

    async def _send_one_sound(self, number: int) -> None:
        at_s = reactor.seconds()
        served = await self._send(number, self._sound(number)) == 200
        self.sound.append(SoundRequest(at_s, served))

    async def _send_crashing(self) -> None:
        for number in itertools.count():
            if self._stopping:
                return
            self._tasks.append(start_task(self._send_one_crashing(number)))
            await sleep(CRASHING_GAP_S)

    async def _send_one_crashing(self, number: int) -> None:
        prompt = prompt_headers(next(_OWN), *self._crashing(number))
        for attempt in range(self._attempts):
            if await self._send_prompt(number + attempt, prompt) == 200:
                return
            await sleep(0.05)

    async def _send(self, number: int, shared: Sequence[str]) -> int:
        return await self._send_prompt(number, prompt_headers(next(_OWN), *shared))

    async def _send_prompt(self, number: int, prompt: dict[str, str]) -> int:
        """Send a request to one of the entries; return its status, 0 if the answer broke off."""
        ports = list(self.world.caller_ports.values())
        path = f"/stream/{'again' if number % 2 else 'once'}/{new_request_id()}"
        try:
            reply = await self.world.get(ports[number % len(ports)], path, **prompt)
        except Exception:
            return 0
        return reply.status
