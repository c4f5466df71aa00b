"""Test that a pause of the process itself does not count as a timeout of the store.

Symptom: on a busy machine an operator's change is refused as unavailable or limited, although the
store works. Sequence: the process does not read its sockets for longer than a store call's
timeout, although the answer has arrived; then all open calls time out together, the store counts
as down for some ms (23 ms in one failing run), and later calls are rate-limited.
"""

import contextlib
import socket
import threading
import time
from typing import Any, cast

from result import Ok
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from papayapier.clock import real_clock
from papayapier.metrics import make_metrics
from papayapier.settings import PlatformSettings
from papayapier.store.http import http_store

REACTOR = cast(Any, reactor)
TIMEOUT_MS = 400
ANSWERED_S = 0.1
PAUSE_BEGINS_S = 0.05
PAUSE_S = 0.6
ANSWER = b'HTTP/1.1 200 OK\r\nETag: "7"\r\nContent-Length: 5\r\n\r\nvalue'


def answer_one(listener: socket.socket) -> None:
    """Answer one request in time from a thread, independent of the test's reactor."""
    conn, _ = listener.accept()
    with conn:
        conn.recv(65_536)
        time.sleep(ANSWERED_S)
        conn.sendall(ANSWER)
        with contextlib.suppress(OSError):
            conn.recv(65_536)


class Pausing:
    """Block the reactor in a read, as a long computation on received data does."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def fileno(self) -> int:
        return self._sock.fileno()

    def doRead(self) -> None:  # noqa: N802
        REACTOR.removeReader(self)
        time.sleep(PAUSE_S)

    def logPrefix(self) -> str:  # noqa: N802
        return "pausing"

    def connectionLost(self, _why: object) -> None:  # noqa: N802
        pass


class PausedTest(TestCase):
    timeout = 20

    def pause_in_a_read(self) -> None:
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        reader = Pausing(near)
        REACTOR.addReader(reader)
        REACTOR.callLater(PAUSE_BEGINS_S, far.send, b"x")

    async def test_an_answer_that_arrived_during_a_pause_is_used(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        threading.Thread(target=answer_one, args=(listener,), daemon=True).start()
        platform = PlatformSettings("127.0.0.1", listener.getsockname()[1], TIMEOUT_MS)
        store = http_store(REACTOR, real_clock(), platform, make_metrics())
        self.addCleanup(lambda: Deferred.fromCoroutine(cast(Any, store.close())))
        self.pause_in_a_read()
        got = await store.get("config/main")
        assert isinstance(got, Ok), got
        assert got.ok_value is not None
        assert got.ok_value.value == b"value"
