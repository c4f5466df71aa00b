"""Run the claims of several instances against one fake platform, with pauses and crashes."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final, NamedTuple

from result import Ok
from twisted.internet.defer import Deferred

from papayapier import invariants
from papayapier.claims.api import BeginResult, New, QueryWriter
from papayapier.claims.records import SavedAnswer
from papayapier.claims.service import ClaimDeps, Claims
from papayapier.clock import MS_PER_S, FakeClock, fake_clock
from papayapier.metrics import Metrics, make_metrics
from papayapier.settings import ClaimSettings
from papayapier.store.api import Store
from tests.fake_store import FakePlatform

STEP_MS: Final = 5
PEER_LATENCY_MS: Final = 20
MAX_WAIT_MS: Final = 60_000
CONTENTS: Final = (b"content-1", b"content-2")


@contextmanager
def invariants_checked() -> Iterator[None]:
    """Raise where an invariant is violated, and fail if the exception was swallowed."""
    invariants.raise_on_violation(True)
    before = invariants.violation_count()
    yield
    # The exception of a check inside a callback may be swallowed, but the violation is counted.
    assert invariants.violation_count() == before


class Instance:
    """Simulate one process with its claims, clock and store, all of which stop during a pause."""

    def __init__(self, fleet: "Fleet", name: str, boot: int) -> None:
        self.name = name
        self.fake: FakeClock = fake_clock()
        self.fake.jump(fleet.fake.clock.now())
        self.paused = False
        self.dead = False
        self.metrics: Metrics = make_metrics()
        self._resumed: list[Deferred[None]] = []
        deps = ClaimDeps(
            _gated(fleet.platform.store(name), self),
            self.fake.clock,
            random.Random(7),
            fleet.cfg,
            self.metrics,
            name,
            boot,
            fleet.writer_request(self),
        )
        self.claims = Claims(deps)

    async def awake(self) -> None:
        """Wait while the process is paused; wait forever if it is dead."""
        while self.paused or self.dead:
            resumed: Deferred[None] = Deferred()
            self._resumed.append(resumed)
            await resumed

    def resume(self, now_ms: int, answers_first: bool) -> None:
        """Resume the process after now_ms has been reached; store responses may be waiting.

        With answers_first the responses are delivered before timers that are due.
        """
        self.paused = False
        passed_ms = now_ms - self.fake.clock.now()
        if answers_first:
            self.fake.source.rightNow += passed_ms / MS_PER_S
        else:
            self.fake.jump(passed_ms)
        resumed, self._resumed = self._resumed, []
        for waiting in resumed:
            waiting.callback(None)
        self.fake.jump(0)


class Delivery(NamedTuple):
    """Hold one request sent to an instance; result receives what begin() returned."""

    instance: Instance
    key: str
    content: bytes
    result: list[BeginResult]


class Fleet:
    """Simulate the instances and the platform."""

    def __init__(self, names: list[str], cfg: ClaimSettings, latency_ms: int = 0) -> None:
        self.cfg = cfg
        self.fake = fake_clock()
        self.platform = FakePlatform(self.fake.clock, latency_ms)
        self.boots = 0
        self.instances: dict[str, Instance] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> Instance:
        """Start a process; a previous process of this name is dead from now on."""
        if name in self.instances:
            self.instances[name].dead = True
        self.boots += 1
        self.instances[name] = Instance(self, name, self.boots)
        return self.instances[name]

    def writer_request(self, asker: Instance) -> QueryWriter:
        """Make the function with which an instance queries another one, with a delay."""

        async def ask_writer(name: str, reference: str) -> str:
            target = self.instances.get(name)
            if target is None or target.paused or target.dead:
                await asker.fake.clock.sleep(PEER_LATENCY_MS)
                return "silent"
            state = target.claims.state(reference)
            await asker.fake.clock.sleep(PEER_LATENCY_MS)
            await asker.awake()
            return state

        return ask_writer

    def deliver(
        self, name: str, key: str, content: bytes = b"c", due_in_ms: int = 1_000
    ) -> Delivery:
        """Send a request to an instance."""
        instance = self.instances[name]
        delivery = Delivery(instance, key, content, [])
        due_ms = instance.fake.clock.now() + due_in_ms

        async def run() -> None:
            begun = await instance.claims.begin("caller", key, content, due_ms)
            if isinstance(begun, Ok) and isinstance(begun.ok_value, New):
                assert instance.fake.clock.now() < due_ms
            delivery.result.append(begun)

        Deferred.fromCoroutine(run())
        return delivery

    def begin(
        self, name: str, key: str, content: bytes = b"c", due_in_ms: int = 1_000
    ) -> BeginResult:
        """Send a request and advance the clock until begin() has returned."""
        return self.settled(self.deliver(name, key, content, due_in_ms)).result[0]

    def settled(self, delivery: Delivery) -> Delivery:
        """Advance the clock until a delivery has its result."""
        for _ in range(MAX_WAIT_MS // STEP_MS):
            if not delivery.result:
                self.advance(STEP_MS)
        assert delivery.result, "a delivery has no result long after its due time"
        return delivery

    def advance(self, for_ms: int) -> None:
        """Advance the clocks of the platform and of every running process."""
        for _ in range(max(1, for_ms // STEP_MS)):
            self.fake.jump(STEP_MS)
            for instance in list(self.instances.values()):
                if not instance.paused:
                    instance.fake.jump(self.fake.clock.now() - instance.fake.clock.now())

    def resume(self, name: str, answers_first: bool = False) -> None:
        """End a pause."""
        self.instances[name].resume(self.fake.clock.now(), answers_first)


def make_answer(text: str) -> SavedAnswer:
    """Make an answer with the given text."""
    return SavedAnswer(200, "text/plain", text.encode())


def _gated(store: Store, instance: Instance) -> Store:
    """Delay store responses to a process that is paused or dead."""

    def gate(call: Callable[..., Any]) -> Any:
        async def gated(*args: object) -> object:
            end: object = await call(*args)
            await instance.awake()
            return end

        return gated

    return Store(*(gate(call) for call in store))
