"""Stand-ins of the platform's store, of replicas and of clients, and starts of the real programs.

Only the standard library. Each process of the system has a loopback address of its own, as machines
do, and gets the settings that deploy/settings.json would be filled in with for a small deployment
(the bounds are those of the sheets sulina-passes and vltava-pier).

The store and the replicas do only what PROTOCOL.md says of sound ones; the cases add disruptions.
"""

import asyncio
import contextlib
import itertools
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
ROOT_PATH = "/v1/objects/"
PAGE_OBJECTS = 500
PAGE_BYTES = 1_000_000
DRAIN_S = 2.0
_IDS = itertools.count(1)


def new_id():
    return f"{time.time_ns() & 0xFFFFFFFF:08x}{next(_IDS):08x}"


class Record:
    """Write what happens to record.txt, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        print(text, flush=True)
        self.write(text)


async def read_request(reader):
    """Return method, target, headers and body of a request, or None at the end of a channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return method, target, headers, body


def answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accept channels, and serve one request at a time on each."""

    def __init__(self):
        self.writers = set()
        self._server = None
        self.address = ""

    async def listen(self, host="127.0.0.1"):
        self._server = await asyncio.start_server(self._serve, host, 0, backlog=1024)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def stop(self):
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self.on_request(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def on_request(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store, in the form objects.

    While is_down is set, every call gets 503, waiting watches are cut.
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 0
        self.is_down = False
        # How long the answer to a call takes; the call has its effect at once.
        self.answer_ms = lambda: 4
        self._changed = asyncio.Event()

    def put(self, kind, name, value, part="spec"):
        self.revision += 1
        old = self.objects.get((kind, name), {"status": None, "spec": None})
        created = old["metadata"]["createdRev"] if "metadata" in old else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "createdRev": created,
            "finalizers": [],
            "deleting": False,
        }
        self.objects[kind, name] = {**old, part: value, "metadata": meta}
        self._note(kind, self.objects[kind, name], False)
        return self.objects[kind, name]

    def remove(self, kind, name):
        old = self.objects.pop((kind, name), None)
        if old is not None:
            self.revision += 1
            self._note(kind, old, True)

    def go_down(self):
        self.is_down = True
        self._wake()

    def come_back(self):
        self.is_down = False

    def _note(self, kind, obj, removed):
        self.history.append((self.revision, kind, {"object": obj, "tombstone": removed}))
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def on_request(self, request, _reader, writer):
        method, target, _headers, body = request
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = unquote(parts.path).removeprefix(ROOT_PATH).partition("/")
        if "watch" in query and not name and not self.is_down:
            status, value = await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        else:
            status, value = self._perform(method, kind, name, query, body)
            await asyncio.sleep(self.answer_ms() / 1000)
        encoded = value if isinstance(value, bytes) else dump(value)
        writer.write(answer(status, {"Content-Type": "application/json"}, encoded))
        await writer.drain()

    async def _watch(self, kind, since, wait_ms):
        due = time.monotonic() + wait_ms / 1000
        while True:
            found = [event for rev, of, event in self.history if of == kind and rev > since]
            left = due - time.monotonic()
            if self.is_down:
                return 503, {}
            if found or left <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _perform(self, method, kind, name, query, body):
        if self.is_down:
            return 503, {}
        if method == "GET":
            if name:
                found = self.objects.get((kind, name))
                return (200, found) if found else (404, {})
            return 200, self._page(kind, query.get("after", ""))
        document = json.loads(body or b"{}")
        part = "spec"
        if not name:
            name = document["metadata"]["name"]
        if name.endswith("/status"):
            name, part = name.removesuffix("/status"), "status"
        current = self.objects.get((kind, name))
        if method == "POST":
            if current:
                return 409, current
            self.record.write(f"store: created {kind}/{name}")
            return 200, self.put(kind, name, document.get("spec"))
        if not current:
            return 404, {}
        wanted = document.get("metadata", {}).get("revision") or query.get("revision")
        if wanted is not None and int(wanted) != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, document.get(part), part)

    def _page(self, kind, after):
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items, size = [], 0
        for name in names:
            size += len(dump(self.objects[kind, name]))
            if items and (len(items) == PAGE_OBJECTS or size > PAGE_BYTES):
                break
            items.append(self.objects[kind, name])
        more = len(items) < len(names)
        return {"items": items, "truncated": more, "currentRev": self.revision}


class Proxy:
    """Pass channels on to the store; one that has gone silent carries nothing, and stays open."""

    def __init__(self, host, target):
        self._host, self._target = host, target
        self._server = None
        self._open = set()
        self.address = ""

    async def listen(self):
        self._server = await asyncio.start_server(self._pass_on, self._host, 0, backlog=256)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def go_silent(self):
        """Let all channels that are open now go silent for good; new ones work."""
        silenced = [channel for channel in self._open if not channel["silent"]]
        for channel in silenced:
            channel["silent"] = True
        return len(silenced)

    def stop(self):
        self._server.close()
        for channel in list(self._open):
            for writer in channel["writers"]:
                writer.transport.abort()

    async def _pass_on(self, reader, writer):
        host, _, port = self._target.rpartition(":")
        channel = {"silent": False, "writers": [writer]}
        self._open.add(channel := Channel(channel))
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            channel["writers"].append(far_writer)
            there = self._copy(channel, reader, far_writer)
            back = self._copy(channel, far_reader, writer)
            await asyncio.gather(there, back)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(channel)
            for end in channel["writers"]:
                end.transport.abort()

    async def _copy(self, channel, reader, writer):
        while True:
            data = await reader.read(65536)
            if channel["silent"]:
                if not data:
                    return
                continue
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class Channel(dict):
    __hash__ = object.__hash__


class RawJson:
    """Hold JSON text that is passed on as it was written."""

    def __init__(self, text):
        self.text = text


def dump(value):
    """Encode JSON; RawJson is copied as text."""
    raws = []

    def keep(raw):
        raws.append(raw.text)
        return f"@raw{len(raws) - 1}@"

    text = json.dumps(value, default=keep, separators=(",", ":"))
    for number, raw in enumerate(raws):
        text = text.replace(f'"@raw{number}@"', raw)
    return text.encode()


class Replica(Server):
    """One replica: runs requests in slots, and drops a request when its channel closes.

    It registers itself, reports draining before a planned shutdown, serves on for drainMs and a
    little longer, and then exits.
    """

    def __init__(self, world, service, events=20, interval_s=0.02):
        super().__init__()
        self.world = world
        self.service = service
        self.id = f"i-{new_id()[8:]}{len(world.replicas):02d}"
        self.events = events
        self.interval_s = interval_s
        self.state = "new"
        self.drained_at = None
        self.is_gone = False
        self.open = 0
        self.slots = 8
        self.runs = []
        world.replicas.append(self)

    async def start(self):
        await self.listen()
        self.register("ready")

    def register(self, state):
        self.state = state
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "callSeq": 0,
        }
        self.world.store.put("servers", self.id, entry)
        self.world.record.write(f"replica {self.id} ({self.service}): listed as {state}")

    async def drain_and_leave(self, longer_s):
        """Leave as planned; the store's acceptance of the report is at drained_at."""
        self.register("draining")
        self.drained_at = time.monotonic()
        await asyncio.sleep(DRAIN_S + longer_s)
        self.world.store.remove("servers", self.id)
        self.is_gone = True
        self.stop()
        self.world.record.write(f"replica {self.id}: has left, {self.open} requests open")

    async def on_request(self, request, reader, writer):
        method, target, headers, body = request
        rid = headers.get("x-request-id", "")
        echo = {"X-Request-Id": rid}
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(answer(421, {**echo, "X-Not-Executed": "1"}, b""))
            return
        if self.open >= self.slots + 24:
            writer.write(answer(503, {**echo, "X-Not-Executed": "1"}, b""))
            return
        self.runs.append((time.monotonic(), rid))
        self.world.on_run(self, rid, target, headers, body)
        self.open += 1
        try:
            await self._run(target, headers, rid, writer)
        finally:
            self.open -= 1

    async def _run(self, target, headers, rid, writer):
        signed = {
            "X-Request-Id": rid,
            "X-Server-Stamp": f"{self.id}.{rid}",
            "X-Server-Load": f"{min(self.open, self.slots)},0,{self.slots}",
        }
        if "/stream/" not in target and "/job/" not in target:
            await asyncio.sleep(0.03)
            writer.write(answer(200, signed, b"whole answer to " + rid.encode()))
            await writer.drain()
            return
        after = int(headers.get("last-event-id", 0))
        lines = ["HTTP/1.1 200 X", "Transfer-Encoding: chunked", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in signed.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.interval_s)
            if writer.transport.is_closing():
                return
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def make_configuration():
    common = {"host": HOST, "timeoutMs": 4000, "sloMs": 400, "priority": 0, "maxAttempts": 2}
    job = {"sloMs": 400, "runTargetMs": 18000, "maxWaitS": 60, "maxAttempts": 3, "priority": 2}
    routes = [
        {"name": "look", "kind": "idempotent", "pathPrefix": "/look/", "service": "app"},
        {"name": "ask", "kind": "streaming", "pathPrefix": "/stream/once/", "service": "lm"},
        {"name": "job", "kind": "batch_job", "pathPrefix": "/job/", "service": "lm", **job},
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": 1,
        "routes": [{**common, **route} for route in routes],
        "services": [{"name": "app"}, {"name": "lm"}],
        "limits": limits,
    }


class Reply:
    def __init__(self, status, headers, body, whole, why=""):
        self.status, self.headers, self.body, self.whole, self.why = (
            status,
            headers,
            body,
            whole,
            why,
        )

    def json(self):
        return json.loads(self.body)


class Process:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, world, name, role, ip):
        self.world, self.name, self.role, self.ip = world, name, role, ip
        self.settings = world.folder / f"{name}.json"
        self.log = world.folder / f"{name}.log"
        self.front = self.ready = ""
        self.child = None

    async def start(self):
        words = ["python3", "-P", "-m", "papayapier", self.role, "--settings", str(self.settings)]
        if self.role == "entry":
            words += ["--callers", self.front]
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log, "ab") as out:
            self.child = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=out, stderr=out
            )
        self.world.record.write(f"{self.name}: started")

    def kill(self, number=signal.SIGKILL):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)
            self.world.record.write(f"{self.name}: signal {number}")

    def lines(self, *words):
        """Return the lines of its log that contain all words."""
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        return [line for line in text.splitlines() if all(word in line for word in words)]


class World:
    """Own the stand-ins and the processes of one run."""

    def __init__(self, folder, status_s=120):
        self.record = Record(Path(folder) / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="papayapier-review-")
        self.folder = Path(self._temporary.name)
        self.status_s = status_s
        self.store = Store(self.record)
        self.replicas = []
        self.processes = {}
        self.tasks = []
        # Every run of a request at a replica: time, replica, request id, target.
        self.runs = []
        self._peer_port = 0
        # Proxies between single processes and the store, by the name of the process.
        self.proxies = {}

    def on_run(self, replica, rid, target, headers, _body):
        self.runs.append((time.monotonic(), replica, rid, target))
        last = headers.get("last-event-id", "")
        self.record.write(f"run: {rid} {target} at {replica.id} {replica.state} after={last}")

    async def start(self, entries=2, keepers=3, lm=3, app=3, proxied=(), **replica_options):
        await self.store.listen()
        self.store.put("config", "main", make_configuration())
        for service, count in (("lm", lm), ("app", app)):
            for _ in range(count):
                await Replica(self, service, **replica_options).start()
        self._peer_port = free_port("127.0.0.1")
        names = [(f"entry-{n}", "entry") for n in range(1, entries + 1)]
        names += [(f"keeper-{n}", "keeper") for n in range(1, keepers + 1)]
        base = 16 + os.getpid() % 200
        for number, (name, role) in enumerate(names, 1):
            process = Process(self, name, role, f"127.77.{base}.{number}")
            if role in proxied:
                self.proxies[name] = Proxy(process.ip, self.store.address)
                await self.proxies[name].listen()
            self._write_settings(process)
            self.processes[name] = process
            await process.start()
        await self.wait_for(self._all_ready, 15, "every entry is ready")

    def _write_settings(self, process):
        proxy = self.proxies.get(process.name)
        instance = {"id": process.name, "data_centre": "zone-a", "region": "region-a"}
        settings = {
            "instance": {**instance, "host": process.ip},
            "store": {
                "address": proxy.address if proxy else self.store.address,
                "value_bytes": 1048576,
                "reads_per_s": 2000,
                "writes_per_s": 400,
            },
            "stop": {"within_s": 8},
            "jobs": {"disk_losses": 1, "keep_s": self.status_s},
            "memory": {"machine_mb": 300},
            "placing": {"queue": True},
            "peer": {"port": self._peer_port, "early_calls": 1, "early_bytes_per_s": 80000},
            "upstream": {"connect_timeout_ms": 400, "first_byte_ms": 4000, "progress_ms": 1000},
        }
        if process.role == "entry":
            process.front = f"{process.ip}:{free_port(process.ip)}"
            process.ready = f"{process.ip}:{free_port(process.ip)}"
            settings["listen"] = {"callers": process.front, "readiness": process.ready}
            settings["peer"] |= {"sparse_heartbeat_ms": 1000, "picks": 3, "bytes_per_s": 12000}
        else:
            disk = self.folder / f"{process.name}-disk"
            disk.mkdir()
            settings["jobs"]["folder"] = str(disk)
            settings["peer"] |= {
                "heartbeat_ms": 200,
                "sparse_heartbeat_ms": 400,
                "hub_heartbeat_ms": 500,
                "bytes_per_s": 300000,
            }
        process.settings.write_text(json.dumps(settings))

    async def _all_ready(self):
        for process in self.processes.values():
            if process.role == "entry" and not await self.is_ready(process):
                return False
        return True

    async def is_ready(self, process):
        reply = await send(process.ready, "GET", "/v1/readiness", timeout_s=1)
        return reply.status == 200

    async def wait_for(self, holds, within_s, what):
        due = time.monotonic() + within_s
        while time.monotonic() < due:
            result = holds()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"not within {within_s} s: {what}")

    def entries(self):
        return [process for process in self.processes.values() if process.role == "entry"]

    def keepers(self):
        return [process for process in self.processes.values() if process.role == "keeper"]

    async def submit(self, entry, job_id, items):
        """Submit a batch job; clients send it once more at another node after a failure."""
        listed = [
            {
                "id": f"{job_id[:12]}{number:04x}",
                "path": f"/job/{job_id}/{number}",
                "headers": {"X-Model": "m", "X-Token-Count": "300,40"},
                "body": "q83vEjRWeJA=",
                "tokens": 340,
            }
            for number in range(items)
        ]
        body = json.dumps({"items": listed}).encode()
        headers = {"X-Request-Id": job_id, "Content-Type": "application/json"}
        return await send(entry.front, "POST", f"/job/{job_id}", body, headers)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            if process.child is not None:
                await process.child.wait()
        for replica in self.replicas:
            if not replica.is_gone:
                replica.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        self.store.stop()
        self._temporary.cleanup()


class CouldNotRun(Exception):
    """The case could not be played."""


async def send(address, method, path, body=b"", headers=None, timeout_s=5.0):
    """Send one request on a new channel, and read the whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
            lines += ["Connection: close", "X-Deadline-Ms: 4000"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return await read_reply(reader)
    except TimeoutError:
        return Reply(0, {}, b"", False, "no answer in time")
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as exc:
        return Reply(0, {}, b"", False, repr(exc))
    finally:
        if writer is not None:
            writer.transport.abort()


async def read_reply(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(re.match(r"HTTP/1\.1 (\d+)", head).group(1))
    headers = {}
    for line in head.split("\r\n")[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body, whole, why = b"", True, ""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).strip(), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        whole, why = False, repr(exc)
    return Reply(status, headers, body, whole, why)


def free_port(host):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        return sock.getsockname()[1]


def run_case(folder, play, **options):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        world = World(folder, **options)
        try:
            async with asyncio.timeout(112):
                broken = await play(world, trouble)
        except (CouldNotRun, TimeoutError) as exc:
            world.record.say(f"could not run: {exc!r}")
            for process in world.processes.values():
                for line in process.lines()[-5:]:
                    world.record.write(f"{process.name}: {line[:300]}")
            return 2
        finally:
            await world.close()
        world.record.say("BROKEN: " + broken if broken else "held")
        return 1 if broken else 0

    sys.exit(asyncio.run(whole()))
