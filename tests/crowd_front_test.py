"""Crowds of untrusted clients at processes of `platform/edge.py`.

Guards against clients that end or block an instance, or use more memory or
descriptors than its settings give it. One crowd runs at a time.
"""

import pytest

from tests.crowd_payloads import FRONT_CASES, OTHER_ADDRESS_CASES
from tests.crowd_support import ProcessBounds, meet_crowd, one_crowd_at_a_time
from tests.platform_path_test import (
    SUBMISSION,
    Deployment,
    call,
    job_url,
    wait_for,
)

pytestmark = pytest.mark.processes

BOUNDS = ProcessBounds(memory_mb=100, descriptors=640)
LIMITS = {'MemoryMb': BOUNDS.memory_mb, 'MaxFds': BOUNDS.descriptors}


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    """Run the stand-in and one instance that no crowd meets."""
    running = Deployment(tmp_path_factory.mktemp('crowds'))
    with one_crowd_at_a_time():
        try:
            running.start(1)
            yield running
        finally:
            running.stop()


@pytest.fixture
def instance(deployment, request):
    """Start an instance with lowered limits."""
    added = deployment.add(f'c{len(deployment.settings)}', Limits=LIMITS)
    yield added
    added[0].kill()
    added[0].wait()


@pytest.mark.parametrize('case', FRONT_CASES, ids=lambda case: case.name)
def test_instance_outlives_a_crowd(instance, case):
    """Guards against an instance that a crowd of callers ends or blocks."""
    process, front, _ = instance
    meet_crowd(
        port=front,
        pid=process.pid,
        case=case,
        bounds=BOUNDS,
        is_answered=lambda: call('GET', job_url(instance, 1))[0] == 410,
    )


@pytest.mark.parametrize(
    ('address', 'case'),
    OTHER_ADDRESS_CASES,
    ids=[case.name for _, case in OTHER_ADDRESS_CASES],
)
def test_crowd_at_another_address_is_outlived(
    deployment, instance, address, case
):
    """Guards against addresses that are left out of the limits."""
    process, _, readiness = instance
    settings = list(deployment.settings.values())[-1]
    ports = {'internal': settings['InternalPorts'][0], 'readiness': readiness}
    meet_crowd(
        port=ports[address],
        pid=process.pid,
        case=case,
        bounds=BOUNDS,
        is_answered=lambda: call('GET', job_url(instance, 1))[0] == 410,
    )


def test_largest_submission_is_served_in_calm(deployment, instance):
    """Guards against limits that refuse a single request within them."""
    large = {**SUBMISSION, 'Spec': 'x' * (262_144 - 400)}
    assert call('POST', job_url(instance, 77), large)[0] == 200
    wait_for(
        lambda: call('GET', job_url(instance, 77))[1]['State'] == 'completed',
        'the submission is completed',
    )


def test_body_limit_is_that_of_the_configuration(instance):
    """Guards against a limit of the configuration that is not applied."""
    too_large = {**SUBMISSION, 'Spec': 'x' * 262_144}
    assert call('POST', job_url(instance, 78), too_large)[0] in {0, 413}
    assert call('GET', job_url(instance, 78))[0] == 410
