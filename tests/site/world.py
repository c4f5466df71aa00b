"""Run entries and keepers as processes against the stand-ins, and call them as callers do."""

import base64
import itertools
import json
import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path
from signal import SIGKILL, SIGTERM
from tempfile import TemporaryDirectory
from typing import Any, Final, NamedTuple

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from papayapier import events
from tests.scenario.processes import Child, start
from tests.site.replicas import StandinReplica
from tests.site.store import StandinStore

reactor: Any = installed
_Agent: Any = Agent
_Pool: Any = HTTPConnectionPool

HOST: Final = "site.example"
LIMIT_S: Final = 20.0
_IDS = itertools.count(1)


class Reply(NamedTuple):
    """Hold an answer."""

    status: int
    headers: Any
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Make the operator's configuration; changes go to every route."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 100_000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    common: dict[str, Any] = {
        "host": HOST,
        "timeoutMs": 4000,
        "sloMs": 400,
        "priority": 0,
        "maxAttempts": 3,
    }
    routes: list[dict[str, Any]] = [
        {"name": "look", "kind": "idempotent", "pathPrefix": "/look/", "service": "app"},
        {"name": "once", "kind": "non_idempotent", "pathPrefix": "/once/", "service": "app"},
        {"name": "ask", "kind": "streaming", "pathPrefix": "/stream/once/", "service": "lm"},
        {
            "name": "ask-again",
            "kind": "streaming",
            "pathPrefix": "/stream/again/",
            "service": "lm",
            "resumable": True,
        },
        {
            "name": "job",
            "kind": "batch_job",
            "pathPrefix": "/job/",
            "service": "lm",
            "runTargetMs": 10_000,
            "maxWaitS": 60,
        },
    ]
    return {
        "version": version,
        "routes": [{**common, **route, **changes} for route in routes],
        "services": [{"name": "app"}, {"name": "lm"}],
        "limits": limits,
    }


class SiteWorld:
    """Hold the stand-ins and the processes of one test."""

    def __init__(self) -> None:
        self._folder = TemporaryDirectory()
        self.store = StandinStore()
        self.store.put("config", "main", configuration())
        self.replicas = [StandinReplica(self.store, name) for name in ("lm", "lm", "app", "app")]
        self.children: dict[str, Child] = {}
        # Settings of the protocol between processes, beside its port.
        self.peer: dict[str, Any] = {}
        # Where calls wait that find no room.
        self.placing: dict[str, Any] = {}
        # What an entry may hold for its callers.
        self.memory: dict[str, Any] = {}
        # The key that callers show, if any.
        self.key = ""
        self.callers: dict[str, int] = {}
        self.ready: dict[str, int] = {}
        self.agent = _Agent(reactor, connectTimeout=2, pool=_Pool(reactor, persistent=False))

    def replace_crashed(self) -> None:
        """Start another replica for each that a request ends; those stay in the list as well."""
        for replica in self.replicas:
            self._replace_when_ended(replica)

    def add_like(self, replica: StandinReplica) -> StandinReplica:
        """Start one more replica of the same service, which a request can end as well."""
        other = StandinReplica(self.store, replica.service)
        self.replicas.append(other)
        if replica.ended is not None:
            self._replace_when_ended(other)
        return other

    def _replace_when_ended(self, replica: StandinReplica) -> None:
        def replace() -> None:
            self.add_like(replica)

        replica.ended = replace

    def crashed(self) -> int:
        """Return how many replicas a request has ended, those that were leaving apart.

        What one that leaves as planned cuts off at its end says nothing of the request.
        """
        return sum(one.crashed and not one.leaving for one in self.replicas)

    async def start(self, entries: int = 2, keepers: int = 1) -> None:
        """Start the processes, and wait until every entry is ready."""
        for number in range(entries):
            self.start_entry(f"entry-{number + 1}")
        for number in range(keepers):
            self.start_keeper(f"keeper-{number + 1}")
        for name in self.callers:
            await self.until_ready(name)
        for child in self.children.values():
            await self.until(partial(_started, child), f"{child.name} starts")

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        self.callers[name], self.ready[name] = _free_port(), _free_port()
        listen = {
            "callers": f"127.0.0.1:{self.callers[name]}",
            "readiness": f"127.0.0.1:{self.ready[name]}",
        }
        # The first one listens before its program is imported, as on the platform.
        early = ("--callers", listen["callers"]) if len(self.callers) == 1 else ()
        self._start(name, "entry", {"listen": listen}, *early)

    def restart(self, name: str) -> None:
        """Start a process again at its addresses."""
        path = Path(self._folder.name) / f"{name}.json"
        if name in self.callers:
            address = f"127.0.0.1:{self.callers[name]}"
            arguments = ("--settings", str(path), "--callers", address)
            self.children[name] = start(name, "entry", *arguments)
        else:
            self.children[name] = start(name, "keeper", "--settings", str(path))

    def configure(self, version: int, teams: list[dict[str, Any]], **changes: Any) -> None:
        """Write a configuration with teams."""
        document = {**configuration(version, **changes), "tenants": teams}
        self.store.put("config", "main", document)

    async def until_open(self, port: int) -> None:
        """Wait until a port takes connections."""

        def is_open() -> bool:
            with socket.socket() as sock:
                return sock.connect_ex(("127.0.0.1", port)) == 0

        for _ in range(1_000):
            if is_open():
                return
            await pause(0.005)
        raise AssertionError(f"nobody listens on {port}")

    def start_keeper(self, name: str) -> None:
        """Start a keeper with a disk."""
        disk = Path(self._folder.name) / f"{name}-disk"
        disk.mkdir(exist_ok=True)
        self._start(name, "keeper", {"jobs": {"folder": str(disk)}})

    def _start(self, name: str, role: str, more: dict[str, Any], *arguments: str) -> None:
        place = {"id": name, "data_centre": "z1", "region": "r1", "host": "127.0.0.1"}
        settings = {
            "instance": place,
            "store": {"address": self.store.address, "reads_per_s": 2000, "writes_per_s": 400},
            "stop": {"within_s": 8, "balancer_lag_ms": 500},
            "peer": {"port": _free_port(), **self.peer},
            "allowance": {"window_s": 5, "overrun": 0.1, "slack": 20},
            "placing": self.placing,
            "memory": self.memory,
            **more,
        }
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.children[name] = start(name, role, "--settings", str(path), *arguments)

    async def until_ready(self, name: str) -> None:
        """Wait until an entry says that it is ready."""

        async def ready() -> bool:
            try:
                reply = await self.get(self.ready[name], "/v1/readiness")
            except Exception:
                return False
            return reply.status == 200

        for _ in range(200):
            if await ready():
                return
            await pause(0.05)
        raise AssertionError(f"{name} is not ready: {self.children[name].last_lines()}")

    async def get(self, port: int, path: str, **headers: str) -> Reply:
        """Send a GET."""
        return await self.send(port, "GET", path, b"", **headers)

    async def send(
        self, port: int, method: str, path: str, body: bytes = b"", **headers: str
    ) -> Reply:
        """Send a request as a caller does; the error of a broken answer is raised."""
        sent = {"Host": [HOST], "X-Deadline-Ms": ["4000"], "X-Request-Id": [new_id()]}
        if self.key:
            sent["Authorization"] = [f"Bearer {self.key}"]
        sent |= {name.replace("_", "-"): [value] for name, value in headers.items()}
        url = f"http://127.0.0.1:{port}{path}".encode()
        producer = _Body(body) if body else None
        asked = self.agent.request(method.encode(), url, Headers(sent), producer)
        asked.addTimeout(LIMIT_S, reactor)
        response = await asked
        read = readBody(response)
        read.addTimeout(LIMIT_S, reactor)
        return Reply(response.code, response.headers, await read)

    async def submit(self, port: int, job_id: str, items: int = 3) -> Reply:
        """Submit a batch job."""
        listed = [
            {
                "id": f"{job_id}-{number}",
                "path": f"/job/{number}",
                "headers": {"X-Model": "m"},
                "body": base64.b64encode(b"ask").decode(),
                "tokens": 10,
            }
            for number in range(items)
        ]
        body = json.dumps({"items": listed}).encode()
        return await self.send(port, "POST", f"/job/{job_id}", body, X_Request_Id=job_id)

    async def results(self, port: int, job_id: str, wanted: int) -> list[dict[str, str]]:
        """Read results from the start until there are as many as wanted."""
        found: list[dict[str, str]] = []
        for _ in range(40):
            path = f"/v1/lots/{job_id}?after={len(found)}"
            reply = await self.get(port, path, X_Wait_Ms="500")
            if reply.status == 200:
                found += reply.json()["results"]
                assert reply.json()["nextToken"] == len(found)
            if len(found) >= wanted:
                return found
            await pause(0.1)
        lines = "\n".join(child.last_lines() for child in self.children.values())
        raise AssertionError(f"job {job_id} has not {wanted} results\n{lines}")

    async def until(self, holds: Callable[[], bool], what: str) -> None:
        """Wait until something holds."""
        for _ in range(200):
            if holds():
                return
            await pause(0.05)
        raise AssertionError(what)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for child in self.children.values():
            child.signal(SIGKILL)
        for child in self.children.values():
            await child.ended
        for replica in self.replicas:
            await replica.close()
        await self.store.close()
        await pause(0)
        self._folder.cleanup()

    async def stop(self, name: str) -> int | None:
        """Send SIGTERM and wait for the end; return the exit code."""
        self.children[name].signal(SIGTERM)
        await self.children[name].ended
        return self.children[name].exit_code


class _Body:
    """Write a body that is in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        consumer.write(self._body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass


def _started(child: Child) -> bool:
    return child.logged(events.PROCESS_STARTED.number) > 0


def new_id() -> str:
    """Return a fresh request id."""
    return f"{next(_IDS):016x}"


def pause(seconds: float) -> Deferred[None]:
    """Wait."""
    return deferLater(reactor, seconds, lambda: None)


def begin(work: Any) -> Any:
    """Start work that goes on beside the test."""
    return ensureDeferred(work)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])
