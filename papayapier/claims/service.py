"""Run a non-idempotent request with an idempotency key at most once, across all instances.

A claim on the key is stored before the request is sent. An instance that finds the claim of another
instance queries its writer before it replies, and runs the request only if the claim was abandoned,
which only the writer can confirm. A claim never expires by time, because its writer may be paused
and may send the request when it resumes. So if the writer is lost, the outcome remains unknown.

A refusal refers to the delivery that is refused: NOT_RUN means that this delivery was not sent and
never will be. While the store is unavailable, nothing can be found out about earlier deliveries
with the same key; if this instance knows of one, it does not reply NOT_RUN.

A claim whose write was lost may appear in the store after its request was refused. Its token is
given up before the refusal, so that the request can never be sent. The instance keeps writing until
the claim is marked as abandoned in the store, and reports it as abandoned to instances that query
it.
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
    BeginResult,
    Done,
    New,
    QueryWriter,
    RetryBegin,
    Running,
    Token,
    Unknown,
    key_conflict,
    still_running,
    store_down,
)
from papayapier.claims.attempts import Attempt, Attempts, AttemptState, wait_until
from papayapier.claims.group import GroupDeps, ShardWriter
from papayapier.claims.ops import Found, Known, Op, OpKind, OpResult, Stored, Writer
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
from papayapier.errors import ErrorKind, not_run_refusal, unknown_refusal
from papayapier.invariants import Invariant, check_invariant
from papayapier.metrics import Metrics
from papayapier.settings import ClaimSettings
from papayapier.store.api import Store
from papayapier.store.bucket import TokenBucket
from papayapier.store.watch import log_failure

DRAIN_POLL_MS: Final = 10


class ClaimDeps(NamedTuple):
    """Group the dependencies of Claims.

    boot is drawn at random at process start. query_writer requests the state() of a claim reference
    from an instance; any text but the four states means that the request failed.
    """

    store: Store
    clock: Clock
    rng: random.Random
    cfg: ClaimSettings
    metrics: Metrics
    instance: str
    boot: int
    query_writer: QueryWriter


class _Request(NamedTuple):
    """Hold the claim id, the content hash and the due time of a delivery."""

    id: bytes
    content: bytes
    due_ms: int


class Claims:
    """Begin, finish and abandon the claims of one instance."""

    def __init__(self, deps: ClaimDeps) -> None:
        self._deps = deps
        self._attempts = Attempts()
        self._tokens = 0
        writer = Writer(deps.instance, deps.boot, self._attempts.gave_up)
        permits = TokenBucket(deps.clock, deps.cfg.writes_per_s)
        group = GroupDeps(deps.store, deps.clock, deps.rng, deps.cfg, deps.metrics, writer, permits)
        self._shards = [ShardWriter(group, shard) for shard in range(SHARDS)]

    def start(self) -> None:
        """Read the shards in advance, so that the first requests do not wait for that."""
        for shard in self._shards:
            shard.submit(Op(OpKind.LOOKUP, bytes(DIGEST_BYTES), b"", b""))

    def stop(self) -> None:
        """Stop at once; outcomes that are not in the store yet are never written."""
        for shard in self._shards:
            shard.stop()

    def unsettled(self) -> set[bytes]:
        """Return the ids of this process's claims whose outcome is not in the store yet."""
        return self._attempts.ids()

    async def drain(self, due_ms: int) -> bool:
        """Wait until the outcomes of all claims are stored; return False if due_ms is reached."""
        while self.unsettled():
            if self._deps.clock.now() >= due_ms:
                return False
            await self._deps.clock.sleep(DRAIN_POLL_MS)
        return True

    async def begin(self, caller: str, key: str, content: bytes, due_ms: int) -> BeginResult:
        """Claim a key before its request is sent, or return the state of an earlier delivery."""
        req = _Request(claim_id(caller, key), content, due_ms)
        begun = await self._begin(req)
        outcome = begun.ok_value if isinstance(begun, Ok) else begun.err_value.kind
        label = outcome.value if isinstance(outcome, ErrorKind) else type(outcome).__name__.lower()
        self._deps.metrics.claim_ends.labels(end=label).inc()
        return begun

    def finish(self, token: Token, answer: SavedAnswer) -> None:
        """Store the answer of a request that was sent, whether it succeeded or not."""
        attempt = self._attempts.by_token(token)
        sent = attempt is not None and attempt.state is AttemptState.SENDING
        check_invariant(sent, Invariant.AT_MOST_ONCE, token=token.hex(), end="finish")
        if attempt is None or not sent:
            return
        self._attempts.end(attempt, AttemptState.DONE, answer)
        op = Op(OpKind.FINISH, attempt.id, token, attempt.content)
        op.stored = attempt.stored
        if len(answer.body) <= self._deps.cfg.answer_bytes:
            op.answer = answer
        self._write_outcome(attempt, op)

    def abandon(self, token: Token) -> None:
        """Free the key of a request that was not sent."""
        attempt = self._attempts.by_token(token)
        is_sending = attempt is not None and attempt.state is AttemptState.SENDING
        check_invariant(is_sending, Invariant.NOT_RUN_TRUE, token=token.hex(), end="abandon")
        if attempt is None or not is_sending:
            return
        self._attempts.end(attempt, AttemptState.ABANDONED, None)
        self._write_outcome(attempt, Op(OpKind.ABANDON, attempt.id, token, attempt.content))

    def state(self, reference: str) -> str:
        """Return the state of a claim that this process wrote, for another instance."""
        try:
            attempt = self._attempts.by_token(bytes.fromhex(reference))
        except ValueError:
            return NO_RECORD
        if attempt is None:
            return NO_RECORD
        if attempt.state is AttemptState.ABANDONED:
            return ABANDONED
        return DONE if attempt.state is AttemptState.DONE else RUNNING

    async def _begin(self, req: _Request) -> BeginResult:
        result: BeginResult | RetryBegin = RetryBegin(None)
        while isinstance(result, RetryBegin):
            earlier = self._attempts.by_id(req.id)
            if earlier is not None:
                result = await self._join_earlier(earlier, req)
            else:
                result = await self._claim(req, result.supersedes)
        return result

    async def _join_earlier(self, earlier: Attempt, req: _Request) -> BeginResult | RetryBegin:
        """Wait for the attempt of an earlier delivery of the same request on this instance."""
        if earlier.content != req.content:
            return await self._join_other_request(earlier, req)
        if not await wait_until(self._deps.clock, earlier.when_ended(), req.due_ms):
            return Err(still_running())
        return Ok(Done(earlier.answer)) if earlier.state is AttemptState.DONE else RetryBegin(None)

    async def _join_other_request(
        self, earlier: Attempt, req: _Request
    ) -> BeginResult | RetryBegin:
        """Refuse a key that an earlier delivery uses for another request, once it has the key.

        An earlier delivery that is still claiming may find that the key belongs to the very request
        that would be refused here as not run.
        """
        if not await wait_until(self._deps.clock, earlier.when_decided(), req.due_ms):
            return Err(still_running())
        return RetryBegin(None) if earlier.state is AttemptState.ABANDONED else Err(key_conflict())

    async def _claim(self, req: _Request, supersedes: Token | None) -> BeginResult | RetryBegin:
        """Write a claim for this delivery."""
        if self._deps.clock.now() >= req.due_ms:
            return Err(not_run_refusal(ErrorKind.DEADLINE, "no time was left to claim the key"))
        attempt = self._attempts.add(req.id, self._new_token(), req.content)
        op = Op(OpKind.CLAIM, req.id, attempt.token, req.content)
        op.supersedes = supersedes
        self._shard(req.id).submit(op)
        try:
            await wait_until(self._deps.clock, op.done, req.due_ms)
        except CancelledError:
            self._give_up(attempt, op)
            raise
        if self._deps.clock.now() < req.due_ms and isinstance(op.result, Stored):
            attempt.on_claimed(op.result.record)
            return Ok(New(attempt.token))
        known = self._shard(req.id).known(req.id)
        self._give_up(attempt, op)
        return await self._not_claimed(req, op.result, known)

    async def _not_claimed(
        self, req: _Request, result: OpResult | None, known: Known
    ) -> BeginResult | RetryBegin:
        """Return why a delivery could not claim its key; its own attempt is given up already."""
        if isinstance(result, Found) and result.record is not None:
            return await self._decide(req, result.record, may_claim=True)
        if isinstance(result, Stored):
            return Err(not_run_refusal(ErrorKind.DEADLINE, "the key was claimed too late"))
        if known.record is not None and not self._is_free(known.record):
            return await self._decide(req, known.record, may_claim=False)
        if known.record is None and known.archived:
            reason = "a record of an earlier delivery exists, but it cannot be read"
            return Err(unknown_refusal(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS))
        return Err(store_down())

    def _give_up(self, attempt: Attempt, op: Op) -> None:
        """Ensure that an attempt is never sent, and that other instances can find this out."""
        self._attempts.end(attempt, AttemptState.ABANDONED, None)
        if isinstance(op.result, Stored):
            self._write_outcome(
                attempt, Op(OpKind.ABANDON, attempt.id, attempt.token, attempt.content)
            )
        elif op.result is not None or self._shard(attempt.id).withdraw(op):
            self._attempts.forget(attempt)
        else:
            op.done.addCallback(self._on_outcome_written, attempt, op)

    def _write_outcome(self, attempt: Attempt, op: Op) -> None:
        """Write the outcome of an attempt, retrying for as long as the store is unavailable."""
        op.done.addCallback(self._on_outcome_written, attempt, op)
        op.done.addErrback(log_failure, "end of a claim")
        self._shard(attempt.id).submit(op)

    def _on_outcome_written(self, _: None, attempt: Attempt, op: Op) -> None:
        """Forget an attempt, as its outcome is now in the store."""
        self._attempts.forget(attempt)
        if op.kind is OpKind.FINISH:
            is_stored = isinstance(op.result, Stored)
            check_invariant(
                is_stored, Invariant.AT_MOST_ONCE, token=attempt.token.hex(), end="superseded"
            )
        else:
            events.emit(events.CLAIM_ABANDONED, claim=attempt.id.hex())

    async def _decide(
        self, req: _Request, record: Record, may_claim: bool
    ) -> BeginResult | RetryBegin:
        """Decide a delivery from the record of another attempt on its key."""
        if record.state is ClaimState.DONE:
            same = record.content == req.content
            return Ok(Done(record.answer)) if same else Err(key_conflict())
        if self._is_free(record):
            return RetryBegin(None) if may_claim else Err(store_down())
        if record.content != req.content:
            return await self._decide_other_request(req, record, may_claim)
        state = await self._state_of(req, record)
        if state == RUNNING:
            return Ok(Running(record.writer))
        if state == ABANDONED:
            return RetryBegin(record.token) if may_claim else Err(store_down())
        # The writer may have forgotten the claim because its outcome has been stored meanwhile.
        latest = await self._lookup(req)
        if latest is not None and latest != record:
            return await self._decide(req, latest, may_claim)
        if state == DONE:
            return Ok(Running(record.writer))
        return self._unknown_outcome(record)

    async def _decide_other_request(
        self, req: _Request, record: Record, may_claim: bool
    ) -> BeginResult | RetryBegin:
        """Refuse a key if it is still claimed for another request.

        The record may have been read long ago. If its claim was abandoned since, this very request
        may have claimed the key and have run.
        """
        latest = await self._lookup(req)
        if latest is None:
            reason = "another request had the key when the store was last read"
            return Err(unknown_refusal(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS))
        if latest == record:
            return Err(key_conflict())
        return await self._decide(req, latest, may_claim)

    async def _state_of(self, req: _Request, record: Record) -> str:
        """Return the state reported by a claim's writer, or NO_RECORD if it does not reply in time.

        A claim that carries this instance's name, but is unknown to this process, was written by an
        earlier process; it is unknown here whether that process sent the request.
        """
        if record.writer == self._deps.instance:
            return self.state(record.token.hex())
        requested = Deferred.fromCoroutine(self._request_state(record))
        state = await wait_until(self._deps.clock, requested, req.due_ms)
        requested.addErrback(log_failure, "request to the writer of a claim")
        return state if state is not None else NO_RECORD

    async def _request_state(self, record: Record) -> str:
        return await self._deps.query_writer(record.writer, record.token.hex())

    def _unknown_outcome(self, record: Record) -> BeginResult:
        events.emit(events.CLAIM_UNKNOWN, claim=record.id.hex(), writer=record.writer)
        return Ok(Unknown(record.writer))

    async def _lookup(self, req: _Request) -> Record | None:
        """Read the current record from the store; return None on failure or timeout."""
        op = Op(OpKind.LOOKUP, req.id, b"", req.content)
        self._shard(req.id).submit(op)
        await wait_until(self._deps.clock, op.done, req.due_ms)
        if op.result is None:
            self._shard(req.id).withdraw(op)
        return op.result.record if isinstance(op.result, Found) else None

    def _is_free(self, record: Record) -> bool:
        if record.state is ClaimState.ABANDONED:
            return True
        return record.state is ClaimState.CLAIMED and self._attempts.gave_up(record.token)

    def _shard(self, claim: bytes) -> ShardWriter:
        return self._shards[shard_of(claim)]

    def _new_token(self) -> Token:
        """Create a token that no other process can create.

        Two processes with the same random state could otherwise mistake each other's claims for
        their own, and both would send the request.
        """
        self._tokens += 1
        drawn = self._deps.rng.randbytes(DIGEST_BYTES)
        counted = f"{self._deps.boot} {self._tokens}".encode()
        return content_hash(self._deps.instance.encode(), counted, drawn)
