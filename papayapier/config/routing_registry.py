"""Hold the operator's routes in force, which only a newer version replaces."""

from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.config.route_table import (
    NO_POSITION,
    ConfigPosition,
    RouteTable,
    RoutingConfig,
)
from papayapier.store.api import Change, Store

STORE: Final = "store"


class RoutingRegistry:
    """Hold the newest routing configuration received; read decodes one."""

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
        """Return the version of the operator's configuration in force, or 0."""
        return self._table.cfg.version if self._table is not None else 0

    def position(self) -> ConfigPosition:
        """Return the position of the configuration in force, or NO_POSITION."""
        return self._table.position if self._table is not None else NO_POSITION

    def watch(self, listener: Callable[[RouteTable], None]) -> None:
        """Register a callback for each route table that comes into force."""
        self._listeners.append(listener)

    def on_change(self, change: Change) -> None:
        """Process a change of the configuration reported by the store."""
        if change.key != self.key:
            return
        if change.deleted:
            events.emit(events.CONFIG_MISSING, key=change.key)
            return
        self.apply_if_newer(change.version, change.value, STORE)

    def apply_if_newer(self, revision: int, value: bytes, source: str) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if revision <= self.revision:
            return False
        read = self._read(value)
        if isinstance(read, Err):
            events.emit(events.CONFIG_UNREADABLE, key=self.key, reason=read.err_value)
            return False
        # A delayed copy of an older version must not replace a newer one, whatever its revision.
        if read.ok_value.version < self.version():
            return False
        self.revision = revision
        self.value = value
        self._table = RouteTable(read.ok_value, revision)
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

    def is_current(self, revision: int, value: bytes) -> bool:
        """Return whether the routes in force are at least as new as a stored configuration."""
        if revision <= self.revision:
            return True
        read = self._read(value)
        return isinstance(read, Ok) and read.ok_value.version < self.version()


async def read_from_store(store: Store, routing: RoutingRegistry) -> bool:
    """Read the configuration from the store, and apply it if it is newer.

    Return whether the routes in force are at least as new as the stored ones.
    """
    found = await store.get(routing.key)
    if isinstance(found, Err):
        return False
    stored = found.ok_value
    routing.apply_if_newer(stored.version, stored.value, STORE)
    return routing.is_current(stored.version, stored.value)
