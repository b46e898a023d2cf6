"""Runs soaks with random faults: `python -m soak.main --seeds 50 --first 1`.

A seed that violates a guarantee is printed with its directory, which holds
the logs of all processes and the schedule; the exit status is then 1.
"""

import argparse
import dataclasses
import json
import pathlib
import random
import sys
import tempfile

import curio
import msgspec

from jayshore.clock import Millis, MonotonicClock, from_seconds, to_seconds
from soak.callers import Callers
from soak.checks import Breach, Run, RunHistoryChecker
from soak.faults import ScheduledFault, make_schedule, run_schedule
from soak.processes import Processes, SoakError

MAX_SETTLE_MS = Millis(25_000)
"""Longest wait after the last fault for all jobs to end, in ms.

Leases of unreachable workers last 10 s, and a failed start is known after
one second.
"""

MIN_ACCEPTED_JOBS = 20
"""Number of accepted jobs below which a soak fails as meaningless."""

_POLL_MS = Millis(250)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakPlan:
    """Parameters of one soak.

    Attributes:
        seed: seed of the schedule, the callers and the durations of runs.
        length_ms: period in which faults begin, in ms.
        instances: number of instances.
        executors: number of executors.
        callers: number of callers.
    """

    seed: int
    length_ms: Millis
    instances: int = 3
    executors: int = 4
    callers: int = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakReport:
    """Result of one soak.

    Attributes:
        breaches: violated guarantees.
        jobs: number of accepted jobs.
        runs: number of runs.
    """

    breaches: list[Breach]
    jobs: int
    runs: int


async def run_soak(plan: SoakPlan, directory: pathlib.Path) -> SoakReport:
    """Run one soak.

    Args:
        plan: parameters of the soak.
        directory: directory for settings, logs and the schedule.

    Returns:
        The result.
    """
    clock = MonotonicClock()
    processes = Processes(directory=directory)
    schedule = make_schedule(plan.seed, plan.length_ms)
    (directory / 'schedule.txt').write_text(
        '\n'.join(_describe_fault(scheduled) for scheduled in schedule)
    )
    try:
        await processes.start(
            instances=plan.instances, executors=plan.executors, seed=plan.seed
        )
        callers = Callers(
            processes=processes, clock=clock, rng=random.Random(plan.seed)
        )
        report = await _run_plan(plan, processes, callers, schedule, clock)
        await callers.close()
    finally:
        await processes.close()
    return report


async def _run_plan(
    plan: SoakPlan,
    processes: Processes,
    callers: Callers,
    schedule: list[ScheduledFault],
    clock: MonotonicClock,
) -> SoakReport:
    submitters = [
        await curio.spawn(callers.run, daemon=True) for _ in range(plan.callers)
    ]
    poller = await curio.spawn(callers.poll_states, daemon=True)
    breaches: list[Breach] = []
    watcher = await curio.spawn(
        _watch_processes, processes, breaches, daemon=True
    )
    await run_schedule(processes, schedule)
    faults_ended_at = clock.now()
    for task in submitters:
        await task.cancel()
    accepted = [
        submission
        for submission in callers.submissions
        if submission.accepted_at is not None
    ]
    while clock.now() - faults_ended_at < MAX_SETTLE_MS:
        if all(submission.is_final for submission in accepted):
            break
        await curio.sleep(to_seconds(_POLL_MS))
    await poller.cancel()
    await watcher.cancel()
    runs = msgspec.convert(
        await processes.call_stand_in('history', {}), list[Run]
    )
    checker = RunHistoryChecker(
        runs=runs,
        submissions=callers.submissions,
        faults_ended_at=faults_ended_at,
    )
    breaches.extend(checker.find_breaches())
    if len(accepted) < MIN_ACCEPTED_JOBS:
        breaches.append(
            Breach(promise='served', detail=f'{len(accepted)} jobs accepted')
        )
    return SoakReport(breaches=breaches, jobs=len(accepted), runs=len(runs))


async def _watch_processes(
    processes: Processes, breaches: list[Breach]
) -> None:
    """Report the first instance that ends without being told to."""
    while True:
        message = processes.find_unexpected_end()
        if message:
            breaches.append(Breach(promise='ended by itself', detail=message))
            return
        await curio.sleep(to_seconds(_POLL_MS))


def _describe_fault(scheduled: ScheduledFault) -> str:
    return (
        f'{scheduled.kind.__name__} after {scheduled.pause_ms} ms'
        f' for {scheduled.duration_ms} ms, seed {scheduled.seed}'
    )


def main() -> int:
    """Run a soak for each seed of the command line.

    Returns:
        Exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument(
        '--seconds', type=float, default=12, help='length of the fault period'
    )
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument('--executors', type=int, default=4)
    parser.add_argument('--callers', type=int, default=3)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        plan = SoakPlan(
            seed=seed,
            length_ms=from_seconds(options.seconds),
            instances=options.instances,
            executors=options.executors,
            callers=options.callers,
        )
        try:
            report = curio.run(
                run_soak, plan, directory, taskcls=curio.task.ContextTask
            )
        except SoakError as error:
            report = SoakReport(
                breaches=[Breach(promise='soak', detail=str(error))],
                jobs=0,
                runs=0,
            )
        failed += bool(report.breaches)
        sys.stdout.write(f'{_report_line(seed, report, directory)}\n')
        sys.stdout.flush()
    return 1 if failed else 0


def _report_line(seed: int, report: SoakReport, directory: pathlib.Path) -> str:
    text = f'seed {seed}: {report.jobs} jobs, {report.runs} runs'
    if not report.breaches:
        return f'{text}, kept'
    rows = json.dumps([msgspec.to_builtins(row) for row in report.breaches[:8]])
    return f'{text}, BROKEN {len(report.breaches)} in {directory}: {rows}'


if __name__ == '__main__':
    sys.exit(main())
