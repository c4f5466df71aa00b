"""Define the keys and values of the platform's requests to retire a machine."""

from enum import Enum
from typing import Final

import msgspec

RETIREMENTS_PREFIX: Final = "retirements/"


class Stage(Enum):
    """Define the stages of a machine's retirement; values are the platform's names."""

    UNDER_WAY = "running"
    DONE = "completed"


def status_key(node_id: str) -> str:
    """Return the key under which the stage of a machine's retirement is written."""
    return f"{RETIREMENTS_PREFIX}{node_id}/status"


def encode_stage(stage: Stage) -> bytes:
    """Encode a stage as the platform expects it."""
    return msgspec.json.encode({"state": stage.value})
