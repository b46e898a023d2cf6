"""Short soaks with fixed seeds, and tests of the checks themselves."""

import curio
import pytest

from jayshore.clock import Millis
from soak.callers import Submission
from soak.checks import Evidence, Run
from soak.faults import make_schedule
from soak.main import Plan, soak

SEEDS = (1, 2)
LENGTH_MS = Millis(6000)

REGRESSIONS = (
    # Stale connections to a worker outlasted its lease, one by one, and the
    # end of a lapsed lease counted as noted.
    (124, Millis(10_000)),
)
"""Seeds that failed once, with the length in ms; their cause stands above."""


@pytest.mark.processes
@pytest.mark.parametrize(
    ('seed', 'length_ms'),
    [
        *((seed, LENGTH_MS) for seed in SEEDS),
        *REGRESSIONS,
    ],
)
def test_promises_hold_while_faults_overlap(seed, length_ms, tmp_path):
    """Guards against any promise that a mix of faults breaks."""
    plan = Plan(seed=seed, length_ms=length_ms)
    report = curio.run(soak, plan, tmp_path, taskcls=curio.task.ContextTask)
    assert not report.breaches


def test_schedule_of_a_seed_is_fixed():
    """Guards against a seed that cannot be played again."""
    assert make_schedule(7, 5000) == make_schedule(7, 5000)
    assert make_schedule(7, 5000) != make_schedule(8, 5000)


JOB = '00000000000000aa'
STEPS = [
    {'Count': 1, 'Cpu': 3000},
    {'Count': 1, 'Cpu': 1000, 'After': [0]},
]


def run(step=0, worker='x-0', started=0, ended=100, kind='done', **fields):
    return Run(
        **{
            'worker': worker,
            'task': f'{JOB}.0.{step}.0',
            'run': 1,
            'kind': kind,
            'payload': JOB,
            'noted': True,
            'started_at': started,
            'ended_at': ended,
            **fields,
        }
    )


def job(**fields):
    known = {'accepted_at': Millis(0), 'state': 'completed', **fields}
    return Submission(job_id=JOB, steps=STEPS, **known)


GOOD = (run(), run(1, started=150, ended=300))


@pytest.mark.parametrize(
    ('runs', 'submission', 'promise'),
    [
        (GOOD, job(), None),
        (GOOD, job(accepted_at=None), 'refused'),
        (GOOD, job(accepted_at=None, unanswered=1), None),
        ((*GOOD, run(payload='other')), job(), 'unasked'),
        ((*GOOD, run(worker='x-1', started=50)), job(), 'two at once'),
        ((*GOOD, run(started=400, ended=500)), job(), 'run after done'),
        ((run(), run(1, started=90)), job(), 'before its turn'),
        ((run(), run(1, started=150, ended=None)), job(), 'completed early'),
        (GOOD, job(state='running'), 'unfinished'),
        (GOOD, job(state='failed'), 'failed for nothing'),
        (GOOD, job(state='canceled'), 'cancelled by nobody'),
        (GOOD, job(unknown_at=Millis(4000)), 'lost'),
        (
            (run(kind='failed', started=9000, ended=9100),),
            job(
                state='canceled',
                cancel_sent=True,
                cancelled_at=Millis(1000),
            ),
            'started after its cancellation',
        ),
        (
            (*GOOD, run(1, started=20, ended=50, kind='failed', noted=False)),
            job(),
            'before its turn',
        ),
    ],
)
def test_checks_find_a_broken_promise(runs, submission, promise):
    """Guards against a soak that passes whatever happens."""
    evidence = Evidence(
        runs=runs, submissions=[submission], calm_at=Millis(2000)
    )
    found = {breach.promise for breach in evidence.breaches()}
    assert promise in found if promise else not found


def test_checks_find_too_much_on_one_worker():
    """Guards against a check of room that counts nothing."""
    second = Submission(
        job_id='00000000000000bb',
        steps=STEPS,
        accepted_at=Millis(0),
        state='completed',
    )
    other = run(
        task=f'{second.job_id}.0.0.0', payload=second.job_id, started=50
    )
    evidence = Evidence(
        runs=(*GOOD, other), submissions=[job(), second], calm_at=Millis(0)
    )
    assert 'over capacity' in {found.promise for found in evidence.breaches()}
