"""Plays seeds of the soak: `python -m soak.main --seeds 50 --first 1`.

A seed that breaks a promise is printed with its directory, which holds the
logs of all processes and the schedule. Exit status 1 when one did.
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
from soak.checks import Breach, Evidence, Run
from soak.faults import Step, make_schedule, play
from soak.processes import Processes, SoakFailed

SETTLE_MS = Millis(25_000)
"""Longest time until all jobs have ended after the last fault, in ms.

Leases of workers that nobody reaches last 10 s, and a failed start is known
after a second.
"""

MIN_JOBS = 20
"""Accepted jobs below which a soak has shown nothing."""

_POLL_MS = Millis(250)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """What one soak plays.

    Attributes:
        seed: of the schedule, the callers and the durations of runs.
        length_ms: how long faults begin, in ms.
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
class Report:
    """What one soak found.

    Attributes:
        breaches: promises that were not kept.
        jobs: number of accepted jobs.
        runs: number of runs.
    """

    breaches: list[Breach]
    jobs: int
    runs: int


async def soak(plan: Plan, directory: pathlib.Path) -> Report:
    """Play one seed.

    Args:
        plan: what to play.
        directory: for settings and logs.

    Returns:
        What was found.
    """
    clock = MonotonicClock()
    processes = Processes(directory=directory)
    steps = make_schedule(plan.seed, plan.length_ms)
    (directory / 'schedule.txt').write_text(
        '\n'.join(_describe(step) for step in steps)
    )
    try:
        await processes.start(
            instances=plan.instances, executors=plan.executors, seed=plan.seed
        )
        callers = Callers(
            processes=processes, clock=clock, source=random.Random(plan.seed)
        )
        report = await _play(plan, processes, callers, steps, clock)
        await callers.close()
    finally:
        await processes.close()
    return report


async def _play(
    plan: Plan,
    processes: Processes,
    callers: Callers,
    steps: list[Step],
    clock: MonotonicClock,
) -> Report:
    submitting = [
        await curio.spawn(callers.run, daemon=True) for _ in range(plan.callers)
    ]
    following = await curio.spawn(callers.follow, daemon=True)
    found: list[Breach] = []
    watching = await curio.spawn(_watch, processes, found, daemon=True)
    await play(processes, steps)
    calm_at = clock.now()
    for task in submitting:
        await task.cancel()
    accepted = [
        submission
        for submission in callers.submissions
        if submission.accepted_at is not None
    ]
    while clock.now() - calm_at < SETTLE_MS:
        if all(submission.final for submission in accepted):
            break
        await curio.sleep(to_seconds(_POLL_MS))
    await following.cancel()
    await watching.cancel()
    runs = msgspec.convert(await processes.test('history', {}), list[Run])
    evidence = Evidence(
        runs=runs, submissions=callers.submissions, calm_at=calm_at
    )
    found.extend(evidence.breaches())
    if len(accepted) < MIN_JOBS:
        found.append(
            Breach(promise='served', detail=f'{len(accepted)} jobs accepted')
        )
    return Report(breaches=found, jobs=len(accepted), runs=len(runs))


async def _watch(processes: Processes, found: list[Breach]) -> None:
    """Note a process that ends by itself."""
    while True:
        ended = processes.find_unexpected_end()
        if ended:
            found.append(Breach(promise='ended by itself', detail=ended))
            return
        await curio.sleep(to_seconds(_POLL_MS))


def _describe(step: Step) -> str:
    return (
        f'{step.kind.__name__} after {step.pause_ms} ms'
        f' for {step.lasting_ms} ms, seed {step.seed}'
    )


def main() -> int:
    """Play the seeds that the command line names.

    Returns:
        Exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=12, help='of faults')
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument('--executors', type=int, default=4)
    parser.add_argument('--callers', type=int, default=3)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        plan = Plan(
            seed=seed,
            length_ms=from_seconds(options.seconds),
            instances=options.instances,
            executors=options.executors,
            callers=options.callers,
        )
        try:
            report = curio.run(
                soak, plan, directory, taskcls=curio.task.ContextTask
            )
        except SoakFailed as error:
            report = Report(
                breaches=[Breach(promise='soak', detail=str(error))],
                jobs=0,
                runs=0,
            )
        failed += bool(report.breaches)
        sys.stdout.write(f'{_line(seed, report, directory)}\n')
        sys.stdout.flush()
    return 1 if failed else 0


def _line(seed: int, report: Report, directory: pathlib.Path) -> str:
    text = f'seed {seed}: {report.jobs} jobs, {report.runs} runs'
    if not report.breaches:
        return f'{text}, kept'
    rows = json.dumps([msgspec.to_builtins(row) for row in report.breaches[:8]])
    return f'{text}, BROKEN {len(report.breaches)} in {directory}: {rows}'


if __name__ == '__main__':
    sys.exit(main())
