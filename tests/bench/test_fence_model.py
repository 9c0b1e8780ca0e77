"""Exhaustive exploration of the rule for reporting a configuration as in force."""

from __future__ import annotations

import pytest

from bench.fence_model import explore


def test_full_rule_keeps_the_safety_property():
    exploration = explore(3, 1, 0)
    assert exploration.complete
    assert exploration.trace is None


@pytest.mark.parametrize(
    "variant",
    [
        "reported at once",
        "reported without the wait",
        "next change before the previous one is settled",
    ],
)
def test_exploration_finds_a_violation_of_a_weaker_rule(variant):
    assert explore(3, 2, 0, variant).trace is not None
