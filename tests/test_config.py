"""Test changes of the configuration, its audit trail and its replication between instances."""

import random
from itertools import pairwise
from typing import Any

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import codec, invariants
from papayapier.clock import FakeClock, fake_clock
from papayapier.config import audit_trail, records
from papayapier.config.accept import Accepted, ChangeRequest, Rejected
from papayapier.config.audit_trail import AuditFilter
from papayapier.config.checks import MAX_URGENT_DUE_MS, check_document
from papayapier.config.profile_registry import ProfileRegistry
from papayapier.config.records import PROFILES, Subject
from papayapier.config.start import ConfigDeps, ConfigService, start_config
from papayapier.errors import ErrorKind, Outcome
from papayapier.metrics import make_metrics
from papayapier.peer.messages import Heartbeat, Message
from papayapier.peer.topology import LinkPlan
from papayapier.settings import ConfigSettings
from tests.fake_store import FakePlatform, Fault

GATE = Subject(PROFILES, "gate")
POLL_MS = 2_000


@pytest.fixture(autouse=True)
def raise_on_broken_invariants() -> None:
    invariants.raise_on_violation(True)


class Fleet:
    """Run the configuration of several instances on one platform, with links that can fail."""

    def __init__(
        self, names: str = "abc", cfg: ConfigSettings | None = None, relays: str = ""
    ) -> None:
        self.relays = relays or names
        self.full_mesh = not relays
        self.time: FakeClock = fake_clock()
        self.platform = FakePlatform(self.time.clock)
        self.silent: set[tuple[str, str]] = set()
        self.queued = 0
        self.cfg = cfg or ConfigSettings(poll_ms=POLL_MS)
        self.configs: dict[str, ConfigService] = {}
        for name in names:
            self.start(name)

    def start(self, name: str, cfg: ConfigSettings | None = None) -> ConfigService:
        def tell(peer: str, message: Message) -> None:
            if (name, peer) not in self.silent and peer in self.configs:
                self.configs[peer].on_peer_message(name, message)

        def broadcast(message: Message) -> None:
            for peer in list(self.configs):
                if peer != name:
                    tell(peer, message)

        deps = ConfigDeps(
            clock=self.time.clock,
            rand=random.Random(1),
            store=self.platform.store(name),
            settings=cfg or self.cfg,
            metrics=make_metrics(),
            send=tell,
            broadcast=broadcast,
            peers=lambda: [peer for peer in self.configs if peer != name],
            queued_under=lambda _: self.queued,
            upstream_names=lambda: set(),
            plan=lambda: LinkPlan(frozenset(), name in self.relays, self.full_mesh),
        )
        self.configs[name] = start_config(deps)
        return self.configs[name]

    def remove(self, name: str) -> None:
        wait(self.configs.pop(name).stop())

    def send_heartbeat(self, name: str) -> None:
        """Send one instance's heartbeat to all others."""
        registry = self.configs[name].registry
        message = Heartbeat(name, 1, "live", registry.version(), (), registry.digest())
        for peer in self.configs:
            if peer != name and (name, peer) not in self.silent:
                self.configs[peer].on_peer_message(name, message)

    def run(self, ms: int, step_ms: int = 50) -> None:
        for _ in range(ms // step_ms):
            self.time.jump(step_ms)

    def apply(self, name: str, change: ChangeRequest) -> Result[Accepted, Rejected]:
        done = Deferred.fromCoroutine(accept_on(self.configs[name], change))
        for _ in range(400):
            if done.called:
                break
            self.time.jump(50)
        outcome: Result[Accepted, Rejected] = wait_deferred(done)
        return outcome

    def due(self, name: str) -> int | None:
        profile = self.configs[name].registry.profile("gate")
        return profile.due_ms if profile else None


async def accept_on(config: ConfigService, change: ChangeRequest) -> Result[Accepted, Rejected]:
    return await config.accept(change)


def wait(running: Any) -> Any:
    return wait_deferred(Deferred.fromCoroutine(running))


def wait_deferred(done: "Deferred[Any]") -> Any:
    found: list[Any] = []
    done.addBoth(found.append)
    assert found, "still waiting"
    if hasattr(found[0], "raiseException"):
        found[0].raiseException()
    return found[0]


def gate(due_ms: int = 2_000, **fields: object) -> dict[str, Any]:
    document = {
        "name": "gate",
        "upstream": "pass",
        "urgency": "urgent",
        "due_ms": due_ms,
        "idempotent": False,
    }
    return {**document, **fields}


def change(
    due_ms: int | None, based_on: int, change_id: str = "", who: str = "ana", strand: bool = False
) -> ChangeRequest:
    document = None if due_ms is None else gate(due_ms)
    change_id = change_id or f"change-{due_ms}-{based_on}-{who}"
    return ChangeRequest(GATE, document, based_on, "test", change_id, who, strand)


def test_change_is_in_force_everywhere_at_once_and_in_the_trail() -> None:
    """An accepted change must reach all instances and appear in the audit trail."""
    fleet = Fleet()
    first = fleet.apply("a", change(2_000, 0)).unwrap()
    second = fleet.apply("b", change(3_000, first.version)).unwrap()
    assert [fleet.due(name) for name in "abc"] == [3_000] * 3
    lines = wait(fleet.configs["c"].audit(AuditFilter())).unwrap()
    assert [line.version for line in lines] == [second.version, first.version]
    assert lines[0].entry["changes"] == [{"path": "due_ms", "before": 2_000, "after": 3_000}]


def test_conflict_reports_the_accepted_change() -> None:
    """An operator whose change conflicts must see whose change was accepted, with its values."""
    fleet = Fleet()
    first = fleet.apply("a", change(2_000, 0)).unwrap()
    fleet.apply("a", change(3_000, first.version, who="ana")).unwrap()
    rejected = fleet.apply("b", change(4_000, first.version, who="rui")).unwrap_err()
    assert rejected.refusal.kind is ErrorKind.VERSION_CONFLICT
    assert rejected.refusal.outcome is Outcome.NOT_RUN
    assert rejected.winner is not None
    assert rejected.winner.entry["who"] == "ana"
    assert "due_ms 2000 -> 3000" in rejected.refusal.reason
    assert fleet.due("b") == 3_000


def test_lost_answer_is_settled() -> None:
    """A change must not be reported as failed when only the store's answer was lost.

    Reading the object finds the change id.
    """
    fleet = Fleet()
    fleet.platform.fail(Fault.LOST_AFTER, call="create")
    done = fleet.apply("a", change(2_000, 0)).unwrap()
    assert done.version == fleet.platform.objects[GATE.key].version
    assert fleet.due("c") == 2_000


def test_delayed_write_is_not_reported_as_not_run() -> None:
    """A change refused as "not run" must not come into force later.

    The update is delayed in the network, and reading the object shows the old version. That
    proves nothing while the write may still arrive. The write is repeated with the same
    condition and succeeds first, so the delayed one can only fail.
    """
    fleet = Fleet()
    fleet.platform.fail(Fault.LOST_DELAYED, call="create", delay_ms=1_000)
    done = fleet.apply("a", change(2_000, 0)).unwrap()
    fleet.run(2_000)
    assert fleet.platform.objects[GATE.key].version == done.version
    assert len(wait(fleet.configs["a"].audit(AuditFilter())).unwrap()) == 1


def test_unsettled_change_is_unknown_and_its_repeat_finds_it() -> None:
    """A change with an unknown outcome must be reported so, and repeating it must find it."""
    fleet = Fleet()
    fleet.platform.fail(Fault.LOST_AFTER, call="create", delay_ms=100)
    running = Deferred.fromCoroutine(accept_on(fleet.configs["a"], change(2_000, 0)))
    fleet.platform.down = True
    fleet.run(12_000)
    refused = wait_deferred(running).unwrap_err().refusal
    assert refused.outcome is Outcome.UNKNOWN
    fleet.platform.down = False
    again = fleet.apply("b", change(2_000, 0)).unwrap()
    assert again.repeated
    assert again.version == 1


def test_store_down_refuses_as_not_run() -> None:
    """While the store is unavailable a change is refused as not run."""
    fleet = Fleet()
    fleet.platform.down = True
    refused = fleet.apply("a", change(2_000, 0)).unwrap_err().refusal
    assert (refused.kind, refused.outcome) == (ErrorKind.STORE_UNAVAILABLE, Outcome.NOT_RUN)


def test_change_id_used_for_other_content_is_a_conflict() -> None:
    """A reused change id must not return the result of another change."""
    fleet = Fleet()
    fleet.apply("a", change(2_000, 0, "same-change-id"))
    refused = fleet.apply("a", change(3_000, 0, "same-change-id")).unwrap_err().refusal
    assert refused.kind is ErrorKind.KEY_CONFLICT


def test_delete_leaves_a_tombstone_and_can_be_followed_by_a_create() -> None:
    """A deletion must apply everywhere, and versions must keep increasing after a new create."""
    fleet = Fleet()
    first = fleet.apply("a", change(2_000, 0)).unwrap()
    deleted = fleet.apply("b", change(None, first.version)).unwrap()
    assert [fleet.due(name) for name in "abc"] == [None] * 3
    missing = fleet.apply("a", change(None, deleted.version, who="rui")).unwrap_err()
    assert missing.refusal.kind is ErrorKind.NOT_FOUND
    again = fleet.apply("a", change(5_000, 0, who="rui")).unwrap()
    assert again.version > deleted.version
    assert fleet.due("c") == 5_000


def test_stranding_change_needs_permission() -> None:
    """A change after which queued work cannot run must be refused unless it is allowed."""
    fleet = Fleet()
    first = fleet.apply("a", change(2_000, 0)).unwrap()
    fleet.queued = 7
    refused = fleet.apply("a", change(None, first.version)).unwrap_err()
    assert "7 queued" in refused.refusal.reason
    assert fleet.apply("a", change(None, first.version, strand=True)).is_ok()


def test_every_invalid_field_is_named() -> None:
    """All invalid fields of a document must be reported, not only the first."""
    invalid = gate(due_ms=1, urgency="soon", retry={"attempts": 0}, extra=1)
    del invalid["idempotent"]
    found = {problem.path for problem in check_document(GATE, invalid).errors}
    assert found == {"due_ms", "urgency", "retry.attempts", "extra", "idempotent"}
    late = gate(MAX_URGENT_DUE_MS + 1, urgency="urgent")
    assert [p.path for p in check_document(GATE, late).errors] == ["due_ms"]
    (unknown,) = check_document(GATE, gate(retry={"again_ms": 100})).errors
    assert unknown.path == "retry" and "`again_ms`" in unknown.reason


def test_older_entries_are_spilled_and_the_trail_stays_complete() -> None:
    """The history in an object is bounded, but no audit entry may be lost."""
    fleet = Fleet("a")
    version = 0
    for number in range(40):
        version = fleet.apply("a", change(2_000 + number, version, f"change-{number:04}")).unwrap()[
            0
        ]
    lines = wait(fleet.configs["a"].audit(AuditFilter(name="gate"))).unwrap()
    assert [line.entry["seq"] for line in lines] == list(range(40, 0, -1))
    assert all(old.version == new.entry["based_on"] for new, old in pairwise(lines))
    stored = records.decode(fleet.platform.objects[GATE.key].value).unwrap()
    assert len(stored["history"]) <= records.MAX_HISTORY_ENTRIES
    # A repeated change whose entry was spilled is still recognised.
    assert fleet.apply("a", change(2_003, lines[36].entry["based_on"], "change-0003")).unwrap()[1]


def test_lower_version_is_never_applied() -> None:
    """An older object that arrives late must not replace a newer one."""
    registry = ProfileRegistry()
    new = records.encode(records.Record(document=gate(3_000), history=[]))
    old = records.encode(records.Record(document=gate(2_000), history=[]))
    assert registry.apply(GATE.key, 9, new)
    assert not registry.apply(GATE.key, 8, old)
    profile = registry.profile("gate")
    assert profile is not None
    assert (profile.due_ms, registry.version()) == (3_000, 9)


def test_record_of_a_newer_release_is_applied() -> None:
    """Unknown fields of a newer release must not prevent an object from being applied."""
    registry = ProfileRegistry()
    document = gate(3_000, retry={"attempts": 2, "later": 1}, later=[])
    value = codec.to_json({"document": document, "history": [], "later": {}})
    assert registry.apply(GATE.key, 1, value)


def test_missing_middle_object_is_found_by_digest() -> None:
    """An instance must not keep an old profile forever after a push was lost.

    The push of change 1 to instance c is lost and the push of change 2 arrives. The highest
    version in a heartbeat does not show the gap; the digest does.
    """
    fleet = Fleet(cfg=ConfigSettings(poll_ms=80_000_000, watch_ms=80_000_000))
    fleet.platform.cut = {"c"}
    fleet.silent = {("a", "c")}
    fleet.apply("a", change(2_000, 0))
    fleet.silent = set()
    other = ChangeRequest(
        Subject(PROFILES, "chat"), gate(name="chat"), 0, "test", "change-chat", "ana"
    )
    fleet.apply("a", other)
    registries = [fleet.configs[name].registry for name in "ac"]
    assert registries[0].version() == registries[1].version()
    assert fleet.due("c") is None
    for _ in range(2):
        fleet.send_heartbeat("b")
        fleet.run(500)
    assert fleet.due("c") == 2_000
    assert registries[0].digest() == registries[1].digest()


def test_watch_and_poll_each_suffice() -> None:
    """A change must arrive when pushes are lost and either the watch or the listing fails."""
    for cut in ("watch", "list"):
        fleet = Fleet("ab")
        fleet.run(100)
        fleet.silent = {("a", "b")}
        fleet.platform.fail(Fault.UNAVAILABLE, call=cut, store="b", times=1_000)
        fleet.apply("a", change(2_000, 0))
        fleet.run(4_000)
        assert fleet.due("b") == 2_000, cut


def test_relay_pushes_what_it_reads_from_the_store() -> None:
    """In a large site, instances must not keep an old profile when the accepting one is lost.

    An instance accepts a change and is lost before it pushes it. Only relays watch the store, so
    a relay must push the change to the others.
    """
    fleet = Fleet("abc", relays="b")
    fleet.run(3_000)
    for name in "abc":
        fleet.send_heartbeat(name)
    fleet.run(1_000)
    before = fleet.platform.calls["list"] + fleet.platform.calls["watch"]
    fleet.silent = {("a", "b"), ("a", "c")}
    fleet.apply("a", change(2_000, 0))
    fleet.send_heartbeat("b")
    fleet.run(500)
    assert fleet.due("c") == 2_000
    others = fleet.platform.calls["list"] + fleet.platform.calls["watch"] - before
    assert others <= 3
    fleet.run(4_000)
    assert all(c.check_ready(fleet.time.clock.now()).is_ok() for c in fleet.configs.values())


def test_restart_in_an_outage_requests_peers_and_is_ready_only_then() -> None:
    """An instance must not be ready before it has received the configuration.

    It starts without a copy while the store is unavailable. If it were ready, it would get
    callers and refuse profiles that exist.
    """
    fleet = Fleet("ab")
    fleet.apply("a", change(2_000, 0))
    fleet.remove("b")
    fleet.platform.down = True
    restarted = fleet.start("b")
    fleet.run(1_000)
    assert restarted.check_ready(fleet.time.clock.now()).is_err()
    fleet.send_heartbeat("a")
    assert restarted.check_ready(fleet.time.clock.now()) == Ok(None)
    assert fleet.due("b") == 2_000


def test_two_empty_instances_do_not_make_each_other_ready() -> None:
    """Equal digests of two empty instances do not prove that the configuration is complete."""
    fleet = Fleet("")
    fleet.platform.down = True
    for name in "ab":
        fleet.start(name)
    for name in "abab":
        fleet.send_heartbeat(name)
    assert all(c.check_ready(fleet.time.clock.now()).is_err() for c in fleet.configs.values())


def test_folder_is_used_but_a_peer_has_precedence(tmp_path: Any) -> None:
    """The copy in the data folder must not count as current until a peer has confirmed it.

    The copy was saved before the last change, and the instance restarts while the store is
    unavailable. It would otherwise go back to an older profile.
    """
    with_folder = ConfigSettings(poll_ms=POLL_MS, data_folder=str(tmp_path))
    fleet = Fleet("a")
    first = fleet.apply("a", change(2_000, 0)).unwrap()
    fleet.start("b", with_folder)
    fleet.run(2_000)
    fleet.remove("b")
    fleet.apply("a", change(3_000, first.version))
    fleet.platform.down = True
    restarted = fleet.start("b", with_folder)
    assert fleet.due("b") == 2_000
    assert restarted.check_ready(fleet.time.clock.now()).is_err()
    fleet.send_heartbeat("a")
    assert fleet.due("b") == 3_000
    assert restarted.check_ready(fleet.time.clock.now()).is_ok()


def test_isolated_instance_becomes_not_ready() -> None:
    """An instance that reaches neither the store nor a peer must become not ready."""
    fleet = Fleet("ab")
    fleet.platform.cut = {"b"}
    fleet.run(35_000, 500)
    now = fleet.time.clock.now()
    assert fleet.configs["a"].check_ready(now).is_ok()
    assert "reached" in fleet.configs["b"].check_ready(now).unwrap_err()
    fleet.send_heartbeat("a")
    assert fleet.configs["b"].check_ready(now).is_ok()


def test_object_removed_by_hand_stays_in_force() -> None:
    """An object deleted from the store without an audit entry must stay in force."""
    fleet = Fleet("ab")
    fleet.apply("a", change(2_000, 0))
    wait(fleet.platform.store().delete(GATE.key, 1))
    fleet.run(5_000)
    assert fleet.due("b") == 2_000


def test_audit_filters() -> None:
    """The trail is filtered by operator, name, time and limit; a store error is returned."""
    fleet = Fleet("a")
    first = fleet.apply("a", change(2_000, 0, who="ana")).unwrap()
    fleet.run(1_000)
    fleet.apply("a", change(3_000, first.version, who="rui"))
    audit = fleet.configs["a"].audit
    assert len(wait(audit(AuditFilter(who="rui"))).unwrap()) == 1
    assert len(wait(audit(AuditFilter(limit=1))).unwrap()) == 1
    assert wait(audit(AuditFilter(name="other"))).unwrap() == []
    since = fleet.time.clock.wall() - 500
    assert [x.entry["who"] for x in wait(audit(AuditFilter(since_ms=since))).unwrap()] == ["rui"]
    fleet.platform.down = True
    assert isinstance(wait(audit_trail.audit(fleet.platform.store(), AuditFilter())), Err)
