"""Measure how fast an accepted configuration change reaches every instance, by channel.

    python -m misc.measure_spread [--instances 6] [--changes 30] [--profiles 20] [--json]

Starts one stand-in platform and several configurations on one reactor, with their real stores
(over HTTP) and peer hubs (over pynng). To measure one channel the others are disabled: the
watch never gets a reply, polling happens once a day, pushes are dropped, heartbeats are not
subscribed to. Times start when the change is in force on the accepting instance. Bytes are
those of all instances with peers and store, less the traffic of an idle period before.
"""

import argparse
import random
import sys
from collections.abc import Callable
from typing import Any, Final, NamedTuple, cast

from result import Ok
from twisted.internet.defer import Deferred, gatherResults
from twisted.python.failure import Failure

from papayapier import codec
from papayapier.clock import Clock, real_clock
from papayapier.config.accept import Change
from papayapier.config.profiles import Profile
from papayapier.config.records import PROFILES, Subject
from papayapier.config.start import Config, ConfigDeps, start_config
from papayapier.metrics import Metrics, make_metrics
from papayapier.peer.hub import Identity, PeerHub
from papayapier.peer.messages import ConfigAsk, ConfigPush, ConfigTell, Heartbeat
from papayapier.settings import ConfigSettings, PeerSettings, PlatformSettings
from papayapier.standin.platform import PlatformParams, PlatformServer, start_platform
from papayapier.store.api import ENTRY, LIVE, Changes, Member, Store
from papayapier.store.http import http_store

HOST: Final = "127.0.0.1"
LINK_DELAY_MS: Final = 1.0
NEVER_MS: Final = 86_400_000
IDLE_MS: Final = 3_000
SETTLE_MS: Final = 1_500
LIMIT_MS: Final = 20_000
GAP_MS: Final = (50, 400)
SEED: Final = 1
PERCENT: Final = 100


class Way(NamedTuple):
    """Name a set of enabled propagation channels."""

    name: str
    push: bool
    watch: bool
    heartbeat: bool
    poll: bool


WAYS: Final = (
    Way("all", True, True, True, True),
    Way("push", True, False, False, False),
    Way("watch", False, True, False, False),
    Way("heartbeat", False, False, True, False),
    Way("poll", False, False, False, True),
)


class Options(NamedTuple):
    """Hold the command-line options."""

    instances: int
    changes: int
    profiles: int


class Spread(NamedTuple):
    """Hold the result of one channel set; bytes are per change and instance."""

    way: str
    changes: int
    accept_p50_ms: float
    one_p50_ms: float
    one_max_ms: float
    all_p50_ms: float
    all_max_ms: float
    peer_bytes: float
    store_bytes: float


class Start(NamedTuple):
    """Hold the time from an instance's start until it is ready."""

    case: str
    profiles: int
    ready_ms: float


class Results(NamedTuple):
    """Hold all results."""

    instances: int
    spread: list[Spread]
    starts: list[Start]


class Node(NamedTuple):
    """Hold the components of one instance."""

    name: str
    config: Config
    hub: PeerHub
    store: Store
    metrics: Metrics


class Bench:
    """Own the platform and the instances of one channel set."""

    def __init__(self, reactor: Any, clock: Clock, platform: PlatformServer, way: Way) -> None:
        self._reactor = reactor
        self.clock = clock
        self.platform = platform
        self.way = way
        self.nodes: list[Node] = []
        self.members: list[Member] = []
        self.rand = random.Random(SEED)

    def add(self, name: str) -> Node:
        """Start one instance and add it to the member list of all."""
        metrics = make_metrics()
        platform = PlatformSettings(HOST, self.platform.port)
        store = http_store(self._reactor, self.clock, platform, metrics)
        configs: list[Config] = []

        def heartbeat() -> Heartbeat:
            book = configs[0].book
            return Heartbeat(name, 1, "serving", book.version(), (), book.digest())

        me = Identity(name, 1, HOST, "dc-a", "local")
        hub = PeerHub(
            self._reactor, self.clock, PeerSettings(port=0), me, heartbeat, metrics, self.rand
        )
        way = self.way
        cfg = ConfigSettings(poll_ms=ConfigSettings().poll_ms if way.poll else NEVER_MS)
        config = start_config(
            ConfigDeps(
                clock=self.clock,
                rand=random.Random(name),
                store=store if way.watch else store._replace(watch=self._silent_watch),
                settings=cfg,
                metrics=metrics,
                tell=hub.tell,
                broadcast=hub.tell_all if way.push else lambda _message: None,
                peers=lambda: [view.id for view in hub.views() if view.up],
                queued_under=lambda _name: 0,
                upstream_names=set,
                plan=hub.plan,
            )
        )
        configs.append(config)
        for kind in (ConfigPush, ConfigAsk, ConfigTell, Heartbeat):
            if kind is not Heartbeat or way.heartbeat:
                hub.subscribe(kind, config.on_peer)
        port = hub.start().unwrap()
        node = Node(name, config, hub, store, metrics)
        self.nodes.append(node)
        self.members.append(
            Member(name, ENTRY, "", HOST, 0, port, "dc-a", "local", LIVE, static=True)
        )
        for one in self.nodes:
            one.hub.set_members(self.members)
        return node

    async def _silent_watch(self, _prefix: str, since: int, _wait_ms: int) -> Any:
        await self.clock.sleep(NEVER_MS)
        return Ok(Changes([], since))

    async def remove(self, node: Node) -> None:
        """Stop one instance."""
        self.nodes.remove(node)
        await node.config.stop()
        node.hub.close()
        await node.store.close()

    async def ready(self, node: Node) -> float:
        """Wait until an instance is ready and return how long that took in ms."""
        started = self.clock.timers.seconds()
        while node.config.ready(self.clock.now()).is_err():
            await self.clock.sleep(1)
        return (self.clock.timers.seconds() - started) * 1_000

    def bytes(self) -> tuple[float, float]:
        """Return the bytes that all instances exchanged with peers and with the store."""
        peer = sum(_total(n.metrics.peer_bytes, "sent") for n in self.nodes)
        store = sum(
            _total(n.metrics.store_bytes, direction)
            for n in self.nodes
            for direction in _directions(n.metrics.store_bytes)
        )
        return peer, store

    async def change(self, number: int, profiles: int) -> tuple[float, list[float]]:
        """Make one change; return the ms to accept it and the ms until it is in force elsewhere."""
        node = self.rand.choice(self.nodes)
        name = f"p{number % profiles}"
        key = Subject(PROFILES, name).key
        before = node.config.book.version_of(key)
        times: dict[str, float] = {}
        done: Deferred[None] = Deferred()
        for one in self.nodes:
            one.config.book.watch(self._arrival(one.name, key, before, times, done))
        began = self.clock.timers.seconds()
        wanted = profile(name, 1_000 + number)
        reason = "measure"
        accepted = await node.config.accept(
            Change(Subject(PROFILES, name), wanted, before, reason, f"change-{number:06}", "me")
        )
        accept_ms = (self.clock.timers.seconds() - began) * 1_000
        assert isinstance(accepted, Ok), accepted
        timer = self.clock.call_later(LIMIT_MS, lambda: done.errback(TimeoutError(str(times))))
        await done
        timer.cancel()
        first = times[node.name]
        late = [max(0.0, at - first) * 1_000 for who, at in times.items() if who != node.name]
        return accept_ms, late

    def _arrival(
        self, name: str, key: str, before: int, times: dict[str, float], done: "Deferred[None]"
    ) -> Callable[[str, int], None]:
        def arrived(changed: str, version: int) -> None:
            if changed != key or version <= before or name in times:
                return
            times[name] = self.clock.timers.seconds()
            if len(times) == len(self.nodes) and not done.called:
                done.callback(None)

        return arrived


def profile(name: str, due_ms: int) -> dict[str, object]:
    """Return a profile document."""
    return dict(codec.to_document(Profile(name, "gate", "urgent", due_ms, False)))


async def measure_way(bench: Bench, options: Options) -> Spread:
    """Measure one channel set."""
    for number in range(options.instances):
        bench.add(f"entry-{number}")
    await gatherResults([Deferred.fromCoroutine(bench.ready(node)) for node in bench.nodes])
    await bench.clock.sleep(SETTLE_MS)
    idle_before = bench.bytes()
    await bench.clock.sleep(IDLE_MS)
    idle = tuple((b - a) / IDLE_MS for a, b in zip(idle_before, bench.bytes(), strict=True))
    before, began = bench.bytes(), bench.clock.now()
    accepts, ones, alls = [], [], []
    for number in range(options.changes):
        accept_ms, late = await bench.change(number, options.profiles)
        accepts.append(accept_ms)
        ones += late
        alls.append(max(late))
        await bench.clock.sleep(bench.rand.uniform(*GAP_MS))
    spent_ms = bench.clock.now() - began
    after = bench.bytes()
    share = options.changes * options.instances
    peer, store = (
        max(0.0, b - a - rate * spent_ms) / share
        for a, b, rate in zip(before, after, idle, strict=True)
    )
    return Spread(
        bench.way.name,
        options.changes,
        percentile(accepts, 50),
        percentile(ones, 50),
        max(ones),
        percentile(alls, 50),
        max(alls),
        peer,
        store,
    )


async def measure_starts(bench: Bench, options: Options) -> list[Start]:
    """Measure a start with the store available, and one in an outage that relies on the peers."""
    found: list[Start] = []
    for case, outage in (("store up", False), ("store down, from peers", True)):
        bench.platform.switches["outage"] = outage
        node = bench.add(f"new-{len(found)}")
        ready_ms = await bench.ready(node)
        count = len(node.config.book.profiles())
        found.append(Start(case, count, ready_ms))
        bench.platform.switches["outage"] = False
        bench.members = [m for m in bench.members if m.id != node.name]
        await bench.remove(node)
    return found


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile of the values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, len(ranked) * percent // PERCENT)]


def _total(counter: Any, direction: str) -> float:
    return float(counter.labels(direction=direction)._value.get())


def _directions(counter: Any) -> list[str]:
    return [labels[0] for labels in counter._metrics]


async def measure(reactor: Any, options: Options) -> Results:
    """Measure every channel set, each with a new platform and new instances."""
    clock = real_clock()
    spread: list[Spread] = []
    starts: list[Start] = []
    for way in WAYS:
        params = PlatformParams(link_delay_ms=LINK_DELAY_MS)
        platform = await start_platform(reactor, clock, params, HOST, 0)
        bench = Bench(reactor, clock, platform, way)
        spread.append(await measure_way(bench, options))
        if way.name == "all":
            starts = await measure_starts(bench, options)
        for node in list(bench.nodes):
            await bench.remove(node)
    return Results(options.instances, spread, starts)


def show(results: Results) -> None:
    """Print the results as Markdown tables."""
    print(f"{results.instances} instances, link delay {LINK_DELAY_MS:g} ms one way to the store")
    print(
        "| way | changes | accept p50 | one p50 | one max | all p50 | all max | peer B | store B |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for row in results.spread:
        cells = [f"{cell:.1f}" if isinstance(cell, float) else str(cell) for cell in row]
        print(f"| {' | '.join(cells)} |")
    print("| start | profiles | ready after ms |")
    print("| --- | --- | --- |")
    for start in results.starts:
        print(f"| {start.case} | {start.profiles} | {start.ready_ms:.1f} |")


def main(args: list[str]) -> int:
    """Run the measurement and print its results; return the exit code."""
    from twisted.internet import reactor as installed

    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--changes", type=int, default=30)
    parser.add_argument("--profiles", type=int, default=20)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args(args)
    reactor = cast(Any, installed)
    codes: list[int] = []

    def finished(results: Results) -> None:
        if given.json:
            print(codec.to_json(results).decode())
        else:
            show(results)
        codes.append(0)

    def failed(failure: Failure) -> None:
        print(failure.getTraceback(), file=sys.stderr)

    def start() -> None:
        options = Options(given.instances, given.changes, given.profiles)
        running = Deferred.fromCoroutine(measure(reactor, options))
        running.addCallbacks(finished, failed)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return codes[0] if codes else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
