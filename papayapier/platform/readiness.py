"""Name the path at which the platform asks whether a process may be sent callers."""

from typing import Final

READINESS_PATH: Final = b"/v1/readiness"
