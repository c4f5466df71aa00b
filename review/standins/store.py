"""Stand in for the platform's metadata store, as PROTOCOL.md describes it (form: objects)."""

import asyncio
import contextlib
import json

from review.standins.http import answer_bytes, read_request

ROOT = "/v1/objects/"
VALUE_BYTES = 1_048_576


def encode(value):
    """Encode JSON without escaping what is not ASCII, which gives the smallest object."""
    return json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()


class Store:
    """Hold the objects; set is_down to answer every call with 503, which means: nothing done."""

    def __init__(self, record):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.is_down = False
        self.too_large = 0
        self._record = record
        self._changed = asyncio.Condition()
        self._servers = []
        self.address = None
        # How everybody but the viewers of start_view sees the store; see network.Ports.
        self.others_view = None

    async def start(self):
        self.address = await self._listen(lambda: self.others_view)

    async def start_view(self, view):
        """Serve the store to one viewer at another address, which is returned."""
        return await self._listen(lambda: view)

    async def _listen(self, get_view):
        async def serve(reader, writer):
            await self._serve(reader, writer, get_view)

        self._servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))
        return self._servers[-1].sockets[0].getsockname()[:2]

    def close(self):
        for server in self._servers:
            server.close()

    async def _wake(self):
        async with self._changed:
            self._changed.notify_all()

    def set_down(self, is_down):
        self.is_down = is_down
        self._record(f"store: {'answers 503 to everybody' if is_down else 'serves again'}")
        asyncio.ensure_future(self._wake())

    def put(self, kind, name, part, value):
        """Write one part of an object, as the operator, a replica or the system does."""
        old = self.objects.get((kind, name))
        self.revision += 1
        created = old["metadata"]["createdRev"] if old else self.revision
        stored = {"spec": None, "status": None, **(old or {}), part: value}
        stored["metadata"] = {
            "name": name,
            "revision": self.revision,
            "createdRev": created,
            "finalizers": [],
            "deleting": False,
        }
        self.objects[kind, name] = stored
        self.history.append((self.revision, kind, stored, False))
        asyncio.ensure_future(self._wake())
        return stored

    def remove(self, kind, name):
        """Remove an object, if it is there."""
        old = self.objects.pop((kind, name), None)
        if old is not None:
            self.revision += 1
            self.history.append((self.revision, kind, old, True))
            asyncio.ensure_future(self._wake())

    def names(self, kind):
        return sorted(name for known, name in self.objects if known == kind)

    async def _serve(self, reader, writer, get_view):
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(request, get_view())
                writer.write(
                    answer_bytes(status, encode(body), {"Content-Type": "application/json"})
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request, view):
        if self.is_down:
            return 503, {}
        kind, _, name = request.path.removeprefix(ROOT).partition("/")
        status, body = await self._perform(request, kind, name, view)
        return status, body if view is None else _shown(view, kind, body)

    async def _perform(self, request, kind, name, view):
        if request.method == "GET":
            if name:
                stored = self.objects.get((kind, name))
                return (200, stored) if stored else (404, {})
            if "watch" in request.query:
                since, wait_ms = int(request.query["watch"]), int(request.query["waitMs"])
                return await self._watch(kind, since, wait_ms)
            return self._list(kind, request.query.get("after", ""))
        return self._write(request, kind, name, view)

    def _list(self, kind, after):
        items, size, truncated = [], 0, False
        for name in self.names(kind):
            if name <= after:
                continue
            size += len(encode(self.objects[kind, name]))
            if items and (len(items) >= 500 or size > 1_000_000):
                truncated = True
                break
            items.append(self.objects[kind, name])
        return 200, {"items": items, "truncated": truncated, "currentRev": self.revision}

    def _events(self, kind, since):
        return [
            {"object": stored, "tombstone": removed}
            for revision, known, stored, removed in self.history
            if known == kind and revision > since
        ]

    async def _watch(self, kind, since, wait_ms):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.001, wait_ms / 1000)), self._changed:
                while not self.is_down and not self._events(kind, since):
                    await self._changed.wait()
        if self.is_down:
            return 503, {}
        return 200, {"events": self._events(kind, since), "currentRev": self.revision}

    def _write(self, request, kind, name, view):
        document = json.loads(request.body or b"{}")
        name, _, part = name.partition("/")
        name = name or document["metadata"]["name"]
        current = self.objects.get((kind, name))
        if request.method == "POST" and current:
            return 409, current
        if request.method != "POST" and not current:
            return 404, {}
        wanted = document.get("metadata", {}).get("revision", request.query.get("revision"))
        if current and wanted is not None and int(wanted) != current["metadata"]["revision"]:
            return 409, current
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        part = part or "spec"
        value = document.get(part)
        if view is not None:
            value = view.take(kind, value)
        # "Each object consists of metadata ..., spec and status, and is valueBytes at most."
        size = len(encode({**(current or {"metadata": {"name": name}}), part: value}))
        if size > VALUE_BYTES:
            self.too_large += 1
            if self.too_large <= 20 or self.too_large % 50 == 0:
                self._record(
                    f"store: refuses {kind}/{name}: {size} bytes, valueBytes is {VALUE_BYTES}"
                    f" (refusal {self.too_large})"
                )
            return 413, {}
        if current and current[part] == value:
            return 200, current
        return 201 if request.method == "POST" else 200, self.put(kind, name, part, value)


def _shown(view, kind, body):
    """Return the body of an answer as a viewer is to see it."""
    if "items" in body:
        return {**body, "items": [view.show(kind, stored) for stored in body["items"]]}
    if "events" in body:
        events = [{**event, "object": view.show(kind, event["object"])} for event in body["events"]]
        return {**body, "events": events}
    return view.show(kind, body) if "metadata" in body else body
