"""Define the records that batch jobs keep in the platform's store, as msgpack arrays.

New fields are only added at the end and with a default, so that a newer release can read the
records of an older one.
"""

from enum import Enum
from typing import Final, NamedTuple

from papayapier.config.profiles import Profile

# The limits stay below the store's limit for an object, for the fields around the items.
MAX_CHUNK_BYTES: Final = 450_000
SPILL_THRESHOLD_BYTES: Final = 700_000
MAX_LINE_BYTES: Final = 700_000
MAX_RESULT_BYTES: Final = 200_000
MAX_REASON_CHARS: Final = 300


class InputItem(NamedTuple):
    """Hold one line of an input file; body is its JSON, byte for byte as received."""

    custom_id: str
    method: str
    url: str
    body: bytes


class FileRecord(NamedTuple):
    """Describe an input file; chunks holds the number of items of each chunk.

    id_hashes holds the 64-bit hashes of the custom ids in item order if there are few of them;
    for a long file they are stored in id_blocks separate objects.
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

    def item_count(self) -> int:
        """Return the number of items."""
        return sum(self.chunks)


class Tally(NamedTuple):
    """Count ended items by their outcome; cancelled items never ran."""

    completed: int = 0
    failed: int = 0
    unknown: int = 0
    cancelled: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of both counts."""
        return Tally(*(a + b for a, b in zip(self, other, strict=True)))

    def total(self) -> int:
        """Return the number of ended items."""
        return sum(self)


class JobState(Enum):
    """List the states of a job."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    ENDING = "ending"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class JobRecord(NamedTuple):
    """Describe a job from acceptance to expiry.

    profile is a copy made at acceptance; it is used if operators have removed the profile
    since. cancel_version is the version of the record that the cancel created.
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

    def item_count(self) -> int:
        """Return the number of items."""
        return sum(self.chunks)


class ItemState(Enum):
    """List the outcomes of an item."""

    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class ItemResult(NamedTuple):
    """Record the outcome of one item; item is its index in the task.

    status and body come from the upstream; kind and reason describe a refusal. commit is the
    index of the first checkpoint that contains this result.
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
    """Hold the state of a task that must survive the loss of its holder.

    writer identifies this write. versions holds the store's versions of the earlier
    checkpoints, so that a reader can tell which results were stored before a cancel. intents
    are the items that may have been sent and have no result. attempts counts the failed
    attempts of items that have not ended. spilled lists the keys of objects with further
    results. sealed means that the job is cancelled and the task must not be continued.
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
    """Hold the results of a finished task, except those in the spilled objects."""

    writer: str
    fence: int
    tally: Tally
    results: list[ItemResult]
    spilled: list[str]


class LeaseRecord(NamedTuple):
    """Hold the owner of a shard; holder_lost: the previous holder was lost while it ran tasks."""

    holder: str
    holder_lost: bool = False


class SessionRecord(NamedTuple):
    """Show by its changing version that one run of an instance is live."""

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
