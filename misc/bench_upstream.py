"""Measure the processor time of a call, and of each token of a stream, in the upstream client.

Run it from the repository's root: python -m misc.bench_upstream

The stand-in engine runs in a separate process, so that only the client's time is counted.
Streams of two lengths are run, and the cost of a token is the slope between them, which leaves
the fixed cost of a call out of the cost of its tokens. The same calls are made with twisted's
Agent and with treq, which do not check or decode anything, for comparison.
"""

import argparse
import cProfile
import json
import pstats
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from statistics import median
from typing import Any, Final, NamedTuple, cast

from treq.client import HTTPClient
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import react
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from papayapier.clock import real_clock
from papayapier.metrics import make_metrics
from papayapier.settings import UpstreamSettings
from papayapier.standin.engine import start_engine
from papayapier.standin.engine_steps import EngineParams
from papayapier.upstream.api import Call, Replica
from papayapier.upstream.client import make_upstream_client

reactor = cast(Any, installed_reactor)

PATH: Final = "/v1/chat/completions"
HOST: Final = "127.0.0.1"
STEP_MS: Final = 20.0
SHORT_TOKENS: Final = 20
LONG_TOKENS: Final = 220
ROUNDS: Final = 5
DUE_MS: Final = 600_000

# Makes one call for the given number of tokens, as a stream if the second argument is true.
MakeCall = Callable[[int, bool], Awaitable[object]]


class Row(NamedTuple):
    """Hold the processor time of one client, in microseconds."""

    client: str
    us_per_unary_call: float
    us_per_stream: float
    us_per_token: float


def main() -> None:
    """Run the benchmark and print a table or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=500, help="unary calls per round")
    parser.add_argument("--streams", type=int, default=100, help="concurrent streams")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--profile", action="store_true", help="print a profile of each client")
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.serve:
        react(lambda _: Deferred.fromCoroutine(_serve_engine(args.streams)))
    with subprocess.Popen(
        [sys.executable, "-m", "misc.bench_upstream", "--serve", "--streams", str(args.streams)],
        stdout=subprocess.PIPE,
        text=True,
    ) as engine:
        try:
            assert engine.stdout is not None
            port = int(engine.stdout.readline())
            react(lambda _: Deferred.fromCoroutine(_run_benchmark(args, port)))
        finally:
            engine.terminate()


async def _serve_engine(slots: int) -> None:
    params = EngineParams(slots=slots, base_ms=STEP_MS, per_sequence_ms=0.0, prefill_ms=0.0)
    engine = await start_engine(reactor, real_clock(), params, HOST, 0)
    print(engine.port, flush=True)
    await Deferred()


async def _run_benchmark(args: argparse.Namespace, port: int) -> None:
    rows = []
    for name, make_call in (
        ("papayapier", _make_papayapier_client(port)),
        ("agent", _make_agent_client(port)),
        ("treq", _make_treq_client(port)),
    ):
        profile = cProfile.Profile()
        await _run_calls(make_call, args.streams, SHORT_TOKENS, True)
        if args.profile:
            profile.enable()
        rows.append(await _measure_client(name, make_call, args))
        if args.profile:
            profile.disable()
            pstats.Stats(profile).sort_stats("tottime").print_stats(25)
    if args.json:
        print(json.dumps([row._asdict() for row in rows], indent=2))
        return
    for row in rows:
        print(
            f"{row.client:<12}{row.us_per_unary_call:9.1f} us per unary call"
            f"{row.us_per_stream:9.1f} us per stream{row.us_per_token:8.2f} us per token"
        )


async def _measure_client(name: str, make_call: MakeCall, args: argparse.Namespace) -> Row:
    """Return the medians of several rounds, which other load on the machine affects less."""
    rounds = [await _run_round(name, make_call, args) for _ in range(ROUNDS)]
    return Row(name, *(median(column) for column in list(zip(*rounds, strict=True))[1:]))


async def _run_round(name: str, make_call: MakeCall, args: argparse.Namespace) -> Row:
    unary_s = 0.0
    for _ in range(args.calls // args.streams):
        unary_s += await _run_calls(make_call, args.streams, 1, False)
    short_s = await _run_calls(make_call, args.streams, SHORT_TOKENS, True)
    long_s = await _run_calls(make_call, args.streams, LONG_TOKENS, True)
    per_token_s = (long_s - short_s) / args.streams / (LONG_TOKENS - SHORT_TOKENS)
    per_stream_s = short_s / args.streams - per_token_s * SHORT_TOKENS
    calls = args.calls // args.streams * args.streams
    return Row(name, unary_s / calls * 1e6, per_stream_s * 1e6, per_token_s * 1e6)


async def _run_calls(make_call: MakeCall, count: int, tokens: int, stream: bool) -> float:
    """Make concurrent calls and return the processor time that they took together."""
    start = time.process_time()
    calls = [Deferred.fromCoroutine(cast(Any, make_call(tokens, stream))) for _ in range(count)]
    await gatherResults(calls)
    return time.process_time() - start


def _request_body(tokens: int, stream: bool) -> bytes:
    fields = {"model": "base", "prompt": "a b c", "max_tokens": tokens, "stream": stream}
    return json.dumps(fields).encode()


def _make_papayapier_client(port: int) -> MakeCall:
    clock = real_clock()
    # All streams connect at once and overflow the stand-in's listen queue, so that connecting
    # may take longer than the default timeout.
    cfg = UpstreamSettings(connect_timeout_ms=DUE_MS)
    upstreams = make_upstream_client(reactor, clock, cfg, make_metrics())
    replica = Replica("one", "chat", HOST, port, "dc")

    async def make_call(tokens: int, stream: bool) -> None:
        due_ms = clock.now() + DUE_MS
        body = _request_body(tokens, stream)
        call = Call("c", "r1", "POST", PATH, body, "application/json", stream, due_ms)
        (await upstreams.send(replica, call, lambda _: None)).unwrap()

    return make_call


def _make_agent_client(port: int) -> MakeCall:
    agent = _make_plain_agent()
    headers = Headers({"X-Request-Id": ["r1"]})
    url = f"http://{HOST}:{port}{PATH}".encode()

    async def make_call(tokens: int, stream: bool) -> None:
        response = await agent.request(
            b"POST", url, headers, _BytesProducer(_request_body(tokens, stream))
        )
        discard = _DiscardProtocol()
        response.deliverBody(discard)
        await discard.done

    return make_call


def _make_treq_client(port: int) -> MakeCall:
    client: Any = HTTPClient(_make_plain_agent())
    url = f"http://{HOST}:{port}{PATH}"

    async def make_call(tokens: int, stream: bool) -> None:
        body = _request_body(tokens, stream)
        headers = {"X-Request-Id": "r1"}
        response = await client.post(url, data=body, headers=headers, unbuffered=True)
        await response.collect(lambda _: None)

    return make_call


def _make_plain_agent() -> Any:
    make_pool: Any = HTTPConnectionPool
    pool = make_pool(reactor)
    pool.maxPersistentPerHost = 10_000
    make_agent: Any = Agent
    return make_agent(reactor, pool=pool)


class _DiscardProtocol(Protocol):
    """Discard a response body."""

    def __init__(self) -> None:
        self.done: Deferred[None] = Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        self.done.callback(None)


class _BytesProducer:
    """Write a body that is already in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        consumer.write(self._body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def stopProducing(self) -> None:  # noqa: N802
        pass


if __name__ == "__main__":
    main()
