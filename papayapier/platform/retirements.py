"""Speak of requests to empty a machine."""

from enum import Enum
from typing import Final

import msgspec

RETIREMENTS_PREFIX: Final = "retirements/"


class Stage(Enum):
    """Name how far the emptying of a machine is, in the platform's words."""

    UNDER_WAY = "running"
    DONE = "completed"


def status_key(node_id: str) -> str:
    """Return the key under which the answer to a request is written."""
    return f"{RETIREMENTS_PREFIX}{node_id}/status"


def write_stage(stage: Stage) -> bytes:
    """Encode the answer."""
    return msgspec.json.encode({"state": stage.value})
