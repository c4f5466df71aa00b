"""Read uploaded files from request bodies in pieces.

The site stores request bodies larger than its memory limit for one body in temporary files, and
the route is called when the body is complete. So memory is bounded here, and the temporary
directory of an instance needs space for the open uploads. The site must be created with
parsePOSTFormSubmission=False; otherwise twisted also reads a multipart body into memory.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Result
from werkzeug.exceptions import RequestEntityTooLarge
from werkzeug.http import parse_options_header
from werkzeug.sansio.multipart import Data, Epilogue, Field, File, MultipartDecoder, NeedData

from papayapier.batch.file_upload import FileUpload
from papayapier.errors import ErrorKind, Refusal, not_run_refusal

if TYPE_CHECKING:
    from papayapier.batch.records import FileRecord
    from papayapier.clock import Clock
    from papayapier.entry.web import WebRequest

CHUNK_BYTES: Final = 65_536
MAX_FIELD_BYTES: Final = 1_000
MULTIPART: Final = "multipart/form-data"
PURPOSE: Final = "batch"


class _Part(NamedTuple):
    """Identify the part of a form that is being read."""

    name: str
    is_file: bool


async def read_upload(
    request: "WebRequest", clock: "Clock", intake: FileUpload
) -> "Result[FileRecord, Refusal]":
    """Store an uploaded file: a form with the fields file and purpose, or a JSONL body."""
    kind, options = parse_options_header(request.getHeader("content-type"))
    if kind == MULTIPART:
        boundary = options.get("boundary", "")
        if not boundary:
            return Err(not_run_refusal(ErrorKind.BAD_REQUEST, "multipart: no boundary"))
        refusal = await _read_form(request, clock, intake, boundary.encode())
    else:
        refusal = await _read_body(request, clock, intake)
    return await intake.finish() if refusal is None else Err(refusal)


async def _read_body(request: "WebRequest", clock: "Clock", intake: FileUpload) -> Refusal | None:
    while chunk := request.content.read(CHUNK_BYTES):
        refusal = await intake.feed(chunk)
        if refusal is not None:
            return refusal
        # Let other requests be served between two pieces.
        await clock.sleep(0)
    return None


async def _read_form(
    request: "WebRequest", clock: "Clock", intake: FileUpload, boundary: bytes
) -> Refusal | None:
    form = _Form(intake, boundary)
    while True:
        chunk = request.content.read(CHUNK_BYTES)
        refusal = await form.feed(chunk or None)
        if refusal is not None:
            return refusal
        if not chunk:
            return form.incomplete_refusal()
        await clock.sleep(0)


class _Form:
    """Pass on the file field of a form, and check the other fields."""

    def __init__(self, intake: FileUpload, boundary: bytes) -> None:
        self._intake = intake
        self._decoder = MultipartDecoder(boundary, max_form_memory_size=None)
        self._part = _Part("", False)
        self._field = b""
        self._files = 0
        self._complete = False

    async def feed(self, chunk: bytes | None) -> Refusal | None:
        """Parse the next bytes; None marks the end."""
        try:
            self._decoder.receive_data(chunk)
            return await self._take_events()
        except (ValueError, RequestEntityTooLarge) as exc:
            return not_run_refusal(ErrorKind.BAD_REQUEST, f"multipart: {exc}")

    def incomplete_refusal(self) -> Refusal | None:
        """Return the refusal if the form is incomplete at its end, or None."""
        if not self._complete:
            return not_run_refusal(ErrorKind.BAD_REQUEST, "multipart: the form is truncated")
        if self._files != 1:
            reason = f"multipart: expected one file, got {self._files}"
            return not_run_refusal(ErrorKind.BAD_REQUEST, reason)
        return None

    async def _take_events(self) -> Refusal | None:
        while True:
            event = self._decoder.next_event()
            if isinstance(event, NeedData):
                return None
            if isinstance(event, Epilogue):
                self._complete = True
                return None
            refusal = None
            if isinstance(event, Field | File):
                self._begin(event)
            elif isinstance(event, Data):
                refusal = await self._take_data(event)
            if refusal is not None:
                return refusal

    def _begin(self, event: Field | File) -> None:
        self._part = _Part(event.name, isinstance(event, File))
        self._field = b""
        if isinstance(event, File):
            self._files += 1
            self._intake.rename(event.filename or "")

    async def _take_data(self, event: Data) -> Refusal | None:
        if self._part.is_file:
            return await self._intake.feed(event.data)
        self._field += event.data
        if len(self._field) > MAX_FIELD_BYTES:
            return not_run_refusal(
                ErrorKind.BAD_REQUEST, f"{self._part.name}: over {MAX_FIELD_BYTES} bytes"
            )
        if event.more_data or self._part.name != "purpose":
            return None
        purpose = self._field.decode("utf-8", "replace")
        if purpose != PURPOSE:
            return not_run_refusal(
                ErrorKind.BAD_REQUEST, f"purpose: expected {PURPOSE}, got {purpose}"
            )
        return None
