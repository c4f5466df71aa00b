"""Test the memory of an entry process with two thousand callers that read or send slowly."""

import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, gatherResults

from tests.raw_client import RawClient, connect
from tests.site.case import SiteCase
from tests.site.replicas import LARGE_PATH
from tests.site.world import HOST, new_request_id, sleep, start_task

if TYPE_CHECKING:
    from collections.abc import Callable

reactor: Any = installed

MACHINE_MB: Final = 200
READERS: Final = 1_000
SENDERS: Final = 1_000
BODY_BYTES: Final = 90_000
# The part of a body that is sent at once; the rest follows at a byte a second.
BODY_START: Final = b"y" * 60_000
REFUSED: Final = 503
CALLERS_PER_ROUND: Final = 40
ROUND_GAP_S: Final = 0.2
TIMED_CALLS: Final = 100
BYTE_GAP_S: Final = 1.0
KB_PER_MB: Final = 1_024


class SlowCallersTest(SiteCase):
    """Read answers and send bodies, together larger than the memory, at a byte a second."""

    timeout = 150

    async def _begin_reader(self) -> RawClient:
        client = await connect(self.port())
        client.shrink_receive_buffer()
        client.stop_reading()
        client.write(_request_head("GET", LARGE_PATH.decode()) + b"\r\n")
        return client

    async def _begin_sender(self) -> RawClient:
        client = await connect(self.port())
        client.write(_request_head("POST", "/look/1") + b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
        client.write(BODY_START)
        return client

    async def _connect_many(
        self, begin_caller: "Callable[[], Any]", number: int
    ) -> list[RawClient]:
        clients: list[RawClient] = []
        while len(clients) < number:
            clients += await gatherResults(
                [start_task(begin_caller()) for _ in range(CALLERS_PER_ROUND)]
            )
            await sleep(ROUND_GAP_S)
        return clients

    async def _read_and_send_slowly(
        self, readers: list[RawClient], senders: list[RawClient]
    ) -> None:
        while not self.stopping:
            for client in readers:
                _read_byte(client)
            for client in senders:
                if client.transport is not None and not client.received:
                    client.write(b"y")
            await sleep(BYTE_GAP_S)

    async def _response_times_ms(self) -> list[float]:
        """Return the response times of some small requests, shortest first."""
        durations_ms = []
        for _ in range(TIMED_CALLS):
            started_s = time.monotonic()
            reply = await self.world.get(self.port(), "/look/1")
            durations_ms.append((time.monotonic() - started_s) * 1_000)
            assert reply.status == 200, reply
        return sorted(durations_ms)

    def _peak_memory_mb(self) -> float:
        process: Any = self.world.children["entry-1"].transport
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
        (line,) = (text for text in status.splitlines() if text.startswith("VmHWM:"))
        return int(line.split()[1]) / KB_PER_MB

    async def _with_slow_callers(self) -> None:
        world = self.world
        world.memory_settings = {"machine_mb": MACHINE_MB}
        await world.start(entries=1, keepers=0)
        before_ms = await self._response_times_ms()
        initial_mb = self._peak_memory_mb()
        self.stopping = False
        readers = await self._connect_many(self._begin_reader, READERS)
        senders = await self._connect_many(self._begin_sender, SENDERS)
        slow_task = start_task(self._read_and_send_slowly(readers, senders))
        loaded_ms = await self._response_times_ms()
        peak_mb = self._peak_memory_mb()
        self.stopping = True
        await slow_task
        refused = [client.status() for client in senders if client.received]
        for client in (*readers, *senders):
            client.abort()
        print(f"{len(refused)} of {SENDERS} bodies refused")
        print(f"{initial_mb:.0f} to {peak_mb:.0f} MB")
        print(f"p50 {before_ms[50]:.1f} to {loaded_ms[50]:.1f} ms")
        print(f"p99 {before_ms[98]:.1f} to {loaded_ms[98]:.1f} ms")
        assert set(refused) == {REFUSED}
        assert peak_mb < MACHINE_MB

    def test_two_thousand_slow_callers_do_not_fill_the_memory(self) -> Any:
        # Failure: answers and bodies of slow callers fill a machine with 200 MB of memory, and the
        # entry process is killed.
        return Deferred.fromCoroutine(self._with_slow_callers())


def _request_head(method: str, path: str) -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 4000\r\n"
        f"X-Request-Id: {new_request_id()}\r\n"
    ).encode()


def _read_byte(client: RawClient) -> None:
    transport: Any = client.transport
    if not transport.connected:
        return
    try:
        transport.getHandle().recv(1)
    except OSError:
        return
