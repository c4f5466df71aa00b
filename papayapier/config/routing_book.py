"""Hold the operator's routes that are in force; only a newer version replaces them."""

from collections.abc import Callable
from typing import Final

from result import Err, Result

from papayapier import events
from papayapier.config.route_table import RouteTable, RoutingConfig
from papayapier.store.api import Change

STORE: Final = "store"


class RoutingBook:
    """Hold the newest configuration seen; read decodes one."""

    def __init__(self, key: str, read: "Callable[[bytes], Result[RoutingConfig, str]]") -> None:
        self.key = key
        self.revision = 0
        self.value = b""
        self._read = read
        self._table: RouteTable | None = None
        self._listeners: list[Callable[[RouteTable], None]] = []

    def table(self) -> RouteTable | None:
        """Return the routes in force, or None while none are known."""
        return self._table

    def version(self) -> int:
        """Return the operator's version in force, or 0."""
        return self._table.cfg.version if self._table is not None else 0

    def watch(self, listener: Callable[[RouteTable], None]) -> None:
        """Call back with each table that comes into force."""
        self._listeners.append(listener)

    def on_change(self, change: Change) -> None:
        """Take what the store says of the configuration."""
        if change.key != self.key:
            return
        if change.deleted:
            events.emit(events.CONFIG_MISSING, key=change.key)
            return
        self.offer(change.version, change.value, STORE)

    def offer(self, revision: int, value: bytes, source: str) -> bool:
        """Bring a configuration into force if it is newer; tell whether it was."""
        if revision <= self.revision:
            return False
        read = self._read(value)
        if isinstance(read, Err):
            events.emit(events.CONFIG_UNREADABLE, key=self.key, reason=read.err_value)
            return False
        # A late copy of an older version must not undo a newer one, whatever its revision.
        if read.ok_value.version < self.version():
            return False
        self.revision = revision
        self.value = value
        self._table = RouteTable(read.ok_value)
        events.emit(
            events.CONFIG_APPLIED,
            key=self.key,
            version=read.ok_value.version,
            revision=revision,
            source=source,
        )
        for listener in self._listeners:
            listener(self._table)
        return True
