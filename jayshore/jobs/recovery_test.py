"""Runs the transitions under lost messages, late writes and failures."""

import dataclasses

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from jayshore.jobs import transitions
from jayshore.jobs.changes import TransitionError, Writer
from jayshore.jobs.proofs import (
    InstanceGone,
    LeaseExpired,
    NeverSent,
    Verdict,
    WorkerReport,
)
from jayshore.jobs.record import (
    TaskState,
    WorkerBoot,
    decode_record,
    encode_record,
)
from jayshore.jobs.sample_record_test import TASKS, sample_record

FATES = ('prompt', 'prompt', 'answer lost', 'delayed', 'dropped')
WORKERS = range(3)

either = strategies.sampled_from((0, 1))
any_worker = strategies.sampled_from(WORKERS)
any_task = strategies.sampled_from(TASKS)
any_fate = strategies.sampled_from(FATES)


class FakeWorker:
    """A worker as section 4.1 of the design describes it."""

    def __init__(self, at):
        self.at = at
        self.boot = 0
        self.is_gone = False
        self.forget()

    def forget(self):
        self.top_epoch = 0
        self.lease = None
        self.live = False
        self.tasks = {}

    @property
    def identity(self):
        return WorkerBoot(worker_id=str(self.at), boot_id=str(self.boot))

    def lapse(self):
        self.live = False
        for index, (attempt, state) in self.tasks.items():
            if state == 'running':
                self.tasks[index] = (attempt, 'ended')


class Leader:
    """What a leader remembers; it is lost when the daemon restarts."""

    def __init__(self, epoch):
        self.epoch = epoch
        self.copy = None
        self.revision = 0
        self.pending = None
        self.leases = {}
        self.evidence = {}
        self.ever_sent = set()
        self.outstanding = set()
        self.over = {}


class Jobs(RuleBasedStateMachine):
    """Two leaders, three workers, late writes and late starts."""

    idempotent = True

    def __init__(self):
        super().__init__()
        self.text = encode_record(sample_record(idempotent=self.idempotent))
        self.revision = 1
        self.leader_key = 0
        self.lease_count = 0
        self.late_writes = []
        self.late_starts = []
        self.workers = [FakeWorker(at) for at in WORKERS]
        self.leaders = [None, None]
        self.started = {index: 0 for index in TASKS}
        self.become_leader(0)
        self.write_claim(0, 'prompt')
        self.widen(0, 0, 'prompt')
        self.widen(0, 1, 'prompt')

    # The store.

    def _land(self, text, expect):
        if expect != self.revision:
            return False
        old, new = decode_record(self.text), decode_record(text)
        assert new.epoch >= old.epoch
        for before, after in zip(old.tasks, new.tasks, strict=True):
            assert not before.is_final or after == before
        self.text = text
        self.revision += 1
        return True

    def _send(self, leader, fate):
        text, expect = leader.pending
        leader.copy = None
        if fate == 'delayed':
            self.late_writes.append((text, expect))
        if fate in {'delayed', 'dropped'}:
            return
        landed = self._land(text, expect)
        if fate == 'prompt':
            leader.pending = None
            if landed or decode_record(self.text).epoch == leader.epoch:
                leader.copy = decode_record(self.text)
                leader.revision = self.revision

    def _change(self, at, fate, change, **arguments):
        leader = self.leaders[at]
        if leader is None or leader.copy is None:
            return
        writer = Writer(epoch=leader.epoch, write_id='w')
        try:
            new = change(leader.copy, writer, **arguments)
        except TransitionError:
            return
        leader.pending = (encode_record(new), leader.revision)
        self._send(leader, fate)

    # Daemons.

    @rule(at=either)
    def become_leader(self, at):
        self.leader_key += 1
        self.leaders[at] = Leader(self.leader_key)

    @rule(at=either, fate=any_fate)
    def write_claim(self, at, fate):
        leader = self.leaders[at]
        if leader is None or leader.copy is not None:
            return
        if leader.pending is None:
            writer = Writer(epoch=leader.epoch, write_id='w')
            try:
                new = transitions.claim(decode_record(self.text), writer)
            except TransitionError:
                return
            leader.pending = (encode_record(new), self.revision)
        self._send(leader, fate)

    @rule(
        at=either,
        to=any_worker,
        fate=any_fate,
    )
    def widen(self, at, to, fate):
        worker = self.workers[to]
        leader = self.leaders[at]
        if leader is not None and leader.copy is not None:
            waiting = [
                task.index
                for task in leader.copy.tasks
                if task.state == TaskState.WAITING
            ]
            self._change(
                at,
                fate,
                transitions.widen_intent,
                workers=(worker.identity,),
                first_attempts=waiting,
            )

    @rule(at=either, to=any_worker)
    def open_lease(self, at, to):
        leader, worker = self.leaders[at], self.workers[to]
        if leader is None or worker.is_gone:
            return
        if worker.top_epoch > leader.epoch:
            return
        self.lease_count += 1
        worker.top_epoch = leader.epoch
        worker.lease = self.lease_count
        worker.live = True
        leader.leases[to] = (self.lease_count, worker.boot)
        leader.over.pop(to, None)
        if leader.copy is not None:
            for index in TASKS:
                self._note(leader, worker, index)

    def _note(self, leader, worker, index):
        wanted = leader.copy.tasks[index].attempt
        attempt, state = worker.tasks.get(index, (0, 'absent'))
        if attempt != wanted:
            state = 'absent'
        leader.evidence[worker.at, index] = (wanted, state, worker.boot)
        leader.outstanding.discard((worker.at, index, wanted))

    def _proofs(self, leader, index):
        task = leader.copy.tasks[index]
        for named in leader.copy.intent:
            at = int(named.worker_id)
            if (at, index, task.attempt) not in leader.ever_sent:
                yield NeverSent(worker=named)
            if (at, index, task.attempt) not in leader.outstanding:
                yield from self._reports(leader, named, index)
            if at in leader.over:
                yield leader.over[at](worker=named)

    def _reports(self, leader, named, index):
        known = leader.evidence.get((int(named.worker_id), index))
        if known is None or known[1] in {'running', 'finished'}:
            return
        attempt, state, boot = known
        absent = state == 'absent'
        yield WorkerReport(
            worker=named,
            reporting_boot_id=str(boot),
            lease_epoch=leader.epoch,
            attempt=attempt,
            verdict=Verdict.NEVER_STARTED if absent else Verdict.ENDED,
        )

    @rule(
        at=either,
        to=any_worker,
        index=any_task,
    )
    def send_start(self, at, to, index):
        leader = self.leaders[at]
        if leader is None or leader.copy is None or to not in leader.leases:
            return
        lease, boot = leader.leases[to]
        named = WorkerBoot(worker_id=str(to), boot_id=str(boot))
        task = leader.copy.tasks[index]
        if named not in leader.copy.intent or task.is_final:
            return
        proofs = self._proofs(leader, index)
        missing = transitions.unproved_workers(
            leader.copy, task, proofs, accepted=transitions.NEVER_STARTED
        )
        if task.attempt and not missing:
            self.late_starts.append((to, lease, index, task.attempt))
            leader.ever_sent.add((to, index, task.attempt))
            leader.outstanding.add((to, index, task.attempt))

    @rule(
        at=either,
        index=any_task,
        fate=any_fate,
    )
    def try_again(self, at, index, fate):
        leader = self.leaders[at]
        if leader is not None and leader.copy is not None:
            self._change(
                at,
                fate,
                transitions.retry_task,
                index=index,
                proofs=tuple(self._proofs(leader, index)),
            )

    @rule(
        at=either,
        to=any_worker,
        index=any_task,
        fate=any_fate,
    )
    def settle(self, at, to, index, fate):
        leader = self.leaders[at]
        if leader is None or leader.copy is None:
            return
        attempt, state, boot = leader.evidence.get((to, index), (0, '', 0))
        if state == 'finished':
            ended = dataclasses.replace(
                leader.copy.tasks[index],
                state=TaskState.FINISHED,
                attempt=attempt,
                worker=WorkerBoot(worker_id=str(to), boot_id=str(boot)),
            )
            self._change(at, fate, transitions.settle_task, ended=ended)

    @rule(at=either, to=any_worker)
    def wait_for_task_lease(self, at, to):
        leader, worker = self.leaders[at], self.workers[to]
        if leader is None or to not in leader.leases:
            return
        if worker.top_epoch == leader.epoch:
            worker.lapse()
        confirmed = self.leader_key
        leader.over[to] = lambda worker: LeaseExpired(
            worker=worker, lease_epoch=leader.epoch, confirmed_epoch=confirmed
        )

    @rule(at=either, to=any_worker)
    def see_the_list(self, at, to):
        if self.leaders[at] is not None and self.workers[to].is_gone:
            self.leaders[at].over[to] = InstanceGone

    @rule(at=either)
    def recover(self, at):
        """Do all that a healthy leader does, to reach deeper states."""
        self.write_claim(at, 'prompt')
        for to in WORKERS:
            self.see_the_list(at, to)
            self.open_lease(at, to)
        for index in TASKS:
            for to in WORKERS:
                self.settle(at, to, index, 'prompt')
            self.try_again(at, index, 'prompt')
            for chosen in WORKERS:
                self.send_start(at, chosen, index)

    # Workers and the network.

    @precondition(lambda self: self.late_writes)
    @rule(data=strategies.data())
    def late_write_lands(self, data):
        last = len(self.late_writes) - 1
        index = data.draw(strategies.integers(0, last))
        self._land(*self.late_writes.pop(index))

    @precondition(lambda self: self.late_starts)
    @rule(data=strategies.data())
    def start_arrives(self, data):
        last = len(self.late_starts) - 1
        which = data.draw(strategies.integers(0, last))
        to, lease, index, attempt = self.late_starts.pop(which)
        worker = self.workers[to]
        if not worker.live or lease != worker.lease or worker.is_gone:
            return
        for one in self.workers:
            assert one.tasks.get(index, (0, ''))[1] != 'running'
        assert not decode_record(self.text).tasks[index].is_final
        self.started[index] += 1
        assert self.idempotent or self.started[index] == 1
        worker.tasks[index] = (attempt, 'running')

    @rule(
        to=any_worker,
        index=any_task,
        state=strategies.sampled_from(('finished', 'ended')),
    )
    def task_ends(self, to, index, state):
        attempt, before = self.workers[to].tasks.get(index, (0, ''))
        if before == 'running':
            self.workers[to].tasks[index] = (attempt, state)

    @rule(to=any_worker)
    def lease_lapses(self, to):
        self.workers[to].lapse()

    @rule(to=any_worker, is_gone=strategies.booleans())
    def worker_fails(self, to, is_gone):
        worker = self.workers[to]
        worker.forget()
        worker.boot += 1
        worker.is_gone = worker.is_gone or (is_gone and to == 0)


class NonIdempotentJobs(Jobs):
    """The same for a job of which nothing may run twice."""

    idempotent = False


TestJobs = Jobs.TestCase
TestNonIdempotentJobs = NonIdempotentJobs.TestCase
TestJobs.settings = TestNonIdempotentJobs.settings = settings(
    max_examples=250,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
)
