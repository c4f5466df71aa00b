"""Test the modules of batch processing separately."""

import json
from collections import Counter
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from twisted.internet.defer import Deferred

from papayapier.batch import ids, keys, store_access
from papayapier.batch.fair_scheduling import caller_limits
from papayapier.batch.file_upload import FileUpload
from papayapier.batch.lines import LineError, endpoint_of, parse_line
from papayapier.batch.placement import assign_shards
from papayapier.batch.tasks import choose_task_items, locate_item, split_tasks
from papayapier.entry.streaming import write_all
from papayapier.errors import ErrorKind
from papayapier.settings import BatchSettings
from papayapier.store.api import StoreError
from papayapier.upstream.api import Reply
from tests.batch_world import CALLER, DEFAULTS, PROFILES, URL, World, result_now
from tests.fake_store import Fault

DERANDOMIZED = settings(derandomize=True, deadline=None, database=None, max_examples=60)
DAY_MS = 86_400_000
RETENTION_MS = 1_500_000


def line(custom_id: str = "c", url: str = URL, body: str = "{}", **more: Any) -> bytes:
    rest = "".join(f', "{key}": {json.dumps(value)}' for key, value in more.items())
    return f'{{"custom_id": "{custom_id}", "url": "{url}", "body": {body}{rest}}}'.encode()


class TestLines:
    def test_body_bytes_are_unchanged(self) -> None:
        parsed = parse_line(line(body='{"b":1,  "a": 1.50}'), 1)
        item = parsed.unwrap()
        assert item is not None and item.body == b'{"b":1,  "a": 1.50}'

    def test_invalid_lines_are_refused_with_reason(self) -> None:
        faults = {
            line(custom_id=""): "length >= 1",
            line(url="/v1/unknown"): "url: /v1/unknown is not served",
            line(url="/services/"): "url: /services/ is not served",
            line(body="[]"): "body: expected an object",
            line(method="GET"): "method: /v1/chat/completions takes POST",
            line(url="/services/gate/x", method="BREW"): "method: BREW is not served",
            b'{"custom_id": "c"}': "missing required field `url`",
            b"\xff": "malformed",
            b"{": "truncated",
        }
        for text, reason in faults.items():
            fault = parse_line(text, 7)
            assert isinstance(fault, Err), text
            assert fault.err_value.line == 7 and reason in fault.err_value.reason, fault

    def test_endpoint_of_a_service(self) -> None:
        assert endpoint_of("/services/gate/passes/1") == "/services/gate"
        assert parse_line(b"  ", 1) == Ok(None)
        assert parse_line(b"x" * 800_000, 2) == Err(LineError(2, "over 700000 bytes"))


class TestFileIntake:
    def intake(self, **cfg: int) -> tuple[World, FileUpload]:
        world = World(BatchSettings(shards=1, **cfg))
        return world, world.start("a").start_upload(CALLER, "in", "batch")

    @DERANDOMIZED
    @given(count=st.integers(1, 25), cuts=st.lists(st.integers(1, 90), min_size=1, max_size=9))
    def test_pieces_of_any_size(self, count: int, cuts: list[int]) -> None:
        world, intake = self.intake(chunk_items=10)
        data = b"\n".join(line(f"c{n}", body=f'{{"n":{n}}}') for n in range(count))
        while data:
            piece, data = data[: cuts[0]], data[cuts[0] :]
            cuts = cuts[1:] + cuts[:1]
            assert result_now(intake.feed(piece)) is None
        record = world.run_until_done(intake.finish()).unwrap()
        assert record.item_count() == count and max(record.chunks) <= 10
        lines = result_now(join_pieces(world.instances["a"].reader.input_lines(record, print)))
        assert [json.loads(entry)["body"]["n"] for entry in lines.splitlines()] == list(
            range(count)
        )

    def test_refusals_name_the_line(self) -> None:
        cases = {
            line("a") + b"\n" + line("b") + b"\n" + line("a"): "line 3: custom_id: the same as",
            line("a") + b"\n\n" + line("b"): "line 2: blank line",
            b"\n".join(line(f"c{n}") for n in range(6)): "line 6: over 5 items",
            b"": "the file has no items",
            b"y" * 800_000: "line 1: over 700000 bytes",
        }
        for data, reason in cases.items():
            _, intake = self.intake(max_items=5)
            refusal = result_now(intake.feed(data)) or result_now(intake.finish()).unwrap_err()
            assert refusal.reason.startswith(reason)

    def test_file_over_its_bound(self) -> None:
        _, intake = self.intake(max_file_bytes=1_000)
        assert result_now(intake.feed(line() + b"\n" + b" " * 900)) is None
        assert result_now(intake.feed(b" " * 900)).kind is ErrorKind.TOO_LARGE

    def test_large_items_make_small_chunks(self) -> None:
        world, intake = self.intake()
        for n in range(20):
            assert (
                result_now(intake.feed(line(f"c{n}", body=json.dumps({"t": "x" * 99_000})))) is None
            )
            result_now(intake.feed(b"\n"))
        record = world.run_until_done(intake.finish()).unwrap()
        assert sum(record.chunks) == 20 and max(record.chunks) <= 4
        assert max(len(entry.value) for entry in world.platform.objects.values()) < 1_000_000


class TestIds:
    def test_position_of_id_in_blocks(self) -> None:
        index = ids.IdIndex()
        for n in range(ids.IDS_PER_BLOCK + 10):
            index.add(f"c{n}")
        assert not any(map(index.duplicate, range(ids.BUCKET_COUNT))) and index.inline() == b""
        first, second = index.blocks()
        assert (
            ids.find_position(first, "c99999") == 99_999
            and ids.find_position(first, "c100003") is None
        )
        assert ids.find_position(second, "c100003") == 3


class TestTasks:
    @DERANDOMIZED
    @given(
        chunks=st.lists(st.integers(1, 40), min_size=1, max_size=6),
        most=st.integers(1, 50),
        pick=st.integers(0, 1_000),
    )
    def test_tasks_cover_every_item_once(self, chunks: list[int], most: int, pick: int) -> None:
        spans = split_tasks(chunks, most)
        covered = [(s.chunk, n) for s in spans for n in range(s.start, s.stop)]
        assert covered == [(c, n) for c, count in enumerate(chunks) for n in range(count)]
        assert max(span.size() for span in spans) <= most
        item = pick % sum(chunks)
        span, within = locate_item(spans, chunks, item)
        assert covered[item] == (span.chunk, span.start + within)

    def test_size_of_tasks(self) -> None:
        assert choose_task_items(300, 1_000, 6, True) == 50
        assert choose_task_items(5_999, 1_000, 6, True) == 500
        assert choose_task_items(6_000, 1_000, 6, True) == 1_000
        assert choose_task_items(750_000, 1_000, 6, True) == 1_000
        assert choose_task_items(750_000, 1_000, 6, False) == 100


class TestPlacement:
    def test_shares_are_even_and_few_shards_move(self) -> None:
        names = [f"entry-{n}" for n in range(6)]
        before = assign_shards(32, names)
        assert set(Counter(before).values()) <= {2, 5, 6}
        after = assign_shards(32, names[1:])
        moved = sum(a != b for a, b in zip(before, after, strict=True) if a != "entry-0")
        assert moved <= 16


class TestCallerLimits:
    def test_shares_are_equal_except_for_jobs_at_risk(self) -> None:
        world = World()
        batch = world.start("a")
        jobs = []
        for caller in ("north", "south"):
            record = world.submit(batch, world.upload(batch, 5)).record
            job = batch.registry.apply_record(record._replace(job_id=caller, caller=caller), 1)
            jobs.append(job)
        assert caller_limits(jobs, 16) == {"north": 8, "south": 8}
        jobs[1].at_risk = True
        assert caller_limits(jobs, 16) == {"north": 4, "south": 12}

    def test_many_early_jobs_do_not_starve_another_caller(self) -> None:
        """Check that a caller's small job does not wait for hours behind another caller's jobs.

        One caller submits large jobs with early due times before the other caller's job;
        capacity must not be assigned by due time alone.
        """
        world = World()
        world.upstream.hold_replies = True
        batch = world.start("a")
        world.advance(2_000)
        file = world.upload(batch, 400)
        early = world.request(file)._replace(due_ms=world.clock.wall() + 60_000)
        result_now(batch.jobs.accept(early)).unwrap()
        later = world.request(file)._replace(due_ms=world.clock.wall() + DAY_MS)
        intake = batch.start_upload("karavany", "in", "batch")
        result_now(intake.feed(line()))
        small = later._replace(
            caller="karavany", file_id=result_now(intake.finish()).unwrap().file_id
        )
        world.advance(200)
        accepted = result_now(batch.jobs.accept(small)).unwrap()
        world.advance(200)
        world.upstream.release(1)
        world.advance(1_000)
        assert any(accepted.record.job_id in call.call_id for call, _ in world.upstream.unanswered)


class TestDeadlineRisk:
    def test_job_at_risk_is_reported_early(self) -> None:
        world = World()
        world.upstream.hold_replies = True
        batch = world.start("a")
        world.advance(2_000)
        request = world.request(world.upload(batch, 400))
        due = world.clock.wall() + 120_000
        result_now(batch.jobs.accept(request._replace(due_ms=due))).unwrap()
        for _ in range(10):
            world.advance(1_000)
            world.upstream.release(1)
        gauge = batch.deps.metrics.registry.get_sample_value
        assert gauge("papayapier_jobs_at_risk") == 1
        assert world.clock.wall() < due - 100_000
        world.upstream.hold_replies = False
        world.upstream.release()
        world.advance(3_000)
        assert gauge("papayapier_jobs_at_risk") == 0


class TestStoreAccess:
    def test_retry_after_lost_reply_finds_own_value(self) -> None:
        """Check that a task does not drop results that the store has.

        A write takes effect, but its reply and those of all retries are lost. Minutes later the
        same write is retried and conflicts; this must not be attributed to another writer.
        """
        world = World()
        deps = world.start("a").deps
        world.platform.fail(Fault.LOST_AFTER, call="create", key="x")
        world.platform.fail(Fault.LOST_BEFORE, key="x", times=1_000)
        first = world.run_until_done(store_access.retry_safe_write(deps, "x", b"mine", 0, False))
        assert first == Err(StoreError.LOST)
        world.platform.clear_faults()
        assert isinstance(
            result_now(store_access.retry_safe_write(deps, "x", b"mine", 0, True)), Ok
        )
        assert result_now(store_access.retry_safe_write(deps, "x", b"other", 0, True)) == Err(
            StoreError.CONFLICT
        )


class TestExpiry:
    def test_expired_objects_are_deleted(self) -> None:
        world = World(DEFAULTS._replace(retention_ms=RETENTION_MS))
        batch = world.start("a")
        world.advance(2_000)
        job = world.submit(batch, world.upload(batch, 100))
        unused = world.upload(batch, 5)
        world.advance(5_000)
        assert world.job(batch, job).ended
        result_now(batch.delete_file(CALLER, unused.file_id)).unwrap()
        world.advance(800_000, step=1_000)
        assert not keys_of(world, unused.file_id)
        assert keys_of(world, job.record.job_id) and keys_of(world, job.record.file_id)
        world.advance(RETENTION_MS, step=1_000)
        assert not keys_of(world, job.record.job_id) and not keys_of(world, job.record.file_id)
        assert not [key for key in world.platform.objects if key.startswith("expiry/")]

    def test_input_of_an_active_job_stays(self) -> None:
        world = World(DEFAULTS._replace(retention_ms=RETENTION_MS))
        world.upstream.hold_replies = True
        batch = world.start("a")
        world.advance(2_000)
        job = world.submit(batch, world.upload(batch, 100))
        refused = result_now(batch.delete_file(CALLER, job.record.file_id)).unwrap_err()
        assert refused.kind is ErrorKind.STILL_RUNNING
        world.advance(RETENTION_MS + 200_000, step=1_000)
        assert keys_of(world, job.record.file_id)


class TestLargeResults:
    def test_results_over_one_object(self) -> None:
        world = World()
        batch = world.start("a")
        world.advance(2_000)
        text = json.dumps({"text": "x" * 90_000}).encode()
        big = Reply(200, "application/json", text, "", 1, "stop", None, 1, 1)
        world.upstream.make_outcome = lambda call: Ok(big)
        job = world.submit(batch, world.upload(batch, 60))
        world.advance(5_000)
        assert world.job(batch, job).record.tally.completed == 60
        lines = world.lines(batch, job)
        assert len({entry["custom_id"] for entry in lines}) == 60
        assert any(key.startswith(keys.spill_prefix("")[:6]) for key in world.platform.objects)

    def test_memory_full_of_unfinished_tasks(self) -> None:
        """Check that batch jobs do not stall when open tasks' results fill the memory.

        The bound is reached before any task is finished, and at the bound nothing is sent; so
        the results of unfinished tasks must be stored as well.
        """
        world = World(DEFAULTS._replace(result_buffer_bytes=1_000_000))
        batch = world.start("a")
        world.advance(2_000)
        text = json.dumps({"text": "x" * 60_000}).encode()
        big = Reply(200, "application/json", text, "", 1, "stop", None, 1, 1)
        world.upstream.make_outcome = lambda call: Ok(big)
        jobs = [world.submit(batch, world.upload(batch, 60), name) for name in PROFILES]
        world.advance(20_000)
        assert all(world.job(batch, job).ended for job in jobs)


class TestStreaming:
    def test_slow_reader_pauses_store_reads(self) -> None:
        """Check that a slow download of results does not exhaust an instance's memory.

        The store must not be read faster than the connection accepts data.
        """
        request: Any = SlowRequest()
        done: list[bool] = []
        Deferred.fromCoroutine(write_all(request, request.pieces())).addCallback(done.append)
        assert (request.piece_count, done) == (1, [])
        request.producer.resumeProducing()
        assert (request.piece_count, done) == (2, [])
        request.producer.stopProducing()
        assert (request.piece_count, done) == (2, [False])


class SlowRequest:
    """Pause the writer after each piece."""

    producer: Any = None
    piece_count = 0

    def registerProducer(self, producer: Any, _streaming: bool) -> None:  # noqa: N802
        self.producer = producer

    def write(self, _data: bytes) -> None:
        self.producer.pauseProducing()

    async def pieces(self) -> Any:
        for _ in range(5):
            self.piece_count += 1
            yield b"piece"


def keys_of(world: World, part: str) -> list[str]:
    kept = [key for key in world.platform.objects if not key.startswith("expiry/")]
    return [key for key in kept if part in key]


async def join_pieces(pieces: Any) -> bytes:
    return b"".join([piece async for piece in pieces])
