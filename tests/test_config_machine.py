"""Test the configuration of several instances with random changes, faults and restarts."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err
from twisted.internet.defer import Deferred

from papayapier.config import records
from papayapier.config.accept import ChangeRequest
from papayapier.config.audit_trail import AuditFilter
from papayapier.config.records import PROFILES, Subject
from papayapier.errors import Outcome
from tests.fake_store import Fault
from tests.test_config import Fleet, accept_on, gate, wait

NAMES = st.sampled_from("abc")
PROFILE_NAMES = st.sampled_from(["gate", "chat"])
FAULTS = st.sampled_from(list(Fault))
CALLS = st.sampled_from(["get", "create", "update", "list", "watch"])


class ConfigMachine(RuleBasedStateMachine):
    """Check that accepted changes persist, refused ones never apply, and instances converge."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.fleet.run(100)
        self.number = 0
        self.running: dict[str, Deferred[Any]] = {}
        self.lowest: dict[tuple[str, str], int] = {}

    @rule(on=NAMES, profile=PROFILE_NAMES, due=st.integers(100, 200), stale=st.booleans())
    def change(self, on: str, profile: str, due: int, stale: bool) -> None:
        self._change(on, profile, gate(due, name=profile), stale)

    @rule(on=NAMES, profile=PROFILE_NAMES)
    def delete(self, on: str, profile: str) -> None:
        self._change(on, profile, None, stale=False)

    def _change(self, on: str, profile: str, document: object, stale: bool) -> None:
        subject = Subject(PROFILES, profile)
        config = self.fleet.configs[on]
        exists = config.registry.profile(profile) is not None
        based_on = config.registry.version_of(subject.key) if exists else 0
        self.number += 1
        change_id = f"change-{self.number:05}"
        wanted = ChangeRequest(subject, document, max(0, based_on - stale), "r", change_id, on)
        self.running[change_id] = Deferred.fromCoroutine(accept_on(config, wanted))

    @rule(fault=FAULTS, call=CALLS, store=NAMES, delay=st.sampled_from([0, 30, 700]))
    def fail(self, fault: Fault, call: str, store: str, delay: int) -> None:
        self.fleet.platform.fail(fault, call=call, store=store, times=2, delay_ms=delay)

    @rule(ms=st.sampled_from([50, 300, 3_000, 11_000]))
    def pass_time(self, ms: int) -> None:
        self.fleet.run(ms)

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.fleet.platform.down = down

    @rule(sender=NAMES, receiver=NAMES)
    def silence(self, sender: str, receiver: str) -> None:
        self.fleet.silent = {(sender, receiver)}

    @rule(name=NAMES)
    def send_heartbeat(self, name: str) -> None:
        self.fleet.send_heartbeat(name)

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.fleet.remove(name)
        self.lowest = {key: v for key, v in self.lowest.items() if key[0] != name}
        self.fleet.start(name)

    @invariant()
    def versions_only_increase(self) -> None:
        for name, config in self.fleet.configs.items():
            for item in config.registry.objects():
                assert item.version >= self.lowest.get((name, item.key), 0)
                self.lowest[name, item.key] = item.version

    def teardown(self) -> None:
        self._heal()
        self._check_agreement()
        self._check_answers(self._check_trail())

    def _heal(self) -> None:
        self.fleet.platform.down = False
        self.fleet.platform.clear_faults()
        self.fleet.silent = set()
        self.fleet.run(20_000, 100)

    def _check_agreement(self) -> None:
        stored = {
            key: value.version
            for key, value in self.fleet.platform.objects.items()
            if key.startswith(records.CONFIG_PREFIX)
        }
        for config in self.fleet.configs.values():
            assert {item.key: item.version for item in config.registry.objects()} == stored
        assert len({config.registry.digest() for config in self.fleet.configs.values()}) == 1

    def _check_trail(self) -> dict[str, int]:
        """Replay each object's trail; return the version that each change id got."""
        lines = wait(self.fleet.configs["a"].audit(AuditFilter(limit=10_000))).unwrap()
        replayed: dict[str, dict[str, Any]] = {}
        for line in reversed(lines):
            fields = replayed.setdefault(line.name, {})
            for change in line.entry["changes"]:
                assert fields.get(change["path"]) == change["before"]
                fields[change["path"]] = change["after"]
        for name, fields in replayed.items():
            profile = self.fleet.configs["b"].registry.profile(name)
            assert fields["due_ms"] == (profile.due_ms if profile else None)
        got = {line.entry["change_id"]: line.version for line in lines}
        assert len(got) == len(lines)
        return got

    def _check_answers(self, got: dict[str, int]) -> None:
        for change_id, running in self.running.items():
            assert running.called, "a change has no result"
            done: Any = running.result
            if not isinstance(done, Err):
                assert done.ok_value.version == got[change_id]
            elif done.err_value.refusal.outcome is Outcome.NOT_RUN:
                assert change_id not in got


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=30
)
