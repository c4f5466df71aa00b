"""Define what HTTP/1.1 allows in the head of an answer (RFC 9110 and RFC 9112).

The client's parser is lenient: it takes any number that Python's int() reads for a status, any
version, and values with any control byte. Everything after the parser, from retries to the writing
of an answer to its caller, relies on a status from 200 to 599 and on values without such bytes.
What the parser refuses itself is checked here, too: its errors look like a lost connection.
"""

import re
from collections.abc import Sequence
from typing import Final

# The major version must be 1; a higher minor version is read like the highest that is known. The
# space before an empty reason may be missing, as some servers leave it out. No request asks for
# another protocol, so that 101 is no answer to any.
STATUS_LINE: Final = re.compile(rb"HTTP/1\.[0-9] (?!101)[1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?")
# A token.
FIELD_NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Whitespace around a value is no part of it. A value that is continued on further lines is joined.
FIELD_VALUE: Final = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
CONTINUATIONS: Final = (b" ", b"\t")
LENGTH: Final = re.compile(rb"[0-9]+")
CHUNKED: Final = b"chunked"
# The minor version from which on an answer may have chunks.
CHUNKS_SINCE: Final = 1
# Of an invalid line, for logs: enough to recognize what is invalid.
MAX_QUOTED_BYTES: Final = 24
PROTOCOL: Final = b"HTTP/"


class InvalidHeadError(ValueError):
    """Report a head that the protocol does not allow; nothing in it can be relied on.

    The text of the error may reach callers, and so has no bytes of the head, which may be those of
    another request. The attribute quoted is for logs only.
    """

    def __init__(self, reason: str, line: bytes = b"") -> None:
        super().__init__(reason)
        self.quoted = repr(line[:MAX_QUOTED_BYTES]) if line else ""


def check_status_line(line: bytes) -> None:
    """Raise InvalidHeadError if a status line, without its line end, is not allowed."""
    if STATUS_LINE.fullmatch(line) is not None:
        return
    if not line.startswith(PROTOCOL):
        raise InvalidHeadError("no status line")
    raise InvalidHeadError("invalid status line", line)


def check_field_line(line: bytes, is_first: bool) -> None:
    """Raise InvalidHeadError if a header line has no valid name; it may continue the one before."""
    if not line or (line[:1] in CONTINUATIONS and not is_first):
        return
    name, colon, _ = line.partition(b":")
    if not colon or FIELD_NAME.fullmatch(name) is None:
        raise InvalidHeadError("a header line has no valid name")


def check_field_value(name: bytes, value: bytes) -> None:
    """Raise InvalidHeadError if the value of a header is not allowed."""
    if FIELD_VALUE.fullmatch(value) is None:
        raise InvalidHeadError("control byte in the value of a header", name)


def check_framing(minor_version: int, encodings: Sequence[bytes], lengths: Sequence[bytes]) -> None:
    """Raise InvalidHeadError if a head does not state clearly where the body of its answer ends.

    encodings and lengths are the values of Transfer-Encoding and Content-Length, one for each line.
    """
    _check_lengths(lengths)
    if not encodings:
        return
    stated = b", ".join(encodings)
    if stated.lower() != CHUNKED:
        raise InvalidHeadError("unknown transfer encoding", stated)
    if lengths:
        raise InvalidHeadError("both a transfer encoding and a content length")
    if minor_version < CHUNKS_SINCE:
        raise InvalidHeadError(f"a transfer encoding in HTTP/1.{minor_version}")


def _check_lengths(lengths: Sequence[bytes]) -> None:
    """Raise InvalidHeadError unless all lengths are the same number."""
    if not lengths:
        return
    stated = b", ".join(lengths)
    numbers = [number.strip() for number in stated.split(b",")]
    are_valid = all(LENGTH.fullmatch(number) for number in numbers)
    if not are_valid or len({number.lstrip(b"0") for number in numbers}) > 1:
        raise InvalidHeadError("invalid content length", stated)
