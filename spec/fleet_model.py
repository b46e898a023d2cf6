"""Model of one leader's records, fences, runs and leases by expiry.

One task, two leaders in turn, two workers. A pause, a partition or a lost
answer is a step that does not happen; time is the order of steps. An order that
was sent may be carried out at any later time. A write is sent once and applied
at any later time, if its condition then holds.
"""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

WORKERS = (0, 1)
LEADERS = (0, 1)
LAST_RUN = 2
NOWHERE = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """Guards of the protocol; each False leaves one out."""

    writes_expect_the_head: bool = True
    start_is_recorded_first: bool = True
    orders_carry_the_fence: bool = True
    absence_counts_after_confirmation: bool = True
    stopped_run_is_refused: bool = True
    gives_up_after_the_lease: bool = True
    lapsed_order_is_refused: bool = True
    former_leader_extends_nothing: bool = True
    end_is_recorded_before_it_is_forgotten: bool = True


class Record(NamedTuple):
    """Progress of the task; `worker` is where it was placed last."""

    run: int = 0
    worker: int = NOWHERE
    done: bool = False


class Write(NamedTuple):
    """A write under way: it expects `head` and makes it one more."""

    record: Record
    head: int
    epoch: int


class Leader(NamedTuple):
    """A leader: its epoch, its copy of the record, and its order.

    `order` is `placed`, `sent`, `confirmed` or `stopped` for the run of
    `known`, and `adopted` for a run that a former leader placed.
    """

    epoch: int = 0
    head: int = 0
    known: Record | None = None
    order: str = 'adopted'
    writing: Write | None = None


class Worker(NamedTuple):
    """A worker; `coming` are starts under way, as run and fence."""

    fence: int = 0
    leased: bool = False
    running: int = 0
    done: int = 0
    highest: int = 0
    coming: tuple[tuple[int, int], ...] = ()


class State(NamedTuple):
    """The whole system; `fault` names the property that was violated.

    `forgotten` tells that a worker was told to forget the task's end.
    """

    epochs: int = 0
    head: int = 0
    record: Record = Record()
    leaders: tuple[Leader, ...] = (Leader(), Leader())
    workers: tuple[Worker, ...] = (Worker(), Worker())
    forgotten: bool = False
    fault: str = ''


Steps: TypeAlias = Iterator[tuple[str, State]]


def _put(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def _leader(state: State, me: int, **changes: Any) -> State:
    changed = state.leaders[me]._replace(**changes)
    return state._replace(leaders=_put(state.leaders, me, changed))


def _worker(state: State, at: int, **changes: Any) -> State:
    changed = state.workers[at]._replace(**changes)
    return state._replace(workers=_put(state.workers, at, changed))


def _newest(state: State, me: int) -> bool:
    return state.leaders[me].epoch == state.epochs


def _election(state: State, me: int) -> Steps:
    if state.leaders[me].epoch or state.epochs == len(LEADERS):
        return
    # The claim writes the head; what is under way expects an older one.
    epoch = state.epochs + 1
    claimed = state._replace(epochs=epoch, head=state.head + 1)
    yield (
        'is elected and claims the head',
        _leader(
            claimed, me, epoch=epoch, head=claimed.head, known=state.record
        ),
    )


def _landing(rules: Rules, state: State, me: int) -> Steps:
    write = state.leaders[me].writing
    if write is None:
        return
    if write.head != state.head and rules.writes_expect_the_head:
        yield (
            'finds itself fenced',
            _leader(state, me, writing=None, known=None),
        )
        return
    order = state.leaders[me].order
    if not write.record.done and write.record != state.leaders[me].known:
        order = 'placed' if rules.start_is_recorded_first else order
    head = state.head + 1
    landed = state._replace(record=write.record, head=head)
    yield (
        'write is applied',
        _leader(
            landed,
            me,
            head=head,
            writing=None,
            known=write.record,
            order=order,
        ),
    )


def _write(state: State, me: int, record: Record) -> State:
    leader = state.leaders[me]
    write = Write(record, leader.head, leader.epoch)
    return _leader(state, me, writing=write)


def _place(rules: Rules, state: State, me: int, over: bool) -> Steps:
    known = state.leaders[me].known
    if known is None or known.done or not over:
        return
    run = known.run + 1
    if run > LAST_RUN:
        return
    for at in WORKERS:
        record = Record(run, at)
        after = _write(state, me, record)
        yield f'places run {run} on worker {at}', after
        if not rules.start_is_recorded_first:
            yield (
                f'starts run {run} on worker {at} at once',
                _send(_leader(after, me, order='sent'), me, record),
            )


def _send(state: State, me: int, record: Record) -> State:
    worker = state.workers[record.worker]
    order = (record.run, state.leaders[me].epoch)
    coming = tuple(sorted({*worker.coming, order}))
    return _worker(state, record.worker, coming=coming)


def _acting(rules: Rules, state: State, me: int) -> Steps:
    leader = state.leaders[me]
    known = leader.known
    if known is None or leader.writing is not None:
        return
    if known.worker == NOWHERE:
        yield from _place(rules, state, me, over=True)
        return
    worker = state.workers[known.worker]
    own = worker.fence == leader.epoch
    if leader.order == 'placed' and own and worker.leased and not known.done:
        sent = _send(state, me, known)
        yield 'sends the start', _leader(sent, me, order='sent')
    if worker.fence <= leader.epoch:
        yield from _inquire(rules, state, me)
    if leader.order == 'sent' and worker.fence <= leader.epoch:
        yield 'stops the run', _stopped(rules, state, me)
    if not worker.leased or not rules.gives_up_after_the_lease:
        for label, after in _place(rules, state, me, over=True):
            yield f'gives the worker up and {label}', after


def _stopped(rules: Rules, state: State, me: int) -> State:
    leader = state.leaders[me]
    record = leader.known or Record()
    worker = state.workers[record.worker]
    highest = max(worker.highest, record.run)
    running = 0 if worker.running == record.run else worker.running
    after = _worker(
        state,
        record.worker,
        fence=leader.epoch,
        running=running,
        highest=highest if rules.stopped_run_is_refused else worker.highest,
    )
    return _leader(after, me, order='stopped')


def _may_extend(rules: Rules, state: State, me: int, worker: Worker) -> bool:
    if worker.leased or _newest(state, me):
        return True
    return not rules.former_leader_extends_nothing


def _inquire(rules: Rules, state: State, me: int) -> Steps:
    leader = state.leaders[me]
    known = leader.known or Record()
    worker = state.workers[known.worker]
    leased = _may_extend(rules, state, me, worker)
    seen = _worker(state, known.worker, fence=leader.epoch, leased=leased)
    if worker.done == known.run and not known.done:
        if not rules.end_is_recorded_before_it_is_forgotten:
            seen = _worker(seen, known.worker, done=0)
            seen = seen._replace(forgotten=True)
        yield (
            'reads the end',
            _write(seen, me, known._replace(done=True)),
        )
        return
    if worker.running == known.run:
        yield 'reads the run', _leader(seen, me, order='confirmed')
        return
    yield 'reads nothing', seen
    # Without an order of its own, what was placed is a former leader's, whose
    # starts the worker refuses from this inquiry on.
    adopted = leader.order == 'adopted' and worker.fence == leader.epoch
    sure = leader.order in {'confirmed', 'stopped'}
    if sure or adopted or not rules.absence_counts_after_confirmation:
        for label, after in _place(rules, seen, me, over=True):
            yield f'reads that the run is over and {label}', after


def _arrival(rules: Rules, state: State, at: int) -> Steps:
    worker = state.workers[at]
    for run, fence in worker.coming:
        rest = tuple(other for other in worker.coming if other != (run, fence))
        refused = (
            (fence < worker.fence and rules.orders_carry_the_fence)
            or run <= worker.highest
            or not worker.leased
            or run == worker.running
        )
        if refused:
            yield f'refuses run {run}', _worker(state, at, coming=rest)
            continue
        fault = ''
        if any(other.running for other in state.workers):
            fault = 'two places'
        elif state.record.done or state.forgotten:
            fault = 'finished task started'
        started = _worker(
            state,
            at,
            coming=rest,
            running=run,
            fence=max(fence, worker.fence),
        )
        yield f'starts run {run}', started._replace(fault=fault)


def _worker_steps(rules: Rules, state: State, at: int) -> Steps:
    worker = state.workers[at]
    yield from _arrival(rules, state, at)
    if worker.running:
        ended = _worker(
            state,
            at,
            running=0,
            done=worker.running,
            highest=max(worker.highest, worker.running),
        )
        yield 'finishes', ended
    if worker.leased:
        lapsed = _worker(
            state,
            at,
            leased=False,
            running=0,
            highest=max(worker.highest, worker.running),
            coming=() if rules.lapsed_order_is_refused else worker.coming,
        )
        yield 'sees its lease lapse', lapsed


def _steps(rules: Rules, state: State) -> Steps:
    if state.fault:
        return
    for me in LEADERS:
        leader = state.leaders[me]
        for part in (
            _election(state, me),
            _landing(rules, state, me),
            _acting(rules, state, me),
        ):
            for label, after in part:
                yield f'leader {leader.epoch}: {label}', after
    for at in WORKERS:
        for label, after in _worker_steps(rules, state, at):
            yield f'worker {at} {label}', after


FAULTS = ('two places', 'finished task started')


def _lacks(fault: str) -> Callable[[dict[str, Any]], bool]:
    return lambda state: state['fault'] != fault


def fleet_model(rules: Rules) -> Protocol:
    """Build the model.

    Args:
        rules: the guards in force.

    Returns:
        A protocol with one invariant for each fault.
    """
    return Protocol(
        name='fleet',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: _steps(rules, state),
        invariants={fault: _lacks(fault) for fault in FAULTS},
    )
