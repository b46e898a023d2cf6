"""Runs the transitions under lost answers, delayed writes and failures.

Guards against a second run of a task while the first may be running, against
a second run of a task that is not idempotent, and against changes of a final
task state.
"""

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

WRITE_OUTCOMES = ('prompt', 'prompt', 'answer lost', 'delayed', 'dropped')
WORKERS = range(3)

any_leader = strategies.sampled_from((0, 1))
any_worker = strategies.sampled_from(WORKERS)
any_task = strategies.sampled_from(TASKS)
any_outcome = strategies.sampled_from(WRITE_OUTCOMES)


class FakeWorker:
    """A worker as described in section 4.1 of the design."""

    def __init__(self, number):
        self.number = number
        self.boot = 0
        self.is_gone = False
        self.forget()

    def forget(self):
        self.top_epoch = 0
        self.lease = None
        self.has_live_lease = False
        self.tasks = {}

    @property
    def worker_boot(self):
        return WorkerBoot(worker_id=str(self.number), boot_id=str(self.boot))

    def expire_lease(self):
        self.has_live_lease = False
        for index, (attempt, state) in self.tasks.items():
            if state == 'running':
                self.tasks[index] = (attempt, 'ended')


class Leader:
    """The memory of a leader, which is lost when its daemon restarts."""

    def __init__(self, epoch):
        self.epoch = epoch
        self.record_copy = None
        self.revision = 0
        self.pending_write = None
        self.leases = {}
        self.evidence = {}
        self.ever_sent = set()
        self.outstanding = set()
        self.end_proofs = {}


class JobMachine(RuleBasedStateMachine):
    """One job with two leaders, three workers, delayed writes and starts."""

    idempotent = True

    def __init__(self):
        super().__init__()
        self.text = encode_record(sample_record(idempotent=self.idempotent))
        self.revision = 1
        self.leader_key = 0
        self.lease_count = 0
        self.late_writes = []
        self.late_starts = []
        self.workers = [FakeWorker(number) for number in WORKERS]
        self.leaders = [None, None]
        self.started = {index: 0 for index in TASKS}
        self.become_leader(0)
        self.write_claim(0, 'prompt')
        self.widen_intent(0, 0, 'prompt')
        self.widen_intent(0, 1, 'prompt')

    # Store.

    def _apply_write(self, text, expect):
        if expect != self.revision:
            return False
        old, new = decode_record(self.text), decode_record(text)
        assert new.epoch >= old.epoch
        for before, after in zip(old.tasks, new.tasks, strict=True):
            assert not before.is_final or after == before
        self.text = text
        self.revision += 1
        return True

    def _send(self, leader, outcome):
        text, expect = leader.pending_write
        leader.record_copy = None
        if outcome == 'delayed':
            self.late_writes.append((text, expect))
        if outcome in {'delayed', 'dropped'}:
            return
        was_applied = self._apply_write(text, expect)
        if outcome == 'prompt':
            leader.pending_write = None
            if was_applied or decode_record(self.text).epoch == leader.epoch:
                leader.record_copy = decode_record(self.text)
                leader.revision = self.revision

    def _change(self, leader_index, outcome, change, **arguments):
        leader = self.leaders[leader_index]
        if leader is None or leader.record_copy is None:
            return
        writer = Writer(epoch=leader.epoch, write_id='w')
        try:
            new = change(leader.record_copy, writer, **arguments)
        except TransitionError:
            return
        leader.pending_write = (encode_record(new), leader.revision)
        self._send(leader, outcome)

    # Daemons.

    @rule(leader_index=any_leader)
    def become_leader(self, leader_index):
        self.leader_key += 1
        self.leaders[leader_index] = Leader(self.leader_key)

    @rule(leader_index=any_leader, outcome=any_outcome)
    def write_claim(self, leader_index, outcome):
        leader = self.leaders[leader_index]
        if leader is None or leader.record_copy is not None:
            return
        if leader.pending_write is None:
            writer = Writer(epoch=leader.epoch, write_id='w')
            try:
                new = transitions.claim(decode_record(self.text), writer)
            except TransitionError:
                return
            leader.pending_write = (encode_record(new), self.revision)
        self._send(leader, outcome)

    @rule(
        leader_index=any_leader,
        worker_index=any_worker,
        outcome=any_outcome,
    )
    def widen_intent(self, leader_index, worker_index, outcome):
        worker = self.workers[worker_index]
        leader = self.leaders[leader_index]
        if leader is not None and leader.record_copy is not None:
            waiting = [
                task.index
                for task in leader.record_copy.tasks
                if task.state == TaskState.WAITING
            ]
            self._change(
                leader_index,
                outcome,
                transitions.widen_intent,
                workers=(worker.worker_boot,),
                first_attempts=waiting,
            )

    @rule(leader_index=any_leader, worker_index=any_worker)
    def open_lease(self, leader_index, worker_index):
        leader, worker = self.leaders[leader_index], self.workers[worker_index]
        if leader is None or worker.is_gone:
            return
        if worker.top_epoch > leader.epoch:
            return
        self.lease_count += 1
        worker.top_epoch = leader.epoch
        worker.lease = self.lease_count
        worker.has_live_lease = True
        leader.leases[worker_index] = (self.lease_count, worker.boot)
        leader.end_proofs.pop(worker_index, None)
        if leader.record_copy is not None:
            for index in TASKS:
                self._observe_task(leader, worker, index)

    def _observe_task(self, leader, worker, index):
        wanted = leader.record_copy.tasks[index].attempt
        attempt, state = worker.tasks.get(index, (0, 'absent'))
        if attempt != wanted:
            state = 'absent'
        leader.evidence[worker.number, index] = (wanted, state, worker.boot)
        leader.outstanding.discard((worker.number, index, wanted))

    def _proofs(self, leader, index):
        task = leader.record_copy.tasks[index]
        for listed in leader.record_copy.intent:
            number = int(listed.worker_id)
            if (number, index, task.attempt) not in leader.ever_sent:
                yield NeverSent(worker=listed)
            if (number, index, task.attempt) not in leader.outstanding:
                yield from self._reports(leader, listed, index)
            if number in leader.end_proofs:
                yield leader.end_proofs[number](worker=listed)

    def _reports(self, leader, listed, index):
        known = leader.evidence.get((int(listed.worker_id), index))
        if known is None or known[1] in {'running', 'finished'}:
            return
        attempt, state, boot = known
        absent = state == 'absent'
        yield WorkerReport(
            worker=listed,
            reporting_boot_id=str(boot),
            lease_epoch=leader.epoch,
            attempt=attempt,
            verdict=Verdict.NEVER_STARTED if absent else Verdict.ENDED,
        )

    @rule(
        leader_index=any_leader,
        worker_index=any_worker,
        index=any_task,
    )
    def send_start(self, leader_index, worker_index, index):
        leader = self.leaders[leader_index]
        if (
            leader is None
            or leader.record_copy is None
            or worker_index not in leader.leases
        ):
            return
        lease, boot = leader.leases[worker_index]
        listed = WorkerBoot(worker_id=str(worker_index), boot_id=str(boot))
        task = leader.record_copy.tasks[index]
        if listed not in leader.record_copy.intent or task.is_final:
            return
        proofs = self._proofs(leader, index)
        missing = transitions.unproved_workers(
            leader.record_copy, task, proofs, accepted=transitions.NEVER_STARTED
        )
        if task.attempt and not missing:
            self.late_starts.append((worker_index, lease, index, task.attempt))
            leader.ever_sent.add((worker_index, index, task.attempt))
            leader.outstanding.add((worker_index, index, task.attempt))

    @rule(
        leader_index=any_leader,
        index=any_task,
        outcome=any_outcome,
    )
    def retry_task(self, leader_index, index, outcome):
        leader = self.leaders[leader_index]
        if leader is not None and leader.record_copy is not None:
            self._change(
                leader_index,
                outcome,
                transitions.retry_task,
                index=index,
                proofs=tuple(self._proofs(leader, index)),
            )

    @rule(
        leader_index=any_leader,
        worker_index=any_worker,
        index=any_task,
        outcome=any_outcome,
    )
    def settle_task(self, leader_index, worker_index, index, outcome):
        leader = self.leaders[leader_index]
        if leader is None or leader.record_copy is None:
            return
        attempt, state, boot = leader.evidence.get(
            (worker_index, index), (0, '', 0)
        )
        if state == 'finished':
            ended = dataclasses.replace(
                leader.record_copy.tasks[index],
                state=TaskState.FINISHED,
                attempt=attempt,
                worker=WorkerBoot(
                    worker_id=str(worker_index), boot_id=str(boot)
                ),
            )
            self._change(
                leader_index, outcome, transitions.settle_task, ended=ended
            )

    @rule(leader_index=any_leader, worker_index=any_worker)
    def wait_for_task_lease(self, leader_index, worker_index):
        leader, worker = self.leaders[leader_index], self.workers[worker_index]
        if leader is None or worker_index not in leader.leases:
            return
        if worker.top_epoch == leader.epoch:
            worker.expire_lease()
        confirmed = self.leader_key
        leader.end_proofs[worker_index] = lambda worker: LeaseExpired(
            worker=worker, lease_epoch=leader.epoch, confirmed_epoch=confirmed
        )

    @rule(leader_index=any_leader, worker_index=any_worker)
    def observe_instance_list(self, leader_index, worker_index):
        if (
            self.leaders[leader_index] is not None
            and self.workers[worker_index].is_gone
        ):
            self.leaders[leader_index].end_proofs[worker_index] = InstanceGone

    @rule(leader_index=any_leader)
    def recover(self, leader_index):
        """Run all steps of a healthy leader, to reach deeper states."""
        self.write_claim(leader_index, 'prompt')
        for worker_index in WORKERS:
            self.observe_instance_list(leader_index, worker_index)
            self.open_lease(leader_index, worker_index)
        for index in TASKS:
            for worker_index in WORKERS:
                self.settle_task(leader_index, worker_index, index, 'prompt')
            self.retry_task(leader_index, index, 'prompt')
            for chosen in WORKERS:
                self.send_start(leader_index, chosen, index)

    # Workers and the network.

    @precondition(lambda self: self.late_writes)
    @rule(data=strategies.data())
    def late_write_arrives(self, data):
        last = len(self.late_writes) - 1
        index = data.draw(strategies.integers(0, last))
        self._apply_write(*self.late_writes.pop(index))

    @precondition(lambda self: self.late_starts)
    @rule(data=strategies.data())
    def start_arrives(self, data):
        last = len(self.late_starts) - 1
        which = data.draw(strategies.integers(0, last))
        worker_index, lease, index, attempt = self.late_starts.pop(which)
        worker = self.workers[worker_index]
        if not worker.has_live_lease or lease != worker.lease or worker.is_gone:
            return
        for one in self.workers:
            assert one.tasks.get(index, (0, ''))[1] != 'running'
        assert not decode_record(self.text).tasks[index].is_final
        self.started[index] += 1
        assert self.idempotent or self.started[index] == 1
        worker.tasks[index] = (attempt, 'running')

    @rule(
        worker_index=any_worker,
        index=any_task,
        state=strategies.sampled_from(('finished', 'ended')),
    )
    def task_ends(self, worker_index, index, state):
        attempt, before = self.workers[worker_index].tasks.get(index, (0, ''))
        if before == 'running':
            self.workers[worker_index].tasks[index] = (attempt, state)

    @rule(worker_index=any_worker)
    def lease_expires(self, worker_index):
        self.workers[worker_index].expire_lease()

    @rule(worker_index=any_worker, is_gone=strategies.booleans())
    def worker_fails(self, worker_index, is_gone):
        worker = self.workers[worker_index]
        worker.forget()
        worker.boot += 1
        worker.is_gone = worker.is_gone or (is_gone and worker_index == 0)


class NonIdempotentJobMachine(JobMachine):
    """The same for a job whose tasks must not run twice."""

    idempotent = False


TestJobs = JobMachine.TestCase
TestNonIdempotentJobs = NonIdempotentJobMachine.TestCase
TestJobs.settings = TestNonIdempotentJobs.settings = settings(
    max_examples=250,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
)
