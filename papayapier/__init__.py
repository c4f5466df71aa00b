"""Serve online and batch inference requests on one fleet of replicas."""

from typing import Final

VERSION: Final = "0.1.0"
