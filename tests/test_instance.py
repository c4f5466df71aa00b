"""Test the graceful shutdown of an instance, and the start and end of its process."""

import json
import tempfile
from pathlib import Path
from signal import SIGTERM
from typing import Any

import pytest
import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.trial.unittest import TestCase

from papayapier import events, invariants
from papayapier.clock import fake_clock, real_clock
from papayapier.dispatch.api import OnlineRequest, OnToken
from papayapier.errors import ErrorKind, not_run_refusal
from papayapier.graceful_shutdown import GracefulShutdown, ShutdownDeps
from papayapier.policy.drain import Drain, DrainPlan
from papayapier.standin.fleet import Fleet, FleetParams, run_fleet
from papayapier.standin.switches import Mode
from tests.entry_world import ANSWER, CHAT, GATE, EntryWorld, RunResult
from tests.raw_client import connect, post
from tests.scenario.processes import ChildProcess, start_process

LAG_MS = 3_000
LIMIT_MS = 60_000
GATE_CALL = post("/services/gate/x", b"", GATE)


async def run_reactor(count: int) -> None:
    """Wait for some iterations of the reactor, so that it serves the sockets."""
    for _ in range(count):
        await real_clock().sleep(1)


class TestGracefulShutdown(TestCase):
    """Shut down an entry with real sockets, and with the shutdown steps on a fake clock."""

    timeout = 30

    def setUp(self) -> None:
        self.world = EntryWorld()
        self.addCleanup(lambda: Deferred.fromCoroutine(self.world.stop()))
        self.world.handler = self.hang
        self.hanging: list[Deferred[None]] = []
        self.time = fake_clock()
        self.drain = Drain(DrainPlan(LAG_MS, LIMIT_MS))
        leaving = not_run_refusal(ErrorKind.LEAVING, "the instance is shutting down")
        self.world.refusing = lambda: None if self.drain.accepts() else leaving
        self.handed_over: Deferred[None] = Deferred()
        self.stop = GracefulShutdown(
            ShutdownDeps(
                clock=self.time.clock,
                drain=self.drain,
                listening=(self.world.listening,),
                online_count=lambda: len(self.hanging),
                item_count=lambda: 0,
                hand_over=self.hand_over,
            )
        )

    async def hand_over(self) -> None:
        await self.handed_over

    async def hang(self, _req: OnlineRequest, _on_token: OnToken) -> RunResult:
        done: Deferred[None] = Deferred()
        self.hanging.append(done)
        try:
            await done
        finally:
            self.hanging.remove(done)
        return ANSWER

    async def wait_hanging(self, count: int) -> None:
        while len(self.hanging) < count:
            await real_clock().sleep(1)

    async def pass_time(self, delay_ms: int) -> None:
        for step in range(delay_ms // 50):
            self.time.jump(50)
            if step % 10 == 0:
                await run_reactor(1)
        await run_reactor(20)

    def test_shutdown_finishes_running_requests_and_refuses_new_ones(self) -> Deferred[None]:
        """Guard against connections that are reset or closed without an answer at a restart.

        One request is running, a second is received only in part, and a third connection is
        idle when the shutdown begins; the rest of the second request arrives after the
        balancer's lag. If only running requests counted, the other connections would be closed
        too early.
        """

        async def run() -> None:
            busy = await self.world.connect()
            busy.write(GATE_CALL)
            await self.wait_hanging(1)
            half, idle = await self.world.connect(), await self.world.connect()
            half.write(GATE_CALL[:30])
            idle.write(post("/v1/elsewhere", b""))
            await idle.until(b"}}")
            assert b"Connection: close" not in idle.received
            stopped = Deferred.fromCoroutine(self.stop.run())
            self.handed_over.callback(None)

            await self.pass_time(LAG_MS - 100)
            late = await self.world.connect()
            late.write(GATE_CALL)
            await self.wait_hanging(2)
            self.hanging[1].callback(None)
            await late.closed
            assert (late.status(), b"Connection: close" in late.received) == (200, True)
            assert not idle.closed.called

            await self.pass_time(200)
            await idle.closed
            half.write(GATE_CALL[30:])
            await half.closed
            assert (half.status(), half.json()["error"]["outcome"]) == (503, "not_run")
            with pytest.raises(ConnectionRefusedError):
                await connect(self.world.listening.port)
            assert not stopped.called

            self.hanging[0].callback(None)
            await busy.closed
            assert busy.received.endswith(b'{"ok":1}')
            await self.pass_time(100)
            await stopped

        return Deferred.fromCoroutine(run())

    def test_shutdown_waits_until_answers_have_been_read(self) -> Deferred[None]:
        """Guard against a large answer whose end is missing after a restart.

        A request counts as finished when its complete answer is in a buffer of this process; a
        slow caller has not read it yet, and an exit would discard the rest.
        """

        async def run() -> None:
            size = 30_000_000
            big = ANSWER.unwrap()._replace(body=b"x" * size)

            async def answer(_req: OnlineRequest, _on_token: OnToken) -> RunResult:
                return ANSWER.map(lambda _: big)

            self.world.handler = answer
            slow = await self.world.send(GATE_CALL, b"\r\n\r\n")
            slow.stop_reading()
            stopped = Deferred.fromCoroutine(self.stop.run())
            self.handed_over.callback(None)
            await self.pass_time(LAG_MS + 1_000)
            assert (self.world.site.open_requests(), stopped.called) == (0, False)
            slow.resume_reading()
            await slow.closed
            assert len(slow.received.partition(b"\r\n\r\n")[2]) == size
            await self.pass_time(100)
            await stopped

        return Deferred.fromCoroutine(run())

    def test_shutdown_ends_at_its_limit_and_logs_what_was_left(self) -> Deferred[None]:
        """Guard against a shutdown that waits for a hanging request without bound."""

        async def run() -> None:
            broken = invariants.violation_count()
            client = await self.world.connect()
            client.write(GATE_CALL)
            await self.wait_hanging(1)
            stopped = Deferred.fromCoroutine(self.stop.run())
            await self.pass_time(LIMIT_MS + 100)
            await stopped
            (left,) = self.world.logs.fields_of(events.DRAIN_LIMIT)
            assert left == {
                "connections": 1,
                "requests": 1,
                "online": 1,
                "items": 0,
                "handing_over": 1,
            }
            assert invariants.violation_count() == broken + 1
            invariants.VIOLATIONS.clear()

        return Deferred.fromCoroutine(run())

    def test_failed_hand_over_does_not_block_the_shutdown(self) -> Deferred[None]:
        """Guard against a shutdown that waits for a batch handover which has failed."""

        async def run() -> None:
            stopped = Deferred.fromCoroutine(self.stop.run())
            await self.pass_time(LAG_MS + 100)
            assert not stopped.called
            self.handed_over.errback(ZeroDivisionError())
            await self.pass_time(100)
            await stopped
            assert self.world.logs.fields_of(events.HAND_OVER_FAILED)

        return Deferred.fromCoroutine(run())


class TestProcess(TestCase):
    """Run "papayapier serve" as a child process against stand-ins in this process."""

    timeout = 60

    def setUp(self) -> Deferred[None]:  # type: ignore[override]
        self.children: list[ChildProcess] = []
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(lambda: Deferred.fromCoroutine(self.close()))
        return Deferred.fromCoroutine(self.begin())

    async def begin(self) -> None:
        params = FleetParams(engines=2, services=1)
        self.fleet: Fleet = await run_fleet(reactor, real_clock(), params)

    async def close(self) -> None:
        for child in self.children:
            child.send_signal(SIGTERM)
            child.send_signal(SIGTERM)
            await child.ended
        await self.fleet.close()
        self.folder.cleanup()

    def serve(self, name: str = "a", **changes: Any) -> ChildProcess:
        settings = {
            "instance": {"id": name, "data_centre": "dc-a", "region": "local"},
            "platform": {"host": "127.0.0.1", "port": self.fleet.platform.port},
            "entry": {"port": 0},
            "operator": {"port": 0},
            "peer": {"port": 0},
            "drain": {"balancer_lag_ms": 300, "limit_ms": 20_000},
        }
        path = Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings | changes))
        child = start_process(name, "serve", "--settings", str(path))
        self.children.append(child)
        return child

    async def wait_ready(self, child: ChildProcess) -> int:
        """Create the profiles, wait until the child is ready, and return its callers' port."""
        started = await child.document_with("entry_port")
        operator, entry = started["operator_port"], started["entry_port"]
        for name, upstream in (("chat", "lm"), ("gate", "gate")):
            profile = {
                "name": name,
                "upstream": upstream,
                "urgency": "normal",
                "due_ms": 20_000,
                "idempotent": name == "chat",
            }
            change = {
                "profile": profile,
                "based_on": 0,
                "reason": "test",
                "change_id": f"test-{name}-1",
            }
            url = f"http://127.0.0.1:{operator}/v1/profiles/{name}"
            answer = await treq.put(url, json=change, persistent=False)
            assert answer.code in (200, 201), await answer.text()
        while True:
            url = f"http://127.0.0.1:{entry}/readyz"
            answer = await treq.get(url, persistent=False)
            await answer.content()
            if answer.code == 200:
                return int(entry)
            await real_clock().sleep(20)

    def test_signal_under_load_aborts_no_request(self) -> Deferred[None]:
        """Guard against connections that are reset at a planned restart.

        Callers send streams one after another, on persistent and on new connections, until
        after SIGTERM no connection can be made. A shutdown must not close connections that carry
        requests, or whose answers are not completely sent.
        """
        outcomes: list[str] = []

        async def send_streams(port: int, keep_alive: bool) -> None:
            body = b'{"model":"lm","prompt":"open?","max_tokens":8,"stream":true}'
            header = "Connection: keep-alive" if keep_alive else "Connection: close"
            request = post("/v1/completions", body, CHAT, header)
            while True:
                try:
                    client = await connect(port)
                except ConnectError:
                    # Refused, or reset while connecting: no request was sent.
                    return
                while not client.closed.called:
                    client.received.clear()
                    client.write(request)
                    await client.until_any(b"0\r\n\r\n", b"}}")
                    outcomes.append(classify(client.received))
                    if b"Connection: close" in client.received:
                        await client.closed

        def classify(received: bytearray) -> str:
            if b"[DONE]" in received:
                return "whole"
            return "leaving" if b'"kind":"leaving","outcome":"not_run"' in received else "cut"

        async def run() -> None:
            child = self.serve()
            port = await self.wait_ready(child)
            callers = [
                Deferred.fromCoroutine(send_streams(port, keep_alive=n % 2 == 0)) for n in range(8)
            ]
            while len(outcomes) < 50:
                await real_clock().sleep(5)
            child.send_signal(SIGTERM)
            await gatherResults(callers)
            await child.ended
            assert set(outcomes) <= {"whole", "leaving"}, outcomes
            assert (child.exit_code, child.logged_count(events.INVARIANT_BROKEN.number)) == (0, 0)
            assert child.logged_count(events.DRAIN_LIMIT.number) == 0

        return Deferred.fromCoroutine(run())

    def test_second_signal_ends_the_process_at_once(self) -> Deferred[None]:
        """Guard against a process that cannot be stopped while a request hangs."""

        async def run() -> None:
            child = self.serve()
            port = await self.wait_ready(child)
            self.fleet.services[0].control({"mode": Mode.HANG, "times": 0})
            client = await connect(port)
            client.write(GATE_CALL)
            while not self.fleet.services[0].counts().total:
                await real_clock().sleep(5)
            child.send_signal(SIGTERM)
            await child.document_with("handing_over")
            await real_clock().sleep(400)
            assert child.exit_code is None
            child.send_signal(SIGTERM)
            await child.ended
            await client.closed
            assert child.exit_code == 1

        return Deferred.fromCoroutine(run())

    def test_failed_start_prints_one_line(self) -> Deferred[None]:
        """Guard against a failed start whose reason is hidden by other output."""
        used_port = {"port": 0}
        cases: list[tuple[str, dict[str, Any], str, int]] = [
            ("entry", {"entry": used_port}, "entry.port: cannot listen on 127.0.0.1:", 1),
            ("operator", {"operator": used_port}, "operator.port: cannot listen on 127.0.0.1:", 1),
            ("peer", {"peer": used_port}, "peer", 1),
            ("platform", {"platform": {"host": "127.0.0.1", "port": 9}}, "platform: 127.0.", 1),
            ("unknown", {"entry": {"prot": 80}}, "entry", 2),
            ("kind", {"entry": {"port": "x"}}, "entry.port: expected `int`, got `str`", 2),
        ]

        async def run() -> None:
            used_port["port"] = self.fleet.platform.port
            children = [self.serve(name, **changes) for name, changes, _, _ in cases]
            for child, (name, _, reason, code) in zip(children, cases, strict=True):
                await child.ended
                assert child.exit_code == code, name
                (line,) = child.last_output_lines
                assert line.startswith("papayapier: ") and reason in line, line

        return Deferred.fromCoroutine(run())
