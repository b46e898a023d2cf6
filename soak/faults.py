"""A seeded schedule of faults, and how each is brought about."""

import abc
import dataclasses
import random
import signal
from collections.abc import Sequence
from typing import TypeAlias

import curio

from jayshore.clock import Millis, to_seconds
from soak.links import Mode
from soak.processes import KEYS, InstanceProcess, Processes

_PAUSE_MS = (200, 1500)
_LASTING_MS = (300, 3500)
_WHOLE = 100
_OVERLAP_PERCENT = 35
"""Share of the faults that begin while the former one lasts."""

_ALL_PERCENT = 15
_EXECUTOR_PERCENT = 50
_STALE_PERCENT = 20
_FORGET_PERCENT = 20

_Trouble: TypeAlias = dict[str, object]


class Fault(abc.ABC):
    """Something that goes wrong for some time."""

    def __init__(self, *, processes: Processes, source: random.Random) -> None:
        """Choose what is hit.

        Args:
            processes: all processes.
            source: of the choice.
        """
        self._processes = processes
        self._source = source

    @abc.abstractmethod
    async def begin(self) -> None:
        """Bring the fault about."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Take the fault back."""

    def _happens(self, percent: int) -> bool:
        return self._source.randrange(_WHOLE) < percent

    def _pick(self) -> InstanceProcess:
        return self._source.choice(self._processes.instances)


class Killed(Fault):
    """An instance is killed, or told to end, and started again later."""

    _signals: Sequence[signal.Signals] = (signal.SIGKILL, signal.SIGTERM)

    async def begin(self) -> None:
        """End one instance, or now and then all of them."""
        hit = self._processes.instances
        if not self._happens(_ALL_PERCENT):
            hit = [self._pick()]
        self._hit = [(instance, instance.process) for instance in hit]
        for instance in hit:
            instance.expected_down = True
            instance.send(self._source.choice(self._signals))

    async def end(self) -> None:
        """Start them again."""
        for instance, process in self._hit:
            while process.poll() is None:
                await curio.sleep(to_seconds(Millis(20)))
            self._processes.launch(instance)


class Paused(Fault):
    """An instance stands still and goes on."""

    async def begin(self) -> None:
        """Stop the process."""
        self._hit = self._pick()
        self._hit.send(signal.SIGSTOP)

    async def end(self) -> None:
        """Let it go on."""
        self._hit.send(signal.SIGCONT)


class Reloaded(Fault):
    """An instance is told to read its settings again, several times."""

    async def begin(self) -> None:
        """Send the signal."""
        for instance in self._processes.instances:
            if not instance.expected_down:
                instance.send(signal.SIGHUP)

    async def end(self) -> None:
        """Send it once more."""
        await self.begin()


class Linked(Fault):
    """A link to the store or to an executor misbehaves."""

    async def begin(self) -> None:
        """Change the link."""
        links = [link.store_link for link in self._processes.instances]
        if self._happens(_EXECUTOR_PERCENT):
            links = self._processes.executor_links
        self._link = self._source.choice(links)
        if self._happens(_STALE_PERCENT):
            self._link.make_stale()
        mode = self._source.choice(tuple(Mode))
        delay = Millis(self._source.choice((5, 40, 250)))
        delayed = mode is Mode.DELAYED
        await self._link.change(mode, delay if delayed else Millis(0))

    async def end(self) -> None:
        """Let it pass everything again."""
        await self._link.change(Mode.PASS)


class StoreTroubled(Fault):
    """The store is down, silent, slow, loses answers or its history."""

    _kinds: tuple[_Trouble, ...] = (
        {'down': True},
        {'silent': True},
        {'answer_ms': 200},
        {'lose_answers': 4, 'late_ms': 0},
        {'lose_answers': 4, 'late_ms': 1500},
    )

    async def begin(self) -> None:
        """Change the store."""
        if self._happens(_FORGET_PERCENT):
            await self._processes.test('forget', {})
        await self._processes.test('trouble', self._source.choice(self._kinds))

    async def end(self) -> None:
        """Mend the store."""
        await self._processes.test(
            'trouble',
            {'down': False, 'silent': False, 'answer_ms': 0, 'lose_answers': 0},
        )


class ExecutorTroubled(Fault):
    """An executor hangs, fails everything, starts late or begins anew."""

    _kinds: tuple[_Trouble, ...] = (
        {'hang': True},
        {'fail_all': True},
        {'lose_starts': 3, 'late_ms': 700},
        {'lose_starts': 3, 'late_ms': 3000},
        {'clock_percent': 98},
        {'reboot': True},
    )

    async def begin(self) -> None:
        """Change one executor."""
        self._worker = self._source.randrange(
            len(self._processes.executor_links)
        )
        await self._change(self._source.choice(self._kinds))

    async def end(self) -> None:
        """Mend it."""
        await self._change({'hang': False, 'fail_all': False, 'lose_starts': 0})

    async def _change(self, trouble: _Trouble) -> None:
        await self._processes.test(
            'worker', {'worker': self._worker, 'trouble': trouble}
        )


class Reconfigured(Fault):
    """Versions come in quick succession; a key is taken away for a while."""

    async def begin(self) -> None:
        """Write versions without the second key."""
        for _ in range(self._source.randint(1, 4)):
            await self._processes.configure(KEYS[:1])

    async def end(self) -> None:
        """Give the key back."""
        await self._processes.configure(KEYS)


_KINDS: Sequence[type[Fault]] = (
    Killed,
    Killed,
    Paused,
    Reloaded,
    Linked,
    Linked,
    Linked,
    StoreTroubled,
    StoreTroubled,
    ExecutorTroubled,
    ExecutorTroubled,
    Reconfigured,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """A fault of a schedule; times in ms.

    Attributes:
        kind: the fault.
        pause_ms: time before it, from the begin of the former one.
        lasting_ms: how long it lasts.
        seed: of its choices.
    """

    kind: type[Fault]
    pause_ms: Millis
    lasting_ms: Millis
    seed: int


def make_schedule(seed: int, length_ms: int) -> list[Step]:
    """Make the schedule of a seed.

    Args:
        seed: of the schedule.
        length_ms: how long faults begin, in ms.

    Returns:
        The faults in order.
    """
    source = random.Random(seed)
    steps: list[Step] = []
    elapsed = 0
    while elapsed < length_ms:
        lasting = source.randint(*_LASTING_MS)
        pause = source.randint(*_PAUSE_MS)
        if steps and source.randrange(_WHOLE) >= _OVERLAP_PERCENT:
            pause += steps[-1].lasting_ms
        elapsed += pause
        steps.append(
            Step(
                kind=source.choice(_KINDS),
                pause_ms=Millis(pause),
                lasting_ms=Millis(lasting),
                seed=source.randrange(1 << 30),
            )
        )
    return steps


async def play(processes: Processes, steps: list[Step]) -> None:
    """Play a schedule to its end.

    Args:
        processes: what is hit.
        steps: the schedule.
    """
    playing = []
    for step in steps:
        await curio.sleep(to_seconds(step.pause_ms))
        playing.append(await curio.spawn(_play_one, processes, step))
    for fault in playing:
        await fault.join()


async def _play_one(processes: Processes, step: Step) -> None:
    fault = step.kind(processes=processes, source=random.Random(step.seed))
    await fault.begin()
    await curio.sleep(to_seconds(step.lasting_ms))
    await fault.end()
