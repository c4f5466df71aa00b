"""Define what batch work keeps in the platform's store, as msgpack arrays.

Fields are only added at the end with a default, so that a newer release reads what an older
one has written.
"""

from enum import Enum
from typing import Final, NamedTuple

from papayapier.config.profiles import Profile

# Room is left under the store's bound for the fields around the items.
CHUNK_BYTES: Final = 450_000
SPILL_BYTES: Final = 700_000
LINE_BYTES: Final = 700_000
RESULT_BYTES: Final = 200_000
REASON_CHARS: Final = 300


class InputItem(NamedTuple):
    """Hold one line of an input file; body is its JSON as it came."""

    custom_id: str
    method: str
    url: str
    body: bytes


class FileRecord(NamedTuple):
    """Describe an input file; chunks holds the number of items of each chunk.

    id_hashes holds 64-bit hashes of the custom ids in their order when they are few; for a
    long file they are in id_blocks objects of their own.
    """

    file_id: str
    caller: str
    name: str
    purpose: str
    byte_count: int
    sha256: str
    chunks: list[int]
    endpoints: list[str]
    created_ms: int
    expires_ms: int
    id_hashes: bytes = b""
    id_blocks: int = 0
    deleted: bool = False

    def items(self) -> int:
        """Return the number of items."""
        return sum(self.chunks)


class Tally(NamedTuple):
    """Count ended items by how they ended; cancelled items never ran."""

    completed: int = 0
    failed: int = 0
    unknown: int = 0
    cancelled: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sums."""
        return Tally(*(a + b for a, b in zip(self, other, strict=True)))

    def total(self) -> int:
        """Return how many items have ended."""
        return sum(self)


class JobState(Enum):
    """Name the states of a job."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    ENDING = "ending"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class JobRecord(NamedTuple):
    """Describe a job from acceptance to expiry.

    profile is a copy from acceptance: it is used when operators have removed the profile
    since. cancel_version is the version that the record got by the cancel.
    """

    job_id: str
    caller: str
    key: str
    request_sha256: str
    file_id: str
    file_sha256: str
    endpoint: str
    window: str
    metadata: dict[str, str]
    profile: Profile
    chunks: list[int]
    task_items: int
    created_ms: int
    due_ms: int
    state: JobState = JobState.RUNNING
    tally: Tally = Tally()
    tally_ms: int = 0
    cancel_ms: int = 0
    cancel_version: int = 0
    ended_ms: int = 0
    expires_ms: int = 0

    def items(self) -> int:
        """Return the number of items."""
        return sum(self.chunks)


class ItemState(Enum):
    """Name the ways in which an item ends."""

    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class ItemResult(NamedTuple):
    """Record how one item ended; item counts from the start of its task.

    status and body are the upstream's; kind and reason tell of a refusal. commit is the
    number of the checkpoint that first carried this result.
    """

    item: int
    custom_id: str
    state: ItemState
    status: int
    body: bytes
    is_json: bool
    kind: str
    reason: str
    attempts: int
    ended_ms: int
    commit: int = 0


class Checkpoint(NamedTuple):
    """Hold what must survive the loss of a task's holder.

    writer tells one write from any other. versions holds the store's versions of the earlier
    checkpoints, so that a reader can tell which results were recorded before a cancel.
    intents are the items that may have been sent and have no result. attempts counts failed
    attempts of items that have not ended. spilled names parts with further results. sealed
    says that the job is cancelled and the task may not be gone on with.
    """

    writer: str
    fence: int
    losses: int
    versions: list[int]
    intents: list[int]
    attempts: list[tuple[int, int]]
    results: list[ItemResult]
    spilled: list[str]
    sealed: bool = False


class TaskResults(NamedTuple):
    """Hold the results of a finished task, but for those in the spilled parts."""

    writer: str
    fence: int
    tally: Tally
    results: list[ItemResult]
    spilled: list[str]


class LeaseRecord(NamedTuple):
    """Hold who owns a shard; lossy says that the holder before was lost with work under way."""

    holder: str
    lossy: bool = False


class SessionRecord(NamedTuple):
    """Show by its changing version that one run of an instance lives."""

    holder: str
    renewals: int


def tally_of(results: list[ItemResult]) -> Tally:
    """Count results by state."""
    states = [result.state for result in results]
    return Tally(
        completed=states.count(ItemState.COMPLETED),
        failed=states.count(ItemState.FAILED),
        unknown=states.count(ItemState.UNKNOWN),
        cancelled=states.count(ItemState.CANCELLED),
    )
