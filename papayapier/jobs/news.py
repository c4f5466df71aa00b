"""Know without asking the store that a job has no new group of results.

The load this answers: callers read each job twice a second, mostly to hear that nothing is new.
Each such read cost a call to the store, nine of ten of all calls of a busy day. Who writes a
group tells every instance at once; what the store adds is the certainty that no word was lost.

Numbers give that certainty. A writer counts the groups that it has told of, and its heartbeats
say how many there were. A reader that has heard as many knows that it has missed none, as of a
moment before the heartbeat. It looks at the store itself as soon as that is not so: a word is
missing, a writer is silent, begins anew, or does not know whether a write took effect.
"""

from collections import deque
from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from papayapier.peer.messages import NOT_SURE, Heartbeat, JobWord

# A write that takes longer makes its writer unsure; the store answers in 4 ms, and a heartbeat
# speaks for all writes begun this long before it.
WRITE_MS: Final = 200
# For how long the word of all writers stands. With heartbeats each 400 ms it is renewed just
# before; what one instance has shown is then shown by all 0.7 s later, of the second that the
# platform's page allows.
WORD_STANDS_MS: Final = 700
# Words in a heartbeat go out with three or four of them, so that a lost one costs nothing.
WORDS_REPEATED_MS: Final = 1_500
KEPT_WORDS: Final = 64
# A silent writer counts until it has been silent this long, twice the longest cut seen in runs:
# it may live and write where others hear it.
FORGET_MS: Final = 20_000


class GroupsTold:
    """Count the groups that this instance has told of, and the writes whose end is open."""

    __slots__ = ("_count", "_last", "_open")

    def __init__(self) -> None:
        self._count = 0
        self._last: deque[tuple[int, JobWord]] = deque(maxlen=KEPT_WORDS)
        self._open: dict[str, int] = {}

    def begin(self, job_id: str, now: int) -> None:
        """Take that a write of a job begins; repeats count from the first one."""
        self._open.setdefault(job_id, now)

    def end(self, job_id: str) -> None:
        """Take that the end of a job's write is known."""
        self._open.pop(job_id, None)

    def word(self, job_id: str, groups: int, now: int) -> JobWord:
        """Return one more word."""
        self._count += 1
        word = JobWord(self._count, job_id, groups)
        self._last.append((now, word))
        return word

    def last(self, now: int) -> tuple[JobWord, ...]:
        """Return the words of the last moments, for heartbeats; each goes out several times."""
        return tuple(word for told, word in self._last if now - told <= WORDS_REPEATED_MS)

    def count(self, now: int) -> int:
        """Return how many words there were, or NOT_SURE while a write's end is long open."""
        if any(now - began > WRITE_MS for began in self._open.values()):
            return NOT_SURE
        return self._count


class _Writer(NamedTuple):
    """Hold what is known of one writer.

    heard counts its words without a gap. since is from when on none was missed, sure_ms when
    its last heartbeat agreed.
    """

    boot: int
    heard: int
    since: int
    sure_ms: int


class GroupsHeard:
    """Judge whether a look at the store still stands, by what writers have told.

    writers names the instances that may write results, live those of all that are taken to live:
    one that lives counts although it is never heard here, as most are in a large fleet.
    """

    def __init__(
        self, writers: Callable[[], Collection[str]], live: Callable[[], Collection[str]]
    ) -> None:
        self._writers = writers
        self._live = live
        self._known: dict[str, _Writer] = {}
        self._silent_since: dict[str, int] = {}

    def on_word(self, writer: str, number: int) -> None:
        """Take a writer's word of a new group."""
        known = self._known.get(writer)
        if known is not None and number == known.heard + 1:
            self._known[writer] = known._replace(heard=number)

    def on_heartbeat(self, writer: str, beat: Heartbeat, now: int) -> None:
        """Take a writer's heartbeat."""
        self._silent_since[writer] = now
        if beat.groups_told == NOT_SURE:
            return
        known = self._known.get(writer)
        if known is not None and known.boot == beat.boot:
            for word in beat.words:
                self.on_word(writer, word.number)
            known = self._known[writer]
        if known is None or known.boot != beat.boot or beat.groups_told > known.heard:
            # What was missed shows only in the store: looks from now on count.
            self._known[writer] = _Writer(beat.boot, beat.groups_told, now, now)
            return
        self._known[writer] = known._replace(sure_ms=now)

    def stands(self, looked_ms: int, now: int) -> bool:
        """Tell whether a look at the store begun then has missed nothing that is to be shown."""
        live = self._live()
        writers = [one for one in self._writers() if one in live or not self._forgotten(one, now)]
        if not writers:
            return False
        for writer in writers:
            known = self._known.get(writer)
            if known is None or looked_ms < known.since + WRITE_MS:
                return False
            if now - (known.sure_ms - WRITE_MS) > WORD_STANDS_MS:
                return False
        return True

    def _forgotten(self, writer: str, now: int) -> bool:
        since = self._silent_since.setdefault(writer, now)
        return now - since > FORGET_MS
