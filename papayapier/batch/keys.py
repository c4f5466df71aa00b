"""Name the objects that batch work keeps in the platform's store.

An active job and an ended one have different prefixes, so that the listing by which every
instance finds its work grows with the jobs that run and not with those that are kept.
Numbers are padded with zeros, so that a listing comes in their order.
"""

from typing import Final

ACTIVE_PREFIX: Final = "jobs/active/"
ENDED_PREFIX: Final = "jobs/ended/"
FILE_PREFIX: Final = "files/"
EXPIRY_PREFIX: Final = "expiry/"
LEASE_PREFIX: Final = "leases/"
SESSION_PREFIX: Final = "sessions/"


def file_key(file_id: str) -> str:
    """Name the record of an input file; it exists once all of the file is stored."""
    return f"{FILE_PREFIX}{file_id}"


def chunk_prefix(file_id: str) -> str:
    """Name the prefix of a file's chunks."""
    return f"chunks/{file_id}/"


def chunk_key(file_id: str, chunk: int) -> str:
    """Name one chunk of an input file."""
    return f"{chunk_prefix(file_id)}{chunk:06d}"


def index_prefix(file_id: str) -> str:
    """Name the prefix of a file's index blocks."""
    return f"index/{file_id}/"


def index_key(file_id: str, block: int) -> str:
    """Name one block of hashes of a file's custom ids."""
    return f"{index_prefix(file_id)}{block:06d}"


def active_key(job_id: str) -> str:
    """Name the record of a job that is accepted and not ended; creating it accepts the job."""
    return f"{ACTIVE_PREFIX}{job_id}"


def ended_key(job_id: str) -> str:
    """Name the record of a job that has ended."""
    return f"{ENDED_PREFIX}{job_id}"


def progress_prefix(job_id: str) -> str:
    """Name the prefix of a job's checkpoints."""
    return f"progress/{job_id}/"


def progress_key(job_id: str, task: int) -> str:
    """Name the checkpoint of a task that is under way."""
    return f"{progress_prefix(job_id)}{task:06d}"


def results_prefix(job_id: str) -> str:
    """Name the prefix of the results of a job's finished tasks."""
    return f"results/{job_id}/"


def results_key(job_id: str, task: int) -> str:
    """Name the results of a finished task; creating it records them, once."""
    return f"{results_prefix(job_id)}{task:06d}"


def spill_prefix(job_id: str) -> str:
    """Name the prefix of a job's results that did not fit beside the others."""
    return f"spill/{job_id}/"


def spill_key(job_id: str, task: int, writer: str) -> str:
    """Name one part of a task's results; writer is drawn anew for each part."""
    return f"{spill_prefix(job_id)}{task:06d}/{writer}"


def lease_key(shard: int) -> str:
    """Name the lease of a shard."""
    return f"{LEASE_PREFIX}{shard:06d}"


def session_key(holder: str) -> str:
    """Name the session of one run of an instance."""
    return f"{SESSION_PREFIX}{holder}"


def expiry_key(at_ms: int, kind: str, object_id: str) -> str:
    """Name the mark that a file or job expires at a wall-clock time."""
    return f"{EXPIRY_PREFIX}{at_ms:015d}/{kind}/{object_id}"


def last_part(key: str) -> str:
    """Return what follows the last slash of a key."""
    return key.rpartition("/")[2]
