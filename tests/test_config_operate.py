"""Test the operator HTTP routes and command line over real sockets."""

import argparse
import contextlib
import hashlib
import io
import json
import random
import tempfile
from pathlib import Path
from typing import Any, cast
from unittest import mock

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase
from twisted.web.server import Site

from papayapier import events
from papayapier.batch.jobs import JobRequest
from papayapier.batch.start import Batch
from papayapier.clock import real_clock
from papayapier.config.start import ConfigDeps, start_config
from papayapier.entry.batch_routes import add_batch_routes
from papayapier.entry.operator_auth import job_auth, refuse_new_work
from papayapier.entry.operator_bodies import InstanceStatus, Status
from papayapier.entry.operator_routes import OperatorDeps, add_operator_routes
from papayapier.main import make_parser
from papayapier.metrics import make_metrics
from papayapier.operate import client, configuration, reports
from papayapier.orders.controller import OrderInProgress, OrdersView
from papayapier.settings import ConfigSettings, KeyEntry
from tests.batch_world import URL, World
from tests.fake_store import FakePlatform
from tests.test_config import gate

KEY = "anas-secret-key"
ANA = KeyEntry("ana", hashlib.sha256(KEY.encode()).hexdigest())
TIMEOUT_S = 20


class OperateTest(TestCase):
    """Run an instance's operator HTTP address and call it through the commands."""

    timeout = TIMEOUT_S

    def setUp(self) -> None:
        clock = real_clock()
        self.platform = FakePlatform(clock)
        self.config = start_config(
            ConfigDeps(
                clock=clock,
                rand=random.Random(1),
                store=self.platform.store(),
                settings=ConfigSettings(),
                metrics=make_metrics(),
                send=lambda _peer, _message: None,
                broadcast=lambda _message: None,
                peers=list,
                queued_under=lambda _: 0,
                upstream_names=lambda: {"pass"},
            )
        )
        self.addCleanup(lambda: Deferred.fromCoroutine(self._stop()))
        self.port = self._listen((ANA,))
        self.open_port = self._listen(())

    def _listen(self, operators: tuple[KeyEntry, ...]) -> int:
        app = Klein()
        add_operator_routes(app, OperatorDeps(self.config, operators, self._status, self._orders))
        return self._serve(app)

    def _serve(self, app: Klein) -> int:
        listening: Any = cast(Any, reactor).listenTCP(
            0, Site(app.resource()), interface="127.0.0.1"
        )
        self.addCleanup(listening.stopListening)
        return int(listening.getHost().port)

    async def _stop(self) -> None:
        await self.config.stop()

    def _status(self) -> Status:
        current = InstanceStatus("entry-1", "serving", True, "", 3, True, 0)
        outdated = InstanceStatus("entry-2", "serving", True, "", 2, False, 40)
        return Status("entry-1", [current, outdated])

    def _orders(self) -> OrdersView:
        return OrdersView("entry-1", [OrderInProgress("r1", "load_model", "pass-7b")], [])

    async def _call(
        self, method: str, path: str, body: object = None, key: str = KEY
    ) -> client.Answer:
        got = await client.Client(f"127.0.0.1:{self.port}", key).call(method, path, body)
        return got.unwrap()

    async def _command(self, *args: str, key: str = KEY, port: int = 0) -> tuple[int, str, str]:
        """Run a command as the command line does; return its exit code, stdout and stderr."""
        options = make_parser().parse_args(list(args))
        operator_client = client.Client(f"127.0.0.1:{port or self.port}", key)
        out, err = io.TextIOWrapper(io.BytesIO(), write_through=True), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = await options.run(operator_client, options)
        return code, out.buffer.getvalue().decode(), err.getvalue()

    def _file(self, text: str) -> str:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "file.json"
        path.write_text(text, encoding="utf-8")
        return str(path)

    async def test_key_is_required_and_appears_nowhere(self) -> None:
        """Requests need a valid key, and no key may be stored or logged."""
        emitted: list[tuple[events.Event, object]] = []

        def emit(event: events.Event, **fields: object) -> None:
            emitted.append((event, fields))

        self.enterContext(mock.patch.object(events, "emit", emit))
        for key in ("", "wrong-key"):
            for path in (
                "/v1/profiles",
                "/v1/audit",
                "/v1/status",
                "/v1/orders",
                "/v1/profiles/gate",
            ):
                assert (await self._call("GET", path, key=key)).status == 401
        body = {"profile": gate(), "based_on": 0, "reason": "r", "change_id": "change-01"}
        assert (await self._call("PUT", "/v1/profiles/gate", body)).status == 200
        stored = b"".join(item.value for item in self.platform.objects.values())
        assert KEY.encode() not in stored
        assert ANA.key_sha256.encode() not in stored
        assert b'"who":"ana"' in stored
        assert any(event is events.OPERATOR_REFUSED for event, _ in emitted)
        assert KEY not in repr(emitted)
        assert "wrong-key" not in repr(emitted)

    async def test_without_operators_no_key_is_required(self) -> None:
        """If no operators are configured, calls from the same machine need no key."""
        code, out, _ = await self._command("profile", "list", key="", port=self.open_port)
        assert (code, out.split()[:2]) == (0, ["name", "version"])

    async def test_lifecycle_of_a_profile(self) -> None:
        """Check, create, diff, update, conflict, read, audit and delete a profile."""
        first = self._file(
            '{"name": "gate", /* scale */ "upstream": "pass", "urgency": "urgent",'
            ' "due_ms": 2000, "idempotent": false}'
        )
        second = self._file(
            '{"name": "gate", "upstream": "pass", "urgency": "urgent",'
            ' "due_ms": 1500, "idempotent": false}'
        )
        assert (await self._command("profile", "check", first))[0] == 0
        code, out, _ = await self._command(
            "profile", "apply", first, "--based-on", "0", "--reason", "first"
        )
        assert (code, "accepted as version 1" in out) == (0, True)
        code, out, _ = await self._command("profile", "diff", second)
        assert "due_ms  2000      1500" in out
        code, _, _ = await self._command(
            "profile", "apply", second, "--based-on", "1", "--reason", "faster"
        )
        assert code == 0
        code, _, err = await self._command(
            "profile", "apply", first, "--based-on", "1", "--reason", "late"
        )
        assert code == 1
        assert "version_conflict: gate is at version 2: update by ana (faster)" in err
        code, out, _ = await self._command("profile", "get", "gate", "--json")
        assert json.loads(out)["document"]["due_ms"] == 1500
        code, out, _ = await self._command("audit", "--name", "gate", "--since", "1h")
        assert "due_ms: 2000 -> 1500" in out
        code, _, _ = await self._command(
            "profile", "delete", "gate", "--based-on", "2", "--reason", "done"
        )
        assert code == 0
        code, _, err = await self._command("profile", "get", "gate")
        assert (code, err.startswith("papayapier: not_found")) == (1, True)

    async def test_invalid_file_names_each_field_and_exits_with_2(self) -> None:
        """Each invalid field of a file gets a line, and the exit code is 2."""
        invalid = self._file('{"name": "gate", "upstream": "pass", "urgency": "soon", "due_ms": 1}')
        code, _, err = await self._command("profile", "check", invalid)
        lines = err.splitlines()
        assert code == 2
        assert [line.split(": ")[2] for line in lines] == ["urgency", "due_ms", "idempotent"]
        code, _, err = await self._command("profile", "check", "no-such-file")
        assert (code, len(err.splitlines())) == (2, 1)

    async def test_upstream_and_status(self) -> None:
        """Wanted state, fleet status and orders are shown."""
        wanted = self._file('{"name": "pass", "models": ["pass-7b"]}')
        code, _, _ = await self._command(
            "upstream", "apply", wanted, "--based-on", "0", "--reason", "first"
        )
        assert code == 0
        _, out, _ = await self._command("upstream", "list")
        assert "pass-7b" in out
        code, out, _ = await self._command("status")
        assert "furthest behind: entry-2" in out
        code, out, _ = await self._command("orders")
        assert "given by: entry-1" in out
        assert "pass-7b" in out

    async def test_job_commands_access_the_jobs_of_a_caller(self) -> None:
        """An operator can list, show, read and cancel the jobs of a named caller only."""
        world = World(clock=real_clock())
        batch = world.start("a")
        self.addCleanup(lambda: Deferred.fromCoroutine(_stop(batch)))
        app = Klein()
        add_batch_routes(app, batch, job_auth((ANA,)), refuse_new_work)
        port = self._serve(app)
        item = {"custom_id": "van/1", "url": URL, "body": {"n": 1}}
        intake = batch.start_upload("yard", "notes.jsonl", "batch")
        assert (await intake.feed(json.dumps(item).encode() + b"\n")) is None
        file = (await intake.finish()).unwrap()
        wanted = JobRequest("yard", "", file.file_id, URL, "24h", {}, "notes", 0)
        job_id = (await batch.jobs.accept(wanted)).unwrap().record.job_id
        jobs = ("--caller", "yard")
        assert (await self._command("job", "list", *jobs, key="wrong-key", port=port))[0] == 1
        code, out, _ = await self._command("job", "list", *jobs, port=port)
        assert (code, job_id in out) == (0, True)
        code, _, err = await self._command("job", "show", job_id, port=port)
        assert (code, "not_found" in err) == (1, True)
        while '"completed"' not in out:
            _, out, _ = await self._command("job", "show", job_id, *jobs, "--json", port=port)
        code, out, _ = await self._command("job", "results", job_id, *jobs, port=port)
        assert (code, json.loads(out)["custom_id"]) == (0, "van/1")
        code, out, _ = await self._command("job", "cancel", job_id, *jobs, port=port)
        assert code == 0

    async def test_refused_connection_is_reported_in_one_line(self) -> None:
        """A command whose instance does not listen must not print a traceback."""
        code, _, err = await self._command("status", port=1)
        assert (code, len(err.splitlines())) == (1, 1)


async def _stop(batch: Batch) -> None:
    await batch.stop()


def test_audit_times() -> None:
    """Relative and absolute times are parsed, and others are rejected."""
    now = 1_700_000_000_000
    assert reports.parse_since("2h", now).unwrap() == now - 7_200_000
    assert reports.parse_since("2023-11-14T22:13:20", now).unwrap() == now
    assert reports.parse_since("soon", now).is_err()


def test_every_operator_command_is_registered() -> None:
    """Each operator command is known to the parser and has a function to run."""
    parser = make_parser()
    for args in (
        ["profile", "list"],
        ["upstream", "get", "x"],
        ["job", "cancel", "x"],
        ["job", "results", "x"],
        ["audit"],
        ["status"],
    ):
        options = parser.parse_args([*args, "--json"])
        assert callable(options.command)
        assert isinstance(options, argparse.Namespace)
    assert [noun.singular for noun in configuration.OBJECT_TYPES] == ["profile", "upstream"]
