"""Measure the processor time of a request, and of each streamed token, in an entry instance.

Run it from the repository's root: python -m misc.bench_entry

The stand-ins, the instance and the callers (this process) are three processes. Only the
processor time of the instance is read, from /proc, around each workload of a round. Its idle
processor time is measured first and subtracted. Streams of two lengths are run, and the cost
of a token is the slope between them.
"""

import argparse
import json
import pstats
import sys
import tempfile
from pathlib import Path
from statistics import median
from typing import Any, Final, NamedTuple, cast

import treq
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import react

from misc.processes import Process, ProcessGroup
from papayapier.clock import real_clock

reactor = cast(Any, installed_reactor)

HOST: Final = "127.0.0.1"
SHORT_TOKENS: Final = 2
LONG_TOKENS: Final = 202
IDLE_MS: Final = 4_000
US_PER_S: Final = 1_000_000
PROFILE_LINES: Final = 80
LAST_CHUNK: Final = b"0\r\n\r\n"
PROFILES: Final = (("chat", "lm"), ("gate", "gate"))


class Workload(NamedTuple):
    """Describe the requests of one workload of a round."""

    name: str
    path: str
    profile: str
    body: bytes
    calls: int


class Row(NamedTuple):
    """Hold the instance's processor time in microseconds and the share of a core it uses idle."""

    us_per_service_call: float
    us_per_unary_call: float
    us_per_short_stream: float
    us_per_token: float
    idle_core_share: float


def main() -> None:
    """Run the benchmark and print a table or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=1_000, help="calls per workload")
    parser.add_argument("--streams", type=int, default=240, help="long streams per round")
    parser.add_argument("--callers", type=int, default=24, help="concurrent caller connections")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--profile", default="", metavar="ORDER", help="print a profile sorted by ORDER"
    )
    args = parser.parse_args()
    react(lambda _: Deferred.fromCoroutine(_run(args)))


async def _run(args: argparse.Namespace) -> None:
    with tempfile.TemporaryDirectory() as name, ProcessGroup(Path(name)) as group:
        stats_path = Path(name) / "profile"
        standin = _start_standins(group)
        platform = json.loads(standin.read_first_line())["platform_port"]
        instance = _start_instance(
            group, Path(name), platform, stats_path if args.profile else None
        )
        port = await _wait_ready(instance)
        workloads = _make_workloads(args)
        rounds = [
            await _run_round(instance, port, workloads, args.callers) for _ in range(args.rounds)
        ]
        if args.profile:
            instance.signal(15)
            instance.wait(30)
            _print_profile(stats_path, args.profile)
    _print_rounds(rounds, args.json)


def _start_standins(group: ProcessGroup) -> Process:
    command = ["standin", "--engines", "3", "--services", "1"]
    return group.start("standins", "standin", [sys.executable, "-m", "papayapier", *command])


def _start_instance(
    group: ProcessGroup, folder: Path, platform: int, profile: Path | None
) -> Process:
    settings = {
        "instance": {"id": "bench", "data_centre": "dc-a", "region": "local"},
        "platform": {"host": HOST, "port": platform},
        "entry": {"port": 0},
        "operator": {"port": 0},
        "peer": {"port": 0},
        "drain": {"balancer_lag_ms": 100},
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    profiler = ["-m", "cProfile", "-o", str(profile)] if profile else []
    command = [sys.executable, *profiler, "-m", "papayapier", "serve", "--settings", str(path)]
    return group.start("instance", "entry", command)


async def _wait_ready(instance: Process) -> int:
    """Wait until the instance has started, put the profiles, and return its entry port."""
    clock = real_clock()
    while (start_line := _read_start_line(instance.stderr_path)) is None:
        if instance.has_ended():
            raise RuntimeError(instance.stderr_path.read_text())
        await clock.sleep(50)
    for name, upstream in PROFILES:
        profile = {
            "name": name,
            "upstream": upstream,
            "urgency": "normal",
            "due_ms": 60_000,
            "idempotent": True,
        }
        change = {
            "profile": profile,
            "based_on": 0,
            "reason": "benchmark",
            "change_id": f"bench-{name}",
        }
        url = f"http://{HOST}:{start_line['operator_port']}/v1/profiles/{name}"
        response = await treq.put(url, json=change, persistent=False)
        if response.code not in (200, 201):
            raise RuntimeError(await response.text())
    await clock.sleep(2_000)
    return int(start_line["entry_port"])


def _read_start_line(log: Path) -> dict[str, Any] | None:
    for line in log.read_text().splitlines():
        document: dict[str, Any] = json.loads(line)
        if "entry_port" in document:
            return document
    return None


def _make_workloads(args: argparse.Namespace) -> list[Workload]:
    def chat(name: str, tokens: int, stream: bool, count: int) -> Workload:
        body = {"model": "lm", "prompt": "open?", "max_tokens": tokens, "stream": stream}
        return Workload(name, "/v1/completions", "chat", json.dumps(body).encode(), count)

    return [
        Workload("service", "/services/gate/calls/x", "gate", b"{}", args.calls),
        chat("unary", SHORT_TOKENS, False, args.calls),
        chat("short", SHORT_TOKENS, True, args.calls),
        chat("long", LONG_TOKENS, True, args.streams),
    ]


async def _run_round(instance: Process, port: int, workloads: list[Workload], callers: int) -> Row:
    idle_s, idle_ms = await _measure_cpu(instance, real_clock().sleep(IDLE_MS))
    idle_share = idle_s / (idle_ms / 1_000)
    cost_us: dict[str, float] = {}
    for workload in workloads:
        cpu_s, wall_ms = await _measure_cpu(instance, _send_all(port, workload, callers))
        cost_us[workload.name] = US_PER_S * (cpu_s - idle_share * wall_ms / 1_000) / workload.calls
    per_token = (cost_us["long"] - cost_us["short"]) / (LONG_TOKENS - SHORT_TOKENS)
    return Row(cost_us["service"], cost_us["unary"], cost_us["short"], per_token, idle_share)


async def _measure_cpu(instance: Process, workload_run: Deferred[Any]) -> tuple[float, int]:
    """Return the processor time in seconds that the instance uses during a run, and the ms."""
    instance.sample()
    await workload_run
    instance.sample()
    before, after = instance.samples[-2:]
    return after.cpu_s - before.cpu_s, after.wall_ms - before.wall_ms


def _send_all(port: int, workload: Workload, callers: int) -> Deferred[Any]:
    remaining = [workload.calls]
    return gatherResults(
        [
            Deferred.fromCoroutine(_send_sequentially(port, workload, remaining))
            for _ in range(callers)
        ]
    )


async def _send_sequentially(port: int, workload: Workload, remaining: list[int]) -> None:
    endpoint = TCP4ClientEndpoint(reactor, HOST, port)
    connection: _CallerConnection = await connectProtocol(endpoint, _CallerConnection())
    head = (
        f"POST {workload.path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(workload.body)}\r\n"
        f"X-Papayapier-Profile: {workload.profile}\r\n\r\n"
    )
    while remaining[0] > 0:
        remaining[0] -= 1
        await connection.send(head.encode() + workload.body)
    await connection.close()


class _CallerConnection(Protocol):
    """Send requests over one connection and read only enough of a response to find its end."""

    def __init__(self) -> None:
        self._head = b""
        self._remaining = 0
        self._done: Deferred[None] = Deferred()
        self._closed: Deferred[None] = Deferred()

    def send(self, request: bytes) -> Deferred[None]:
        self._head = b""
        self._done = Deferred()
        cast(Any, self.transport).write(request)
        return self._done

    def close(self) -> Deferred[None]:
        cast(Any, self.transport).loseConnection()
        return self._closed

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self._head:
            self._head, _, body = data.partition(b"\r\n\r\n")
            assert self._head.startswith(b"HTTP/1.1 200"), data
            if b"Content-Length: " in self._head:
                length = self._head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
                assert len(body) == int(length)
                self._done.callback(None)
                return
        if data.endswith(LAST_CHUNK):
            self._done.callback(None)

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        self._closed.callback(None)


def _print_rounds(rounds: list[Row], as_json: bool) -> None:
    if as_json:
        print(json.dumps([row._asdict() for row in rounds]))
        return
    print(f"{'':24}{'median':>10}{'lowest':>10}{'highest':>10}")
    for number, name in enumerate(Row._fields):
        values = [row[number] for row in rounds]
        print(f"{name:24}{median(values):10.3f}{min(values):10.3f}{max(values):10.3f}")


def _print_profile(stats_path: Path, order: str) -> None:
    pstats.Stats(str(stats_path)).sort_stats(order).print_stats(PROFILE_LINES)


if __name__ == "__main__":
    main()
