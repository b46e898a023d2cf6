"""Builds the state of a leader with a backlog, for measurements and tests."""

import dataclasses
import random
from typing import Any, Final

from jayshore.clock import Millis
from jayshore.fleet.jobtable import JobEntry, JobTable
from jayshore.fleet.ledger import Ledger
from jayshore.fleet.model import (
    AdvicePolicy,
    FleetConfig,
    Job,
    Queue,
    TaskGroup,
    WorkerEntry,
    Workspace,
)
from jayshore.fleet.phases import Phase
from jayshore.fleet.probation import Probation
from jayshore.fleet.rounds import RoundPlanner
from jayshore.fleet.speeds import WorkerSpeeds
from jayshore.fleet.spread import UnaccountedRuns
from jayshore.fleet.tickets import Ticket
from jayshore.placement.health import WorkerHealth
from jayshore.resources import Resources

NOW: Final = Millis(100_000)
CAPACITY: Final = Resources(cpu_millis=64_000, memory_mb=262_144)
VALIDITY_MS: Final = Millis(2500)

_WORKERS_PER_RACK = 8
_RACKS_PER_DOMAIN = 11
_ADVISED_SHARE = 0.35


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """Kind of jobs, after a row of the design page.

    Attributes:
        name: name of the queue.
        priority: priority of the queue.
        share: share of the waiting groups.
        tasks: number of tasks of a group.
        cores: cores of a task.
        estimate_ms: duration of a task, in ms.
        gangs: share of gangs.
        apart: share of groups with a limit per worker.
        objective: stretch and constant of the objective.
        advice: base and further time per worker of advice, in ms.
    """

    name: str
    priority: int
    share: float
    tasks: int
    cores: float
    estimate_ms: int
    gangs: float
    apart: float
    objective: tuple[float, int]
    advice: tuple[float, float]


KINDS: Final = (
    Kind(
        name='stacking',
        priority=1,
        share=0.03,
        tasks=20,
        cores=18,
        estimate_ms=5000,
        gangs=1,
        apart=0,
        objective=(2.2, 1006),
        advice=(559, 8.06),
    ),
    Kind(
        name='audits',
        priority=2,
        share=0.12,
        tasks=25,
        cores=6.9,
        estimate_ms=2200,
        gangs=0,
        apart=0.12,
        objective=(4, 3004),
        advice=(104, 1.43),
    ),
    Kind(
        name='checks',
        priority=0,
        share=0.85,
        tasks=3,
        cores=9.9,
        estimate_ms=640,
        gangs=0.3,
        apart=0,
        objective=(1.5, 255),
        advice=(9.4, 0.13),
    ),
)


@dataclasses.dataclass(kw_only=True, slots=True)
class BenchSession:
    """What a planner reads of the session of a worker.

    Attributes:
        entry: registration of the worker.
        unaccounted: runs there that the ledger does not count.
        born_ms: start of the incarnation that replied last.
        cold: it is slower than usual for a while.
    """

    entry: WorkerEntry
    unaccounted: UnaccountedRuns = UnaccountedRuns()
    born_ms: int = 1
    cold: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Size of a backlog.

    Attributes:
        workers: number of workers.
        groups: number of waiting groups.
        advice: `none` for queues without advice, `unknown` when no group has
            tickets, as after a change of leader, `known` when all have.
        used: share of the processors that running tasks hold.
        seed: seed of all draws.
    """

    workers: int
    groups: int
    advice: str = 'none'
    used: float = 0.97
    seed: int = 1


class Backlog:
    """State of a leader with waiting groups.

    Attributes:
        job_table: the jobs.
        ledger: resources in use.
        sessions: sessions of the workers.
        config: the configuration.
        planner: planner over this state.
    """

    def __init__(self, load: Load) -> None:
        """Build the state.

        Args:
            load: its size.
        """
        self.job_table = JobTable()
        self.ledger = Ledger()
        self.sessions = [
            BenchSession(entry=_worker(number))
            for number in range(load.workers)
        ]
        self.config = FleetConfig(
            version=1,
            queues=tuple(_queue(kind, load.advice) for kind in KINDS),
            workspaces=tuple(
                Workspace(name=f't{number}', keys=frozenset(), weight=10)
                for number in range(20)
            ),
        )
        self.planner = RoundPlanner(
            job_table=self.job_table,
            ledger=self.ledger,
            health=WorkerHealth(rng=random.Random(load.seed)),
            probation=Probation(),
            speeds=WorkerSpeeds(),
        )
        self._load = load
        self._rng = random.Random(load.seed)
        self._jobs = 0
        self._fill()
        for _ in range(load.groups):
            self.add_waiting()

    def decide(self, now: Millis = NOW) -> Any:
        """Run a placement round without applying it.

        Args:
            now: time on the leader's clock, in ms.

        Returns:
            Its decisions.
        """
        sessions: Any = self.sessions
        return self.planner.decide(
            config=self.config,
            sessions=sessions,
            evacuated=frozenset(),
            now=now,
            wall_ms=NOW,
        )

    def update_index(self) -> bool:
        """Let the planner take in a part of the changes.

        Returns:
            True when no change is left.
        """
        return self.planner.update_index(self.config, NOW, NOW)

    def add_waiting(self) -> JobEntry:
        """Add a job with a waiting group.

        Returns:
            The job.
        """
        kind = self._rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        entry = self._add_job(kind, age_ms=self._rng.randrange(12_000))
        if self._load.advice == 'known':
            self._add_tickets(entry)
        return entry

    def _fill(self) -> None:
        """Let running tasks use most of the workers."""
        kind = KINDS[-1]
        for session in self.sessions:
            worker_id = session.entry.worker_id
            while self._is_below(worker_id):
                entry = self._add_job(kind, age_ms=500)
                for task in entry.tasks():
                    task.phase = Phase.RUNNING
                    task.worker = worker_id
                    self.ledger.hold(task)

    def _is_below(self, worker_id: str) -> bool:
        used = self.ledger.used_at(worker_id).cpu_millis
        limit = self._load.used * CAPACITY.cpu_millis
        return used + 3 * 9900 <= limit or used < limit - 9900

    def _add_job(self, kind: Kind, *, age_ms: int) -> JobEntry:
        self._jobs += 1
        rng = self._rng
        cores = kind.cores * rng.uniform(0.8, 1.2)
        group = TaskGroup(
            count=max(1, round(kind.tasks * rng.uniform(0.7, 1.3))),
            need=Resources(cpu_millis=round(1000 * cores), memory_mb=1000),
            estimate_ms=Millis(kind.estimate_ms),
            gang=rng.random() < kind.gangs,
            max_per_worker=2 if rng.random() < kind.apart else 0,
        )
        entry = JobEntry(
            job=Job(
                job_id=f'{self._jobs:016x}',
                queue=_queue(kind, self._load.advice),
                workspace=f't{rng.randrange(20)}',
                payload='',
                groups=(group,),
                accepted_at_ms=NOW - age_ms,
            ),
            accepted_at=Millis(NOW - age_ms),
        )
        self.job_table.add(entry)
        return entry

    def _add_tickets(self, entry: JobEntry) -> None:
        for group in entry.groups.values():
            asked = self._rng.sample(self.sessions, min(80, len(self.sessions)))
            names = [session.entry.worker_id for session in asked]
            group.evaluated.update(names)
            for name in names[: round(_ADVISED_SHARE * len(names))]:
                group.tickets[name] = Ticket(
                    text='t', valid_until=Millis(NOW + VALIDITY_MS)
                )


def _worker(number: int) -> WorkerEntry:
    rack = number // _WORKERS_PER_RACK
    return WorkerEntry(
        worker_id=f'w{number:04}',
        born_ms=1,
        service='plans',
        address=f'w{number:04}:1',
        domain=f'z{rack // _RACKS_PER_DOMAIN}',
        rack=f'r{rack}',
        labels=frozenset(('x86',)),
        capacity=CAPACITY,
    )


def _queue(kind: Kind, advice: str) -> Queue:
    base, per_worker = kind.advice
    stretch, constant = kind.objective
    return Queue(
        name=kind.name,
        host='plans.example',
        prefix=f'/{kind.name}/',
        service='plans',
        priority=kind.priority,
        max_attempts=3,
        stretch=stretch,
        objective_ms=Millis(constant),
        advice=None
        if advice == 'none'
        else AdvicePolicy(
            decision_ms=base, per_worker_ms=per_worker, validity_ms=VALIDITY_MS
        ),
    )
