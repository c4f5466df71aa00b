"""Define the platform's HTTP headers, and decode those of an answer."""

from collections.abc import Sequence
from typing import Final

from twisted.web.http_headers import Headers

from papayapier.decoding import parse_number
from papayapier.upstream.answers import stated_ids
from papayapier.upstream.api import Load, Replica
from papayapier.upstream.forward_call import AnswerMetadata

REQUEST_ID: Final = b"X-Request-Id"
# The remaining time that the caller will wait, in milliseconds; not a point in time.
TIME_LEFT: Final = b"X-Deadline-Ms"
LAST_EVENT: Final = b"Last-Event-Id"
# The request id of the attempt that brought the first event of the stream that is resumed.
RESUMED_ATTEMPT: Final = b"Resumes"
PROMPT_PARTS: Final = b"X-Prompt-Prefix"
RETRY_AFTER: Final = b"Retry-After"
WAIT_MS: Final = b"X-Wait-Ms"
_KEY: Final = b"Authorization"
# The name of the calling team, as this system knows it.
_TEAM: Final = b"X-Tenant"
_EXPECT_REPLICA: Final = b"X-Expect-Instance"
_NOT_RUN: Final = b"X-Not-Executed"
_LOAD: Final = b"X-Server-Load"
_SIGNATURE: Final = b"X-Server-Stamp"
_MISDIRECTED: Final = 421
LOAD_FIGURES: Final = 3

_HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers to forward, without hop-by-hop headers."""
    named = {
        name.strip().lower()
        for value in headers.getRawHeaders(b"Connection", [])
        for name in value.split(b",")
    }
    forwarded = Headers()
    for name, values in headers.getAllRawHeaders():
        lower = name.lower()
        if lower not in _HOP_BY_HOP and lower not in named:
            forwarded.setRawHeaders(name, values)
    return forwarded


def shared_parts(headers: Headers) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt that other prompts may share: all but the last."""
    listed = ",".join(
        value.decode("latin-1") for value in headers.getRawHeaders(PROMPT_PARTS, [])
    ).split(",")
    ids = (entry.partition(":")[0].strip().lower() for entry in listed[:-1])
    return tuple(dict.fromkeys(part for part in ids if part))


def presented_keys(headers: Headers) -> Sequence[bytes]:
    """Return the values of the header that contains the caller's API key."""
    return headers.getRawHeaders(_KEY, [])


def with_team(headers: Headers, team: str) -> Headers:
    """Return the headers for a replica: with the team's name and without its API key."""
    out = headers.copy()
    out.removeHeader(_KEY)
    out.removeHeader(_TEAM)
    if team:
        out.setRawHeaders(_TEAM, [team.encode()])
    return out


def with_replica(
    headers: Headers, replica: Replica, left_ms: int | None, last_event: int
) -> Headers:
    """Return the headers of a request for one replica.

    left_ms None omits the time limit; last_event is -1 for a stream from its start.
    """
    out = headers.copy()
    out.setRawHeaders(_EXPECT_REPLICA, [replica.effective_name().encode()])
    if left_ms is not None:
        out.setRawHeaders(TIME_LEFT, [str(max(1, left_ms)).encode()])
    if last_event >= 0:
        out.setRawHeaders(LAST_EVENT, [str(last_event).encode()])
    return out


def decode_facts(status: int, headers: Headers, now_ms: int) -> AnswerMetadata:
    """Decode what the head of an answer says about the execution of the request."""
    stated_load = _first_value(headers, _LOAD)
    load = _load(stated_load, now_ms)
    return AnswerMetadata(
        request_id=stated_ids(headers, REQUEST_ID),
        signed=headers.hasHeader(_SIGNATURE),
        not_run=headers.hasHeader(_NOT_RUN) or status == _MISDIRECTED,
        address_reassigned=status == _MISDIRECTED,
        encoded=headers.hasHeader(b"Content-Encoding"),
        load=load,
        load_unreadable=bool(stated_load) and load is None,
    )


def _first_value(headers: Headers, name: bytes) -> str:
    values = headers.getRawHeaders(name)
    return values[0].decode("latin-1") if values else ""


def _load(text: str, now_ms: int) -> Load | None:
    """Decode "running,waiting,slots"; ignore further figures, return None for anything else.

    A fourth figure is the current execution time of requests on that machine.
    """
    parts = text.split(",")[:LOAD_FIGURES]
    figures = [figure for part in parts if (figure := parse_number(part.strip())) is not None]
    if len(figures) < LOAD_FIGURES:
        return None
    running, waiting, slots = figures
    return Load(running, waiting, slots, 0.0, now_ms, delayed=False)
