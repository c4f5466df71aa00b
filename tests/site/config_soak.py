"""Change the configuration while callers send whole requests on kept channels, and check answers.

    python3 -m tests.site.config_soak --seconds 15 --seed 1

Four configurations a second change time limits, limits of heads and bodies, routes, the services
behind them, their kinds, and the teams' keys. Entries get a SIGHUP now and then and are stopped and
started in turn. Replicas have no faults. Each request must be answered or refused, unless its
channel closes before the entry has read it. No request may be denied that each configuration that
may be in force allows.
"""

import argparse
import random
import socket
import sys
import time
from collections import Counter
from signal import SIGHUP, SIGTERM
from typing import Any, Final, NamedTuple

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, TimeoutError, gatherResults

from tests.site.kept_channel import Answer, KeptChannel, open_channel
from tests.site.replicas import StandinReplica
from tests.site.world import HOST, SiteWorld, make_configuration, new_request_id, sleep, start_task

reactor: Any = installed

CONFIG_GAP_S: Final = 0.25
HANGUP_GAP_S: Final = 1.7
# An older configuration may be in force for this long after a newer one was written.
CONFIG_APPLIED_S: Final = 2.0
# An entry has read a request by then that was sent on an open channel.
READ_S: Final = 0.2
CALLERS: Final = 28
BUDGET_MS: Final = 4_000
# The answer is late by at most this, also on a busy machine.
LATE_S: Final = 3.0
# The time limit of a request counts from before its last byte.
CUT_EARLY_S: Final = 0.1
IDLE_SHARE: Final = 0.8
MAX_GAP_S: Final = 1.2
STREAM_EVENTS: Final = 20
PATHS: Final = (
    "/look/a",
    "/once/a",
    "/flip/a",
    "/extra/a",
    "/stream/once/a",
    "/stream/again/a",
)
KEY_HEADER: Final = "Authorization: Bearer "
KEYS: Final = ("kq-steady", "kq-moving")
HEAD_LIMITS: Final = (1_500, 4_096, 16_384)
BODY_LIMITS: Final = (1_000, 20_000, 100_000)
IDLE_LIMITS_MS: Final = (300, 500, 1_000, 15_000)
TIMEOUTS_MS: Final = (1_000, 2_500, 4_000)
KINDS: Final = ("idempotent", "non_idempotent")
NOT_RUN_STATUSES: Final = (429, 503, 408, 421)


class Request(NamedTuple):
    """Describe a request; parts are its bytes, with a pause before each further part."""

    id: str
    path: str
    key: str
    head_bytes: int
    body_bytes: int
    parts: list[bytes]


class Report(NamedTuple):
    """Hold the counts of a run; violations is empty when every check held."""

    answers: Counter[str]
    changes: Counter[str]
    violations: list[str]


class ConfigSoak:
    """Run the callers and the changes."""

    def __init__(self, world: SiteWorld, seed: int, large: bool, stops: bool) -> None:
        self.world = world
        self.rng = random.Random(seed)
        self.large = large
        self.stops = stops
        self.answers: Counter[str] = Counter()
        self.changes: Counter[str] = Counter()
        self.violations: list[str] = []
        # The configurations with the time at which each was written.
        self.written: list[tuple[float, dict[str, Any]]] = []
        self.stopping = False

    async def run(self, seconds: float) -> Report:
        """Run for some seconds, and check."""
        world = self.world
        world.replicas += [StandinReplica(world.store, "app2") for _ in range(2)]
        for replica in world.replicas:
            replica.events_per_stream = STREAM_EVENTS
        if self.large:
            world.peer_settings = {"full_mesh": 2, "early_calls": 1, "heartbeat_ms": 200}
            world.placing_settings = {"queue": True}
        self._write_configuration()
        await world.start(entries=2, keepers=2 if self.large else 1)
        loops = [self._call() for _ in range(CALLERS)]
        loops += [self._configure(), self._hang_up()]
        if self.stops:
            loops.append(self._stop_in_turn())
        running = [start_task(loop) for loop in loops]
        await sleep(seconds)
        self.stopping = True
        await gatherResults(running)
        return Report(self.answers, self.changes, self.violations)

    async def _configure(self) -> None:
        while not self.stopping:
            await sleep(CONFIG_GAP_S)
            self._write_configuration()

    def _write_configuration(self) -> None:
        rng = self.rng
        document = make_configuration(len(self.written) + 1, timeoutMs=rng.choice(TIMEOUTS_MS))
        look = document["routes"][0]
        look["service"] = rng.choice(("app", "app2"))
        document["services"].append({"name": "app2"})
        flip = {**look, "name": "flip", "pathPrefix": "/flip/", "kind": rng.choice(KINDS)}
        document["routes"].append(flip)
        if rng.random() < 0.5:
            document["routes"].append({**look, "name": "extra", "pathPrefix": "/extra/"})
        if rng.random() < 0.6:
            keys = KEYS if rng.random() < 0.7 else KEYS[:1]
            document["tenants"] = [{"name": f"team-{key}", "apiKeys": [key]} for key in keys]
        document["limits"] |= {
            "maxHeaderBytes": rng.choice(HEAD_LIMITS),
            "maxBodyBytes": rng.choice(BODY_LIMITS),
            "idleTimeoutMs": rng.choice(IDLE_LIMITS_MS),
        }
        self.written.append((reactor.seconds(), document))
        self.world.store.put("config", "main", document)
        self.changes["configurations"] += 1

    async def _hang_up(self) -> None:
        while not self.stopping:
            await sleep(HANGUP_GAP_S)
            name = self.rng.choice(list(self.world.caller_ports))
            # The interpreter cannot handle signals before it has started.
            if _is_listening(self.world.caller_ports[name]):
                self.world.children[name].send_signal(SIGHUP)
                self.changes["hangups"] += 1

    async def _stop_in_turn(self) -> None:
        for name in self.world.caller_ports:
            await sleep(2.0)
            if self.stopping:
                return
            child = self.world.children[name]
            child.send_signal(SIGTERM)
            await child.ended
            self.world.restart(name)
            await self.world.wait_until_ready(name)
            self.changes["stops"] += 1

    async def _call(self) -> None:
        """Send requests on one channel until it ends, then on the next one."""
        channel: KeptChannel | None = None
        while not self.stopping:
            if channel is None or not channel.is_open:
                port = self.world.caller_ports[self.rng.choice(list(self.world.caller_ports))]
                channel = await open_channel(port)
                if channel is None:
                    await sleep(0.1)
                    continue
            answer = await self._send(channel)
            if answer is None or b"connection: close" in answer.head.lower():
                channel.close()
                channel = None
            idle_s = self._idle_limit_s() * IDLE_SHARE
            await sleep(min(MAX_GAP_S, idle_s) * self.rng.choice((0.0, 0.05, 0.5, 1.0)))
            if channel is not None and channel.unasked:
                self.violations.append(f"unasked bytes: {channel.unasked[:60]!r}")
        if channel is not None:
            channel.close()

    def _possible(self, from_s: float, to_s: float) -> list[dict[str, Any]]:
        """Return the configurations that may be in force at some moment of a period."""
        begun = [n for n, (at_s, _) in enumerate(self.written) if at_s <= from_s - CONFIG_APPLIED_S]
        first = begun[-1] if begun else 0
        return [document for at_s, document in self.written[first:] if at_s <= to_s]

    def _idle_limit_s(self) -> float:
        """Return the idle limit that a caller may rely on now."""
        now = reactor.seconds()
        return float(
            min(cfg["limits"]["idleTimeoutMs"] for cfg in self._possible(now, now)) / 1_000
        )

    def _make_request(self) -> Request:
        rng = self.rng
        request_id = new_request_id()
        path = rng.choice(PATHS)
        key = rng.choice(KEYS)
        body = b"b" * rng.choice((0, 0, 500, 15_000)) if "/stream/" not in path else b""
        lines = [
            f"{'POST' if body else 'GET'} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {BUDGET_MS}",
            KEY_HEADER + key,
            "X-Long: " + "h" * rng.choice((0, 0, 0, 2_500, 12_000)),
        ]
        chunked = bool(body) and rng.random() < 0.3
        if chunked:
            lines.append("Transfer-Encoding: chunked")
        elif body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        sent = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if chunked else body
        half = len(sent) // 2
        parts = [head + sent]
        if body and rng.random() < 0.5:
            parts = [head, sent[:half], sent[half:]]
        return Request(request_id, path, key, len(head), len(body), parts)

    async def _send(self, channel: KeptChannel) -> Answer | None:
        """Send a request, and check its end; return its answer, or None if the channel ended."""
        request = self._make_request()
        began_s = reactor.seconds()
        idle_s = began_s - channel.used_at_s
        waiting = channel.wait(BUDGET_MS / 1_000 + LATE_S)
        for number, part in enumerate(request.parts):
            if number:
                await sleep(self.rng.choice((0.0, 0.02, 0.1, 0.5)))
            if channel.is_open:
                channel.write(part)
        sent_s = reactor.seconds()
        try:
            answer = await waiting
        except TimeoutError:
            self.violations.append(
                f"{request.id} {request.path}: neither an answer nor a refusal in"
                f" {reactor.seconds() - sent_s:.1f} s, received {channel.received[-80:]!r}"
            )
            return None
        if answer is None:
            self._check_close(channel, request, idle_s, began_s, sent_s)
            return None
        self.answers[f"{request.path} {answer.status}"] += 1
        self._check_answer(request, answer, began_s)
        return answer

    def _starts(self, request: Request) -> int:
        return sum(replica.started_requests.count(request.id) for replica in self.world.replicas)

    def _check_close(
        self,
        channel: KeptChannel,
        request: Request,
        idle_s: float,
        began_s: float,
        sent_s: float,
    ) -> None:
        now = reactor.seconds()
        after_s = now - sent_s
        timeout_s = (
            min(
                route["timeoutMs"]
                for cfg in self._possible(began_s, now)
                if (route := _route(cfg, request.path)) is not None
            )
            / 1_000
        )
        if "/stream/" in request.path and after_s > timeout_s - CUT_EARLY_S:
            self.answers[f"{request.path} cut at its time limit"] += 1
            return
        self.answers[f"{request.path} closed"] += 1
        starts = self._starts(request)
        if starts or after_s > READ_S or channel.received:
            self.violations.append(
                f"{request.id} {request.path}: closed {after_s:.2f} s after it was sent on a"
                f" channel idle for {idle_s:.2f} s, started {starts} times,"
                f" received {channel.received[-80:]!r}"
            )

    def _check_answer(self, request: Request, answer: Answer, began_s: float) -> None:
        ended_s = reactor.seconds()
        what = f"{request.id} {request.path}: {answer.status}"
        possible = self._possible(began_s, ended_s)
        starts = self._starts(request)
        denied = 400 <= answer.status < 500 and answer.status not in NOT_RUN_STATUSES
        if denied and all(_allows(cfg, request) for cfg in possible):
            self.violations.append(
                f"{what}: denied, though each configuration allows it: {answer.body[:200]!r}"
            )
        if answer.status == 200 and not any(_admits(cfg, request) for cfg in possible):
            self.violations.append(f"{what}: served, though no configuration allows it")
        at_most_once = all(_runs_once(cfg, request.path) for cfg in possible)
        if at_most_once and starts > 1:
            self.violations.append(f"{what}: started {starts} times")
        if at_most_once and starts and answer.status in NOT_RUN_STATUSES:
            self.violations.append(f"{what}: refused as not run, and it ran")
        if answer.status in (500, 502):
            self.violations.append(f"{what}: failed without a fault: {answer.body[:200]!r}")
        if answer.status == 200 and "/stream/" in request.path:
            last = f"id: {STREAM_EVENTS}\n".encode()
            if last not in answer.body:
                self.violations.append(f"{what}: the stream looks complete and is not")


def _is_listening(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


def _route(cfg: dict[str, Any], path: str) -> dict[str, Any] | None:
    routes: list[dict[str, Any]] = [
        route for route in cfg["routes"] if path.startswith(route["pathPrefix"])
    ]
    return max(routes, key=lambda route: len(route["pathPrefix"]), default=None)


def _admits(cfg: dict[str, Any], request: Request) -> bool:
    """Return whether a configuration has a request's route and key."""
    teams = cfg.get("tenants")
    return _route(cfg, request.path) is not None and (
        teams is None or any(request.key in team["apiKeys"] for team in teams)
    )


def _allows(cfg: dict[str, Any], request: Request) -> bool:
    """Return whether a configuration allows a request."""
    limits = cfg["limits"]
    return (
        _admits(cfg, request)
        and request.head_bytes <= limits["maxHeaderBytes"]
        and request.body_bytes <= limits["maxBodyBytes"]
    )


def _runs_once(cfg: dict[str, Any], path: str) -> bool:
    """Return whether a request may run once at most by a configuration."""
    route = _route(cfg, path)
    return route is not None and not (
        route["kind"] == "idempotent" or route.get("resumable", False)
    )


async def run_config_soak(
    seconds: float, seed: int, large: bool = False, stops: bool = True
) -> Report:
    """Run one soak with its own stand-ins and processes."""
    world = SiteWorld()
    try:
        return await ConfigSoak(world, seed, large, stops).run(seconds)
    finally:
        await world.close()


def main() -> int:
    """Run from the command line; return 1 if a check failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument(
        "--large", action="store_true", help="more processes than a full mesh connects"
    )
    parser.add_argument("--no-stops", action="store_true", help="stop no entry")
    options = parser.parse_args()
    exit_code = [1]

    def on_finished(report: Any) -> None:
        if isinstance(report, Report):
            exit_code[0] = 1 if report.violations else 0
            print(f"seed {options.seed}: changes {dict(report.changes)}")
            print(f"answers {dict(sorted(report.answers.items()))}")
            print("\n".join(report.violations) or "every check held")
        else:
            print(report)
        reactor.stop()

    def start() -> None:
        soak = run_config_soak(options.seconds, options.seed, options.large, not options.no_stops)
        Deferred.fromCoroutine(soak).addBoth(on_finished)

    reactor.callWhenRunning(start)
    reactor.run()
    return exit_code[0]


if __name__ == "__main__":
    sys.exit(main())
