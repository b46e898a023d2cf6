"""Model of job records, worker leases and fencing (design 4.1 and 4.2).

One task, two daemons, two workers. A pause, a partition or an unreachable
store is modelled as a step that does not happen; time is the order of steps.
The task lease of a worker may expire at any time. A leader that has waited
for the length of the task lease without a renewal knows that the lease that it
opened has expired, unless a later leader has opened a lease in between.
"""

import dataclasses
from collections.abc import Callable, Iterator
from operator import itemgetter
from types import MappingProxyType
from typing import Any, NamedTuple, TypeAlias

from minicheck import Protocol

WORKERS = (0, 1)
LAST_ATTEMPT = 2
GONE = -1
UNOPENED = ('unopened', 'unopened')
NEVER = ('never', 'never')
_OBSERVED = MappingProxyType(
    {
        'running': 'sent',
        'finished': 'finished',
        'ended': 'over',
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """Safeguards of the protocol; setting one to False disables it.

    `last_epoch` bounds the elections, `worker_faults` lists the faults of
    which one may happen once, and `idempotent` is a property of the task.
    """

    last_epoch: int = 2
    worker_faults: tuple[str, ...] = ('reboots', 'dies')
    idempotent: bool = True
    starts_carry_lease: bool = True
    lease_ids_unique_over_boots: bool = True
    lapsed_lease_is_void: bool = True
    renewal_counts_from_sending: bool = True
    expiry_needs_own_lease: bool = True
    expiry_reads_leader_key: bool = True
    proof_from_whole_intent: bool = True
    starts_within_intent: bool = True
    uncertain_write_is_repeated: bool = True
    claim_writes_epoch: bool = True
    claim_checks_epoch: bool = True
    ack_after_record: bool = True
    only_never_started_again: bool = True


class Record(NamedTuple):
    """The job record.

    `intent` holds the boot number + 1 of each worker that may get a start, and
    0 for the others.
    """

    epoch: int = 0
    attempt: int = 0
    intent: tuple[int, ...] = (0, 0)
    done: bool = False


class Daemon(NamedTuple):
    """A daemon: its epoch, copy of the record, proofs and write in flight.

    `proof` holds what the daemon knows of the current attempt on each worker.
    """

    epoch: int = 0
    known: Record | None = None
    proof: tuple[str, ...] = UNOPENED
    late: Record | None = None


class Worker(NamedTuple):
    """A worker; `coming` is the attempt of a start in flight, 0 for none."""

    boot: int = 0
    top_epoch: int = 0
    live: bool = False
    task: str = ''
    attempt: int = 0
    coming: int = 0


class State(NamedTuple):
    """The whole system; `fault` names the violated property, if any."""

    leader_key: int = 0
    record: Record = Record()
    daemons: tuple[Daemon, ...] = (Daemon(), Daemon())
    workers: tuple[Worker, ...] = (Worker(), Worker())
    started: bool = False
    fault: str = ''


Steps: TypeAlias = Iterator[tuple[str, State]]


def _replace_at(
    items: tuple[Any, ...], index: int, item: Any
) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])


def _update_daemon(state: State, daemon_id: int, daemon: Daemon) -> State:
    # Daemons are symmetric: states that differ by a swap of them are equal.
    daemons = sorted(
        _replace_at(state.daemons, daemon_id, daemon), key=itemgetter(0)
    )
    return state._replace(daemons=tuple(daemons))


def _update_worker(state: State, worker_id: int, **changes: Any) -> State:
    worker = state.workers[worker_id]._replace(**changes)
    return state._replace(workers=_replace_at(state.workers, worker_id, worker))


def _write_steps(
    state: State, daemon_id: int, new: Record, proof: tuple[str, ...]
) -> Steps:
    epoch = state.daemons[daemon_id].epoch
    known = None if new.done else new
    after = _apply_write(state, new)
    yield (
        'writes',
        _update_daemon(after, daemon_id, Daemon(epoch, known, proof)),
    )
    uncertain = Daemon(epoch, late=new)
    yield (
        'writes without an answer',
        _update_daemon(state, daemon_id, uncertain),
    )


def _apply_write(state: State, new: Record) -> State:
    # The new revision makes every other write in flight fail.
    daemons = tuple(one._replace(late=None) for one in state.daemons)
    fault = 'epoch went back' if new.epoch < state.record.epoch else ''
    return state._replace(record=new, daemons=daemons, fault=fault)


def _store_steps(rules: Rules, state: State, daemon_id: int) -> Steps:
    daemon, record = state.daemons[daemon_id], state.record
    if daemon.epoch == 0:
        epoch = state.leader_key + 1
        if epoch <= rules.last_epoch:
            leads = _update_daemon(state, daemon_id, Daemon(epoch))
            yield 'becomes leader', leads._replace(leader_key=epoch)
        return
    yield 'restarts', _update_daemon(state, daemon_id, Daemon(late=daemon.late))
    if daemon.known is None:
        yield from _claim_steps(rules, state, daemon_id)
    elif daemon.known == record:
        yield from _change_steps(rules, state, daemon_id)


def _claim_steps(rules: Rules, state: State, daemon_id: int) -> Steps:
    epoch, record = state.daemons[daemon_id].epoch, state.record
    if not record.attempt:
        first = Record(epoch, 1, (state.workers[0].boot + 1, 0))
        yield from _write_steps(state, daemon_id, first, NEVER)
        return
    proof = tuple('unopened' if boot else 'never' for boot in record.intent)
    read = record.epoch == epoch and not rules.uncertain_write_is_repeated
    if read or not rules.claim_writes_epoch:
        copy = Daemon(epoch, record, proof, state.daemons[daemon_id].late)
        yield 'reads', _update_daemon(state, daemon_id, copy)
    elif record.epoch <= epoch or not rules.claim_checks_epoch:
        claimed = record._replace(epoch=epoch)
        yield from _write_steps(state, daemon_id, claimed, proof)


def _change_steps(rules: Rules, state: State, daemon_id: int) -> Steps:
    proof, record = state.daemons[daemon_id].proof, state.record
    if 'finished' in proof:
        yield from _write_steps(
            state, daemon_id, record._replace(done=True), proof
        )
        return
    over = {'never', 'over'}
    if not rules.idempotent and rules.only_never_started_again:
        over = {'never'}
    named = [
        proof[worker_id] in over
        for worker_id in WORKERS
        if record.intent[worker_id]
    ]
    enough = all if rules.proof_from_whole_intent else any
    if enough(named) and record.attempt < LAST_ATTEMPT:
        further = record._replace(attempt=record.attempt + 1)
        yield from _write_steps(state, daemon_id, further, NEVER)
    for worker_id, worker in enumerate(state.workers):
        if worker.boot != GONE and not record.intent[worker_id]:
            intent = _replace_at(record.intent, worker_id, worker.boot + 1)
            widened = record._replace(intent=intent)
            yield from _write_steps(state, daemon_id, widened, proof)


def _observed_state(worker: Worker, known: Record, worker_id: int) -> str:
    if known.intent[worker_id] not in {0, worker.boot + 1}:
        return 'over'
    if not worker.task or worker.attempt != known.attempt:
        return 'never'
    return _OBSERVED[worker.task]


def _proof_steps(
    rules: Rules, state: State, daemon_id: int, worker_id: int
) -> Steps:
    daemon, worker = state.daemons[daemon_id], state.workers[worker_id]
    if daemon.known != state.record or not daemon.known.intent[worker_id]:
        return
    proved = daemon._replace(proof=_replace_at(daemon.proof, worker_id, 'over'))
    if worker.boot == GONE:
        yield (
            'sees on the list the loss of worker',
            _update_daemon(state, daemon_id, proved),
        )
    opened = daemon.proof[worker_id] == 'sent'
    if not opened and rules.expiry_needs_own_lease:
        return
    if state.leader_key != daemon.epoch and rules.expiry_reads_leader_key:
        return
    own = worker.top_epoch == daemon.epoch
    if not (own and worker.live and rules.renewal_counts_from_sending):
        yield (
            'has waited for the task lease of worker',
            _update_daemon(state, daemon_id, proved),
        )


def _lease_steps(
    rules: Rules, state: State, daemon_id: int, worker_id: int
) -> Steps:
    daemon, worker = state.daemons[daemon_id], state.workers[worker_id]
    known = daemon.known
    if worker.boot != GONE and worker.top_epoch <= daemon.epoch:
        fenced = rules.starts_carry_lease and (
            rules.lease_ids_unique_over_boots or worker.top_epoch
        )
        coming = 0 if fenced else worker.coming
        after = _update_worker(
            state, worker_id, top_epoch=daemon.epoch, live=True, coming=coming
        )
        if known is not None:
            proof = _replace_at(
                daemon.proof,
                worker_id,
                _observed_state(worker, known, worker_id),
            )
            after = _update_daemon(
                after, daemon_id, daemon._replace(proof=proof)
            )
        yield 'opens the lease of worker', after
    if known is None or worker.top_epoch != daemon.epoch or not worker.live:
        return
    if worker.task == 'finished' and not rules.ack_after_record:
        yield (
            'acknowledges the result of worker',
            _update_worker(state, worker_id, task='', attempt=0),
        )
    inside = known.intent[worker_id] == worker.boot + 1
    if daemon.proof == NEVER and (inside or not rules.starts_within_intent):
        sent = daemon._replace(proof=_replace_at(NEVER, worker_id, 'sent'))
        after = _update_worker(state, worker_id, coming=known.attempt)
        yield (
            'sends the start to worker',
            _update_daemon(after, daemon_id, sent),
        )


def _accept_start(rules: Rules, state: State, worker_id: int) -> State:
    fault = ''
    if any(worker.task == 'running' for worker in state.workers):
        fault = 'two places'
    elif state.record.done:
        fault = 'finished task started'
    elif state.started:
        fault = 'second start'
    attempt = state.workers[worker_id].coming
    after = _update_worker(
        state, worker_id, task='running', attempt=attempt, coming=0
    )
    return after._replace(started=not rules.idempotent, fault=fault)


def _worker_steps(rules: Rules, state: State, worker_id: int) -> Steps:
    worker = state.workers[worker_id]
    if worker.coming and (worker.live or not rules.lapsed_lease_is_void):
        yield 'accepts the start', _accept_start(rules, state, worker_id)
    if worker.task == 'running':
        yield 'finishes', _update_worker(state, worker_id, task='finished')
        yield 'fails', _update_worker(state, worker_id, task='ended')
    if worker.live:
        task = worker.task.replace('running', 'ended')
        late = 0 if rules.lapsed_lease_is_void else worker.coming
        expired = _update_worker(
            state, worker_id, live=False, task=task, coming=late
        )
        yield 'sees its lease lapse', expired
    if any(one.boot for one in state.workers):
        return
    for label in rules.worker_faults:
        old = 0 if rules.lease_ids_unique_over_boots else worker.coming
        again = Worker(boot=1, coming=old)
        new = again if label == 'reboots' else Worker(boot=GONE)
        workers = _replace_at(state.workers, worker_id, new)
        yield label, state._replace(workers=workers)


def _leader_steps(rules: Rules, state: State, daemon_id: int) -> Steps:
    daemon = state.daemons[daemon_id]
    if daemon.late is not None:
        yield 'late write lands', _apply_write(state, daemon.late)
    if state.record.done and daemon.known is None:
        return
    yield from _store_steps(rules, state, daemon_id)
    for worker_id in WORKERS if daemon.epoch else ():
        for label, after in _lease_steps(rules, state, daemon_id, worker_id):
            yield f'{label} {worker_id}', after
        for label, after in _proof_steps(rules, state, daemon_id, worker_id):
            yield f'{label} {worker_id}', after


def _steps(rules: Rules, state: State) -> Steps:
    if state.fault:
        return
    for daemon_id, daemon in enumerate(state.daemons):
        for label, after in _leader_steps(rules, state, daemon_id):
            yield f'leader {daemon.epoch}: {label}', after
    for worker_id in WORKERS:
        for label, after in _worker_steps(rules, state, worker_id):
            yield f'worker {worker_id} {label}', after


FAULTS = (
    'two places',
    'second start',
    'finished task started',
    'epoch went back',
)


def _fault_is_absent(fault: str) -> Callable[[dict[str, Any]], bool]:
    return lambda state: state['fault'] != fault


def task_model(rules: Rules) -> Protocol:
    """Build the model.

    Args:
        rules: the enabled safeguards.

    Returns:
        A protocol with one invariant for each property.
    """
    return Protocol(
        name='tasks',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: _steps(rules, state),
        invariants={fault: _fault_is_absent(fault) for fault in FAULTS},
    )
