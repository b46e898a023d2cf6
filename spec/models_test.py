"""Tests that the models hold as designed and fail without each safeguard."""

import pytest

from spec.main import BROKEN, SOUND, check, counterexample


@pytest.mark.parametrize(
    'case',
    [case for case in SOUND if not case.slow],
    ids=lambda case: case.name,
)
def test_every_property_holds_in_every_state(case):
    """Guards against a step of the protocol that violates a property."""
    result = check(case)
    assert result['exhaustive']
    assert all(prop['holds'] for prop in result['properties'].values())


@pytest.mark.parametrize('case', BROKEN, ids=lambda case: case.name)
def test_each_mechanism_is_needed(case):
    """Guards against a model in which the property cannot be violated."""
    assert counterexample(case)
