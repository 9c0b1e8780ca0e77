"""The rule by which a version is told in force, explored exhaustively."""

from __future__ import annotations

import pytest

from bench.fence_model import explore


def test_the_rule_holds():
    found = explore(3, 1, 0)
    assert found.complete
    assert found.trace is None


@pytest.mark.parametrize(
    "variant",
    [
        "told at once",
        "told without the wait",
        "next change before the last is settled",
    ],
)
def test_the_model_catches_a_weaker_rule(variant):
    assert explore(3, 2, 0, variant).trace is not None
