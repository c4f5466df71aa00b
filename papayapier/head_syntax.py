"""Define what HTTP/1.1 allows in the head of an answer (RFC 9110 and RFC 9112).

The client's parser is lenient: it takes any number that Python's int() reads for a status, any
version, and values with any control byte. Everything after the parser, from retries to the writing
of an answer to its caller, relies on a status from 200 to 599 and on values without such bytes.
"""

import re
from collections.abc import Sequence
from typing import Final

# The major version must be 1; a higher minor version is read like the highest that is known. The
# space before an empty reason may be missing, as some servers leave it out. No request asks for
# another protocol, so that 101 is no answer to any.
STATUS_LINE: Final = re.compile(rb"HTTP/1\.[0-9] (?!101)[1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?")
# Whitespace around a value is no part of it. A value that is continued on further lines is joined.
FIELD_VALUE: Final = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
CHUNKED: Final = b"chunked"
# The minor version from which on an answer may have chunks.
CHUNKS_SINCE: Final = 1
# Of an invalid line, for logs and refusals.
MAX_QUOTED_BYTES: Final = 80


class InvalidHeadError(ValueError):
    """Report a head that the protocol does not allow; nothing in it can be relied on."""


def check_status_line(line: bytes) -> None:
    """Raise InvalidHeadError if a status line, without its line end, is not allowed."""
    if STATUS_LINE.fullmatch(line) is None:
        raise InvalidHeadError(f"invalid status line: {line[:MAX_QUOTED_BYTES]!r}")


def check_field_value(name: bytes, value: bytes) -> None:
    """Raise InvalidHeadError if the value of a header is not allowed."""
    if FIELD_VALUE.fullmatch(value) is None:
        # The value may be a secret, and this text reaches logs and callers.
        raise InvalidHeadError(f"control byte in the value of header {name[:MAX_QUOTED_BYTES]!r}")


def check_framing(minor_version: int, encodings: Sequence[bytes], has_length: bool) -> None:
    """Raise InvalidHeadError if a head does not state clearly where the body of its answer ends.

    encodings are the values of Transfer-Encoding, one for each line.
    """
    if not encodings:
        return
    stated = b", ".join(encodings)
    if stated.lower() != CHUNKED:
        raise InvalidHeadError(f"unknown transfer encoding: {stated[:MAX_QUOTED_BYTES]!r}")
    if has_length:
        raise InvalidHeadError("both a transfer encoding and a content length")
    if minor_version < CHUNKS_SINCE:
        raise InvalidHeadError(f"a transfer encoding in HTTP/1.{minor_version}")
