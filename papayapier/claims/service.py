"""Let a non-idempotent request with an idempotency key run at most once, on any instance.

A claim on the key is in the store before anything is sent. Whoever meets the claim of
another asks its writer before saying anything, and runs the request only if the claim was
abandoned, which only the writer can say. A claim never lapses by time: its writer may be
paused, and may send when it wakes. So when the writer is gone, the outcome stays unknown.

What a refusal says. It speaks of the delivery that is refused: NOT_RUN means that this
delivery was not sent and never will be. While the store is down nothing can be learnt of an
earlier delivery with the same key; where this instance knows of one, it does not say NOT_RUN.

A claim whose write was lost may appear after its request was refused. Its token is given up
before the refusal, so that it can never be sent; the instance goes on writing until the
claim is marked abandoned in the store, and tells others so when they ask.
"""

import random
from typing import Final, NamedTuple

from result import Err, Ok
from twisted.internet.defer import CancelledError, Deferred

from papayapier import events
from papayapier.claims.api import (
    ABANDONED,
    DONE,
    NO_RECORD,
    RETRY_AFTER_MS,
    RUNNING,
    Again,
    AskWriter,
    Begun,
    Done,
    New,
    Running,
    Token,
    Unknown,
    key_conflict,
    still_running,
    store_down,
)
from papayapier.claims.group import GroupDeps, ShardWriter
from papayapier.claims.local import Attempt, Attempts, AttemptState, until
from papayapier.claims.ops import Found, Kept, Known, Op, OpEnd, Want, Writer
from papayapier.claims.records import (
    DIGEST_BYTES,
    SHARDS,
    ClaimState,
    Record,
    SavedAnswer,
    claim_id,
    content_hash,
    shard_of,
)
from papayapier.clock import Clock
from papayapier.errors import ErrorKind, not_run, unknown
from papayapier.invariants import Promise, check
from papayapier.metrics import Metrics
from papayapier.settings import ClaimSettings
from papayapier.store.api import Store
from papayapier.store.bucket import Bucket
from papayapier.store.watch import report_failure

DRAIN_STEP_MS: Final = 10


class ClaimDeps(NamedTuple):
    """Group what the claims of one instance work with.

    boot is drawn at process start. ask_writer asks an instance for the state() of a claim
    reference; any text but the four states means that it could not be asked.
    """

    store: Store
    clock: Clock
    rng: random.Random
    cfg: ClaimSettings
    metrics: Metrics
    instance: str
    boot: int
    ask_writer: AskWriter


class _Request(NamedTuple):
    """Hold what identifies a delivery of a request."""

    id: bytes
    content: bytes
    due_ms: int


class Claims:
    """Begin and end the claims of one instance."""

    def __init__(self, deps: ClaimDeps) -> None:
        self._deps = deps
        self._attempts = Attempts()
        self._tokens = 0
        writer = Writer(deps.instance, deps.boot, self._attempts.gave_up)
        permits = Bucket(deps.clock, deps.cfg.writes_per_s)
        group = GroupDeps(deps.store, deps.clock, deps.rng, deps.cfg, deps.metrics, writer, permits)
        self._shards = [ShardWriter(group, shard) for shard in range(SHARDS)]

    def start(self) -> None:
        """Read the shards ahead, so that the first requests need not wait for it."""
        for shard in self._shards:
            shard.submit(Op(Want.LOOK, bytes(DIGEST_BYTES), b"", b""))

    def stop(self) -> None:
        """Stop at once; what is not in the store yet never will be."""
        for shard in self._shards:
            shard.stop()

    def unsettled(self) -> set[bytes]:
        """Return the ids of the claims of this process whose end is not in the store yet."""
        return self._attempts.ids()

    async def drain(self, due_ms: int) -> bool:
        """Wait until the ends of all claims are in the store; False if time runs out."""
        while self.unsettled():
            if self._deps.clock.now() >= due_ms:
                return False
            await self._deps.clock.sleep(DRAIN_STEP_MS)
        return True

    async def begin(self, caller: str, key: str, content: bytes, due_ms: int) -> Begun:
        """Claim a key before the request is sent, or tell what has become of it."""
        req = _Request(claim_id(caller, key), content, due_ms)
        begun = await self._begin(req)
        end = begun.ok_value if isinstance(begun, Ok) else begun.err_value.kind
        label = end.value if isinstance(end, ErrorKind) else type(end).__name__.lower()
        self._deps.metrics.claim_ends.labels(end=label).inc()
        return begun

    def finish(self, token: Token, answer: SavedAnswer) -> None:
        """Keep the answer of a request that was sent, whatever it is."""
        attempt = self._attempts.by_token(token)
        sent = attempt is not None and attempt.state is AttemptState.SENDING
        check(sent, Promise.AT_MOST_ONCE, token=token.hex(), end="finish")
        if attempt is None or not sent:
            return
        self._attempts.end(attempt, AttemptState.DONE, answer)
        op = Op(Want.FINISH, attempt.id, token, attempt.content)
        op.kept = attempt.kept
        if len(answer.body) <= self._deps.cfg.answer_bytes:
            op.answer = answer
        self._follow(attempt, op)

    def abandon(self, token: Token) -> None:
        """Free the key of a request of which nothing was sent."""
        attempt = self._attempts.by_token(token)
        held = attempt is not None and attempt.state is AttemptState.SENDING
        check(held, Promise.NOT_RUN_TRUE, token=token.hex(), end="abandon")
        if attempt is None or not held:
            return
        self._attempts.end(attempt, AttemptState.ABANDONED, None)
        self._follow(attempt, Op(Want.ABANDON, attempt.id, token, attempt.content))

    def state(self, reference: str) -> str:
        """Tell another instance what has become of a claim that this process wrote."""
        try:
            attempt = self._attempts.by_token(bytes.fromhex(reference))
        except ValueError:
            return NO_RECORD
        if attempt is None:
            return NO_RECORD
        if attempt.state is AttemptState.ABANDONED:
            return ABANDONED
        return DONE if attempt.state is AttemptState.DONE else RUNNING

    async def _begin(self, req: _Request) -> Begun:
        again: Begun | Again = Again(None)
        while isinstance(again, Again):
            met = self._attempts.by_id(req.id)
            if met is not None:
                again = await self._join(met, req)
            else:
                again = await self._claim(req, again.supersedes)
        return again

    async def _join(self, met: Attempt, req: _Request) -> Begun | Again:
        """Wait for the attempt of another delivery of the same request on this instance."""
        if met.content != req.content:
            return await self._join_other(met, req)
        if not await until(self._deps.clock, met.when_ended(), req.due_ms):
            return Err(still_running())
        return Ok(Done(met.answer)) if met.state is AttemptState.DONE else Again(None)

    async def _join_other(self, met: Attempt, req: _Request) -> Begun | Again:
        """Refuse a key that was used for another request, once it has been.

        An attempt that only tries to claim the key may find that it belongs to the very
        request that would be refused here as not run.
        """
        if not await until(self._deps.clock, met.when_decided(), req.due_ms):
            return Err(still_running())
        return Again(None) if met.state is AttemptState.ABANDONED else Err(key_conflict())

    async def _claim(self, req: _Request, supersedes: Token | None) -> Begun | Again:
        """Write a claim of this delivery."""
        if self._deps.clock.now() >= req.due_ms:
            return Err(not_run(ErrorKind.DEADLINE, "no time was left to claim the key"))
        attempt = self._attempts.add(req.id, self._new_token(), req.content)
        op = Op(Want.CLAIM, req.id, attempt.token, req.content)
        op.supersedes = supersedes
        self._shard(req.id).submit(op)
        try:
            await until(self._deps.clock, op.done, req.due_ms)
        except CancelledError:
            self._give_up(attempt, op)
            raise
        if self._deps.clock.now() < req.due_ms and isinstance(op.end, Kept):
            attempt.may_send(op.end.record)
            return Ok(New(attempt.token))
        known = self._shard(req.id).known(req.id)
        self._give_up(attempt, op)
        return await self._not_claimed(req, op.end, known)

    async def _not_claimed(self, req: _Request, end: OpEnd | None, known: Known) -> Begun | Again:
        """Tell why a delivery could not claim its key; its own attempt is given up."""
        if isinstance(end, Found) and end.record is not None:
            return await self._judge(req, end.record, may_claim=True)
        if isinstance(end, Kept):
            return Err(not_run(ErrorKind.DEADLINE, "the key was claimed too late"))
        if known.record is not None and not self._is_free(known.record):
            return await self._judge(req, known.record, may_claim=False)
        if known.record is None and known.archived:
            reason = "an earlier delivery is on record, but the record cannot be read"
            return Err(unknown(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS))
        return Err(store_down())

    def _give_up(self, attempt: Attempt, op: Op) -> None:
        """Make sure that an attempt is never sent, and that others can learn so."""
        self._attempts.end(attempt, AttemptState.ABANDONED, None)
        if isinstance(op.end, Kept):
            self._follow(attempt, Op(Want.ABANDON, attempt.id, attempt.token, attempt.content))
        elif op.end is not None or self._shard(attempt.id).take_back(op):
            self._attempts.forget(attempt)
        else:
            op.done.addCallback(self._followed, attempt, op)

    def _follow(self, attempt: Attempt, op: Op) -> None:
        """Write the end of an attempt, however long the store takes."""
        op.done.addCallback(self._followed, attempt, op)
        op.done.addErrback(report_failure, "end of a claim")
        self._shard(attempt.id).submit(op)

    def _followed(self, _: None, attempt: Attempt, op: Op) -> None:
        """Forget an attempt whose end others can now read in the store."""
        self._attempts.forget(attempt)
        if op.want is Want.FINISH:
            kept = isinstance(op.end, Kept)
            check(kept, Promise.AT_MOST_ONCE, token=attempt.token.hex(), end="superseded")
        else:
            events.emit(events.CLAIM_ABANDONED, claim=attempt.id.hex())

    async def _judge(self, req: _Request, record: Record, may_claim: bool) -> Begun | Again:
        """Tell what the claim of another attempt means for a delivery."""
        if record.state is ClaimState.DONE:
            same = record.content == req.content
            return Ok(Done(record.answer)) if same else Err(key_conflict())
        if self._is_free(record):
            return Again(None) if may_claim else Err(store_down())
        if record.content != req.content:
            return await self._judge_other(req, record, may_claim)
        state = await self._state_of(req, record)
        if state == RUNNING:
            return Ok(Running(record.writer))
        if state == ABANDONED:
            return Again(record.token) if may_claim else Err(store_down())
        # The writer may have forgotten the claim because its end is in the store by now.
        latest = await self._look(req)
        if latest is not None and latest != record:
            return await self._judge(req, latest, may_claim)
        if state == DONE:
            return Ok(Running(record.writer))
        return self._unknown(record)

    async def _judge_other(self, req: _Request, record: Record, may_claim: bool) -> Begun | Again:
        """Refuse a key that is claimed for another request, if it still is.

        The record may have been read long ago. If its claim was abandoned since, the key may
        have gone to this very request, and have run.
        """
        latest = await self._look(req)
        if latest is None:
            reason = "another request had the key when the store was last read"
            return Err(unknown(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS))
        if latest == record:
            return Err(key_conflict())
        return await self._judge(req, latest, may_claim)

    async def _state_of(self, req: _Request, record: Record) -> str:
        """Return what a claim's writer says of it; NO_RECORD if it can't be asked in time.

        A claim with this instance's name, but not of this process, was written by an earlier
        process: what that one sent is not known here.
        """
        if record.writer == self._deps.instance:
            return self.state(record.token.hex())
        asked = Deferred.fromCoroutine(self._asked(record))
        state = await until(self._deps.clock, asked, req.due_ms)
        asked.addErrback(report_failure, "question to a claim's writer")
        return state if state is not None else NO_RECORD

    async def _asked(self, record: Record) -> str:
        return await self._deps.ask_writer(record.writer, record.token.hex())

    def _unknown(self, record: Record) -> Begun:
        events.emit(events.CLAIM_UNKNOWN, claim=record.id.hex(), writer=record.writer)
        return Ok(Unknown(record.writer))

    async def _look(self, req: _Request) -> Record | None:
        """Read the record that counts now; None if that fails or takes too long."""
        op = Op(Want.LOOK, req.id, b"", req.content)
        self._shard(req.id).submit(op)
        await until(self._deps.clock, op.done, req.due_ms)
        if op.end is None:
            self._shard(req.id).take_back(op)
        return op.end.record if isinstance(op.end, Found) else None

    def _is_free(self, record: Record) -> bool:
        if record.state is ClaimState.ABANDONED:
            return True
        return record.state is ClaimState.CLAIMED and self._attempts.gave_up(record.token)

    def _shard(self, claim: bytes) -> ShardWriter:
        return self._shards[shard_of(claim)]

    def _new_token(self) -> Token:
        """Draw a token that no other process can draw.

        Two processes with the same random state would otherwise take each other's claim for
        their own, and both would send.
        """
        self._tokens += 1
        drawn = self._deps.rng.randbytes(DIGEST_BYTES)
        counted = f"{self._deps.boot} {self._tokens}".encode()
        return content_hash(self._deps.instance.encode(), counted, drawn)
