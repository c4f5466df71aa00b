"""Test the components of the stand-ins that need no sockets."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from papayapier.clock import fake_clock
from papayapier.standin.answers import answer_words, expected_text
from papayapier.standin.engine_core import EngineCore
from papayapier.standin.engine_steps import Batch, EngineParams, Sequence
from papayapier.standin.generations import Generation
from papayapier.standin.instance_list import EXPIRY_MS, InstanceList
from papayapier.standin.limits import BURST_MS, TokenBucket
from papayapier.standin.load_report import LaggedReports, LoadReport
from papayapier.standin.object_store import ObjectStore
from papayapier.standin.orders import Order, Orders
from papayapier.standin.outputs import Output
from papayapier.standin.prefix_cache import (
    BLOCK_TOKENS,
    CacheParams,
    PrefixCache,
    block_names,
)
from papayapier.standin.switches import Control, Mode, Switches, parse_control
from papayapier.standin.timers import Timers
from papayapier.store.api import Change, Changes, Member, StoreError

KEYS = st.sampled_from(["a", "a/b", "a/c", "b", "b/x"])
STEPS = st.lists(st.tuples(st.sampled_from(["create", "update", "delete"]), KEYS), max_size=30)


@settings(derandomize=True, deadline=None, database=None, max_examples=80)
@given(STEPS)
def test_objects_agree_with_a_plain_model(steps: list[tuple[str, str]]) -> None:
    objects = ObjectStore(history=1_000)
    model: dict[str, int] = {}
    changes: list[Change] = []
    for number, (step, key) in enumerate(steps):
        value = str(number).encode()
        version = model.get(key, number + 1_000)
        if step == "create":
            result = objects.create(key, value)
        elif step == "update":
            result = objects.update(key, value, version)
        else:
            result = objects.delete(key, version)
        if (key in model) == (step == "create"):
            assert result == Err(StoreError.CONFLICT)
            continue
        revision = len(changes) + 1
        assert result == Ok(revision)
        changes.append(Change(key, revision, step == "delete"))
        model[key] = revision
        if step == "delete":
            del model[key]
    assert objects.revision == len(changes)
    assert {entry.key: entry.version for entry in objects.list("", "", 1_000).objects} == model
    latest = {change.key: change for change in changes if change.key.startswith("a")}
    expected = sorted(latest.values(), key=lambda change: change.version)
    assert objects.changes("a", 0) == Ok(Changes(expected, len(changes)))


def test_listing_is_paged_in_key_order() -> None:
    objects = ObjectStore(history=10)
    for key in ("p/3", "q", "p/1", "p/2", "o"):
        objects.create(key, b"")
    first = objects.list("p/", "", 2)
    assert [entry.key for entry in first.objects] == ["p/1", "p/2"]
    assert first.more
    second = objects.list("p/", "p/2", 2)
    assert [entry.key for entry in second.objects] == ["p/3"]
    assert not second.more


def test_watch_older_than_the_history_must_list_again() -> None:
    objects = ObjectStore(history=2)
    for key in ("a", "b", "c"):
        objects.create(key, b"")
    assert objects.changes("", 0) == Err(StoreError.TOO_OLD)
    assert objects.changes("", 1) == Ok(Changes([Change("b", 2, False), Change("c", 3, False)], 3))
    assert objects.changes("", 4) == Err(StoreError.TOO_OLD)


def make_member(name: str, state: str = "live", static: bool = False) -> Member:
    return Member(name, "entry", "", "127.0.0.1", 1, 2, "dc-a", "r", state, static)


def test_instance_list_lags_and_expires_silent_members() -> None:
    fake = fake_clock()
    revisions: list[int] = []
    instances = InstanceList(fake.clock, lambda: 500, lambda: revisions.append(instances.revision))
    instances.report(make_member("one"))
    instances.report(make_member("two", static=True))
    fake.jump(499)
    assert instances.listed() == []
    fake.jump(1)
    assert [member.id for member in instances.listed()] == ["one", "two"]
    instances.report(make_member("one"))
    assert len(revisions) == 2
    fake.jump(EXPIRY_MS)
    assert [member.id for member in instances.listed()] == ["one", "two"]
    fake.jump(500)
    assert [member.id for member in instances.listed()] == ["two"]
    instances.withdraw("two")
    fake.jump(500)
    assert instances.listed() == []


def test_outage_does_not_expire_members() -> None:
    """Check that the list is not empty after an outage that is longer than the expiry.

    The reports of all instances fail during an outage of the platform.
    """
    fake = fake_clock()
    instances = InstanceList(fake.clock, lambda: 0, lambda: None)
    instances.report(make_member("one"))
    instances.pause_expiry()
    fake.jump(3 * EXPIRY_MS)
    instances.resume_expiry()
    assert [member.id for member in instances.listed()] == ["one"]
    fake.jump(EXPIRY_MS)
    assert instances.listed() == []


def test_bucket_counts_amounts() -> None:
    fake = fake_clock()
    bucket = TokenBucket(fake.clock)
    rate = 100
    assert [bucket.try_take(rate, amount) for amount in (30, 30, 20, 1)] == [
        True,
        False,
        True,
        False,
    ]
    fake.jump(100)
    assert [bucket.try_take(rate, amount) for amount in (11, 10)] == [False, True]


def test_amount_above_the_burst_passes_after_enough_time() -> None:
    fake = fake_clock()
    bucket = TokenBucket(fake.clock)
    assert [bucket.try_take(100, 1_000), bucket.try_take(100, 1)] == [True, False]
    fake.jump(9_990)
    assert not bucket.try_take(100, 1_000)
    fake.jump(10)
    assert bucket.try_take(100, 1_000)


def test_bucket_allows_a_burst_and_then_the_rate() -> None:
    fake = fake_clock()
    bucket = TokenBucket(fake.clock)
    rate = 100
    burst = rate * BURST_MS // 1_000
    assert sum(bucket.try_take(rate) for _ in range(rate)) == burst
    fake.jump(100)
    assert sum(bucket.try_take(rate) for _ in range(rate)) == rate // 10
    assert all(bucket.try_take(0) for _ in range(rate))


class Engine:
    """Drive a batch and record which sequences generated a token, by name."""

    def __init__(self, params: EngineParams) -> None:
        self.cache = PrefixCache(params.cache, lambda: 0, random.Random(1))
        self.batch = Batch(params, self.cache)
        self.started: list[str] = []
        self.generated: list[str] = []

    def submit(self, name: str, tokens: int, prompt: str = "p", stride: int = 1) -> Sequence:
        prompt_words = prompt.split()
        seq = Sequence(
            blocks=block_names(prompt_words),
            prompt_tokens=len(prompt_words),
            new_tokens_left=tokens,
            on_start=lambda: self.started.append(name),
            on_token=lambda last: self.generated.append(name.upper() if last else name),
            stride=stride,
        )
        self.batch.submit(seq)
        return seq

    def step(self) -> tuple[float | None, str]:
        """Run one step; return its duration, and the sequences that generated a token.

        A name in upper case marks the sequence's last token.
        """
        self.generated.clear()
        duration_ms = self.batch.begin_step()
        self.batch.end_step()
        return duration_ms, "".join(self.generated)


PARAMS = EngineParams(slots=2, base_ms=5.0, per_sequence_ms=1.0, prefill_ms=0.0)


def test_step_time_grows_with_running_sequences_and_others_wait_in_order() -> None:
    engine = Engine(PARAMS)
    engine.submit("a", 2)
    assert engine.step() == (6.0, "a")
    for name in "bcd":
        engine.submit(name, 2)
    assert (engine.batch.running, engine.batch.waiting) == (1, 3)
    assert engine.step() == (7.0, "Ab")
    assert engine.step() == (7.0, "Bc")
    assert engine.step() == (7.0, "Cd")
    assert engine.step() == (6.0, "D")
    assert engine.step() == (None, "")
    assert engine.started == ["a", "b", "c", "d"]
    assert engine.batch.kv_used == 0


def test_removed_sequence_frees_its_slot() -> None:
    engine = Engine(PARAMS)
    running = engine.submit("a", 9)
    engine.step()
    waiting = engine.submit("b", 9)
    assert engine.batch.remove(running)
    assert engine.batch.remove(waiting)
    assert not engine.batch.remove(running)
    assert engine.step() == (None, "")
    assert engine.started == ["a"]


def test_full_kv_cache_makes_the_next_sequence_wait() -> None:
    engine = Engine(PARAMS._replace(kv_total=10))
    engine.submit("a", 4, prompt="1 2 3")
    engine.submit("b", 4, prompt="1 2 3")
    assert engine.step() == (6.0, "a")
    assert engine.batch.waiting == 1


def test_late_sequence_generates_a_token_every_third_step() -> None:
    engine = Engine(PARAMS)
    engine.submit("a", 2, stride=3)
    assert [engine.step()[1] for _ in range(6)] == ["", "", "a", "", "", "A"]


def test_cached_prefix_saves_prefill_and_long_prompts_are_split() -> None:
    prompt = " ".join(str(i) for i in range(3 * BLOCK_TOKENS))
    engine = Engine(PARAMS._replace(prefill_ms=1.0, prefill_per_step=32))
    engine.submit("a", 1, prompt)
    assert engine.step() == (6.0 + 32, "")
    assert engine.step() == (6.0 + 16, "A")
    engine.submit("b", 1, prompt)
    assert engine.step() == (6.0 + 1, "B")
    engine.submit("c", 1, prompt.rsplit(" ", 1)[0] + " other")
    assert engine.step() == (6.0 + 16, "C")


def test_cache_is_limited_and_its_events_are_delayed_and_incomplete() -> None:
    now = [0]
    params = CacheParams(blocks=2, event_lag_ms=100, event_loss=0.5)
    cache = PrefixCache(params, lambda: now[0], random.Random(3))
    names = [str(i) for i in range(20)]
    for name in names:
        cache.store([name])
    assert [cache.match([name]) for name in names[-3:]] == [0, BLOCK_TOKENS, BLOCK_TOKENS]
    assert cache.events_since(0) == ([], 0)
    now[0] = 100
    events, next_seq = cache.events_since(0)
    numbers = [event.seq for event in events]
    assert numbers == sorted(set(numbers))
    assert 0 < len(numbers) < 38
    assert next_seq == numbers[-1] + 1
    assert cache.events_since(next_seq) == ([], next_seq)


def test_load_report_lags() -> None:
    empty = LoadReport(0, 0, 4, 0, 0, 5.0, 0)
    reports = LaggedReports(200, empty)
    reports.add(empty._replace(running=1, at_ms=100))
    assert [reports.get(now).running for now in (100, 299, 300)] == [0, 0, 1]
    reports.add(empty._replace(running=2, at_ms=300))
    assert [reports.get(now).running for now in (300, 499, 500)] == [1, 1, 2]
    assert reports.get(900).at_ms == 700


def make_order(ident: str, fence: int, kind: str = "load_model", name: str = "new") -> Order:
    return Order(order_id=ident, fence=fence, kind=kind, name=name)  # type: ignore[typeddict-item]


def test_orders_are_fenced_if_the_engine_checks_fences() -> None:
    fake = fake_clock()
    loaded: list[bool] = []
    for checks, accepted in ((True, [True, False]), (False, [True, True])):
        params = EngineParams(checks_fence=checks, order_ms=300)
        orders = Orders(params, Timers(fake.clock), lambda: loaded.append(True))
        assert [orders.accept(make_order("x", 5)), orders.accept(make_order("y", 4))] == accepted
    assert orders.accepted_counts == {"x": 1, "y": 1}
    assert orders.loading == 2
    assert orders.state.models == ["base"]
    fake.jump(300)
    assert orders.loading == 0
    assert orders.state.models == ["base", "new"]
    assert len(loaded) == 3


def test_each_order_kind_changes_its_part_of_the_state() -> None:
    fake = fake_clock()
    orders = Orders(EngineParams(), Timers(fake.clock), lambda: None)
    for number, kind in enumerate(("load_adapter", "load_version", "change_role")):
        orders.accept(make_order(str(number), number, kind, kind))
    assert orders.loading == 2
    fake.jump(EngineParams().order_ms)
    state = orders.state
    assert (state.adapters, state.version, state.role) == (
        ["load_adapter"],
        "load_version",
        "change_role",
    )
    orders.restart()
    assert orders.state.fence == 2
    assert orders.state.orders == []


def test_mode_applies_to_a_number_of_requests() -> None:
    switches = Switches()
    switches.merge(Control(mode=Mode.HANG, times=2))
    modes = [switches.next_mode() for _ in range(3)]
    assert modes == [Mode.HANG, Mode.HANG, Mode.OK]
    switches.merge(Control(mode=Mode.LATE))
    assert [switches.next_mode() for _ in range(3)] == [Mode.LATE] * 3


def test_invalid_switches_are_refused() -> None:
    bad = (b"{", b'{"mode":"odd"}', b'{"mod":"ok"}', b'{"slow_factor":0}', b'{"times":-1}')
    assert all(isinstance(parse_control(body), Err) for body in bad)
    assert parse_control(b'{"mode":"late","times":1}') == Ok({"mode": Mode.LATE, "times": 1})


def test_answers_differ_by_prompt_and_can_be_resumed() -> None:
    complete = expected_text("one", 9).split()
    assert len(set(complete)) == 9
    assert set(complete).isdisjoint(expected_text("two", 9).split())
    rest = iter(answer_words("one", 4))
    assert [next(rest) for _ in range(5)] == complete[4:]


def tokens_after(steps: int, mode: Mode = Mode.OK, slow_factor: float = 1.0) -> int:
    """Return how many tokens one sequence has after a number of normal step times."""
    fake = fake_clock()
    # 1/128 s adds up without rounding errors, so that each step ends exactly when it is due.
    params = PARAMS._replace(base_ms=7.8125, per_sequence_ms=0.0)
    core = EngineCore(fake.clock, params)
    core.switches.merge(Control(slow_factor=slow_factor))
    generated: list[int] = []
    output = Output(lambda: generated.append(1), lambda: None, lambda: None)
    generation = Generation(
        "r", "r", chat=True, stream=True, model="m", prompt="p", max_tokens=99, done_words=0
    )
    core.accept(generation, output, mode)
    for _ in range(steps):
        fake.jump(params.base_ms)
    core.crash()
    assert fake.source.getDelayedCalls() == []
    return len(generated)


def test_late_and_slow_engines_are_slower_by_their_factor() -> None:
    assert tokens_after(12) == 12
    assert tokens_after(12, mode=Mode.LATE) == 4
    assert tokens_after(12, slow_factor=2.0) == 6
    assert tokens_after(12, mode=Mode.HANG) == 0
