"""Checks of all runs of a deployment, from the histories of its workers."""

import itertools

from jayshore.fleet.interfaces import EndKind
from jayshore.resources import NOTHING
from tests.memory_fleet_test import CAPACITY


def check_runs(fleet, jobs):
    """Check the runs that the workers recorded against the submitted jobs.

    Runs of a task do not overlap and have rising numbers; a leader takes note
    of at most one completed run, after which the task does not start again; no
    worker exceeds its capacity or the limit of a group; no group starts before
    its predecessors end.
    """
    known = {job.job_id: job for job in jobs}
    now = fleet.clock.now()
    by_task = {}
    for worker in fleet.workers.values():
        assert (
            worker.running is not None
        )  # reading it brings the history up to date
    for run, worker in fleet.runs():
        assert run.task.job_id in known, f'{run} belongs to no submitted job'
        assert run.payload == known[run.task.job_id].payload
        by_task.setdefault(run.task, []).append((run, worker))
    for task, runs in by_task.items():
        spans = sorted(
            (run.started_at, run.ended_at or now, run.run) for run, _ in runs
        )
        for (_, end, first), (start, _, second) in itertools.pairwise(spans):
            assert end <= start, f'{task} runs {first} and {second} overlap'
            assert second > first, f'{task} run {second} after {first}'
        recorded_ends = [
            run.ended_at
            for run, _ in runs
            if run.kind is EndKind.DONE and run.noted
        ]
        assert len(recorded_ends) <= 1, (
            f'{task} is done {len(recorded_ends)} times'
        )
        last = max(run.started_at for run, _ in runs)
        assert not recorded_ends or last <= recorded_ends[0], (
            f'{task} runs after it is done'
        )
    for worker in fleet.workers.values():
        _check_capacity(worker, known, now)
        _check_spread(worker, known, now)
    for job in jobs:
        _check_dependencies(job, by_task)


def _check_capacity(worker, known, now):
    for moment in {run.started_at for run in worker.history}:
        used = NOTHING
        for run in worker.history:
            if run.started_at <= moment < (run.ended_at or now + 1):
                used += known[run.task.job_id].groups[run.task.group].need
        assert used.fits_in(CAPACITY), (
            f'{worker.worker_id} exceeds its capacity with {used}'
        )


def _check_spread(worker, known, now):
    for started in worker.history:
        group = known[started.task.job_id].groups[started.task.group]
        beside = [
            run
            for run in worker.history
            if run.task[:3] == started.task[:3]
            and run.started_at <= started.started_at < (run.ended_at or now + 1)
        ]
        assert (
            not group.max_per_worker or len(beside) <= group.max_per_worker
        ), f'{worker.worker_id} runs {len(beside)} tasks of a group: {beside}'


def _check_dependencies(job, by_task):
    for task, runs in by_task.items():
        if task.job_id != job.job_id:
            continue
        for earlier in job.groups[task.group].after:
            ends = [
                run.ended_at
                for name, others in by_task.items()
                for run, _ in others
                if name[:3] == (job.job_id, task.occurrence, earlier)
                and run.kind is EndKind.DONE
            ]
            first = min(run.started_at for run, _ in runs)
            ended_before = [end for end in ends if end <= first]
            assert len(ended_before) >= job.groups[earlier].count, (
                f'{task} started before its predecessors were done'
            )
