"""Quarantine requests that crash the replicas that run them.

Motivation: one request ends each replica that starts to run it, and is sent again, through any
instance and under another id. Each time costs a replica for as long as its restart takes, with
every call that is open there: one such request ended nine replicas within eleven seconds.

Which of the calls open at a replica ended it cannot be observed. What can be observed is which
requests were open each time. Requests are identified by a fingerprint of method, host, path and
body. A fingerprint counts a loss for each replica that was lost while it ran the request, and a
complete answer takes one loss away, so that a request that is sent often and answered is never
quarantined. Losses under items of jobs do not count here; policy/item_losses.py has those. A
fingerprint that was answered shortly before its first loss has a higher limit:
beside a crashing request it collects the same losses, and only the earlier answer tells the two
apart. Any instance may have answered it, so a recent answer counts wherever it was given, for as
long as the losses are kept.

A loss is withdrawn if the replica turns out to be alive: it answers a call sent later, or is still
listed when its end would long have been noticed. So a reset connection or a late answer quarantines
nothing.

A send that ended in silence shows less than a connection that was cut: its replica may only be
slow. Until such a loss is settled it makes a request a suspect, but does not quarantine it. The
request is undecided then: it is neither sent nor refused for minutes.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Final, NamedTuple

from papayapier.policy.item_losses import ITEM_PAUSE_MS
from papayapier.policy.recent_answers import RecentAnswers
from papayapier.policy.send_windows import SendWindows

# Two losses may be chance: where a third of the replicas end at once, one request in thirty is at
# two of them, counting its own retries. At a third loss of the same fingerprint, chance is the less
# likely explanation.
MAX_LOSSES: Final = 3
# A request that replicas have answered recently was most likely only open when they crashed.
MAX_LOSSES_ANSWERED: Final = 6
ANSWERED_RECENTLY_MS: Final = 60_000
# Pause before a request with two losses is resent: longer than most calls that are open beside it,
# so that those are answered meanwhile, or are not open beside it the next time.
SUSPECT_PAUSE_MS: Final = 400
# A peer's notification of an answer may arrive this long before that of the losses. Kept longer,
# instances would forward it to each other without end.
ANSWER_REPORT_MS: Final = 5_000
# Bounds the memory that answered fingerprints take.
MAX_ANSWERED: Final = 10_000
# How long a fingerprint is quarantined after its last loss. A start with weights to load takes
# minutes, and trying whether a repaired model can run the request costs at most one replica in that
# time.
QUARANTINE_MS: Final = 600_000
# An ended replica leaves the list after three missed heartbeats, four seconds, and instances know a
# second later. A replica that is listed after twice that time has not ended.
LISTED_ALIVE_MS: Final = 10_000
# Calls lost by one end notice it at once where connections are reset, else after the longest
# silence that they tolerate, four seconds. A later loss under the same name is another end: some
# replicas restart under their name.
SAME_LOSS_MS: Final = 5_000
# Shortest retry time for a caller whose request has unconfirmed losses.
MIN_RETRY_MS: Final = 1_000
# Fingerprints without a new loss for this long are forgotten.
FORGET_MS: Final = 3_600_000
# A crashed replica adds as many fingerprints as it had calls, ten or so. A thousand with three
# losses each take 1.0 MB and 3.6 ms a sweep.
MAX_FINGERPRINTS: Final = 1_000
MAX_LOSSES_KEPT: Final = 8
# Size of the snapshot sent to an instance that has just started: 16 kB.
MAX_SNAPSHOT_LOSSES: Final = 500


class ReplicaLoss(NamedTuple):
    """Report that a replica was lost while it ran a request, and how long ago.

    fingerprint identifies the request. recently_answered says that it had been answered in the
    minute before its first loss, silent that no end of a connection showed the loss.
    """

    fingerprint: str
    replica: str
    age_ms: int
    recently_answered: bool = False
    silent: bool = False


class _LossRecord:
    """Record one loss; confirmed says that a later heartbeat or answer is from a restart."""

    __slots__ = ("at_ms", "confirmed", "received_ms", "replica", "silent")

    def __init__(self, replica: str, at_ms: int, received_ms: int, silent: bool) -> None:
        self.replica = replica
        self.at_ms = at_ms
        self.received_ms = received_ms
        self.silent = silent
        self.confirmed = False

    def is_settled(self, now: int) -> bool:
        """Tell whether the list of replicas alone can no longer withdraw the loss."""
        return self.confirmed or self.received_ms + LISTED_ALIVE_MS <= now

    def is_doubtful(self, now: int) -> bool:
        """Tell whether the replica may only be slow."""
        return self.silent and not self.is_settled(now)


class _FingerprintRecord:
    """Record the losses of one fingerprint, and its answers since the first loss.

    max_losses is the number of losses from which on it is quarantined.
    """

    __slots__ = ("answered", "last_ms", "losses", "max_losses")

    def __init__(self, max_losses: int) -> None:
        self.max_losses = max_losses
        self.losses: list[_LossRecord] = []
        self.answered = 0
        self.last_ms = 0

    def net_losses(self) -> int:
        return len(self.losses) - self.answered

    def has_max_losses(self) -> bool:
        return self.net_losses() >= self.max_losses

    def is_undecided(self, now: int) -> bool:
        """Tell whether only losses of replicas that may be slow would quarantine it."""
        doubtful = sum(loss.is_doubtful(now) for loss in self.losses)
        return self.has_max_losses() and self.net_losses() - doubtful < self.max_losses

    def is_suspect(self) -> bool:
        """Tell whether one more loss would quarantine it, and no recent answer clears it."""
        return not self.is_answered() and self.net_losses() == MAX_LOSSES - 1

    def is_answered(self) -> bool:
        return self.max_losses == MAX_LOSSES_ANSWERED

    def find_loss(self, replica: str, at_ms: int) -> _LossRecord | None:
        """Return the recorded loss that a report of a loss is about, if there is one."""
        for record in self.losses:
            if record.replica == replica and abs(record.at_ms - at_ms) < SAME_LOSS_MS:
                return record
        return None


class CrashTracker:
    """Track the fingerprints of requests during which replicas were lost."""

    def __init__(self) -> None:
        self._records: dict[str, _FingerprintRecord] = {}
        self._answered_here = RecentAnswers(MAX_ANSWERED, ANSWERED_RECENTLY_MS)
        # Answers that other instances have reported.
        self._answered_elsewhere = RecentAnswers(MAX_FINGERPRINTS, ANSWER_REPORT_MS)
        # Fingerprints with a loss, by the replica that may yet turn out to be alive.
        self._unconfirmed: dict[str, set[str]] = {}
        self._listed: frozenset[str] = frozenset()
        self._leaving: dict[str, None] = {}
        # Fingerprints with enough losses to be quarantined.
        self._at_limit: set[str] = set()
        # When suspects, which one more loss would quarantine, may be sent.
        self.send_windows = SendWindows()
        # Incremented with each change of the recorded losses.
        self.change_count = 0

    def is_empty(self) -> bool:
        """Tell whether no fingerprint has a loss."""
        return not self._records

    def has_losses(self, fingerprint: str) -> bool:
        """Tell whether a fingerprint has a loss."""
        return fingerprint in self._records

    def lost_replicas(self, fingerprint: str) -> list[str]:
        """Return the replicas that were lost under a fingerprint."""
        record = self._records.get(fingerprint)
        return [loss.replica for loss in record.losses] if record is not None else []

    def quarantine_ms(self, fingerprint: str, now: int) -> int:
        """Return for how long a request is quarantined, in ms; 0 if it may be sent."""
        record = self._records.get(fingerprint)
        if record is None or not record.has_max_losses() or record.is_undecided(now):
            return 0
        return max(0, record.last_ms + QUARANTINE_MS - now)

    def is_undecided(self, fingerprint: str, now: int) -> bool:
        """Tell whether a request may not be sent until the losses of slow replicas are settled."""
        record = self._records.get(fingerprint)
        return record is not None and record.is_undecided(now)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether one more loss would quarantine a request that nobody answered recently."""
        record = self._records.get(fingerprint)
        return record is not None and record.is_suspect()

    def suspects(self) -> frozenset[str]:
        """Return the fingerprints that one more loss would quarantine."""
        return self.send_windows.suspects()

    def shares_loss(self, fingerprint: str, replicas: Collection[str]) -> bool:
        """Tell whether a request has an uncleared loss at one of some replicas."""
        record = self._records.get(fingerprint)
        if record is None or record.is_answered():
            return False
        return any(loss.replica in replicas for loss in record.losses)

    def ms_since_loss(self, fingerprint: str, now: int) -> int:
        """Return the time since the last loss of a fingerprint, in ms; FORGET_MS without one."""
        record = self._records.get(fingerprint)
        return FORGET_MS if record is None else now - record.last_ms

    def suspect_pause_ms(self, fingerprint: str) -> int:
        """Return the shortest pause before a request that may soon be quarantined, in ms.

        Retries of two requests that follow each other at once end up at the same replicas, so that
        the one that ends them cannot be told from the one that is open there by chance.
        """
        record = self._records.get(fingerprint)
        if record is None or record.has_max_losses():
            return 0
        return SUSPECT_PAUSE_MS if record.net_losses() >= MAX_LOSSES - 1 else 0

    def item_pause_ms(self, fingerprint: str, now: int) -> int:
        """Return for how long an item equal to a request is not sent, in ms; 0 if it may be.

        An equal request that is quarantined delays the item, but does not keep it from being sent.
        An item with other suspects waits until the online requests among them have had their send
        windows.
        """
        record = self._records.get(fingerprint)
        if record is None or (
            record.net_losses() < MAX_LOSSES and not self.send_windows.other_suspects(fingerprint)
        ):
            return 0
        return max(0, record.last_ms + ITEM_PAUSE_MS - now)

    def quarantined(self, now: int) -> frozenset[str]:
        """Return the fingerprints that are quarantined."""
        return frozenset(
            fingerprint for fingerprint in self._at_limit if self.quarantine_ms(fingerprint, now)
        )

    def retry_after_ms(self, fingerprint: str, now: int) -> int:
        """Return when the caller of a quarantined request may retry, in ms.

        While too few of its losses are confirmed, that is the time by which they will be.
        """
        record = self._records[fingerprint]
        unconfirmed = [loss for loss in record.losses if not loss.is_settled(now)]
        if record.net_losses() - len(unconfirmed) >= record.max_losses:
            return self.quarantine_ms(fingerprint, now)
        return max(
            MIN_RETRY_MS, min(loss.received_ms for loss in unconfirmed) + LISTED_ALIVE_MS - now
        )

    def is_current(self, loss: ReplicaLoss) -> bool:
        """Tell whether a loss has not been withdrawn."""
        return loss.replica in self.lost_replicas(loss.fingerprint)

    def on_replica_lost(
        self, fingerprint: str, replica: str, now: int, silent: bool = False
    ) -> bool:
        """Count a replica lost under a fingerprint; return whether the loss is new.

        A replica that leaves as planned may cut off calls that are still open at its end, so that
        its losses do not count.
        """
        if replica in self._leaving:
            return False
        return self._add(ReplicaLoss(fingerprint, replica, 0, silent=silent), now)

    def on_losses_received(self, losses: Iterable[ReplicaLoss], now: int) -> list[ReplicaLoss]:
        """Add losses that other instances report; return those not known before."""
        losses = list(losses)
        self.on_answers_received(
            {loss.fingerprint for loss in losses if loss.recently_answered}, now
        )
        return [loss for loss in losses if self._add(loss, now)]

    def record_answer(self, fingerprint: str, now: int) -> None:
        """Record that a fingerprint was answered, also where it has no loss."""
        self._answered_here.note(fingerprint, now)

    def recently_answered(self, fingerprints: Iterable[str], now: int) -> list[str]:
        """Return which fingerprints were answered just before their losses, or recently here."""
        return [fingerprint for fingerprint in fingerprints if self._was_answered(fingerprint, now)]

    def on_answers_received(self, fingerprints: Iterable[str], now: int) -> list[str]:
        """Record recent answers of other instances; return fingerprints whose limit this raises."""
        released = []
        for fingerprint in fingerprints:
            self._answered_elsewhere.note(fingerprint, now)
            record = self._records.get(fingerprint)
            if record is not None and not record.is_answered():
                record.max_losses = MAX_LOSSES_ANSWERED
                self._on_change(fingerprint)
                released.append(fingerprint)
        return released

    def _was_answered(self, fingerprint: str, now: int) -> bool:
        record = self._records.get(fingerprint)
        return (
            record.is_answered()
            if record is not None
            else self._answered_here.knows(fingerprint, now)
        )

    def on_answered(self, fingerprint: str) -> bool:
        """Count an answer to a request; return whether its fingerprint had a loss."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        record.answered += 1
        self._on_change(fingerprint)
        return True

    def on_alive(self, replica: str, sent_ms: int) -> None:
        """Withdraw losses of a replica that has answered a call sent at a given time."""
        for fingerprint in list(self._unconfirmed.get(replica, ())):
            self._withdraw(
                fingerprint, lambda loss: loss.replica == replica and loss.received_ms <= sent_ms
            )

    def on_ended(self, replica: str) -> None:
        """Confirm the losses of a replica at whose address nothing listens any more.

        What answers later under its name is a restart. A replica that only cannot be reached
        confirms nothing: otherwise a frequent request would be quarantined after a network
        partition.
        """
        for fingerprint in self._unconfirmed.pop(replica, ()):
            for loss in self._records[fingerprint].losses:
                loss.confirmed = loss.confirmed or loss.replica == replica

    def is_leaving(self, replica: str) -> bool:
        """Tell whether a replica leaves, or has left, as planned."""
        return replica in self._leaving

    def on_listed(self, listed: Collection[str], leaving: Collection[str]) -> None:
        """Replace the list of replicas, and add those that leave as planned."""
        self._listed = frozenset(listed)
        for replica in leaving:
            self._leaving[replica] = None
        while len(self._leaving) > MAX_FINGERPRINTS:
            del self._leaving[next(iter(self._leaving))]

    def sweep(self, now: int, list_is_fresh: bool) -> None:
        """Withdraw losses of replicas that are listed long after, and forget old fingerprints."""

        def is_listed(loss: _LossRecord) -> bool:
            return loss.replica in self._listed and loss.is_settled(now)

        for fingerprint, record in list(self._records.items()):
            if record.last_ms + FORGET_MS <= now:
                self._forget(fingerprint)
            elif list_is_fresh:
                self._withdraw(fingerprint, is_listed)

    def snapshot(self, now: int, only: Collection[str] = ()) -> list[ReplicaLoss]:
        """Return the losses of all or of some fingerprints, those with most losses first."""
        records = [
            (fingerprint, record)
            for fingerprint, record in self._records.items()
            if not only or fingerprint in only
        ]
        records.sort(key=lambda entry: (-entry[1].net_losses(), -entry[1].last_ms))
        losses = [
            ReplicaLoss(
                fingerprint,
                loss.replica,
                max(0, now - loss.at_ms),
                record.is_answered(),
                loss.is_doubtful(now),
            )
            for fingerprint, record in records
            for loss in record.losses
        ]
        return losses[:MAX_SNAPSHOT_LOSSES]

    def _add(self, loss: ReplicaLoss, now: int) -> bool:
        fingerprint, replica, at_ms = loss.fingerprint, loss.replica, now - loss.age_ms
        record = self._records.get(fingerprint)
        if record is None:
            self._evict()
            answered = self._answered_here.knows(
                fingerprint, at_ms
            ) or self._answered_elsewhere.knows(fingerprint, at_ms)
            max_losses = MAX_LOSSES_ANSWERED if answered else MAX_LOSSES
            record = self._records[fingerprint] = _FingerprintRecord(max_losses)
        known = record.find_loss(replica, at_ms)
        if known is not None:
            if known.silent and not loss.silent:
                known.silent = False
                self._on_change(fingerprint)
            return False
        record.last_ms = max(record.last_ms, at_ms)
        if len(record.losses) >= MAX_LOSSES_KEPT:
            return False
        record.losses.append(_LossRecord(replica, at_ms, now, loss.silent))
        self._unconfirmed.setdefault(replica, set()).add(fingerprint)
        self._on_change(fingerprint)
        return True

    def _evict(self) -> None:
        if len(self._records) < MAX_FINGERPRINTS:
            return
        records = self._records
        self._forget(
            min(records, key=lambda name: (records[name].net_losses(), records[name].last_ms))
        )

    def _withdraw(self, fingerprint: str, matches: Callable[[_LossRecord], bool]) -> None:
        """Withdraw the unconfirmed losses of a fingerprint that match a condition."""
        record = self._records[fingerprint]
        remaining = [loss for loss in record.losses if loss.confirmed or not matches(loss)]
        withdrawn = {loss.replica for loss in record.losses} - {loss.replica for loss in remaining}
        record.losses = remaining
        for replica in withdrawn:
            self._unlink(fingerprint, replica)
        if withdrawn:
            self._on_change(fingerprint)

    def _on_change(self, fingerprint: str) -> None:
        self.change_count += 1
        record = self._records[fingerprint]
        if record.has_max_losses():
            self._at_limit.add(fingerprint)
        else:
            self._at_limit.discard(fingerprint)
        if record.is_suspect():
            self.send_windows.add_suspect(
                fingerprint, self.lost_replicas(fingerprint), record.last_ms
            )
        else:
            self.send_windows.remove_suspect(fingerprint)
        if record.net_losses() <= 0:
            self._forget(fingerprint)

    def _forget(self, fingerprint: str) -> None:
        self.change_count += 1
        self._at_limit.discard(fingerprint)
        self.send_windows.remove_suspect(fingerprint)
        for loss in self._records.pop(fingerprint).losses:
            self._unlink(fingerprint, loss.replica)

    def _unlink(self, fingerprint: str, replica: str) -> None:
        fingerprints = self._unconfirmed.get(replica)
        if fingerprints is not None:
            fingerprints.discard(fingerprint)
            if not fingerprints:
                del self._unconfirmed[replica]
