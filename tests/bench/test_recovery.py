"""Recovery benchmark with few trials: each fault stays within the targets."""

from __future__ import annotations

import pytest

from bench.recovery import (
    BASELINE_TARGET,
    FAULTS,
    LOWER_BOUND_TARGET,
    Row,
    baseline_trial,
    router_trial,
    run_trial,
)


@pytest.mark.parametrize(
    ("fault", "stage_index"), FAULTS, ids=lambda f: getattr(f, "name", f)
)
def test_recovery_is_within_its_targets(fault, stage_index):
    router_trials = [
        run_trial(router_trial, fault, stage_index, seed) for seed in range(3)
    ]
    baseline_trials = [
        run_trial(baseline_trial, fault, stage_index, seed) for seed in range(3)
    ]
    row = Row(
        fault.name,
        [trial.recovery_seconds for trial in router_trials],
        [trial.lower_bound for trial in router_trials],
        [trial.recovery_seconds for trial in baseline_trials],
    )
    assert row.ratio_to_lower_bound() < LOWER_BOUND_TARGET
    assert row.ratio_to_baseline() <= BASELINE_TARGET
