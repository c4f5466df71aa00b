"""Test on real processes that a replica whose answers never end costs its callers little."""

import re
from pathlib import Path
from typing import Any, Final

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, gatherResults

from tests.endless_server import ANSWERS, REJECTED, STATUS, TRICKLES, EndlessServer
from tests.site.case import SiteCase
from tests.site.replicas import EVENTS_PER_STREAM, SLOTS
from tests.site.world import sleep, start_task

reactor: Any = installed

CALLERS: Final = 16
PLAY_S: Final = 4.0
# The memory of the smallest entries on the platform.
ENTRY_BYTES: Final = 160_000_000
PEAK_MEMORY: Final = re.compile(r"VmHWM:\s+(\d+) kB")
BYTES_PER_KB: Final = 1_024


class EndlessAnswersTest(SiteCase):
    """List one more replica of each service, which answers nothing but bytes without end."""

    async def _play(self, head: bytes, piece: bytes, pause_s: float = 0.0) -> None:
        world = self.world
        server = EndlessServer()
        server.play(head, piece, pause_s)
        port = reactor.listenTCP(0, server, interface="127.0.0.1")
        address = f"127.0.0.1:{port.getHost().port}"
        entry = {"address": address, "zone": "z1", "slots": SLOTS, "state": "ready"}
        try:
            await world.start(entries=1, keepers=1)
            for service in ("app", "lm"):
                name = f"i-endless-{service}"
                world.store.put("servers", name, {**entry, "service": service})
            await sleep(0.5)
            assert (await world.submit(self.port(), "job-1", 6)).status == 202
            end_s = reactor.seconds() + PLAY_S
            calls = [start_task(self._call(number, end_s)) for number in range(CALLERS)]
            for statuses in await gatherResults(calls):
                assert statuses
                assert set(statuses) == {200}
            results = await world.results(self.port(), "job-1", 6)
            assert {result["state"] for result in results} == {"completed"}
            assert server.connections
            for child in world.children.values():
                assert peak_memory(child.pid()) < ENTRY_BYTES, child.last_lines()
        finally:
            server.close()
            await port.stopListening()

    async def _call(self, number: int, end_s: float) -> list[int]:
        """Send requests that may be repeated, one after the other."""
        statuses = []
        while reactor.seconds() < end_s:
            path = "/stream/again/1" if number % 2 else "/look/1"
            reply = await self.world.get(self.port(), path)
            statuses.append(reply.status)
            if reply.status != 200:
                continue
            if number % 2:
                assert reply.body.count(b"data: piece") == EVENTS_PER_STREAM
            else:
                assert reply.body == b"whole answer"
        return statuses

    def test_header_lines_without_end(self) -> Any:
        # Failure: the memory of an entry grows beyond that of its machine, so that it ends with all
        # its requests.
        return Deferred.fromCoroutine(self._play(*ANSWERS["header lines"]))

    def test_interim_answers_without_end(self) -> Any:
        # Failure: an entry's core is spent on one replica, and requests run out of their time.
        return Deferred.fromCoroutine(self._play(*ANSWERS["interim answers"]))

    def test_rejections_without_end(self) -> Any:
        # Failure: bodies that nobody reads fill the memory of an entry.
        return Deferred.fromCoroutine(self._play(*ANSWERS["a rejection"]))

    def test_rejections_that_trickle_without_end(self) -> Any:
        # Failure: requests of which it is known that they have not run wait until they are due.
        head = REJECTED + b"Content-Length: 1000\r\n\r\n"
        return Deferred.fromCoroutine(self._play(head, b"x", pause_s=0.2))

    def test_events_without_end(self) -> Any:
        # Failure: an event that never ends fills the memory of an entry or a keeper.
        return Deferred.fromCoroutine(self._play(*ANSWERS["one event"]))

    def test_a_head_that_trickles_without_end(self) -> Any:
        # Failure: requests that may be repeated wait for such a replica until they are due.
        return Deferred.fromCoroutine(self._play(STATUS, b"X-Note:\r", pause_s=0.2))

    def test_a_body_that_trickles_without_end(self) -> Any:
        # Failure: requests that may be repeated wait for such a replica until they are due, and an
        # item for a minute.
        return Deferred.fromCoroutine(self._play(*TRICKLES["a body"], pause_s=0.2))

    def test_an_event_that_trickles_without_end(self) -> Any:
        # Failure: a stream that may be resumed is cut off at its due time.
        return Deferred.fromCoroutine(self._play(*TRICKLES["an event"], pause_s=0.2))

    def test_blank_lines_that_trickle_without_end(self) -> Any:
        # Failure: what ends an event is taken for one, though there is nothing before it.
        return Deferred.fromCoroutine(self._play(*TRICKLES["blank lines"], pause_s=0.2))

    def test_comments_that_trickle_without_end(self) -> Any:
        # Failure: comments, which nobody reads, keep a stream open until its due time.
        return Deferred.fromCoroutine(self._play(*TRICKLES["comments"], pause_s=0.2))


def peak_memory(pid: int) -> int:
    """Return the largest resident size of a process so far, in bytes."""
    found = PEAK_MEMORY.search(Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) * BYTES_PER_KB
