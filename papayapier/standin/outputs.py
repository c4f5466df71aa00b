"""Write the tokens of one request to its caller, and inject faults into responses.

An Output is a group of closures, so that the engine does not depend on JSON, SSE or faults.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from twisted.web.server import Request

from papayapier.standin import jobs, web
from papayapier.standin.answers import words
from papayapier.standin.jobs import Job
from papayapier.standin.switches import Mode


class Output(NamedTuple):
    """Group the callbacks for a token, for the end, and for a cancellation."""

    token: Callable[[], None]
    done: Callable[[], None]
    cancelled: Callable[[], None]


def make_output(request: Request, shown: Job, mode: Mode, load_mark: Callable[[], str]) -> Output:
    """Make the output for a request; shown is the request whose id and text are sent.

    A stream's headers are sent at once, with the load before this request is accepted.
    """
    web.set_header(request, "x-request-id", shown.request_id)
    tokens = _tokens(shown)
    if shown.stream:
        web.set_header(request, "x-load", load_mark())
        return _stream(request, shown, mode, tokens)
    return _json(request, shown, mode, tokens, load_mark)


def _tokens(job: Job) -> Iterator[str]:
    """Yield the remaining tokens; each except the first of the answer starts with a space."""
    for index, word in enumerate(words(job.prompt, job.done_words), job.done_words):
        yield word if index == 0 else " " + word


def _stream(request: Request, job: Job, mode: Mode, tokens: Iterator[str]) -> Output:
    web.set_header(request, "content-type", jobs.SSE_TYPE)
    web.write(request, b"")
    frame = jobs.chunk_frame(job)
    shown = job.left // 2 if mode is Mode.TRUNCATE else job.left
    left = iter(range(shown))

    def token() -> None:
        if next(left, None) is not None and not web.is_gone(request):
            web.write(request, frame.before + next(tokens).encode() + frame.after)

    def done() -> None:
        if web.is_gone(request):
            return
        if mode is Mode.RESET:
            web.connection_of(request).abort()
            return
        if mode is not Mode.TRUNCATE:
            web.write(request, jobs.last_chunks(job))
        web.finish(request)

    return Output(token, done, _closer(request))


def _json(
    request: Request,
    job: Job,
    mode: Mode,
    tokens: Iterator[str],
    load_mark: Callable[[], str],
) -> Output:
    made: list[str] = []

    def token() -> None:
        made.append(next(tokens))

    def done() -> None:
        if web.is_gone(request):
            return
        if mode is Mode.RESET:
            web.connection_of(request).abort()
            return
        web.set_header(request, "x-load", load_mark())
        body = jobs.whole_answer(job, "".join(made))
        if mode is Mode.TRUNCATE:
            web.send_truncated(request, body, web.JSON_TYPE)
            return
        web.send(request, 200, body, web.JSON_TYPE)

    return Output(token, done, _closer(request))


def _closer(request: Request) -> Callable[[], None]:
    """Make the callback that closes a cancelled request without an end marker."""

    def close() -> None:
        if not web.is_gone(request):
            web.connection_of(request).loseConnection()

    return close
