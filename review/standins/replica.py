"""Stand in for a replica, as PROTOCOL.md describes it."""

import asyncio
import contextlib

from review.standins.http import answer_bytes, head_bytes, read_request


class Replica:
    """Serve one replica: `slots` requests at once, a queue, event streams and plain answers.

    make_events returns the data of a request's events; event_s is the time that one takes.
    """

    def __init__(self, store, record, service, name, slots, make_events, event_s, work_s=0.05):
        self.service, self.name, self.slots = service, name, slots
        self.runs = []  # (time, request id, method and path), where a request began to run
        self.arrivals = []  # (time, request id, path, on a channel opened at)
        self.busy_until = 0.0
        self.running = 0
        self.ended = False
        self.work_s = work_s
        self._store, self._record = store, record
        self._make_events, self._event_s = make_events, event_s
        self._places = asyncio.Semaphore(slots)
        self._writers = set()
        self._server = None
        self.address = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = (host, port)
        self.register("ready")

    def register(self, state):
        """Write the entry; the store's acceptance is the acknowledgement."""
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z1",
            "version": "1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "callSeq": 0,
        }
        self._store.put("servers", self.name, "spec", entry)

    def end(self):
        """Exit: close the listener and all channels."""
        self.ended = True
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        if not self.ended:
            self._server.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        opened = asyncio.get_running_loop().time()
        try:
            while (request := await read_request(reader)) is not None:
                running = asyncio.ensure_future(self._run(request, writer, opened))
                # A replica drops a request when its channel closes.
                while not running.done():
                    await asyncio.wait([running], timeout=0.05)
                    if reader.at_eof() or writer.is_closing():
                        running.cancel()
                        break
                with contextlib.suppress(asyncio.CancelledError):
                    await running
                if reader.at_eof() or writer.is_closing():
                    break
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, request, writer, opened):
        now = asyncio.get_running_loop().time
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"", {**headers, "X-Not-Executed": "1"}))
            return
        self.arrivals.append((now(), request_id, request.path, opened))
        async with self._places:
            self.running += 1
            try:
                self.runs.append((now(), request_id, f"{request.method} {request.path}"))
                headers["X-Server-Stamp"] = f"{self.name}.{request_id}"
                headers["X-Server-Load"] = f"{self.running},0,{self.slots}"
                if self._make_events is None:
                    await asyncio.sleep(self.work_s)
                    writer.write(answer_bytes(200, f"answer to {request_id}".encode(), headers))
                else:
                    await self._stream(request, writer, headers)
                await writer.drain()
            finally:
                self.running -= 1
                self.busy_until = now()

    async def _stream(self, request, writer, headers):
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = self._make_events(request_id=headers["X-Request-Id"])
        headers = {
            **headers,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head_bytes(200, headers))
        begun, loop = asyncio.get_running_loop().time(), asyncio.get_running_loop()
        for number in range(first, len(events) + 1):
            due = begun + (number - first + 1) * self._event_s
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            event = f"id: {number}\ndata: {events[number - 1]}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def record_runs(record, replicas):
    """Record what ran where."""
    runs = sorted((at, run, what, each.name) for each in replicas for at, run, what in each.runs)
    for at, request_id, what, name in runs:
        record(f"ran at {name} from {record.since(at):.3f}: {request_id} {what}")
