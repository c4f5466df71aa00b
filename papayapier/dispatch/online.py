"""Run online requests: each is queued, claimed if it has an idempotency key, and sent."""

from typing import TYPE_CHECKING, Final

from result import Err, Result

from papayapier.dispatch.attempts import send_until_answered
from papayapier.dispatch.start_queue import StartQueue, StartRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from papayapier.dispatch.api import DispatchDeps, OnlineRequest, OnToken
    from papayapier.errors import Refusal
    from papayapier.upstream.api import Reply

# Longer than a claim usually takes, but too short to be noticeable for a request.
CLAIM_RESERVATION_MS: Final = 50


class _ClaimReservations:
    """Count the slots reserved for admitted requests whose claims are being written.

    A claim takes some milliseconds, during which the slot does not yet count as used. Without
    this count, every queued request would be admitted for one free slot, and would wait in an
    engine, where no urgent request can overtake it. A claim that takes longer than usual no
    longer reserves its slot: while the store is slow, requests that need no claim must not wait
    for those that do.
    """

    def __init__(self) -> None:
        self._began_ms: dict[str, dict[int, int]] = {}

    def add(self, upstream: str, ticket: int, now: int) -> None:
        self._began_ms.setdefault(upstream, {})[ticket] = now

    def remove(self, upstream: str, ticket: int) -> None:
        self._began_ms[upstream].pop(ticket, None)

    def count(self, upstream: str, now: int) -> int:
        began_ms = self._began_ms.get(upstream)
        while began_ms:
            oldest = next(iter(began_ms))
            if now < began_ms[oldest] + CLAIM_RESERVATION_MS:
                return len(began_ms)
            del began_ms[oldest]
        return 0


class OnlineDispatch:
    """Own the queued and running online requests of one instance.

    preempt_batch is called with the replica before each send.
    """

    def __init__(self, deps: "DispatchDeps", preempt_batch: "Callable[[str], None]") -> None:
        self._deps = deps
        self._preempt_batch = preempt_batch
        self._reservations = _ClaimReservations()
        self._queue = StartQueue(deps, self._reservations.count)

    def unfinished_count(self) -> int:
        """Return how many requests are queued or running."""
        return self._queue.unfinished_count()

    def queued_for_profile(self, profile: str) -> int:
        """Return how many queued requests use a profile."""
        return self._queue.queued_for_profile(profile)

    async def run(
        self,
        req: "OnlineRequest",
        on_token: "OnToken",
        claim: "Callable[[], Awaitable[Result[None, Refusal]]] | None" = None,
    ) -> "Result[Reply, Refusal]":
        """Return the complete answer of a request, or its refusal.

        claim, if given, runs after admission and before the first send; its refusal ends the
        request unsent.
        """

        crashes = self._deps.crashes
        quarantine_refusal = crashes.refusal(req.call_id, req.fingerprint) or crashes.parts.refusal(
            req.call_id, req.profile.upstream, req.shared_parts
        )
        if quarantine_refusal is not None:
            return Err(quarantine_refusal)

        async def send() -> "Result[Reply, Refusal]":
            if claim is not None:
                claimed = await self._claim(req.profile.upstream, claim)
                if isinstance(claimed, Err):
                    return claimed
            return await send_until_answered(self._deps, req, on_token, self._preempt_batch)

        return await self._queue.run(StartRequest(req.profile, req.caller, req.due_ms), send)

    async def _claim(
        self, upstream: str, claim: "Callable[[], Awaitable[Result[None, Refusal]]]"
    ) -> "Result[None, Refusal]":
        ticket = self._queue.take_ticket()
        self._reservations.add(upstream, ticket, self._deps.clock.now())
        try:
            return await claim()
        finally:
            self._reservations.remove(upstream, ticket)

    def pump(self) -> None:
        """Start the requests that can start now, and refuse those that would be late."""
        self._queue.pump()

    def close(self) -> None:
        """Stop the timer."""
        self._queue.close()
