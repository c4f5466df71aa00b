"""Keep the platform's instance list, which shows changes only after a lag."""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

from papayapier.clock import Clock, Timer
from papayapier.standin.timers import Timers
from papayapier.store.api import LEAVING, Member

EXPIRY_MS: Final = 10_000


class InstanceList:
    """Hold the members as reported, and the list as callers see it."""

    __slots__ = (
        "_clock",
        "_expiries",
        "_lag_ms",
        "_leaving",
        "_listed",
        "_on_change",
        "_pending",
        "_removed",
        "_reported",
        "revision",
    )

    def __init__(
        self, clock: Clock, lag_ms: Callable[[], int], on_change: Callable[[], None]
    ) -> None:
        self.revision = 1
        self._clock = clock
        self._lag_ms = lag_ms
        self._on_change = on_change
        self._reported: dict[str, Member] = {}
        self._listed: dict[str, Member] = {}
        self._expiries: dict[str, Timer] = {}
        self._pending = Timers(clock)
        self._leaving: frozenset[str] = frozenset()
        self._removed: frozenset[str] = frozenset()

    def is_member(self, instance: str) -> bool:
        """Return whether an instance is a member, whether or not the list shows it yet."""
        return instance in self._reported

    def set_overrides(self, leaving: Iterable[str], removed: Iterable[str]) -> None:
        """List these members as leaving or not at all, overriding their own reports."""
        before = {instance: self._effective(instance) for instance in self._reported}
        self._leaving, self._removed = frozenset(leaving), frozenset(removed)
        for instance, member in before.items():
            if self._effective(instance) != member:
                self._publish_later(instance)

    def listed(self) -> list[Member]:
        """Return the list as callers see it."""
        return list(self._listed.values())

    def report(self, member: Member) -> None:
        """Record a report; the list changes only when the record is new or different."""
        self._start_expiry(member)
        if self._reported.get(member.id) == member:
            return
        self._reported[member.id] = member
        self._publish_later(member.id)

    def withdraw(self, instance: str) -> None:
        """Remove an instance."""
        self._stop_expiry(instance)
        if self._reported.pop(instance, None) is not None:
            self._publish_later(instance)

    def publish_now(self) -> None:
        """Publish all members without lag, for the start of a fleet."""
        self._pending.cancel_all()
        effective = {instance: self._effective(instance) for instance in self._reported}
        self._listed = {instance: member for instance, member in effective.items() if member}
        self._changed()

    def pause_expiry(self) -> None:
        """Suspend expiry, because no reports arrive during an outage."""
        for instance in list(self._expiries):
            self._stop_expiry(instance)

    def resume_expiry(self) -> None:
        """Resume expiry, giving every member a full expiry period."""
        for member in self._reported.values():
            self._start_expiry(member)

    def close(self) -> None:
        """Stop all timers."""
        self._pending.cancel_all()
        self.pause_expiry()

    def _start_expiry(self, member: Member) -> None:
        self._stop_expiry(member.id)
        if not member.static:
            call = partial(self.withdraw, member.id)
            self._expiries[member.id] = self._clock.call_later(EXPIRY_MS, call)

    def _stop_expiry(self, instance: str) -> None:
        timer = self._expiries.pop(instance, None)
        if timer is not None and timer.active():
            timer.cancel()

    def _publish_later(self, instance: str) -> None:
        call = partial(self._publish, instance, self._effective(instance))
        self._pending.call_later(self._lag_ms(), call)

    def _effective(self, instance: str) -> Member | None:
        member = self._reported.get(instance)
        if member is None or instance in self._removed:
            return None
        return member._replace(state=LEAVING) if instance in self._leaving else member

    def _publish(self, instance: str, member: Member | None) -> None:
        if member is None:
            self._listed.pop(instance, None)
        else:
            self._listed[instance] = member
        self._changed()

    def _changed(self) -> None:
        self.revision += 1
        self._on_change()
