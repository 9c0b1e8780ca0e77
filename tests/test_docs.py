"""Pages of the documentation that name tests."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[1]


def test_the_tests_that_the_page_of_failures_names_exist():
    page = (ROOT / "docs" / "failures.md").read_text()
    named = set(re.findall(r"`(test_\w+)`", page))
    sources = "".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    existing = set(re.findall(r"def (test_\w+)", sources))
    assert len(named) > 50
    assert named <= existing
