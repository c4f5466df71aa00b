"""Test that a process on the platform imports only what it needs."""

import subprocess
import sys

import pytest

CODE = """
import sys
from papayapier.node.command import _leave_out_tls
_leave_out_tls()
import papayapier.node.run
print(*sorted(sys.modules))
"""


@pytest.mark.parametrize("left_out", ["papayapier.compose", "cryptography", "OpenSSL.SSL"])
def test_a_start_leaves_out_what_is_not_used(left_out: str) -> None:
    # Symptom: after a loss of power of all machines callers wait a fifth longer than needed.
    # Cause: the product's own instance and the TLS libraries are imported and never used.
    done = subprocess.run([sys.executable, "-c", CODE], capture_output=True, text=True, check=True)
    assert "papayapier.node.entry" in done.stdout.split()
    assert left_out not in done.stdout.split()
