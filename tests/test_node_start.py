"""Test that a process on the platform imports only what it needs."""

import subprocess
import sys

import pytest

CODE = """
import sys
from papayapier.node.command import _leave_out_tls
_leave_out_tls()
import papayapier.node.run
import papayapier.node.{role}
print(*sorted(sys.modules))
"""
NEITHER = ["papayapier.compose", "cryptography", "OpenSSL.SSL"]
LEFT_OUT = [
    *(("entry", name) for name in [*NEITHER, "papayapier.node.keeper", "papayapier.jobs.runs"]),
    *(("keeper", name) for name in [*NEITHER, "papayapier.node.entry", "klein", "werkzeug"]),
]


@pytest.mark.parametrize(("role", "left_out"), LEFT_OUT)
def test_a_start_leaves_out_what_is_not_used(role: str, left_out: str) -> None:
    # Symptom: after a loss of power of all machines callers wait a fifth longer than needed.
    # Cause: the product's own instance, the TLS libraries and the other role are imported and
    # never used.
    code = CODE.format(role=role)
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert f"papayapier.node.{role}" in done.stdout.split()
    assert left_out not in done.stdout.split()
