"""Run several instances' claims over one fake platform, with pauses and crashes."""

import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final, NamedTuple

from result import Ok
from twisted.internet.defer import Deferred

from papayapier import invariants
from papayapier.claims.api import AskWriter, Begun, New
from papayapier.claims.records import SavedAnswer
from papayapier.claims.service import ClaimDeps, Claims
from papayapier.clock import MS_PER_S, FakeClock, fake_clock
from papayapier.metrics import Metrics, make_metrics
from papayapier.settings import ClaimSettings
from papayapier.store.api import Store
from tests.fake_store import FakePlatform

STEP_MS: Final = 5
PEER_MS: Final = 20
LONGEST_MS: Final = 60_000
CONTENTS: Final = (b"content-1", b"content-2")


@contextmanager
def promises_checked() -> Iterator[None]:
    """Raise where a promise is broken, and fail where that was not seen."""
    invariants.raise_on_failure(True)
    before = invariants.broken_count()
    yield
    # A check that fails inside a callback raises where nobody looks, but is counted.
    assert invariants.broken_count() == before


class Instance:
    """Hold one process: its claims, its own clock and its store, which freeze in a pause."""

    def __init__(self, fleet: "Fleet", name: str, boot: int) -> None:
        self.name = name
        self.fake: FakeClock = fake_clock()
        self.fake.advance(fleet.fake.clock.now())
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
            fleet.ask(self),
        )
        self.claims = Claims(deps)

    async def awake(self) -> None:
        """Wait while the process is paused; for ever if it is dead."""
        while self.paused or self.dead:
            resumed: Deferred[None] = Deferred()
            self._resumed.append(resumed)
            await resumed

    def resume(self, now_ms: int, answers_first: bool) -> None:
        """Let the process go on; it finds that time has passed, and answers that wait."""
        self.paused = False
        passed_ms = now_ms - self.fake.clock.now()
        if answers_first:
            self.fake.source.rightNow += passed_ms / MS_PER_S
        else:
            self.fake.advance(passed_ms)
        resumed, self._resumed = self._resumed, []
        for waiting in resumed:
            waiting.callback(None)
        self.fake.advance(0)


class Delivery(NamedTuple):
    """Hold one request as sent to an instance; result gets its end."""

    instance: Instance
    key: str
    content: bytes
    result: list[Begun]


class Fleet:
    """Hold the instances and the platform."""

    def __init__(self, names: list[str], cfg: ClaimSettings, latency_ms: int = 0) -> None:
        self.cfg = cfg
        self.fake = fake_clock()
        self.platform = FakePlatform(self.fake.clock, latency_ms)
        self.boots = 0
        self.instances: dict[str, Instance] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> Instance:
        """Start a process; one that had the name before is dead."""
        if name in self.instances:
            self.instances[name].dead = True
        self.boots += 1
        self.instances[name] = Instance(self, name, self.boots)
        return self.instances[name]

    def ask(self, asker: Instance) -> AskWriter:
        """Make the question from one instance to another, which takes its time."""

        async def ask_writer(name: str, reference: str) -> str:
            target = self.instances.get(name)
            if target is None or target.paused or target.dead:
                await asker.fake.clock.sleep(PEER_MS)
                return "silent"
            state = target.claims.state(reference)
            await asker.fake.clock.sleep(PEER_MS)
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

    def begin(self, name: str, key: str, content: bytes = b"c", due_in_ms: int = 1_000) -> Begun:
        """Send a request and let time pass until it has its end."""
        return self.settled(self.deliver(name, key, content, due_in_ms)).result[0]

    def settled(self, delivery: Delivery) -> Delivery:
        """Let time pass until a delivery has its end."""
        for _ in range(LONGEST_MS // STEP_MS):
            if not delivery.result:
                self.advance(STEP_MS)
        assert delivery.result, "a delivery has no end long after its due time"
        return delivery

    def advance(self, for_ms: int) -> None:
        """Let time pass for the platform and for every process that runs."""
        for _ in range(max(1, for_ms // STEP_MS)):
            self.fake.advance(STEP_MS)
            for instance in list(self.instances.values()):
                if not instance.paused:
                    instance.fake.advance(self.fake.clock.now() - instance.fake.clock.now())

    def resume(self, name: str, answers_first: bool = False) -> None:
        """End a pause."""
        self.instances[name].resume(self.fake.clock.now(), answers_first)


def make_answer(text: str) -> SavedAnswer:
    """Make an answer that tells whose it is."""
    return SavedAnswer(200, "text/plain", text.encode())


def _gated(store: Store, instance: Instance) -> Store:
    """Hold back answers from a process that is paused or dead."""

    def gate(call: Callable[..., Any]) -> Any:
        async def gated(*args: object) -> object:
            end: object = await call(*args)
            await instance.awake()
            return end

        return gated

    return Store(*(gate(call) for call in store))
