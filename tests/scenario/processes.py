"""Start child processes, read their output and send signals to them."""

import sys
from collections import deque
from collections.abc import Mapping, Sequence
from pathlib import Path
from signal import Signals
from typing import Any, Final, cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

ROOT: Final = Path(__file__).resolve().parents[2]
MAX_TAIL_LINES: Final = 60
STDERR: Final = 2


class ChildProcess(ProcessProtocol):
    """Hold a child process: its output, and its exit code when it has ended."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.exit_code: int | None = None
        self.ended: Deferred[None] = Deferred()
        self.documents: list[dict[str, Any]] = []
        self.printed = ""
        self.last_output_lines: deque[str] = deque(maxlen=MAX_TAIL_LINES)
        self._partial_lines = {1: b"", STDERR: b""}
        self._waiters: list[tuple[str, Deferred[dict[str, Any]]]] = []

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        *lines, self._partial_lines[childFD] = (self._partial_lines[childFD] + data).split(b"\n")
        for line in lines:
            self._add_line(line.decode("utf-8", "replace"))

    def processEnded(self, reason: Failure) -> None:  # noqa: N802
        code = cast(Any, reason.value).exitCode
        self.exit_code = -1 if code is None else code
        self.ended.callback(None)
        for _, waiter in self._waiters:
            waiter.errback(RuntimeError(f"{self.name} ended: {self.last_lines()}"))
        self._waiters.clear()

    def document_with(self, key: str) -> Deferred[dict[str, Any]]:
        """Return a Deferred of the first printed JSON object that has a key."""
        waiter: Deferred[dict[str, Any]] = Deferred()
        printed = next((document for document in self.documents if key in document), None)
        if printed is not None:
            waiter.callback(printed)
        elif self.exit_code is not None:
            waiter.errback(RuntimeError(f"{self.name} ended: {self.last_lines()}"))
        else:
            self._waiters.append((key, waiter))
        return waiter

    def pid(self) -> int:
        """Return the id of the process."""
        return int(cast(Any, self.transport).pid)

    def send_signal(self, number: Signals) -> None:
        """Send a signal; do nothing if the process has ended."""
        if self.exit_code is not None:
            return
        try:
            cast(Any, self.transport).signalProcess(number)
        except ProcessExitedAlready:
            return

    def logged_count(self, event: int) -> int:
        """Return how often the event with a number was logged."""
        return sum(document.get("event") == event for document in self.documents)

    def last_lines(self) -> str:
        """Return the last printed lines as one text."""
        return "\n".join(self.last_output_lines)

    def _add_line(self, line: str) -> None:
        self.last_output_lines.append(line)
        self.printed += line + "\n"
        document = _parse_json(line)
        if document is None:
            return
        self.documents.append(document)
        for key, waiter in list(self._waiters):
            if key in document:
                self._waiters.remove((key, waiter))
                waiter.callback(document)


def start_process(name: str, *arguments: str) -> ChildProcess:
    """Run "papayapier ARGUMENTS" as a child process."""
    return start_command(name, [sys.executable, "-m", "papayapier", *arguments], None, ROOT)


def start_command(
    name: str, words: Sequence[str], env: Mapping[str, str] | None, folder: Path
) -> ChildProcess:
    """Run a command as a child process; without an environment it inherits this one."""
    from twisted.internet import reactor

    child = ChildProcess(name)
    cast(Any, reactor).spawnProcess(
        child, words[0], args=words, env=env, path=str(folder), childFDs={1: "r", 2: "r"}
    )
    return child


def _parse_json(line: str) -> dict[str, Any] | None:
    try:
        return msgspec.json.decode(line, type=dict[str, Any])
    except msgspec.MsgspecError:
        return None
