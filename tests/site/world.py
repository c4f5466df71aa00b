"""Run entries and keepers as processes against the stand-ins, and send requests to them."""

import base64
import itertools
import json
import socket
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
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

from misc.ports import PortReservations
from papayapier import events
from tests.deployed import role_command
from tests.scenario.processes import ChildProcess, start_command, start_process
from tests.site.network import ProcessProxies
from tests.site.replicas import StandinReplica
from tests.site.store import StandinStore

reactor: Any = installed
_Agent: Any = Agent
_Pool: Any = HTTPConnectionPool

HOST: Final = "site.example"
REPLY_TIMEOUT_S: Final = 20.0
_IDS = itertools.count(1)


class Reply(NamedTuple):
    """Hold the answer to a request."""

    status: int
    headers: Any
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


class CrashPartSend(NamedTuple):
    """Hold when a request with a part that ends the replicas reached one of them."""

    at_s: float
    part: str
    request_id: str


def make_configuration(
    version: int = 1, added_job_routes: int = 0, **changes: Any
) -> dict[str, Any]:
    """Return an operator's configuration; changes are applied to every route.

    The prefixes of added routes for jobs are those of added_prefix.
    """
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
    job = routes[-1]
    routes += [
        {**job, "name": f"added-{number}", "pathPrefix": added_prefix(number)}
        for number in range(1, added_job_routes + 1)
    ]
    return {
        "version": version,
        "routes": [{**common, **route, **changes} for route in routes],
        "services": [{"name": "app"}, {"name": "lm"}],
        "limits": limits,
    }


def added_prefix(number: int) -> str:
    """Return the prefix of an added route for jobs."""
    return f"/added-{number}/"


class SiteWorld:
    """Own the stand-ins and the processes of one test."""

    def __init__(self) -> None:
        self._folder = TemporaryDirectory()
        self._ports = PortReservations("127.0.0.1")
        self.store = StandinStore()
        self.store.put("config", "main", make_configuration())
        self.replicas = [StandinReplica(self.store, name) for name in ("lm", "lm", "app", "app")]
        # Parts of prompts that end the replicas, and when which of them reached a replica.
        self.crash_parts: set[str] = set()
        self.crash_part_sends: list[CrashPartSend] = []
        self.crash_times_s: list[float] = []
        self.part_crash_times_s: dict[str, list[float]] = defaultdict(list)
        self._restart_delay_s = 0.0
        self._restarts: list[Any] = []
        self.children: dict[str, ChildProcess] = {}
        # Settings of the protocol between processes, except its port.
        self.peer_settings: dict[str, Any] = {}
        # Settings of where calls wait for a free slot.
        self.placing_settings: dict[str, Any] = {}
        # Settings of how much memory an entry may use for its callers.
        self.memory_settings: dict[str, Any] = {}
        # Where the program is built and started as on the platform, instead of from its sources.
        self.checkout: Path | None = None
        # The API key that callers send, if any.
        self.api_key = ""
        self.caller_ports: dict[str, int] = {}
        self.readiness_ports: dict[str, int] = {}
        self.peer_ports: dict[str, int] = {}
        # The proxies around processes that a test may cut off, by name.
        self.proxies: dict[str, ProcessProxies] = {}
        self.agent = _Agent(reactor, connectTimeout=2, pool=_Pool(reactor, persistent=False))

    def replace_crashed(self, restart_delay_s: float = 0.0) -> None:
        """Start another replica for each that a request crashes; replicas keeps both."""
        self._restart_delay_s = restart_delay_s
        for replica in self.replicas:
            self._replace_on_crash(replica)

    def add_like(self, replica: StandinReplica) -> StandinReplica:
        """Start one more replica of the same service, which is also replaced after a crash."""
        other = StandinReplica(self.store, replica.service, replica.version)
        other.events_per_stream = replica.events_per_stream
        other.item_suffix = replica.item_suffix
        other.item_interval_s = replica.item_interval_s
        other.max_open = replica.max_open
        self.replicas.append(other)
        if replica.on_crash is not None:
            self._replace_on_crash(other)
        return other

    def _replace_on_crash(self, replica: StandinReplica) -> None:
        def replace() -> None:
            self.crash_times_s.append(reactor.seconds())
            for part in replica.ended_by:
                self.part_crash_times_s[part].append(reactor.seconds())
            if not self._restart_delay_s:
                self.add_like(replica)
                return
            self._restarts.append(reactor.callLater(self._restart_delay_s, self.add_like, replica))

        replica.on_crash = replace
        replica.crash_parts = self.crash_parts
        replica.on_crash_part = self._on_crash_part

    def _on_crash_part(self, part: str, request_id: str) -> None:
        self.crash_part_sends.append(CrashPartSend(reactor.seconds(), part, request_id))

    def crashed_count(self) -> int:
        """Return how many replicas a whole request has crashed, except those that were draining.

        A connection that is cut when a draining replica ends does not show that the request on
        it crashed the replica.
        """
        return sum(
            replica.crashed and not replica.draining and not replica.ended_by
            for replica in self.replicas
        )

    async def start(self, entries: int = 2, keepers: int = 1) -> None:
        """Start the processes, and wait until every entry is ready."""
        for number in range(entries):
            self.start_entry(f"entry-{number + 1}")
        for number in range(keepers):
            self.start_keeper(f"keeper-{number + 1}")
        for name in self.caller_ports:
            await self.wait_until_ready(name)
        for child in self.children.values():
            await self.wait_until(partial(_has_started, child), f"{child.name} starts")

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        self.caller_ports[name] = self._ports.reserve()
        self.readiness_ports[name] = self._ports.reserve()
        listen = {
            "callers": f"127.0.0.1:{self.caller_ports[name]}",
            "readiness": f"127.0.0.1:{self.readiness_ports[name]}",
        }
        # The first entry listens before its program is imported, as entries on the platform do.
        early_listen = ("--callers", listen["callers"]) if len(self.caller_ports) == 1 else ()
        self._start(name, "entry", {"listen": listen}, *early_listen)

    def restart(self, name: str) -> None:
        """Start a process again with the same settings and addresses."""
        path = Path(self._folder.name) / f"{name}.json"
        if name in self.caller_ports:
            address = f"127.0.0.1:{self.caller_ports[name]}"
            self._start_child(name, "entry", path, "--callers", address)
        else:
            self._start_child(name, "keeper", path)

    def write_configuration(
        self, version: int, teams: list[dict[str, Any]], **changes: Any
    ) -> None:
        """Write a configuration with teams into the store."""
        document = {**make_configuration(version, **changes), "tenants": teams}
        self.store.put("config", "main", document)

    async def wait_until_listening(self, port: int) -> None:
        """Wait until a port accepts connections."""

        def is_open() -> bool:
            with socket.socket() as sock:
                return sock.connect_ex(("127.0.0.1", port)) == 0

        for _ in range(1_000):
            if is_open():
                return
            await sleep(0.005)
        raise AssertionError(f"no process listens on port {port}")

    def start_keeper(self, name: str) -> None:
        """Start a keeper with a disk."""
        disk = Path(self._folder.name) / f"{name}-disk"
        disk.mkdir(exist_ok=True)
        self._start(name, "keeper", {"jobs": {"folder": str(disk)}})

    async def start_behind_proxies(self, name: str) -> None:
        """Start a keeper behind proxies, after all other processes."""
        self.peer_ports[name] = self._ports.reserve()
        others = {other: port for other, port in self.peer_ports.items() if other != name}
        store_port = int(self.store.address.rpartition(":")[2])
        proxies = ProcessProxies(store_port, self.peer_ports[name], others, self._ports.reserve)
        self.proxies[name] = proxies
        self.start_keeper(name)
        await self.wait_until(partial(_has_started, self.children[name]), f"{name} starts")

    def _start(self, name: str, role: str, role_settings: dict[str, Any], *arguments: str) -> None:
        proxies = self.proxies.get(name)
        store_address = f"127.0.0.1:{proxies.store.listen_port}" if proxies else self.store.address
        self.peer_ports.setdefault(name, self._ports.reserve())
        instance = {"id": name, "data_centre": "z1", "region": "r1", "host": "127.0.0.1"}
        settings = {
            "instance": instance,
            "store": {"address": store_address, "reads_per_s": 2000, "writes_per_s": 400},
            "stop": {"within_s": 8, "balancer_lag_ms": 500},
            "peer": {"port": self.peer_ports[name], **self.peer_settings},
            "allowance": {"window_s": 5, "overrun": 0.1, "slack": 20},
            "placing": self.placing_settings,
            "memory": self.memory_settings,
            **role_settings,
        }
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self._start_child(name, role, path, *arguments)

    def _start_child(self, name: str, role: str, path: Path, *arguments: str) -> None:
        if self.checkout is None:
            child = start_process(name, role, "--settings", str(path), *arguments)
        else:
            callers = f"127.0.0.1:{self.caller_ports.get(name, 0)}"
            child = start_command(name, *role_command(self.checkout, role, path, callers))
        self.children[name] = child

    async def wait_until_ready(self, name: str) -> None:
        """Wait until the readiness check of an entry succeeds."""

        async def ready() -> bool:
            try:
                reply = await self.get(self.readiness_ports[name], "/v1/readiness")
            except Exception:
                return False
            return reply.status == 200

        for _ in range(200):
            if await ready():
                return
            await sleep(0.05)
        raise AssertionError(f"{name} is not ready: {self.children[name].last_lines()}")

    async def get(self, port: int, path: str, **headers: str) -> Reply:
        """Send a GET."""
        return await self.send(port, "GET", path, b"", **headers)

    async def send(
        self, port: int, method: str, path: str, body: bytes = b"", **headers: str
    ) -> Reply:
        """Send a request as a caller does; an answer that breaks off raises an exception."""
        all_headers = {
            "Host": [HOST],
            "X-Deadline-Ms": ["4000"],
            "X-Request-Id": [new_request_id()],
        }
        if self.api_key:
            all_headers["Authorization"] = [f"Bearer {self.api_key}"]
        all_headers |= {name.replace("_", "-"): [value] for name, value in headers.items()}
        url = f"http://127.0.0.1:{port}{path}".encode()
        producer = _BodyProducer(body) if body else None
        pending = self.agent.request(method.encode(), url, Headers(all_headers), producer)
        pending.addTimeout(REPLY_TIMEOUT_S, reactor)
        response = await pending
        read = readBody(response)
        read.addTimeout(REPLY_TIMEOUT_S, reactor)
        return Reply(response.code, response.headers, await read)

    async def submit(
        self,
        port: int,
        job_id: str,
        items: int = 3,
        prompts: Sequence[Mapping[str, str]] = (),
        prefix: str = "/",
    ) -> Reply:
        """Submit a batch job on the route of a prefix; prompts are headers of its first items."""
        job_items = [
            {
                "id": f"{job_id}-{number}",
                "path": f"{prefix}job/{number}",
                "headers": dict(prompts[number]) if number < len(prompts) else {"X-Model": "m"},
                "body": base64.b64encode(b"ask").decode(),
                "tokens": 10,
            }
            for number in range(items)
        ]
        body = json.dumps({"items": job_items}).encode()
        path = f"{prefix}job/{job_id}"
        return await self.send(port, "POST", path, body, X_Request_Id=job_id)

    async def results(self, port: int, job_id: str, wanted: int) -> list[dict[str, str]]:
        """Read the results of a job from the start until there are as many as wanted."""
        received: list[dict[str, str]] = []
        for _ in range(40):
            path = f"/v1/lots/{job_id}?after={len(received)}"
            reply = await self.get(port, path, X_Wait_Ms="500")
            if reply.status == 200:
                received += reply.json()["results"]
                assert reply.json()["nextToken"] == len(received)
            if len(received) >= wanted:
                return received
            await sleep(0.1)
        lines = "\n".join(child.last_lines() for child in self.children.values())
        raise AssertionError(f"job {job_id} has fewer than {wanted} results\n{lines}")

    async def wait_until(self, holds: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds; what describes it in the error."""
        for _ in range(200):
            if holds():
                return
            await sleep(0.05)
        raise AssertionError(what)

    async def close(self) -> None:
        """Kill all processes and stop the stand-ins."""
        for child in self.children.values():
            child.send_signal(SIGKILL)
        for child in self.children.values():
            await child.ended
        for restart in self._restarts:
            if restart.active():
                restart.cancel()
        for proxies in self.proxies.values():
            proxies.cut()
        for replica in self.replicas:
            await replica.close()
        await self.store.close()
        await sleep(0)
        self._ports.close()
        self._folder.cleanup()

    async def stop(self, name: str) -> int | None:
        """Send SIGTERM, wait until the process has ended, and return its exit code."""
        self.children[name].send_signal(SIGTERM)
        await self.children[name].ended
        return self.children[name].exit_code


class _BodyProducer:
    """Write a request body that is in memory."""

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


def _has_started(child: ChildProcess) -> bool:
    return child.logged_count(events.PROCESS_STARTED.number) > 0


def new_request_id() -> str:
    """Return a fresh request id."""
    return f"{next(_IDS):016x}"


def sleep(seconds: float) -> Deferred[None]:
    """Return a Deferred that fires after some seconds."""
    return deferLater(reactor, seconds, lambda: None)


def start_task(coroutine: Any) -> Any:
    """Start a coroutine that runs concurrently with the test."""
    return ensureDeferred(coroutine)
