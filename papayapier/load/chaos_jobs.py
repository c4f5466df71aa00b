"""Submit, resubmit and cancel batch jobs during a chaos run, and check all their results."""

import random
from collections import Counter
from typing import Final

from result import Err, Ok
from twisted.internet.defer import Deferred, gatherResults

from papayapier.clock import Clock
from papayapier.config.profiles import BatchRule, Profile
from papayapier.load import jobs
from papayapier.load.chaos_fleet import ENGINE_UPSTREAM, ChaosFleet
from papayapier.load.experiment_file import Job, Lengths
from papayapier.load.jobs import SubmittedJob
from papayapier.standin.answers import expected_text

MEAN_GAP_MS: Final = 12_000
RETRY_MS: Final = 400
SUBMIT_LIMIT_MS: Final = 60_000
RESUBMIT_SHARE: Final = 0.4
CANCEL_SHARE: Final = 0.25
CANCEL_AFTER_MS: Final = 8_000
MAX_ITEMS: Final = 160
POLL_MS: Final = 500
CANCELLED_RECHECK_MS: Final = 2_500

PROFILES: Final = (
    Profile(
        "summaries", ENGINE_UPSTREAM, "batch", 600_000, True, batch=BatchRule(1.0, "throughput")
    ),
    Profile(
        "letters", ENGINE_UPSTREAM, "batch", 600_000, False, batch=BatchRule(1.0, "throughput")
    ),
)

NON_IDEMPOTENT_PROFILE: Final = "letters"


class ChaosJobs:
    """Own the jobs of a chaos run; all accepted jobs must finish."""

    def __init__(
        self, clock: Clock, chaos_fleet: ChaosFleet, run_id: str, rand: random.Random
    ) -> None:
        self._clock = clock
        self._chaos_fleet = chaos_fleet
        self._run_id = run_id
        self._rand = rand
        self._open: set[Deferred[None]] = set()
        self._stopping = False
        self.accepted: list[SubmittedJob] = []
        self.cancelled: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.violations: list[str] = []

    async def run(self) -> None:
        """Submit jobs until stop() is called, then wait until each is accepted or abandoned."""
        number = 0
        while not self._stopping:
            number += 1
            self._track(self._run_job(number))
            await self._clock.sleep(self._rand.expovariate(1 / MEAN_GAP_MS))
        while self._open:
            await gatherResults(list(self._open))

    def stop(self) -> None:
        """Stop submitting jobs."""
        self._stopping = True

    async def wait_until_ended(self, limit_ms: int) -> None:
        """Wait until every accepted job has finished, then check its results."""
        deadline_ms = self._clock.now() + limit_ms
        waits = [self._check_when_ended(submitted, deadline_ms) for submitted in self.accepted]
        await gatherResults([Deferred.fromCoroutine(wait) for wait in waits])

    def repeated_items(self, started: dict[str, int]) -> list[str]:
        """Return each item of a non-idempotent job that ran more than once.

        Items are found by their job's id at the start of the call id. Finding none is an error
        as well, because a changed format of call ids would otherwise disable this check.
        """
        id_prefixes = tuple(
            f"{submitted.id}-"
            for submitted in self.accepted
            if submitted.job.profile == NON_IDEMPOTENT_PROFILE
        )
        ran = {
            call_id: times for call_id, times in started.items() if call_id.startswith(id_prefixes)
        }
        if id_prefixes and not ran:
            return ["no engine has counted a call id of a non-idempotent job"]
        return [
            f"item {call_id} is not idempotent, and ran {times} times"
            for call_id, times in ran.items()
            if times > 1
        ]

    def _track(self, task: "jobs.BackgroundTask") -> None:
        done = Deferred.fromCoroutine(task)
        done.addErrback(
            lambda failure: self.violations.append(f"load tool: {failure.getTraceback()}")
        )
        self._open.add(done)
        done.addBoth(lambda _: self._open.discard(done))

    async def _run_job(self, number: int) -> None:
        rand = self._rand
        profile = rand.choice(PROFILES).name
        items = rand.randrange(1, MAX_ITEMS)
        tokens = Lengths(median=8, sigma=0.5, max=30)
        job = Job(f"job-{number}", profile, items, "", Lengths(median=15), tokens)
        prepared = jobs.prepare(job, rand.getrandbits(32))
        key = f"{self._run_id}-{number}"
        resubmit = rand.random() < RESUBMIT_SHARE
        cancel_after = rand.randrange(CANCEL_AFTER_MS) if rand.random() < CANCEL_SHARE else -1
        submitted = await self._submit(prepared, key)
        if submitted is None:
            return
        self.accepted.append(submitted)
        self.counts["accepted"] += 1
        if resubmit:
            resubmitted = await self._submit(prepared, key)
            if resubmitted is not None and resubmitted.id != submitted.id:
                self.violations.append(
                    f"job {submitted.id} was submitted again and became job {resubmitted.id}"
                )
        if cancel_after >= 0:
            await self._clock.sleep(cancel_after)
            await self._cancel(submitted)

    async def _submit(self, prepared: jobs.PreparedJob, key: str) -> SubmittedJob | None:
        """Submit a job, retrying until it is accepted or the limit expires."""
        deadline_ms = self._clock.now() + SUBMIT_LIMIT_MS
        error = "no instance was available"
        while self._clock.now() < deadline_ms:
            ref = self._chaos_fleet.pick_instance()
            if ref is not None:
                result = await jobs.submit(ref.entry, prepared, key)
                if isinstance(result, Ok):
                    return result.ok_value
                error = result.err_value
                self.counts["submits repeated"] += 1
            await self._clock.sleep(RETRY_MS)
        self.violations.append(
            f"{prepared.job.name} was not accepted in {SUBMIT_LIMIT_MS} ms: {error}"
        )
        return None

    async def _cancel(self, submitted: SubmittedJob) -> None:
        while True:
            ref = self._chaos_fleet.pick_instance()
            if ref is not None and isinstance(await jobs.cancel(ref.entry, submitted), Ok):
                self.cancelled.add(submitted.id)
                self.counts["cancelled"] += 1
                return
            await self._clock.sleep(RETRY_MS)

    async def _check_when_ended(self, submitted: SubmittedJob, deadline_ms: int) -> None:
        last_progress = "its status was never read"
        while self._clock.now() < deadline_ms:
            ref = self._chaos_fleet.pick_instance()
            if ref is not None:
                read = await jobs.progress(ref.entry, submitted)
                last_progress = str(read)
                if isinstance(read, Ok) and read.ok_value.status in jobs.FINAL_STATUSES:
                    self.counts[read.ok_value.status] += 1
                    await self._check(submitted, read.ok_value)
                    return
            await self._clock.sleep(POLL_MS)
        self.violations.append(f"job {submitted.id} did not finish: {last_progress}")

    async def _check(self, submitted: SubmittedJob, final: jobs.Progress) -> None:
        """Check the results; those of a cancelled job are read twice and must not change."""
        if final.status != jobs.COMPLETED and submitted.id not in self.cancelled:
            self.violations.append(f"job {submitted.id} ended as {final.status}")
        first = await self._results(submitted)
        if submitted.id in self.cancelled:
            await self._clock.sleep(CANCELLED_RECHECK_MS)
            if await self._results(submitted) != first:
                self.violations.append(f"job {submitted.id} got results after it was cancelled")
        wrong = jobs.find_result_errors(
            submitted, first, expected_text, complete=final.status == jobs.COMPLETED
        )
        self.violations += [f"job {submitted.id}: {line}" for line in wrong]
        self.counts["results"] += len(first)

    async def _results(self, submitted: SubmittedJob) -> list[jobs.ResultLine]:
        while True:
            ref = self._chaos_fleet.pick_instance()
            if ref is not None:
                read = await jobs.results(ref.entry, submitted)
                if not isinstance(read, Err):
                    return read.ok_value
            await self._clock.sleep(RETRY_MS)
