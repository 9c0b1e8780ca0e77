"""Recovery stays within its targets; a short run of the bench."""

from __future__ import annotations

import pytest

from bench.recovery import (
    BASELINE_TARGET,
    FAULTS,
    FLOOR_TARGET,
    Row,
    baseline_trial,
    router_trial,
    run,
)


@pytest.mark.parametrize(
    ("fault", "stage"), FAULTS, ids=lambda f: getattr(f, "name", f)
)
def test_recovery_is_within_its_targets(fault, stage):
    routed = [run(router_trial, fault, stage, seed) for seed in range(3)]
    based = [run(baseline_trial, fault, stage, seed) for seed in range(3)]
    row = Row(
        fault.name,
        [trial.taken for trial in routed],
        [trial.floor for trial in routed],
        [trial.taken for trial in based],
    )
    assert row.over_floor() < FLOOR_TARGET
    assert row.over_baseline() <= BASELINE_TARGET
