"""Serve online and batch inference on one fleet."""

from typing import Final

VERSION: Final = "0.1.0"
