"""Define the path of the platform's readiness checks."""

from typing import Final

READINESS_PATH: Final = b"/v1/readiness"
