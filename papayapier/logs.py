"""Send log records to standard error as JSON or text lines."""

import sys
from typing import TYPE_CHECKING, TextIO

import logbook

from papayapier import events

if TYPE_CHECKING:
    from papayapier.settings import LogSettings


def start_logs(cfg: "LogSettings", stream: TextIO | None = None) -> logbook.Handler:
    """Install the handler for the whole process and return it."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=events.Level[cfg.level.upper()].value
    )
    handler.formatter = events.format_json if cfg.form == "json" else events.format_text
    handler.push_application()
    return handler
