"""Send online requests during a chaos run, and detect outcomes that no fault justifies."""

import random
from collections import Counter
from typing import Final

from twisted.internet.defer import Deferred, gatherResults

from papayapier.clock import Clock
from papayapier.config.profiles import Profile
from papayapier.load.chaos_fleet import ENGINE_UPSTREAM, SERVICE_UPSTREAM, ChaosFleet, InstanceRef
from papayapier.load.client import Client, monotonic_us, send_request
from papayapier.load.experiment_file import Callers, Lengths, Misuse, RequestClass
from papayapier.load.outcomes import OutcomeTracker
from papayapier.load.request_mix import Mix, Request
from papayapier.load.responses import RequestOutcome

MEAN_GAP_MS: Final = 120
NO_INSTANCE_MS: Final = 200
US_PER_MS: Final = 1_000

PROFILES: Final = (
    Profile("chat", ENGINE_UPSTREAM, "normal", 8_000, True),
    Profile("check", ENGINE_UPSTREAM, "urgent", 3_000, True),
    Profile("note", ENGINE_UPSTREAM, "normal", 8_000, False),
    Profile("pass", SERVICE_UPSTREAM, "urgent", 3_000, False),
)

_WORDS: Final = Lengths(median=12, sigma=0.4, max=40)
_TOKENS: Final = Lengths(median=6, sigma=0.6, max=25)
_LEAVE: Final = Misuse(leave_share=0.08, leave_after_ms=120)
_RESEND_AND_LEAVE: Final = Misuse(
    resend_share=0.3, resend_after_ms=60, leave_share=0.08, leave_after_ms=15
)

CLASSES: Final = (
    RequestClass(
        "chat", "chat", "chat", 3, "", "", 1, _WORDS, 8, _TOKENS, stream=True, misuse=_LEAVE
    ),
    RequestClass("check", "chat", "check", 2, "", "", 1, _WORDS, 8, _TOKENS),
    RequestClass(
        "note",
        "chat",
        "note",
        1,
        prompt_words=_WORDS,
        max_tokens=_TOKENS,
        idempotent=False,
        keyed=True,
        misuse=_RESEND_AND_LEAVE,
    ),
    RequestClass(
        "pass",
        "service",
        "pass",
        3,
        path=f"/services/{SERVICE_UPSTREAM}/calls/passes",
        idempotent=False,
        keyed=True,
        callers=Callers(5),
        misuse=_RESEND_AND_LEAVE,
    ),
    RequestClass(
        "weigh",
        "service",
        "pass",
        1,
        path=f"/services/{SERVICE_UPSTREAM}/calls/weighings",
        idempotent=False,
    ),
)


class OnlineTraffic:
    """Send the online requests of a chaos run and check their outcomes."""

    def __init__(
        self,
        clock: Clock,
        client: Client,
        chaos_fleet: ChaosFleet,
        run_id: str,
        rand: random.Random,
    ) -> None:
        self._clock = clock
        self._client = client
        self._chaos_fleet = chaos_fleet
        self._rand = rand
        self._mix = Mix(CLASSES, run_id, rand, rand)
        self._open: set[Deferred[None]] = set()
        self._stopping = False
        self.outcomes = OutcomeTracker()
        self.outcome_counts: Counter[str] = Counter()
        self.flaws: Counter[str] = Counter()
        self.violations: list[str] = []

    async def run(self) -> None:
        """Send requests until stop() is called, then wait until they have finished."""
        while not self._stopping:
            await self._clock.sleep(self._rand.expovariate(1 / MEAN_GAP_MS))
            self._start(self._mix.draw())
        while self._open:
            await gatherResults(list(self._open))

    def stop(self) -> None:
        """Stop sending requests."""
        self._stopping = True

    def _start(self, req: Request) -> None:
        done = Deferred.fromCoroutine(self._send(req))
        done.addErrback(
            lambda failure: self.violations.append(f"load tool: {failure.getTraceback()}")
        )
        self._open.add(done)
        done.addBoth(lambda _: self._open.discard(done))

    async def _send(self, req: Request) -> None:
        ref = self._chaos_fleet.pick_instance()
        if ref is None:
            await self._clock.sleep(NO_INSTANCE_MS)
            return
        if req.resend_after_ms >= 0:
            self._clock.call_later(req.resend_after_ms, lambda: self._start(req.make_resend()))
        record = await send_request(self._client, ref.entry, req, monotonic_us(self._clock))
        verdict = record.verdict
        self.outcome_counts[
            f"{verdict.request_outcome.value} {verdict.kind} {verdict.outcome}".strip()
        ] += 1
        self.outcomes.observe(req, record)
        self.flaws[verdict.flaw] += 1
        if violation := self._violation(ref, verdict.request_outcome):
            self.violations.append(f"{req.request_id} at instance {ref.number}: {violation}")
            self.violations[-1] += f" ({verdict.reason}, {record.timing.total_us // US_PER_MS} ms)"

    def _violation(self, ref: InstanceRef, outcome: RequestOutcome) -> str:
        """Return what an outcome violates, or an empty string.

        Only the loss of the instance justifies a closed connection.
        """
        if outcome is RequestOutcome.WRONG:
            return "a wrong or incomplete answer looked successful"
        if outcome is RequestOutcome.TIMED_OUT:
            return "a request was never answered"
        if outcome is RequestOutcome.DISCONNECTED and not self._chaos_fleet.was_lost(ref):
            return "an instance that was not lost closed the connection of a request"
        return ""

    def all_violations(self) -> list[str]:
        """Return all violations, with flaws of one kind on one line."""
        flaws = [f"{number} answers: {flaw}" for flaw, number in self.flaws.items() if flaw]
        return self.violations + flaws
