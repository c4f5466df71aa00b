"""Test that a program says which sources it runs."""

import shutil
import subprocess
import sys
from pathlib import Path

from papayapier import VERSION, sources

MODULE = "papayapier/compose.py"


def print_version(folder: Path) -> str:
    """Return what the version option prints for the package in a folder."""
    command = [sys.executable, "-m", "papayapier", "--version"]
    ended = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True)
    return ended.stdout.strip()


def test_the_version_tells_landings_apart(tmp_path: Path) -> None:
    """Guard against two landings that neither their logs nor their version tell apart."""
    shutil.copytree(sources.PACKAGE, tmp_path / "papayapier")
    present = f"papayapier {VERSION}, sources {sources.sources_id()}"
    assert print_version(tmp_path) == present
    with (tmp_path / MODULE).open("a", encoding="utf-8") as file:
        file.write("\n")
    assert print_version(tmp_path) != present


def test_what_a_build_has_written_is_shown(tmp_path: Path) -> None:
    """Guard against processes that read all their sources at each start."""
    shutil.copytree(sources.PACKAGE, tmp_path / "papayapier")
    (tmp_path / "papayapier" / sources.DIGEST_FILE.name).write_text("f" * 64, encoding="ascii")
    assert print_version(tmp_path).endswith("sources ffffffffffff")
