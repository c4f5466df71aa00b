"""Submit, resubmit and cancel batch jobs during a chaos run, and check all their results."""

import random
from collections import Counter
from typing import Final

from result import Err, Ok
from twisted.internet.defer import Deferred, gatherResults

from papayapier.clock import Clock
from papayapier.config.profiles import BatchRule, Profile
from papayapier.load import jobs
from papayapier.load.chaos_world import ENGINES_NAME, World
from papayapier.load.jobs import Submitted
from papayapier.load.scenario import Job, Lengths
from papayapier.standin.answers import expected_text

MEAN_GAP_MS: Final = 12_000
AGAIN_MS: Final = 400
SUBMIT_LIMIT_MS: Final = 60_000
RESENT: Final = 0.4
CANCELLED: Final = 0.25
CANCEL_AFTER_MS: Final = 8_000
MOST_ITEMS: Final = 160
POLL_MS: Final = 500
STILL_MS: Final = 2_500

PROFILES: Final = (
    Profile("summaries", ENGINES_NAME, "batch", 600_000, True, batch=BatchRule(1.0, "throughput")),
    Profile("letters", ENGINES_NAME, "batch", 600_000, False, batch=BatchRule(1.0, "throughput")),
)

ONCE: Final = "letters"


class ChaosJobs:
    """Own the jobs of a chaos run; all accepted jobs must finish."""

    def __init__(self, clock: Clock, world: World, run_id: str, rand: random.Random) -> None:
        self._clock = clock
        self._world = world
        self._run_id = run_id
        self._rand = rand
        self._open: set[Deferred[None]] = set()
        self._stopping = False
        self.accepted: list[Submitted] = []
        self.cancelled: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.broken: list[str] = []

    async def run(self) -> None:
        """Submit jobs until stop() is called, then wait until each is accepted or abandoned."""
        number = 0
        while not self._stopping:
            number += 1
            self._keep(self._one(number))
            await self._clock.sleep(self._rand.expovariate(1 / MEAN_GAP_MS))
        while self._open:
            await gatherResults(list(self._open))

    def stop(self) -> None:
        """Stop submitting jobs."""
        self._stopping = True

    async def until_ended(self, limit_ms: int) -> None:
        """Wait until every accepted job has finished, then check its results."""
        until = self._clock.now() + limit_ms
        waits = [self._until_ended(submitted, until) for submitted in self.accepted]
        await gatherResults([Deferred.fromCoroutine(wait) for wait in waits])

    def broken_once(self, started: dict[str, int]) -> list[str]:
        """Return each item of a non-idempotent job that ran more than once.

        Items are found by their job's id at the start of the call id. Finding none is an error
        as well, because a changed format of call ids would otherwise disable this check.
        """
        once = tuple(f"{one.id}-" for one in self.accepted if one.job.profile == ONCE)
        ran = {call_id: times for call_id, times in started.items() if call_id.startswith(once)}
        if once and not ran:
            return ["no engine has counted a call id of a non-idempotent job"]
        return [
            f"item {call_id} is not idempotent, and ran {times} times"
            for call_id, times in ran.items()
            if times > 1
        ]

    def _keep(self, work: "jobs.Work") -> None:
        done = Deferred.fromCoroutine(work)
        done.addErrback(lambda failure: self.broken.append(f"load tool: {failure.getTraceback()}"))
        self._open.add(done)
        done.addBoth(lambda _: self._open.discard(done))

    async def _one(self, number: int) -> None:
        rand = self._rand
        profile = rand.choice(PROFILES).name
        items = rand.randrange(1, MOST_ITEMS)
        tokens = Lengths(median=8, sigma=0.5, max=30)
        job = Job(f"job-{number}", profile, items, "", Lengths(median=15), tokens)
        drawn = jobs.draw(job, rand.getrandbits(32))
        key = f"{self._run_id}-{number}"
        resent = rand.random() < RESENT
        cancel_after = rand.randrange(CANCEL_AFTER_MS) if rand.random() < CANCELLED else -1
        submitted = await self._submit(drawn, key)
        if submitted is None:
            return
        self.accepted.append(submitted)
        self.counts["accepted"] += 1
        if resent:
            again = await self._submit(drawn, key)
            if again is not None and again.id != submitted.id:
                self.broken.append(
                    f"job {submitted.id} was submitted again and became job {again.id}"
                )
        if cancel_after >= 0:
            await self._clock.sleep(cancel_after)
            await self._cancel(submitted)

    async def _submit(self, drawn: jobs.Drawn, key: str) -> Submitted | None:
        """Submit a job, retrying until it is accepted or the limit expires."""
        until = self._clock.now() + SUBMIT_LIMIT_MS
        why = "no instance was available"
        while self._clock.now() < until:
            spot = self._world.pick()
            if spot is not None:
                made = await jobs.submit(spot.entry, drawn, key)
                if isinstance(made, Ok):
                    return made.ok_value
                why = made.err_value
                self.counts["submits repeated"] += 1
            await self._clock.sleep(AGAIN_MS)
        self.broken.append(f"{drawn.job.name} was not accepted in {SUBMIT_LIMIT_MS} ms: {why}")
        return None

    async def _cancel(self, submitted: Submitted) -> None:
        while True:
            spot = self._world.pick()
            if spot is not None and isinstance(await jobs.cancel(spot.entry, submitted), Ok):
                self.cancelled.add(submitted.id)
                self.counts["cancelled"] += 1
                return
            await self._clock.sleep(AGAIN_MS)

    async def _until_ended(self, submitted: Submitted, until: int) -> None:
        last = "its status was never read"
        while self._clock.now() < until:
            spot = self._world.pick()
            if spot is not None:
                read = await jobs.progress(spot.entry, submitted)
                last = str(read)
                if isinstance(read, Ok) and read.ok_value.status in jobs.ENDED:
                    self.counts[read.ok_value.status] += 1
                    await self._check(submitted, read.ok_value)
                    return
            await self._clock.sleep(POLL_MS)
        self.broken.append(f"job {submitted.id} did not finish: {last}")

    async def _check(self, submitted: Submitted, ended: jobs.Progress) -> None:
        """Check the results; those of a cancelled job are read twice and must not change."""
        if ended.status != jobs.COMPLETED and submitted.id not in self.cancelled:
            self.broken.append(f"job {submitted.id} ended as {ended.status}")
        first = await self._results(submitted)
        if submitted.id in self.cancelled:
            await self._clock.sleep(STILL_MS)
            if await self._results(submitted) != first:
                self.broken.append(f"job {submitted.id} got results after it was cancelled")
        wrong = jobs.wrong_lines(
            submitted, first, expected_text, complete=ended.status == jobs.COMPLETED
        )
        self.broken += [f"job {submitted.id}: {line}" for line in wrong]
        self.counts["results"] += len(first)

    async def _results(self, submitted: Submitted) -> list[jobs.Line]:
        while True:
            spot = self._world.pick()
            if spot is not None:
                read = await jobs.results(spot.entry, submitted)
                if not isinstance(read, Err):
                    return read.ok_value
            await self._clock.sleep(AGAIN_MS)
