"""Hold the state of one batch item over all its sends."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from result import Err, Result
from twisted.internet.defer import CancelledError, Deferred

from papayapier.upstream.api import Failure, FailureKind, Replica, Reply, Sent, Token
from papayapier.upstream.engine_calls import ENGINE_PATHS, streaming_body

if TYPE_CHECKING:
    from papayapier.batch.api import ItemCall

SendResult = Result[Reply, Failure]


class Item:
    """Track what an item has sent and received.

    preempted says that its last send was cancelled in favour of online requests, and not because
    its job was cancelled.
    """

    __slots__ = (
        "_cancelled",
        "_sending",
        "avoid_until_ms",
        "call",
        "excluded",
        "failed_answers",
        "failures",
        "fresh",
        "maybe_sent",
        "parts",
        "preempted",
        "send_first_ms",
        "sends",
        "version",
        "version_until_ms",
        "waiter",
    )

    def __init__(self, call: "ItemCall") -> None:
        self.call = call
        self.parts: list[str] = []
        # The software version that wrote the parts, None if there are none, and until when the
        # item waits for a free slot at that version.
        self.version: str | None = None
        self.version_until_ms = 0
        self.failures = 0
        # How many of the failures a replica has answered.
        self.failed_answers = 0
        self.sends = 0
        # When the first token of the current send arrived, 0 before that.
        self.send_first_ms = 0
        self.fresh = not call.profile.idempotent
        self.excluded: frozenset[str] = frozenset()
        self.avoid_until_ms = 0
        self.maybe_sent = False
        self.preempted = False
        self.waiter: Deferred[Replica] | None = None
        self._sending: Deferred[SendResult] | None = None
        self._cancelled = False

    def generates(self) -> bool:
        """Return whether the item is a call to a model engine."""
        return self.call.path in ENGINE_PATHS

    def body(self) -> bytes:
        """Return the body of the next send, which resumes after the tokens received."""
        if not self.generates():
            return self.call.body
        return streaming_body(self.call.body, "".join(self.parts))

    def receive(self, token: Token, version: str, now_ms: int) -> None:
        """Store a token that a replica of a software version has written."""
        self.send_first_ms = self.send_first_ms or now_ms
        self.version = version
        self.parts.append(token.text)

    def discard_parts(self) -> None:
        """Make the next send start from the beginning."""
        self.parts = []
        self.version = None

    def join_parts(self, reply: Reply) -> Reply:
        """Join the text received over several sends into one answer."""
        if self.sends == 1 or not self.parts:
            return reply
        return reply._replace(text="".join(self.parts), tokens=len(self.parts))

    def may_be_preempted(self) -> bool:
        """Return whether the item is running, and can be cancelled and resumed."""
        if self._sending is None or self.preempted:
            return False
        return self.call.profile.idempotent and self.generates()

    def preempt(self) -> None:
        """Cancel the open send; its result is a failure of kind CANCELLED."""
        assert self._sending is not None
        self.preempted = True
        self._sending.cancel()

    async def send(self, begin: Callable[[], Awaitable[SendResult]]) -> SendResult:
        """Wait for a send, and distinguish preemption from the cancel of the job.

        The send is awaited through a second Deferred. If it were awaited directly, the cancel
        of a job would look like a preemption and its item would be resumed, so that tokens were
        generated for a job after its cancel.
        """
        sending: Deferred[SendResult] = Deferred.fromCoroutine(_as_coroutine(begin))
        waiting: Deferred[SendResult] = Deferred(lambda _: self._cancel())
        self._sending = sending
        sending.addBoth(waiting.callback)
        try:
            result = await waiting
        except CancelledError:
            if self._cancelled or not self.preempted:
                raise
            result = Err(Failure(FailureKind.CANCELLED, Sent.MAYBE, "preempted by online calls"))
        finally:
            self._sending = None
        if self._cancelled:
            self.preempted = False
        return result

    def _cancel(self) -> None:
        self._cancelled = True
        if self._sending is not None:
            self._sending.cancel()


async def _as_coroutine(begin: Callable[[], Awaitable[SendResult]]) -> SendResult:
    return await begin()
