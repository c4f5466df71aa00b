"""Collect the numbered events that are logged, so that a test can check them."""

from typing import Any

import logbook

from papayapier.events import Event


class LogCapture(logbook.Handler):  # type: ignore[misc]
    """Collect every logged event with its fields."""

    def __init__(self) -> None:
        super().__init__(logbook.DEBUG, bubble=False)
        self.records: list[tuple[Event, dict[str, Any]]] = []

    def emit(self, record: logbook.LogRecord) -> None:
        self.records.append((record.extra["event"], record.extra["fields"]))

    def fields_of(self, event: Event) -> list[dict[str, Any]]:
        """Return the fields of each log line of an event."""
        return [fields for seen, fields in self.records if seen is event]
