"""Decide what a reply or refusal means for an item.

An item ends when it has a complete reply, when its outcome can never be known, or as failed
when no further attempt can help. In all other cases it is sent again. The attempt counts
against the item if the item may be at fault; it does not count if the upstream or the service
is at fault, because an outage must not make items fail.
"""

from typing import Final, NamedTuple, TypedDict

import msgspec
from result import Ok, Result

from papayapier.batch.records import (
    MAX_REASON_CHARS,
    MAX_RESULT_BYTES,
    InputItem,
    ItemResult,
    ItemState,
)
from papayapier.decoding import DECODE_ERRORS
from papayapier.errors import ErrorKind, Outcome, Refusal
from papayapier.upstream.api import Reply

FIRST_ERROR_STATUS: Final = 400
FIRST_SERVER_ERROR: Final = 500
BUSY_STATUS: Final = 429
STREAM_TYPE: Final = "text/event-stream"
CHAT_URL: Final = "/v1/chat/completions"

UNCOUNTED_REFUSALS: Final = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.CALLER_LIMIT,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.STORE_UNAVAILABLE,
        ErrorKind.LEAVING,
        ErrorKind.DEADLINE,
        ErrorKind.CANCELLED,
    }
)
FINAL_REFUSALS: Final = frozenset(
    {ErrorKind.BAD_REQUEST, ErrorKind.TOO_LARGE, ErrorKind.NOT_FOUND, ErrorKind.UNAUTHORIZED}
)


class EndItem(NamedTuple):
    """State that the item ends with this result."""

    result: ItemResult


class ResendItem(NamedTuple):
    """State that the item is sent again; result is its outcome if no attempt is left."""

    counts_as_attempt: bool
    result: ItemResult


class Usage(TypedDict):
    """Count tokens in the format of OpenAI-style clients."""

    completion_tokens: int


class Generated(TypedDict):
    """Hold a complete, unstreamed generation reply."""

    id: str
    object: str
    choices: list[dict[str, object]]
    usage: Usage


def classify(
    item: int,
    input_item: InputItem,
    call_id: str,
    outcome: Result[Reply, Refusal],
    idempotent: bool,
    now_wall: int,
) -> EndItem | ResendItem:
    """Classify the outcome of one send of an item."""
    if isinstance(outcome, Ok):
        return _classify_reply(item, input_item, call_id, outcome.ok_value, idempotent, now_wall)
    return _classify_refusal(item, input_item, outcome.err_value, idempotent, now_wall)


def _classify_reply(
    item: int, input_item: InputItem, call_id: str, reply: Reply, idempotent: bool, now_wall: int
) -> EndItem | ResendItem:
    body = _body_of(input_item, call_id, reply)
    if len(body) > MAX_RESULT_BYTES:
        reason = f"the reply has {len(body)} bytes, the limit is {MAX_RESULT_BYTES}"
        failed = _result(item, input_item, ItemState.FAILED, ErrorKind.TOO_LARGE, reason, now_wall)
        return EndItem(failed)
    state = ItemState.COMPLETED if reply.status < FIRST_ERROR_STATUS else ItemState.FAILED
    kind = "" if state is ItemState.COMPLETED else ErrorKind.UPSTREAM_FAILED.value
    reason = "" if state is ItemState.COMPLETED else f"the upstream returned {reply.status}"
    result = ItemResult(
        item=item,
        custom_id=input_item.custom_id,
        state=state,
        status=reply.status,
        body=body,
        is_json=_is_json(body),
        kind=kind,
        reason=reason,
        attempts=0,
        ended_ms=now_wall,
    )
    is_transient = reply.status == BUSY_STATUS or reply.status >= FIRST_SERVER_ERROR
    if is_transient and idempotent:
        return ResendItem(counts_as_attempt=True, result=result)
    return EndItem(result)


def _classify_refusal(
    item: int, input_item: InputItem, refusal: Refusal, idempotent: bool, now_wall: int
) -> EndItem | ResendItem:
    kind, outcome, reason, _ = refusal
    if outcome is Outcome.UNKNOWN and not idempotent:
        return EndItem(_result(item, input_item, ItemState.UNKNOWN, kind, reason, now_wall))
    result = _result(item, input_item, ItemState.FAILED, kind, reason, now_wall)
    if kind in FINAL_REFUSALS:
        return EndItem(result)
    return ResendItem(kind not in UNCOUNTED_REFUSALS, result)


def _result(
    item: int, input_item: InputItem, state: ItemState, kind: ErrorKind, reason: str, now_wall: int
) -> ItemResult:
    return ItemResult(
        item=item,
        custom_id=input_item.custom_id,
        state=state,
        status=0,
        body=b"",
        is_json=True,
        kind=kind.value,
        reason=reason[:MAX_REASON_CHARS],
        attempts=0,
        ended_ms=now_wall,
    )


def _body_of(input_item: InputItem, call_id: str, reply: Reply) -> bytes:
    """Return the reply's body; a streamed reply is converted to its unstreamed form."""
    if not reply.content_type.startswith(STREAM_TYPE):
        return reply.body
    is_chat = input_item.url == CHAT_URL
    choice: dict[str, object] = {"index": 0, "finish_reason": reply.finish_reason}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": reply.text}
    else:
        choice["text"] = reply.text
    generated = Generated(
        id=call_id,
        object="chat.completion" if is_chat else "text_completion",
        choices=[choice],
        usage=Usage(completion_tokens=reply.tokens),
    )
    return msgspec.json.encode(generated)


def _is_json(body: bytes) -> bool:
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except DECODE_ERRORS:
        return False
    return True
