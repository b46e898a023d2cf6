"""Short soaks with fixed seeds, and tests of their checks."""

import curio
import pytest

from jayshore.clock import Millis
from soak.callers import Submission
from soak.checks import Run, RunHistoryChecker
from soak.faults import make_schedule
from soak.main import SoakPlan, run_soak

SEEDS = (1, 2)
FAULTS_LENGTH_MS = Millis(6000)

REGRESSIONS = (
    # Calls to a worker met one stale connection after another until its lease
    # expired, and an end under the expired lease counted as acknowledged.
    (124, Millis(10_000)),
)
"""Seeds that once failed, with their length in ms and the cause."""


@pytest.mark.processes
@pytest.mark.parametrize(
    ('seed', 'length_ms'),
    [
        *((seed, FAULTS_LENGTH_MS) for seed in SEEDS),
        *REGRESSIONS,
    ],
)
def test_promises_hold_while_faults_overlap(seed, length_ms, tmp_path):
    """Guards against guarantees that a mix of faults violates."""
    plan = SoakPlan(seed=seed, length_ms=length_ms)
    report = curio.run(run_soak, plan, tmp_path, taskcls=curio.task.ContextTask)
    assert not report.breaches


def test_schedule_of_a_seed_is_fixed():
    """Guards against a schedule that a seed does not reproduce."""
    assert make_schedule(7, 5000) == make_schedule(7, 5000)
    assert make_schedule(7, 5000) != make_schedule(8, 5000)


JOB = '00000000000000aa'
STEPS = [
    {'Count': 1, 'Cpu': 3000},
    {'Count': 1, 'Cpu': 1000, 'After': [0]},
]


def make_run(step=0, worker='x-0', started=0, ended=100, kind='done', **fields):
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


def make_submission(**fields):
    known = {'accepted_at': Millis(0), 'state': 'completed', **fields}
    return Submission(job_id=JOB, steps=STEPS, **known)


GOOD = (make_run(), make_run(1, started=150, ended=300))


@pytest.mark.parametrize(
    ('runs', 'submission', 'promise'),
    [
        (GOOD, make_submission(), None),
        (GOOD, make_submission(accepted_at=None), 'refused'),
        (GOOD, make_submission(accepted_at=None, unanswered=1), None),
        ((*GOOD, make_run(payload='other')), make_submission(), 'unasked'),
        (
            (*GOOD, make_run(worker='x-1', started=50)),
            make_submission(),
            'two at once',
        ),
        (
            (*GOOD, make_run(started=400, ended=500)),
            make_submission(),
            'run after done',
        ),
        (
            (make_run(), make_run(1, started=90)),
            make_submission(),
            'before its turn',
        ),
        (
            (make_run(), make_run(1, started=150, ended=None)),
            make_submission(),
            'completed early',
        ),
        (GOOD, make_submission(state='running'), 'unfinished'),
        (GOOD, make_submission(state='failed'), 'failed for nothing'),
        (GOOD, make_submission(state='canceled'), 'cancelled by nobody'),
        (GOOD, make_submission(unknown_at=Millis(4000)), 'lost'),
        (
            (make_run(kind='failed', started=9000, ended=9100),),
            make_submission(
                state='canceled',
                cancel_sent=True,
                cancelled_at=Millis(1000),
            ),
            'started after its cancellation',
        ),
        (
            (
                *GOOD,
                make_run(1, started=20, ended=50, kind='failed', noted=False),
            ),
            make_submission(),
            'before its turn',
        ),
    ],
)
def test_checks_find_a_broken_promise(runs, submission, promise):
    """Guards against checks that miss a violated guarantee."""
    checker = RunHistoryChecker(
        runs=runs, submissions=[submission], faults_ended_at=Millis(2000)
    )
    breaches = {breach.promise for breach in checker.find_breaches()}
    assert promise in breaches if promise else not breaches


def test_checks_find_too_much_on_one_worker():
    """Guards against a capacity check that misses overlapping runs."""
    second = Submission(
        job_id='00000000000000bb',
        steps=STEPS,
        accepted_at=Millis(0),
        state='completed',
    )
    other = make_run(
        task=f'{second.job_id}.0.0.0', payload=second.job_id, started=50
    )
    checker = RunHistoryChecker(
        runs=(*GOOD, other),
        submissions=[make_submission(), second],
        faults_ended_at=Millis(0),
    )
    assert 'over capacity' in {
        breach.promise for breach in checker.find_breaches()
    }
