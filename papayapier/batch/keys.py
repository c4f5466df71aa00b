"""Build the keys of the objects that batch jobs keep in the platform's store.

Active and ended jobs have different prefixes, so that the listing by which every instance
finds its jobs grows with the running jobs and not with the retained ones. Numbers are padded
with zeros, so that listings are in numeric order.
"""

from typing import Final

ACTIVE_PREFIX: Final = "jobs/active/"
ENDED_PREFIX: Final = "jobs/ended/"
FILE_PREFIX: Final = "files/"
EXPIRY_PREFIX: Final = "expiry/"
LEASE_PREFIX: Final = "leases/"
SESSION_PREFIX: Final = "sessions/"


def file_key(file_id: str) -> str:
    """Return the key of an input file's record, which is created after all other objects."""
    return f"{FILE_PREFIX}{file_id}"


def chunk_prefix(file_id: str) -> str:
    """Return the prefix of a file's chunks."""
    return f"chunks/{file_id}/"


def chunk_key(file_id: str, chunk: int) -> str:
    """Return the key of one chunk of an input file."""
    return f"{chunk_prefix(file_id)}{chunk:06d}"


def index_prefix(file_id: str) -> str:
    """Return the prefix of a file's index blocks."""
    return f"index/{file_id}/"


def index_key(file_id: str, block: int) -> str:
    """Return the key of one block of hashes of a file's custom ids."""
    return f"{index_prefix(file_id)}{block:06d}"


def active_key(job_id: str) -> str:
    """Return the key of an active job's record; creating that object accepts the job."""
    return f"{ACTIVE_PREFIX}{job_id}"


def ended_key(job_id: str) -> str:
    """Return the key of an ended job's record."""
    return f"{ENDED_PREFIX}{job_id}"


def progress_prefix(job_id: str) -> str:
    """Return the prefix of a job's checkpoints."""
    return f"progress/{job_id}/"


def progress_key(job_id: str, task: int) -> str:
    """Return the key of the checkpoint of an unfinished task."""
    return f"{progress_prefix(job_id)}{task:06d}"


def results_prefix(job_id: str) -> str:
    """Return the prefix of the results of a job's finished tasks."""
    return f"results/{job_id}/"


def results_key(job_id: str, task: int) -> str:
    """Return the key of a finished task's results; creating that object records them once."""
    return f"{results_prefix(job_id)}{task:06d}"


def spill_prefix(job_id: str) -> str:
    """Return the prefix of a job's results that are stored in separate objects."""
    return f"spill/{job_id}/"


def spill_key(job_id: str, task: int, writer: str) -> str:
    """Return the key of one spilled part of a task's results; writer is unique to each part."""
    return f"{spill_prefix(job_id)}{task:06d}/{writer}"


def lease_key(shard: int) -> str:
    """Return the key of a shard's lease."""
    return f"{LEASE_PREFIX}{shard:06d}"


def session_key(holder: str) -> str:
    """Return the key of the session of one run of an instance."""
    return f"{SESSION_PREFIX}{holder}"


def expiry_key(at_ms: int, kind: str, object_id: str) -> str:
    """Return the key of the marker that a file or job expires at a wall-clock time."""
    return f"{EXPIRY_PREFIX}{at_ms:015d}/{kind}/{object_id}"


def last_part(key: str) -> str:
    """Return what follows the last slash of a key."""
    return key.rpartition("/")[2]
