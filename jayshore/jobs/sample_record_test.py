"""The job record that the tests of this package share."""

from jayshore.jobs.record import JobKind, JobSpec, new_record
from jayshore.resources import Resources

TASKS = range(2)


def sample_record(*, idempotent=True, kind=JobKind.BATCH):
    """Create an unclaimed record with the id `job` in the domain `north`."""
    spec = JobSpec(
        job_id='job',
        team='team',
        key_id='key',
        queue='queue',
        kind=kind,
        task_count=len(TASKS),
        demand=Resources(cpu_millis=1),
        payload='{}',
        idempotent=idempotent,
        domain='north',
        ticket_hash='hash',
        accepted_at_ms=0,
    )
    return new_record(spec, write_id='first')
