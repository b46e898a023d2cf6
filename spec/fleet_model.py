"""Model of task records, fencing tokens, runs and worker leases of the fleet.

One task, two successive leaders, two workers. A pause, a partition or a lost
answer is modelled as a step that does not happen; time is the order of steps.
An order that was sent may be carried out at any later time. A write is sent
once and applied at any later time at which its condition holds.
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
    """Safeguards of the protocol; setting one to False disables it."""

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
    """Progress of the task; `worker` is the one it was last placed on."""

    run: int = 0
    worker: int = NOWHERE
    done: bool = False


class Write(NamedTuple):
    """A write in flight: it expects `head` and increments it."""

    record: Record
    head: int
    epoch: int


class Leader(NamedTuple):
    """A leader: its epoch, its copy of the record, the state of its order.

    `order` is `placed`, `sent`, `confirmed` or `stopped` for the run of
    `known`, and `adopted` for a run that a previous leader placed.
    """

    epoch: int = 0
    head: int = 0
    known: Record | None = None
    order: str = 'adopted'
    writing: Write | None = None


class Worker(NamedTuple):
    """A worker; `coming` holds starts in flight as pairs of run and fence."""

    fence: int = 0
    leased: bool = False
    running: int = 0
    done: int = 0
    highest: int = 0
    coming: tuple[tuple[int, int], ...] = ()


class State(NamedTuple):
    """The whole system; `fault` names the violated property, if any.

    `forgotten` is set once a worker was told to drop the end of the task.
    """

    epochs: int = 0
    head: int = 0
    record: Record = Record()
    leaders: tuple[Leader, ...] = (Leader(), Leader())
    workers: tuple[Worker, ...] = (Worker(), Worker())
    forgotten: bool = False
    fault: str = ''


Steps: TypeAlias = Iterator[tuple[str, State]]


def _replace_at(
    items: tuple[Any, ...], index: int, item: Any
) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def _update_leader(state: State, leader_id: int, **changes: Any) -> State:
    changed = state.leaders[leader_id]._replace(**changes)
    return state._replace(
        leaders=_replace_at(state.leaders, leader_id, changed)
    )


def _update_worker(state: State, worker_id: int, **changes: Any) -> State:
    changed = state.workers[worker_id]._replace(**changes)
    return state._replace(
        workers=_replace_at(state.workers, worker_id, changed)
    )


def _is_newest(state: State, leader_id: int) -> bool:
    return state.leaders[leader_id].epoch == state.epochs


def _election_steps(state: State, leader_id: int) -> Steps:
    if state.leaders[leader_id].epoch or state.epochs == len(LEADERS):
        return
    # The claim increments the head, so writes in flight no longer match it.
    epoch = state.epochs + 1
    claimed = state._replace(epochs=epoch, head=state.head + 1)
    yield (
        'is elected and claims the head',
        _update_leader(
            claimed,
            leader_id,
            epoch=epoch,
            head=claimed.head,
            known=state.record,
        ),
    )


def _applied_write_steps(rules: Rules, state: State, leader_id: int) -> Steps:
    write = state.leaders[leader_id].writing
    if write is None:
        return
    if write.head != state.head and rules.writes_expect_the_head:
        yield (
            'finds itself fenced',
            _update_leader(state, leader_id, writing=None, known=None),
        )
        return
    order = state.leaders[leader_id].order
    if not write.record.done and write.record != state.leaders[leader_id].known:
        order = 'placed' if rules.start_is_recorded_first else order
    head = state.head + 1
    applied = state._replace(record=write.record, head=head)
    yield (
        'write is applied',
        _update_leader(
            applied,
            leader_id,
            head=head,
            writing=None,
            known=write.record,
            order=order,
        ),
    )


def _begin_write(state: State, leader_id: int, record: Record) -> State:
    leader = state.leaders[leader_id]
    write = Write(record, leader.head, leader.epoch)
    return _update_leader(state, leader_id, writing=write)


def _placement_steps(
    rules: Rules, state: State, leader_id: int, is_over: bool
) -> Steps:
    known = state.leaders[leader_id].known
    if known is None or known.done or not is_over:
        return
    run = known.run + 1
    if run > LAST_RUN:
        return
    for worker_id in WORKERS:
        record = Record(run, worker_id)
        after = _begin_write(state, leader_id, record)
        yield f'places run {run} on worker {worker_id}', after
        if not rules.start_is_recorded_first:
            yield (
                f'starts run {run} on worker {worker_id} at once',
                _send_start(
                    _update_leader(after, leader_id, order='sent'),
                    leader_id,
                    record,
                ),
            )


def _send_start(state: State, leader_id: int, record: Record) -> State:
    worker = state.workers[record.worker]
    order = (record.run, state.leaders[leader_id].epoch)
    coming = tuple(sorted({*worker.coming, order}))
    return _update_worker(state, record.worker, coming=coming)


def _leader_steps(rules: Rules, state: State, leader_id: int) -> Steps:
    leader = state.leaders[leader_id]
    known = leader.known
    if known is None or leader.writing is not None:
        return
    if known.worker == NOWHERE:
        yield from _placement_steps(rules, state, leader_id, is_over=True)
        return
    worker = state.workers[known.worker]
    own = worker.fence == leader.epoch
    if leader.order == 'placed' and own and worker.leased and not known.done:
        sent = _send_start(state, leader_id, known)
        yield 'sends the start', _update_leader(sent, leader_id, order='sent')
    if worker.fence <= leader.epoch:
        yield from _renewal_steps(rules, state, leader_id)
    if leader.order == 'sent' and worker.fence <= leader.epoch:
        yield 'stops the run', _stop_run(rules, state, leader_id)
    if not worker.leased or not rules.gives_up_after_the_lease:
        for label, after in _placement_steps(
            rules, state, leader_id, is_over=True
        ):
            yield f'gives the worker up and {label}', after


def _stop_run(rules: Rules, state: State, leader_id: int) -> State:
    leader = state.leaders[leader_id]
    record = leader.known or Record()
    worker = state.workers[record.worker]
    highest = max(worker.highest, record.run)
    running = 0 if worker.running == record.run else worker.running
    after = _update_worker(
        state,
        record.worker,
        fence=leader.epoch,
        running=running,
        highest=highest if rules.stopped_run_is_refused else worker.highest,
    )
    return _update_leader(after, leader_id, order='stopped')


def _may_extend_lease(
    rules: Rules, state: State, leader_id: int, worker: Worker
) -> bool:
    if worker.leased or _is_newest(state, leader_id):
        return True
    return not rules.former_leader_extends_nothing


def _renewal_steps(rules: Rules, state: State, leader_id: int) -> Steps:
    leader = state.leaders[leader_id]
    known = leader.known or Record()
    worker = state.workers[known.worker]
    leased = _may_extend_lease(rules, state, leader_id, worker)
    renewed = _update_worker(
        state, known.worker, fence=leader.epoch, leased=leased
    )
    if worker.done == known.run and not known.done:
        if not rules.end_is_recorded_before_it_is_forgotten:
            renewed = _update_worker(renewed, known.worker, done=0)
            renewed = renewed._replace(forgotten=True)
        yield (
            'reads the end',
            _begin_write(renewed, leader_id, known._replace(done=True)),
        )
        return
    if worker.running == known.run:
        yield (
            'reads the run',
            _update_leader(renewed, leader_id, order='confirmed'),
        )
        return
    yield 'reads nothing', renewed
    # Without an order of its own, the run was placed by a previous leader,
    # whose starts the worker refuses from this renewal on.
    adopted = leader.order == 'adopted' and worker.fence == leader.epoch
    certain = leader.order in {'confirmed', 'stopped'}
    if certain or adopted or not rules.absence_counts_after_confirmation:
        for label, after in _placement_steps(
            rules, renewed, leader_id, is_over=True
        ):
            yield f'reads that the run is over and {label}', after


def _start_arrival_steps(rules: Rules, state: State, worker_id: int) -> Steps:
    worker = state.workers[worker_id]
    for run, fence in worker.coming:
        rest = tuple(other for other in worker.coming if other != (run, fence))
        refused = (
            (fence < worker.fence and rules.orders_carry_the_fence)
            or run <= worker.highest
            or not worker.leased
            or run == worker.running
        )
        if refused:
            yield (
                f'refuses run {run}',
                _update_worker(state, worker_id, coming=rest),
            )
            continue
        fault = ''
        if any(other.running for other in state.workers):
            fault = 'two places'
        elif state.record.done or state.forgotten:
            fault = 'finished task started'
        started = _update_worker(
            state,
            worker_id,
            coming=rest,
            running=run,
            fence=max(fence, worker.fence),
        )
        yield f'starts run {run}', started._replace(fault=fault)


def _worker_steps(rules: Rules, state: State, worker_id: int) -> Steps:
    worker = state.workers[worker_id]
    yield from _start_arrival_steps(rules, state, worker_id)
    if worker.running:
        ended = _update_worker(
            state,
            worker_id,
            running=0,
            done=worker.running,
            highest=max(worker.highest, worker.running),
        )
        yield 'finishes', ended
    if worker.leased:
        expired = _update_worker(
            state,
            worker_id,
            leased=False,
            running=0,
            highest=max(worker.highest, worker.running),
            coming=() if rules.lapsed_order_is_refused else worker.coming,
        )
        yield 'sees its lease lapse', expired


def _steps(rules: Rules, state: State) -> Steps:
    if state.fault:
        return
    for leader_id in LEADERS:
        leader = state.leaders[leader_id]
        for part in (
            _election_steps(state, leader_id),
            _applied_write_steps(rules, state, leader_id),
            _leader_steps(rules, state, leader_id),
        ):
            for label, after in part:
                yield f'leader {leader.epoch}: {label}', after
    for worker_id in WORKERS:
        for label, after in _worker_steps(rules, state, worker_id):
            yield f'worker {worker_id} {label}', after


FAULTS = ('two places', 'finished task started')


def _fault_is_absent(fault: str) -> Callable[[dict[str, Any]], bool]:
    return lambda state: state['fault'] != fault


def fleet_model(rules: Rules) -> Protocol:
    """Build the model.

    Args:
        rules: the enabled safeguards.

    Returns:
        A protocol with one invariant for each property.
    """
    return Protocol(
        name='fleet',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: _steps(rules, state),
        invariants={fault: _fault_is_absent(fault) for fault in FAULTS},
    )
