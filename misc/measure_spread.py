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
from papayapier.config.accept import ChangeRequest
from papayapier.config.profiles import Profile
from papayapier.config.records import PROFILES, Subject
from papayapier.config.start import ConfigDeps, ConfigService, start_config
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
CHANGE_TIMEOUT_MS: Final = 20_000
CHANGE_GAP_MS: Final = (50, 400)
SEED: Final = 1
PERCENT: Final = 100


class ChannelSet(NamedTuple):
    """Name a set of enabled propagation channels."""

    name: str
    push: bool
    watch: bool
    heartbeat: bool
    poll: bool


CHANNEL_SETS: Final = (
    ChannelSet("all", True, True, True, True),
    ChannelSet("push", True, False, False, False),
    ChannelSet("watch", False, True, False, False),
    ChannelSet("heartbeat", False, False, True, False),
    ChannelSet("poll", False, False, False, True),
)


class Options(NamedTuple):
    """Hold the command-line options."""

    instances: int
    changes: int
    profiles: int


class SpreadResult(NamedTuple):
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


class StartResult(NamedTuple):
    """Hold the time from an instance's start until it is ready."""

    case: str
    profiles: int
    ready_ms: float


class Results(NamedTuple):
    """Hold all results."""

    instances: int
    spread: list[SpreadResult]
    starts: list[StartResult]


class Node(NamedTuple):
    """Hold the components of one instance."""

    name: str
    config: ConfigService
    hub: PeerHub
    store: Store
    metrics: Metrics


class Cluster:
    """Own the platform and the instances of one channel set."""

    def __init__(
        self, reactor: Any, clock: Clock, platform: PlatformServer, channels: ChannelSet
    ) -> None:
        self._reactor = reactor
        self.clock = clock
        self.platform = platform
        self.channels = channels
        self.nodes: list[Node] = []
        self.members: list[Member] = []
        self.rand = random.Random(SEED)

    def add_node(self, name: str) -> Node:
        """Start one instance and add it to the member list of all."""
        metrics = make_metrics()
        platform = PlatformSettings(HOST, self.platform.port)
        store = http_store(self._reactor, self.clock, platform, metrics)
        configs: list[ConfigService] = []

        def heartbeat() -> Heartbeat:
            registry = configs[0].registry
            return Heartbeat(name, 1, "serving", registry.version(), (), registry.digest())

        identity = Identity(name, 1, HOST, "dc-a", "local")
        hub = PeerHub(
            self._reactor, self.clock, PeerSettings(port=0), identity, heartbeat, metrics, self.rand
        )
        channels = self.channels
        cfg = ConfigSettings(poll_ms=ConfigSettings().poll_ms if channels.poll else NEVER_MS)
        config = start_config(
            ConfigDeps(
                clock=self.clock,
                rand=random.Random(name),
                store=store if channels.watch else store._replace(watch=self._silent_watch),
                settings=cfg,
                metrics=metrics,
                send=hub.send,
                broadcast=hub.broadcast if channels.push else lambda _message: None,
                peers=lambda: [view.id for view in hub.views() if view.up],
                queued_under=lambda _name: 0,
                upstream_names=set,
                plan=hub.plan,
            )
        )
        configs.append(config)
        for kind in (ConfigPush, ConfigAsk, ConfigTell, Heartbeat):
            if kind is not Heartbeat or channels.heartbeat:
                hub.subscribe(kind, config.on_peer_message)
        port = hub.start().unwrap()
        node = Node(name, config, hub, store, metrics)
        self.nodes.append(node)
        self.members.append(
            Member(name, ENTRY, "", HOST, 0, port, "dc-a", "local", LIVE, static=True)
        )
        for member in self.nodes:
            member.hub.set_members(self.members)
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

    async def wait_ready(self, node: Node) -> float:
        """Wait until an instance is ready and return how long that took in ms."""
        started = self.clock.timers.seconds()
        while node.config.check_ready(self.clock.now()).is_err():
            await self.clock.sleep(1)
        return (self.clock.timers.seconds() - started) * 1_000

    def read_bytes(self) -> tuple[float, float]:
        """Return the bytes that all instances exchanged with peers and with the store."""
        peer = sum(_counter_value(n.metrics.peer_bytes, "sent") for n in self.nodes)
        store = sum(
            _counter_value(n.metrics.store_bytes, direction)
            for n in self.nodes
            for direction in _directions(n.metrics.store_bytes)
        )
        return peer, store

    async def make_change(self, number: int, profiles: int) -> tuple[float, list[float]]:
        """Make one change; return the ms to accept it and the ms until it is in force elsewhere."""
        node = self.rand.choice(self.nodes)
        name = f"p{number % profiles}"
        key = Subject(PROFILES, name).key
        old_version = node.config.registry.version_of(key)
        times: dict[str, float] = {}
        done: Deferred[None] = Deferred()
        for receiver in self.nodes:
            receiver.config.registry.watch(
                self._arrival_callback(receiver.name, key, old_version, times, done)
            )
        start_s = self.clock.timers.seconds()
        document = make_profile(name, 1_000 + number)
        reason = "measure"
        accepted = await node.config.accept(
            ChangeRequest(
                Subject(PROFILES, name), document, old_version, reason, f"change-{number:06}", "me"
            )
        )
        accept_ms = (self.clock.timers.seconds() - start_s) * 1_000
        assert isinstance(accepted, Ok), accepted
        timer = self.clock.call_later(
            CHANGE_TIMEOUT_MS, lambda: done.errback(TimeoutError(str(times)))
        )
        await done
        timer.cancel()
        first_s = times[node.name]
        delays_ms = [
            max(0.0, in_force_s - first_s) * 1_000
            for instance, in_force_s in times.items()
            if instance != node.name
        ]
        return accept_ms, delays_ms

    def _arrival_callback(
        self, name: str, key: str, old_version: int, times: dict[str, float], done: "Deferred[None]"
    ) -> Callable[[str, int], None]:
        def on_change(changed: str, version: int) -> None:
            if changed != key or version <= old_version or name in times:
                return
            times[name] = self.clock.timers.seconds()
            if len(times) == len(self.nodes) and not done.called:
                done.callback(None)

        return on_change


def make_profile(name: str, due_ms: int) -> dict[str, object]:
    """Return a profile document."""
    return dict(codec.to_document(Profile(name, "gate", "urgent", due_ms, False)))


async def measure_channels(cluster: Cluster, options: Options) -> SpreadResult:
    """Measure one channel set."""
    for number in range(options.instances):
        cluster.add_node(f"entry-{number}")
    await gatherResults(
        [Deferred.fromCoroutine(cluster.wait_ready(node)) for node in cluster.nodes]
    )
    await cluster.clock.sleep(SETTLE_MS)
    idle_before = cluster.read_bytes()
    await cluster.clock.sleep(IDLE_MS)
    idle = tuple((b - a) / IDLE_MS for a, b in zip(idle_before, cluster.read_bytes(), strict=True))
    before, started_ms = cluster.read_bytes(), cluster.clock.now()
    accept_times_ms, all_delays_ms, last_delays_ms = [], [], []
    for number in range(options.changes):
        accept_ms, delays_ms = await cluster.make_change(number, options.profiles)
        accept_times_ms.append(accept_ms)
        all_delays_ms += delays_ms
        last_delays_ms.append(max(delays_ms))
        await cluster.clock.sleep(cluster.rand.uniform(*CHANGE_GAP_MS))
    duration_ms = cluster.clock.now() - started_ms
    after = cluster.read_bytes()
    samples = options.changes * options.instances
    peer, store = (
        max(0.0, b - a - rate * duration_ms) / samples
        for a, b, rate in zip(before, after, idle, strict=True)
    )
    return SpreadResult(
        cluster.channels.name,
        options.changes,
        percentile(accept_times_ms, 50),
        percentile(all_delays_ms, 50),
        max(all_delays_ms),
        percentile(last_delays_ms, 50),
        max(last_delays_ms),
        peer,
        store,
    )


async def measure_starts(cluster: Cluster, options: Options) -> list[StartResult]:
    """Measure a start with the store available, and one in an outage that relies on the peers."""
    results: list[StartResult] = []
    for case, outage in (("store up", False), ("store down, from peers", True)):
        cluster.platform.switches["outage"] = outage
        node = cluster.add_node(f"new-{len(results)}")
        ready_ms = await cluster.wait_ready(node)
        count = len(node.config.registry.profiles())
        results.append(StartResult(case, count, ready_ms))
        cluster.platform.switches["outage"] = False
        cluster.members = [m for m in cluster.members if m.id != node.name]
        await cluster.remove(node)
    return results


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile of the values."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, len(ranked) * percent // PERCENT)]


def _counter_value(counter: Any, direction: str) -> float:
    return float(counter.labels(direction=direction)._value.get())


def _directions(counter: Any) -> list[str]:
    return [labels[0] for labels in counter._metrics]


async def measure(reactor: Any, options: Options) -> Results:
    """Measure every channel set, each with a new platform and new instances."""
    clock = real_clock()
    spread: list[SpreadResult] = []
    starts: list[StartResult] = []
    for channels in CHANNEL_SETS:
        params = PlatformParams(link_delay_ms=LINK_DELAY_MS)
        platform = await start_platform(reactor, clock, params, HOST, 0)
        cluster = Cluster(reactor, clock, platform, channels)
        spread.append(await measure_channels(cluster, options))
        if channels.name == "all":
            starts = await measure_starts(cluster, options)
        for node in list(cluster.nodes):
            await cluster.remove(node)
    return Results(options.instances, spread, starts)


def print_results(results: Results) -> None:
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
    from twisted.internet import reactor as installed_reactor

    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--changes", type=int, default=30)
    parser.add_argument("--profiles", type=int, default=20)
    parser.add_argument("--json", action="store_true")
    parsed = parser.parse_args(args)
    reactor = cast(Any, installed_reactor)
    exit_codes: list[int] = []

    def finished(results: Results) -> None:
        if parsed.json:
            print(codec.to_json(results).decode())
        else:
            print_results(results)
        exit_codes.append(0)

    def failed(failure: Failure) -> None:
        print(failure.getTraceback(), file=sys.stderr)

    def start() -> None:
        options = Options(parsed.instances, parsed.changes, parsed.profiles)
        running = Deferred.fromCoroutine(measure(reactor, options))
        running.addCallbacks(finished, failed)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return exit_codes[0] if exit_codes else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
