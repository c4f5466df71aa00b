"""Receive an uploaded file: stream it into chunk objects, then create its record.

A file does not exist until its record does, and the record is written last. The expiry marker
is written first, so that the objects of an abandoned upload are deleted later.

Memory is bounded by one chunk, one line and 16 bytes per item. Each feed() returns only when
the chunks that it filled are stored, so that a fast client waits for the store instead of
filling the memory.
"""

import hashlib
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.batch import keys, store_access
from papayapier.batch.ids import BUCKET_COUNT, IdIndex
from papayapier.batch.lines import LineError, LineSplitter, endpoint_of, parse_line
from papayapier.batch.records import MAX_CHUNK_BYTES, MAX_LINE_BYTES, FileRecord, InputItem
from papayapier.errors import ErrorKind, Refusal, not_run_refusal

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

STORE_TIMEOUT_MS: Final = 10_000
MAX_ENDPOINTS: Final = 32
BUCKETS_PER_SLICE: Final = 8
ITEM_OVERHEAD_BYTES: Final = 16
FILE_KIND: Final = "file"
EXPIRY_MARKER_VALUE: Final = b"1"
MAX_NAME_CHARS: Final = 200


class FileHead(NamedTuple):
    """Describe a file that is being uploaded."""

    file_id: str
    caller: str
    name: str
    purpose: str
    created_ms: int
    expires_ms: int


class FileUpload:
    """Store one file while it is uploaded."""

    __slots__ = (
        "_blank_line",
        "_byte_count",
        "_chunk_bytes",
        "_counts",
        "_deps",
        "_endpoints",
        "_index",
        "_items",
        "_line",
        "_sha256",
        "_splitter",
        "_versions",
        "head",
    )

    def __init__(self, deps: "BatchDeps", caller: str, name: str, purpose: str) -> None:
        now = deps.clock.wall()
        file_id = f"file-{deps.rand.getrandbits(128):032x}"
        self.head = FileHead(file_id, caller, name, purpose, now, now + deps.cfg.retention_ms)
        self._deps = deps
        self._splitter = LineSplitter()
        self._line = 0
        self._blank_line = 0
        self._items: list[InputItem] = []
        self._chunk_bytes = 0
        self._counts: list[int] = []
        self._endpoints: set[str] = set()
        self._index = IdIndex()
        self._sha256 = hashlib.sha256()
        self._byte_count = 0
        self._versions: list[int] = []

    def rename(self, name: str) -> None:
        """Set the file name that a form contains."""
        self.head = self.head._replace(name=name[:MAX_NAME_CHARS] or self.head.name)

    async def feed(self, data: bytes) -> Refusal | None:
        """Process the next bytes, and store the chunks that they fill."""
        self._sha256.update(data)
        self._byte_count += len(data)
        if self._byte_count > self._deps.cfg.max_file_bytes:
            reason = f"the file has more than {self._deps.cfg.max_file_bytes} bytes"
            return not_run_refusal(ErrorKind.TOO_LARGE, reason)
        for line in self._splitter.feed(data):
            refusal = await self._process_line(line)
            if refusal is not None:
                return refusal
        if self._splitter.too_long():
            return self._refuse(LineError(self._line + 1, f"over {MAX_LINE_BYTES} bytes"))
        return None

    async def finish(self) -> Result[FileRecord, Refusal]:
        """Store the remaining items and the record, with which the file exists."""
        refusal = await self._process_line(self._splitter.remainder())
        refusal = refusal or await self._check_complete()
        if refusal is None and self._items:
            refusal = await self._store_chunk()
        if refusal is None:
            refusal = await self._store_index()
        if refusal is not None:
            return Err(refusal)
        record = self._record()
        refusal = await self._store_object(keys.file_key(record.file_id), codec.pack(record))
        if refusal is not None:
            return Err(refusal)
        events.emit(
            events.FILE_STORED, file=record.file_id, caller=record.caller, items=record.item_count()
        )
        return Ok(record)

    async def abandon(self) -> None:
        """Delete the chunks of a refused file; its expiry marker covers the other objects."""
        for chunk, version in enumerate(self._versions):
            await store_access.delete(self._deps, keys.chunk_key(self.head.file_id, chunk), version)
        self._versions = []

    async def _process_line(self, line: bytes) -> Refusal | None:
        self._line += 1
        parsed = parse_line(line, self._line)
        if isinstance(parsed, Err):
            return self._refuse(parsed.err_value)
        item = parsed.ok_value
        if item is None:
            self._blank_line = self._blank_line or self._line
            return None
        # Blank lines are only allowed at the end of a file, so that an item's index determines
        # its line number.
        if self._blank_line:
            return self._refuse(LineError(self._blank_line, "blank line between items"))
        return await self._add_item(item)

    async def _add_item(self, item: InputItem) -> Refusal | None:
        if self._line > self._deps.cfg.max_items:
            reason = f"line {self._line}: over {self._deps.cfg.max_items} items"
            return not_run_refusal(ErrorKind.TOO_LARGE, reason)
        self._endpoints.add(endpoint_of(item.url))
        if len(self._endpoints) > MAX_ENDPOINTS:
            return self._refuse(LineError(self._line, f"over {MAX_ENDPOINTS} endpoints"))
        self._index.add(item.custom_id)
        size = len(item.body) + len(item.custom_id) + len(item.url) + ITEM_OVERHEAD_BYTES
        refusal = None
        if self._items and self._chunk_bytes + size > MAX_CHUNK_BYTES:
            refusal = await self._store_chunk()
        self._items.append(item)
        self._chunk_bytes += size
        if refusal is None and len(self._items) >= self._deps.cfg.chunk_items:
            refusal = await self._store_chunk()
        return refusal

    async def _store_chunk(self) -> Refusal | None:
        chunk = len(self._counts)
        if chunk == 0:
            head = self.head
            mark = keys.expiry_key(head.expires_ms, FILE_KIND, head.file_id)
            refusal = await self._store_object(mark, EXPIRY_MARKER_VALUE)
            if refusal is not None:
                return refusal
        key = keys.chunk_key(self.head.file_id, chunk)
        created = await self._create_object(key, codec.pack(self._items))
        refusal = None
        if isinstance(created, Err):
            refusal = created.err_value
        else:
            self._versions.append(created.ok_value)
        self._counts.append(len(self._items))
        self._items = []
        self._chunk_bytes = 0
        return refusal

    async def _check_complete(self) -> Refusal | None:
        if not self._items and not self._counts:
            return not_run_refusal(ErrorKind.BAD_REQUEST, "the file has no items")
        for bucket in range(BUCKET_COUNT):
            duplicate = self._index.duplicate(bucket)
            if duplicate is not None:
                reason = f"custom_id: the same as on line {duplicate.first + 1}"
                return self._refuse(LineError(duplicate.second + 1, reason))
            if len(self._counts) > 1 and bucket % BUCKETS_PER_SLICE == 0:
                # Checking all ids of a large file at once would delay online requests for tens
                # of milliseconds.
                await self._deps.clock.sleep(0)
        return None

    async def _store_index(self) -> Refusal | None:
        for block, hashes in enumerate(self._index.blocks()):
            refusal = await self._store_object(keys.index_key(self.head.file_id, block), hashes)
            if refusal is not None:
                return refusal
        return None

    def _record(self) -> FileRecord:
        head = self.head
        return FileRecord(
            file_id=head.file_id,
            caller=head.caller,
            name=head.name,
            purpose=head.purpose,
            byte_count=self._byte_count,
            sha256=self._sha256.hexdigest(),
            chunks=self._counts,
            endpoints=sorted(self._endpoints),
            created_ms=head.created_ms,
            expires_ms=head.expires_ms,
            id_hashes=self._index.inline(),
            id_blocks=len(self._index.blocks()),
        )

    async def _store_object(self, key: str, value: bytes) -> Refusal | None:
        created = await self._create_object(key, value)
        return created.err_value if isinstance(created, Err) else None

    async def _create_object(self, key: str, value: bytes) -> Result[int, Refusal]:
        deps = self._deps
        written = await store_access.retry_while_unavailable(
            deps, STORE_TIMEOUT_MS, lambda: store_access.create(deps, key, value)
        )
        reason = "the file is not stored: the store does not answer"
        return written.map_err(lambda _: not_run_refusal(ErrorKind.STORE_UNAVAILABLE, reason))

    def _refuse(self, error: LineError) -> Refusal:
        events.emit(
            events.FILE_REFUSED, caller=self.head.caller, line=error.line, reason=error.reason
        )
        return not_run_refusal(ErrorKind.BAD_REQUEST, f"line {error.line}: {error.reason}")
