"""Call the operator address of an instance, and run such a call as a command.

The key is read from a file or the environment, never from the command line, which every user
of the machine can read.
"""

import argparse
import os
import sys
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, Final, NamedTuple, cast

import msgspec
import treq
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from papayapier.decoding import DECODE_ERRORS
from papayapier.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from papayapier.head_guard import GuardedPool
from papayapier.operate.output import print_json

DEFAULT_ADDRESS: Final = "127.0.0.1:8081"
ADDRESS_VARIABLE: Final = "PAPAYAPIER_OPERATOR"
KEY_VARIABLE: Final = "PAPAYAPIER_KEY"
TIMEOUT_S: Final = 30
OK_STATUS: Final = 200
USAGE_STATUSES: Final = frozenset({400, 413})

OPTIONS_HELP: Final = (
    f"The address is --address or {ADDRESS_VARIABLE}; the operator's key comes from "
    f"--key-file or {KEY_VARIABLE} and is not needed on the instance's own machine if its "
    "settings list no operators. Exit codes: 0 success, 1 failed or refused, 2 invalid input."
)


class Answer(NamedTuple):
    """Hold an HTTP response."""

    status: int
    body: bytes

    def document(self) -> Any:
        """Return the body decoded as JSON, or None if it is not valid JSON."""
        try:
            return msgspec.json.decode(self.body)
        except DECODE_ERRORS:
            return None


class Client(NamedTuple):
    """Call the operator API of an instance with a key, which may be empty."""

    address: str
    key: str

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        query: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[Answer, str]:
        """Make one call; the error says why there is no answer."""
        blocks: list[bytes] = []
        done = await self._exchange(method, path, body, query, headers, blocks.append)
        return done.map(lambda status: Answer(status, b"".join(blocks)))

    async def stream(
        self, path: str, headers: dict[str, str], sink: Callable[[bytes], None]
    ) -> Result[Answer, str]:
        """Stream a long answer to sink; the body of the Answer is empty unless it is an error."""
        refused: list[bytes] = []
        done = await self._exchange("GET", path, None, None, headers, sink, refused.append)
        return done.map(lambda status: Answer(status, b"".join(refused)))

    async def _exchange(
        self,
        method: str,
        path: str,
        body: object,
        query: dict[str, str] | None,
        headers: dict[str, str] | None,
        sink: Callable[[bytes], None],
        refused: Callable[[bytes], None] | None = None,
    ) -> Result[int, str]:
        from twisted.internet import reactor

        all_headers: dict[bytes | str, bytes | str] = {"Content-Type": "application/json"}
        all_headers.update(headers or {})
        if self.key:
            all_headers["Authorization"] = f"Bearer {self.key}"
        try:
            response = await treq.request(
                method,
                f"http://{self.address}{path}",
                headers=all_headers,
                params=query or {},
                data=None if body is None else msgspec.json.encode(body),
                pool=cast(Any, GuardedPool)(reactor, persistent=False),
                timeout=TIMEOUT_S,
                unbuffered=True,
            )
            ok = response.code == OK_STATUS
            await _read_body(response, sink if ok or refused is None else refused)
            return Ok(response.code)
        except Exception as exc:  # the library's exceptions have no common base class
            return Err(f"{self.address} does not answer: {_error_text(exc)}")


def _read_body(response: Any, sink: Callable[[bytes], None]) -> Deferred[None]:
    """Pass a body to sink; fail unless it ends where its head says that it does."""
    reader = _BodyReader(sink)
    response.deliverBody(reader)
    return reader.done


class _BodyReader(Protocol):
    """Receive a body; one without a declared length may have been cut, which nothing shows."""

    def __init__(self, sink: Callable[[bytes], None]) -> None:
        self.done: Deferred[None] = Deferred()
        self._sink = sink

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._sink(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if reason.check(ResponseDone):
            self.done.callback(None)
        elif reason.check(PotentialDataLoss):
            self.done.errback(ConnectionError("the answer has no declared length"))
        else:
            self.done.errback(reason)


Run = Callable[[Client, argparse.Namespace], Awaitable[int]]


def add_options(parser: argparse.ArgumentParser, run: Run) -> None:
    """Add the options of all operator commands, and set the function to run."""
    parser.add_argument("--address", metavar="IP:PORT", help="operator address of an instance")
    parser.add_argument("--key-file", type=Path, metavar="FILE", help="file with the key")
    parser.add_argument("--json", action="store_true", help="print the answer as JSON")
    parser.set_defaults(command=lambda options: run_command(run, options), run=run)
    if parser.epilog is None:
        parser.epilog = OPTIONS_HELP


def run_command(run: Run, options: argparse.Namespace) -> int:
    """Run a command on the reactor and return its exit code."""
    client = make_client(options)
    if isinstance(client, Err):
        return fail(client.err_value, EXIT_USAGE)
    return _run_reactor(lambda: _as_coroutine(run(client.ok_value, options)))


def make_client(options: argparse.Namespace) -> Result[Client, str]:
    """Return a client according to the options and the environment."""
    address = options.address or os.environ.get(ADDRESS_VARIABLE) or DEFAULT_ADDRESS
    key = os.environ.get(KEY_VARIABLE, "")
    if options.key_file is not None:
        try:
            key = options.key_file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            return Err(f"--key-file: {options.key_file}: {exc}")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return Err(f"--address: expected IP:PORT, got {address}")
    return Ok(Client(address, key.strip()))


def fail(reason: str, code: int = EXIT_FAILED) -> int:
    """Print the reason of a failure in one line and return the exit code."""
    print(f"papayapier: {reason}", file=sys.stderr)
    return code


def print_answer(
    result: Result[Answer, str],
    options: argparse.Namespace,
    print_document: Callable[[Any], None],
) -> int:
    """Print the document of an answer with a function, or as JSON if --json is given."""
    match check_status(result, options):
        case Err(code):
            return code
        case Ok(answer):
            parsed = answer.document()
    if options.json:
        print_json(parsed)
    else:
        print_document(parsed)
    return EXIT_OK


def check_status(result: Result[Answer, str], options: argparse.Namespace) -> Result[Answer, int]:
    """Return a successful answer, or print why there is none and return the exit code."""
    match result:
        case Err(reason):
            return Err(fail(reason))
        case Ok(answer) if answer.status != OK_STATUS:
            return Err(_print_refusal(answer, options.json))
        case Ok(answer):
            return Ok(answer)


def _print_refusal(answer: Answer, as_json: bool) -> int:
    """Print why an instance refused; return different codes for invalid input and failures."""
    if as_json:
        print(answer.body.decode("utf-8", "replace"))
    document = answer.document()
    error = document.get("error") if isinstance(document, dict) else None
    if not isinstance(error, dict):
        return fail(f"unexpected answer with status {answer.status}")
    code = EXIT_USAGE if answer.status in USAGE_STATUSES else EXIT_FAILED
    outcome = "" if error.get("outcome") == "not_run" else " (outcome unknown)"
    return fail(f"{error.get('kind')}{outcome}: {error.get('reason')}", code)


async def _as_coroutine(awaitable: Awaitable[int]) -> int:
    return await awaitable


def _run_reactor(make_coroutine: Callable[[], Coroutine[Any, Any, int]]) -> int:
    from twisted.internet import reactor as installed

    reactor = cast(Any, installed)
    codes: list[int] = []

    def on_crash(failure: Failure) -> None:
        codes.append(fail(f"internal error: {failure.getTraceback()}"))

    def start() -> None:
        running = Deferred.fromCoroutine(make_coroutine())
        running.addCallbacks(codes.append, on_crash)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return codes[0] if codes else EXIT_FAILED


def _error_text(exc: Exception) -> str:
    reasons = getattr(exc, "reasons", None)
    if reasons:
        return str(reasons[0].value)
    return str(exc) or type(exc).__name__
