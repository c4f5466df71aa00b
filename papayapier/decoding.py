"""Name the errors with which decoders refuse input, and reduce documents that they cannot decode.

Decoders recurse, so a document that is nested deeply enough raises RecursionError, which is neither
an error of msgspec nor a ValueError. How deep is too deep depends on the stack of the caller. So
each place that decodes what somebody else wrote handles all of DECODE_ERRORS.
"""

import json
import re
from typing import Any, Final

import msgspec

DECODE_ERRORS: Final = (msgspec.MsgspecError, ValueError, RecursionError)
# In levels.
MAX_DEPTH: Final = 100
# Decimal digits of the longest 64-bit integer, and thus of any count, size or time.
MAX_DIGITS: Final = 19
# Strings, so that brackets in them do not count, and the ends of arrays and objects.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*+(?:"|\Z)|[\[\]{}]', re.DOTALL)


def parse_number(text: str | bytes) -> int | None:
    """Return a non-negative decimal integer, or None for any other text.

    int() raises ValueError for thousands of digits, and str.isdigit() accepts superscripts.
    """
    if len(text) > MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)


def without_undecodable(body: bytes) -> bytes:
    """Re-encode JSON without values that decoders refuse; raise ValueError if it is not JSON.

    These are values nested deeper than MAX_DEPTH, texts that are not valid Unicode, like "\\ud800",
    and numbers that are not finite. A single one of them makes the entire document undecodable.
    """
    text = _without_deep_values(body).decode("utf-8", "replace")
    return msgspec.json.encode(_without_invalid_text(json.loads(text, parse_int=_integer)))


def _without_deep_values(body: bytes) -> bytes:
    """Replace each value nested deeper than MAX_DEPTH by null."""
    kept = []
    depth = kept_from = 0
    for token in _TOKEN.finditer(body):
        if token[0] in b"[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(body[kept_from : token.start()])
        elif token[0] in b"]}":
            if depth == MAX_DEPTH + 1:
                kept.append(b"null")
                kept_from = token.end()
            depth -= 1
    # Without its end, the value that began last is too deep, and the document is not JSON.
    kept.append(b"" if depth > MAX_DEPTH else body[kept_from:])
    return b"".join(kept)


def _integer(digits: str) -> int | float:
    """Decode an integer of any length; one without a 64-bit representation loses precision."""
    return int(digits) if len(digits.removeprefix("-")) <= MAX_DIGITS else float(digits)


def _without_invalid_text(value: Any) -> Any:
    if isinstance(value, str):
        return value if value.isascii() or _is_unicode(value) else None
    if isinstance(value, list):
        return [_without_invalid_text(element) for element in value]
    if isinstance(value, dict):
        return {
            key: _without_invalid_text(inner) for key, inner in value.items() if _is_unicode(key)
        }
    return value


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
