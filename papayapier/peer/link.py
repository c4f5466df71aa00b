"""Join pynng sockets to the twisted reactor.

An Inbox is the only listening socket of an instance; an Outbox is the connection to one
peer. Each direction has its own connection: Push0 and Pull0 need no answer, so a slow or
lost receiver never blocks the sender, and an instance that suspects its outgoing connection
can replace it alone. nng signals through descriptors that the reactor polls, and every call
here is non-blocking, so this module needs no thread.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple, Protocol

import pynng
from result import Err, Ok, Result
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from papayapier.lasting_tasks import call_guarded

MAX_FRAME_BYTES: Final = 4_000_000
MAX_QUEUED_FRAMES: Final = 512
MAX_QUEUED_BYTES: Final = 8_000_000
FRAMES_PER_WAKE: Final = 64
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 1_000


class Poller(Protocol):
    """Describe the part of a twisted reactor that polls descriptors."""

    def addReader(self, reader: Any) -> object:  # noqa: N802
        """Poll a descriptor."""

    def removeReader(self, reader: Any) -> object:  # noqa: N802
        """Stop polling a descriptor."""


class Outgoing(NamedTuple):
    """Hold an encoded frame; a queue keeps only the newest replaceable frame."""

    data: bytes
    replaceable: bool


@implementer(IReadDescriptor)
class _Descriptor:
    """Let the reactor poll a descriptor of nng and call back when it is ready."""

    def __init__(self, fileno: int, ready: Callable[[], None]) -> None:
        self._fileno = fileno
        self._ready = ready

    def fileno(self) -> int:
        return self._fileno

    def doRead(self) -> None:  # noqa: N802
        self._ready()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Do nothing: nng owns the descriptor until its socket is closed."""

    def logPrefix(self) -> str:  # noqa: N802
        return "peer"


class Inbox:
    """Receive the frames of all peers on one listening address."""

    def __init__(self, reactor: Poller, receive: Callable[[bytes], None]) -> None:
        self._reactor = reactor
        self._receive = receive
        self._socket: Any = None
        self._descriptor: Any = None

    def listen(self, host: str, port: int) -> Result[int, str]:
        """Listen and return the port in use; with port 0 the system chooses it."""
        socket = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES, recv_buffer_size=FRAMES_PER_WAKE)
        # The connection of a peer that disappeared without closing it would otherwise stay
        # open for ever; after many replacements the instance would run out of descriptors.
        socket.tcp_keepalive = True
        try:
            listener = socket.listen(f"tcp://{host}:{port}")
        except pynng.NNGException as exc:
            socket.close()
            return Err(f"cannot listen for peers on {host}:{port}: {exc}")
        self._socket = socket
        self._descriptor = _Descriptor(socket.recv_fd, self._read)
        self._reactor.addReader(self._descriptor)
        return Ok(_port_of(listener))

    def close(self) -> None:
        """Stop listening and drop all incoming connections."""
        if self._socket is None:
            return
        self._reactor.removeReader(self._descriptor)
        self._socket.close()
        self._socket = None

    def _read(self) -> None:
        # The number of frames per wake-up is bounded so that a flood of frames does not keep
        # the reactor from answering callers. Unread frames keep the descriptor readable.
        for _ in range(FRAMES_PER_WAKE):
            if self._socket is None:
                return
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            # The reactor stops polling a descriptor whose reader raises an error.
            call_guarded("frame of a peer", self._receive, data)


class Outbox:
    """Send frames to one peer, never blocking, through a bounded queue."""

    def __init__(self, reactor: Poller, host: str, port: int) -> None:
        self._reactor = reactor
        self._queue: deque[Outgoing] = deque()
        self._queued_bytes = 0
        self._waiting = False
        self._socket: Any = pynng.Push0(
            send_buffer_size=1,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._socket.tcp_nodelay = True
        self._socket.dial(f"tcp://{host}:{port}", block=False)
        self._descriptor = _Descriptor(self._socket.send_fd, self._flush)

    def send(self, frame: Outgoing) -> bool:
        """Send or queue a frame; return False if the queue has no capacity for it."""
        if not self._ensure_capacity(frame):
            return False
        self._queue.append(frame)
        self._queued_bytes += len(frame.data)
        if not self._waiting:
            self._flush()
        return True

    def queued(self) -> int:
        """Return the number of frames queued for the connection."""
        return len(self._queue)

    def close(self) -> None:
        """Close the connection; what is still queued is lost."""
        if self._socket is None:
            return
        self._wait(False)
        self._socket.close()
        self._socket = None
        self._queue.clear()

    def _ensure_capacity(self, frame: Outgoing) -> bool:
        if frame.replaceable:
            self._drop_replaceable()
        if self._fits(frame):
            return True
        self._drop_replaceable()
        return self._fits(frame)

    def _fits(self, frame: Outgoing) -> bool:
        enough_bytes = self._queued_bytes + len(frame.data) <= MAX_QUEUED_BYTES
        return self._socket is not None and enough_bytes and len(self._queue) < MAX_QUEUED_FRAMES

    def _drop_replaceable(self) -> None:
        remaining = [frame for frame in self._queue if not frame.replaceable]
        self._queue = deque(remaining)
        self._queued_bytes = sum(len(frame.data) for frame in remaining)

    def _flush(self) -> None:
        while self._queue:
            try:
                self._socket.send(self._queue[0].data, block=False)
            except pynng.TryAgain:
                self._wait(True)
                return
            self._queued_bytes -= len(self._queue.popleft().data)
        self._wait(False)

    def _wait(self, waiting: bool) -> None:
        """Poll the descriptor only while frames are queued: an idle one is always ready."""
        if waiting == self._waiting:
            return
        self._waiting = waiting
        if waiting:
            self._reactor.addReader(self._descriptor)
        else:
            self._reactor.removeReader(self._descriptor)


def _port_of(listener: Any) -> int:
    """Return a listener's port; only nng's text form of the address has host byte order."""
    return int(str(listener.local_address).rpartition(":")[2])
