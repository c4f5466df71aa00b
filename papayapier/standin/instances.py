"""Keep the platform's instance list, which shows changes only after a lag."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

from papayapier.clock import Clock, Timer
from papayapier.standin.timers import Timers
from papayapier.store.api import LEAVING, Member

EXPIRY_MS: Final = 10_000


class Instances:
    """Hold the members as reported, and the list as callers see it."""

    __slots__ = (
        "_clock",
        "_expiries",
        "_lag_ms",
        "_leaving",
        "_on_change",
        "_pending",
        "_removed",
        "_shown",
        "_true",
        "revision",
    )

    def __init__(
        self, clock: Clock, lag_ms: Callable[[], int], on_change: Callable[[], None]
    ) -> None:
        self.revision = 1
        self._clock = clock
        self._lag_ms = lag_ms
        self._on_change = on_change
        self._true: dict[str, Member] = {}
        self._shown: dict[str, Member] = {}
        self._expiries: dict[str, Timer] = {}
        self._pending = Timers(clock)
        self._leaving: frozenset[str] = frozenset()
        self._removed: frozenset[str] = frozenset()

    def knows(self, instance: str) -> bool:
        """Return whether an instance is a member, whether or not the list shows it yet."""
        return instance in self._true

    def mark(self, leaving: Iterable[str], removed: Iterable[str]) -> None:
        """List these members as leaving or not at all, overriding their own reports."""
        was = {instance: self._marked(instance) for instance in self._true}
        self._leaving, self._removed = frozenset(leaving), frozenset(removed)
        for instance, member in was.items():
            if self._marked(instance) != member:
                self._show_later(instance)

    def shown(self) -> list[Member]:
        """Return the list as callers see it."""
        return list(self._shown.values())

    def report(self, member: Member) -> None:
        """Record a report; the list changes only when the record is new or different."""
        self._expire_later(member)
        if self._true.get(member.id) == member:
            return
        self._true[member.id] = member
        self._show_later(member.id)

    def withdraw(self, instance: str) -> None:
        """Remove an instance."""
        self._stop_expiry(instance)
        if self._true.pop(instance, None) is not None:
            self._show_later(instance)

    def show_now(self) -> None:
        """Publish all members without lag, for the start of a fleet."""
        self._pending.cancel_all()
        marked = {instance: self._marked(instance) for instance in self._true}
        self._shown = {instance: member for instance, member in marked.items() if member}
        self._changed()

    def pause_expiry(self) -> None:
        """Suspend expiry, because no reports arrive during an outage."""
        for instance in list(self._expiries):
            self._stop_expiry(instance)

    def resume_expiry(self) -> None:
        """Resume expiry, giving every member a full expiry period."""
        for member in self._true.values():
            self._expire_later(member)

    def close(self) -> None:
        """Stop all timers."""
        self._pending.cancel_all()
        self.pause_expiry()

    def _expire_later(self, member: Member) -> None:
        self._stop_expiry(member.id)
        if not member.static:
            call = partial(self.withdraw, member.id)
            self._expiries[member.id] = self._clock.call_later(EXPIRY_MS, call)

    def _stop_expiry(self, instance: str) -> None:
        timer = self._expiries.pop(instance, None)
        if timer is not None and timer.active():
            timer.cancel()

    def _show_later(self, instance: str) -> None:
        call = partial(self._show, instance, self._marked(instance))
        self._pending.call_later(self._lag_ms(), call)

    def _marked(self, instance: str) -> Member | None:
        member = self._true.get(instance)
        if member is None or instance in self._removed:
            return None
        return member._replace(state=LEAVING) if instance in self._leaving else member

    def _show(self, instance: str, member: Member | None) -> None:
        if member is None:
            self._shown.pop(instance, None)
        else:
            self._shown[instance] = member
        self._changed()

    def _changed(self) -> None:
        self.revision += 1
        self._on_change()
