"""Write the tokens of one request to its caller, and inject faults into responses.

An Output is a group of closures, so that the engine does not depend on JSON, SSE or faults.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from twisted.web.server import Request

from papayapier.standin import generations, web
from papayapier.standin.answers import answer_words
from papayapier.standin.generations import Generation
from papayapier.standin.switches import Mode


class Output(NamedTuple):
    """Group the callbacks for a token, for the end, and for a cancellation."""

    on_token: Callable[[], None]
    on_done: Callable[[], None]
    on_cancelled: Callable[[], None]


def make_output(
    request: Request, served: Generation, mode: Mode, load_header: Callable[[], str]
) -> Output:
    """Make the output for a request; shown is the request whose id and text are sent.

    A stream's headers are sent at once, with the load before this request is accepted.
    """
    web.set_header(request, "x-request-id", served.request_id)
    tokens = _tokens(served)
    if served.stream:
        web.set_header(request, "x-load", load_header())
        return _stream(request, served, mode, tokens)
    return _json(request, served, mode, tokens, load_header)


def _tokens(generation: Generation) -> Iterator[str]:
    """Yield the remaining tokens; each except the first of the answer starts with a space."""
    for index, word in enumerate(
        answer_words(generation.prompt, generation.done_words), generation.done_words
    ):
        yield word if index == 0 else " " + word


def _stream(request: Request, generation: Generation, mode: Mode, tokens: Iterator[str]) -> Output:
    web.set_header(request, "content-type", generations.SSE_TYPE)
    web.write(request, b"")
    frame = generations.chunk_frame(generation)
    tokens_sent = (
        generation.new_tokens_left // 2 if mode is Mode.TRUNCATE else generation.new_tokens_left
    )
    unsent = iter(range(tokens_sent))

    def on_token() -> None:
        if next(unsent, None) is not None and not web.is_closed(request):
            web.write(request, frame.before + next(tokens).encode() + frame.after)

    def on_done() -> None:
        if web.is_closed(request):
            return
        if mode is Mode.RESET:
            web.connection_of(request).abort()
            return
        if mode is not Mode.TRUNCATE:
            web.write(request, generations.final_chunks(generation))
        web.finish(request)

    return Output(on_token, on_done, _make_close(request))


def _json(
    request: Request,
    generation: Generation,
    mode: Mode,
    tokens: Iterator[str],
    load_header: Callable[[], str],
) -> Output:
    texts: list[str] = []

    def on_token() -> None:
        texts.append(next(tokens))

    def on_done() -> None:
        if web.is_closed(request):
            return
        if mode is Mode.RESET:
            web.connection_of(request).abort()
            return
        web.set_header(request, "x-load", load_header())
        body = generations.json_body(generation, "".join(texts))
        if mode is Mode.TRUNCATE:
            web.send_truncated(request, body, web.JSON_TYPE)
            return
        web.send(request, 200, body, web.JSON_TYPE)

    return Output(on_token, on_done, _make_close(request))


def _make_close(request: Request) -> Callable[[], None]:
    """Make the callback that closes a cancelled request without an end marker."""

    def close() -> None:
        if not web.is_closed(request):
            web.connection_of(request).loseConnection()

    return close
