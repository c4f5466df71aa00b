"""Start the processes of a case, read what they print, signal and end them."""

import sys
from collections import deque
from pathlib import Path
from signal import Signals
from typing import Any, Final, cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

ROOT: Final = Path(__file__).resolve().parents[2]
KEPT_LINES: Final = 60
STDERR: Final = 2


class Child(ProcessProtocol):
    """Hold one running process: what it printed, and how it ended."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.exit_code: int | None = None
        self.ended: Deferred[None] = Deferred()
        self.documents: list[dict[str, Any]] = []
        self.printed = ""
        self.tail: deque[str] = deque(maxlen=KEPT_LINES)
        self._rest = {1: b"", STDERR: b""}
        self._waiters: list[tuple[str, Deferred[dict[str, Any]]]] = []

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        *lines, self._rest[childFD] = (self._rest[childFD] + data).split(b"\n")
        for line in lines:
            self._take(line.decode("utf-8", "replace"))

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        code = cast(Any, reason.value).exitCode
        self.exit_code = -1 if code is None else code
        self.ended.callback(None)
        for _, waiter in self._waiters:
            waiter.errback(RuntimeError(f"{self.name} ended: {self.last_lines()}"))
        self._waiters.clear()

    def document_with(self, key: str) -> Deferred[dict[str, Any]]:
        """Wait for the first printed JSON object that has a key."""
        waiter: Deferred[dict[str, Any]] = Deferred()
        found = next((doc for doc in self.documents if key in doc), None)
        if found is not None:
            waiter.callback(found)
        elif self.exit_code is not None:
            waiter.errback(RuntimeError(f"{self.name} ended: {self.last_lines()}"))
        else:
            self._waiters.append((key, waiter))
        return waiter

    def signal(self, number: Signals) -> None:
        """Send a signal; nothing happens when the process has ended."""
        if self.exit_code is not None:
            return
        try:
            cast(Any, self.transport).signalProcess(number)
        except ProcessExitedAlready:
            return

    def logged(self, event: int) -> int:
        """Return how often a numbered event was logged."""
        return sum(document.get("event") == event for document in self.documents)

    def last_lines(self) -> str:
        """Return the last printed lines."""
        return "\n".join(self.tail)

    def _take(self, line: str) -> None:
        self.tail.append(line)
        self.printed += line + "\n"
        document = _document(line)
        if document is None:
            return
        self.documents.append(document)
        for key, waiter in list(self._waiters):
            if key in document:
                self._waiters.remove((key, waiter))
                waiter.callback(document)


def start(name: str, *arguments: str) -> Child:
    """Run "papayapier ARGUMENTS" as a child process."""
    from twisted.internet import reactor

    child = Child(name)
    command = [sys.executable, "-m", "papayapier", *arguments]
    cast(Any, reactor).spawnProcess(
        child, sys.executable, args=command, env=None, path=str(ROOT), childFDs={1: "r", 2: "r"}
    )
    return child


def _document(line: str) -> dict[str, Any] | None:
    try:
        return msgspec.json.decode(line, type=dict[str, Any])
    except msgspec.MsgspecError:
        return None
