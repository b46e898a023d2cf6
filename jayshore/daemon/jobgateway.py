"""Accepts, finds and cancels jobs, here or through a domain leader."""

import curio
import eliot

from jayshore.clock import Clock, Millis, to_seconds
from jayshore.config.model import DomainState, Queue
from jayshore.daemon.access import Access, Granted, NotFresh
from jayshore.daemon.cancellation import CancelForwarder
from jayshore.daemon.configuration import ConfigManager
from jayshore.daemon.leaderrole import DomainLeaderRole
from jayshore.daemon.peers import Peer, PeerGroup
from jayshore.daemon.responses import JobView, job_view
from jayshore.daemon.settings import Settings
from jayshore.http.messages import encode_json
from jayshore.jobs.acceptance import (
    PreparedJob,
    Submission,
    Submitter,
    hash_ticket,
    prepare_job,
    record_job,
    store_unavailable,
)
from jayshore.jobs.admission import unschedulable_reason
from jayshore.jobs.changes import JobOverError, TransitionError
from jayshore.jobs.record import (
    JobRecord,
    JobState,
    decode_record,
    encode_record,
    job_key,
)
from jayshore.outcomes import (
    Accepted,
    RefusalReason,
    Refused,
    SubmitOutcome,
    Unconfirmed,
)
from jayshore.store.store import Store, StoreError
from jayshore.store.writeresolver import WriteResolver
from jayshore.wire import messages as msg
from jayshore.wire.errors import PeerUnreachable, WireError

_POLL_MS = Millis(250)
_RETRY_AFTER_MS = Millis(1000)


class JobGateway:
    """The job operations of callers and peers."""

    def __init__(
        self,
        *,
        settings: Settings,
        store: Store,
        write_resolver: WriteResolver,
        config: ConfigManager,
        leader_role: DomainLeaderRole,
        peers: PeerGroup,
        clock: Clock,
        wall_clock: Clock,
    ) -> None:
        """Create a gateway.

        Args:
            settings: settings of the daemon.
            store: the platform's store.
            write_resolver: resolves lost answers of writes.
            config: the configuration.
            leader_role: the leader while this daemon leads.
            peers: the other daemons.
            clock: monotonic time.
            wall_clock: time of day.
        """
        self._settings = settings
        self._store = store
        self._write_resolver = write_resolver
        self._config = config
        self._leader_role = leader_role
        self._peers = peers
        self._clock = clock
        self._wall_clock = wall_clock

    async def submit(
        self, submission: Submission, queue: Queue, access: Access
    ) -> SubmitOutcome:
        """Submit a job to this domain, or to another one if it never fits.

        Args:
            submission: the submitted job.
            queue: the queue that it names.
            access: the team of the caller, or why access is not granted.

        Returns:
            Accepted when the job is recorded in the store.
        """
        if not self._config.is_store_reachable and isinstance(access, Granted):
            # A write whose answer is lost may still be applied, so a refusal
            # is certain only if nothing was sent.
            return store_unavailable('the last read of the store failed')
        if isinstance(access, NotFresh):
            return Refused(
                reason=RefusalReason.NOT_FRESH, retry_after_ms=_RETRY_AFTER_MS
            )
        if not isinstance(access, Granted):
            return Refused(reason=RefusalReason.UNAUTHORISED)
        prepared = prepare_job(
            submission,
            Submitter(
                team=access.team, key_id=access.key_id, secret=access.secret
            ),
            queue=queue,
            domain=self._settings.domain,
            max_tasks=self._settings.limits.max_tasks,
            wall_clock=self._wall_clock,
        )
        if isinstance(prepared, Refused):
            return prepared
        outcome = await self._submit_locally(prepared)
        for domain in self._other_domains():
            peer = self._peers.leader_of(domain)
            if not _never_fits(outcome) or peer is None:
                continue
            outcome = await self._submit_to(
                peer, prepared.in_domain(domain), is_foreign=True
            )
        return outcome

    async def accept(self, prepared: PreparedJob) -> SubmitOutcome:
        """Record a job that this daemon or a peer has authenticated.

        Without a leader here, the job is recorded without admission control;
        the leader finds it at its next scan for new records.

        Args:
            prepared: the job.

        Returns:
            Accepted when the job is recorded in the store.
        """
        refusal = self._admission_refusal(prepared.record)
        if refusal is not None:
            return refusal
        outcome = await record_job(
            prepared,
            store=self._store,
            write_resolver=self._write_resolver,
            limit_ms=Millis(self._settings.timing.call_timeout_ms),
        )
        leader = self._leader_role.leader
        if isinstance(outcome, Accepted) and leader is not None:
            await leader.load_job(outcome.job_id)
        return outcome

    async def find(
        self, job_id: str, access: msg.TicketAccess | msg.TeamAccess, wait: int
    ) -> bytes | None:
        """Return the state of a job, waiting for its end.

        Args:
            job_id: id of the job.
            access: the ticket or team that authorises the caller.
            wait: longest wait, in ms.

        Returns:
            JSON of a `JobView`, or None when there is no such job or the
            caller may not see it.
        """
        deadline = self._clock.now() + wait
        while True:
            remaining = Millis(max(0, deadline - self._clock.now()))
            record = await self._find_record(job_id, remaining)
            if record is None:
                return await self._ask_peers(job_id, access, remaining)
            if not _is_authorised(record, access):
                return None
            if record.is_final or not remaining:
                return encode_json(self._view(record))
            await curio.sleep(to_seconds(min(_POLL_MS, remaining)))

    async def find_held(
        self, job_id: str, access: msg.TicketAccess | msg.TeamAccess, wait: int
    ) -> bytes | None:
        """Return the state of a job that this daemon holds as leader.

        Args:
            job_id: id of the job.
            access: the ticket or team that authorises the caller.
            wait: longest wait for the job's end, in ms.

        Returns:
            JSON of a `JobView`, or None when the job is not held here or the
            caller may not see it.
        """
        leader = self._leader_role.leader
        if leader is None:
            return None
        repository = leader.components.repository
        await repository.wait_until_ended(job_id, Millis(wait))
        record = repository.find(job_id)
        if record is None or not _is_authorised(record, access):
            return None
        return encode_json(self._view(record))

    async def cancel(self, job_id: str, team: str) -> msg.CancelResult:
        """Cancel a job through its leader.

        Args:
            job_id: id of the job.
            team: the team that cancels it, which has to own it.

        Returns:
            The result; unknown when no leader is known to hold the job.
        """
        outcome = await self.cancel_held(job_id, team)
        if outcome not in {msg.CancelResult.UNKNOWN, msg.CancelResult.STANDBY}:
            return outcome
        is_leading = outcome is msg.CancelResult.UNKNOWN
        domains = [
            domain.name
            for domain in self._config.snapshot.document.domains
            if domain.state is DomainState.ACTIVE
            and not (is_leading and domain.name == self._settings.domain)
        ]
        search = CancelForwarder(
            peers=self._peers,
            clock=self._clock,
            limit_ms=Millis(self._settings.timing.call_timeout_ms),
        )
        return await search.cancel(
            msg.CancelJob(job_id=job_id, team=team), domains
        )

    async def cancel_held(self, job_id: str, team: str) -> msg.CancelResult:
        """Cancel a job that this daemon holds as leader.

        Args:
            job_id: id of the job.
            team: the team that cancels it, which has to own it.

        Returns:
            The result; standby when this daemon does not lead.
        """
        leader = self._leader_role.leader
        if leader is None:
            return msg.CancelResult.STANDBY
        record = leader.components.repository.find(job_id)
        if record is None or record.team != team:
            return msg.CancelResult.UNKNOWN
        if record.is_final:
            return msg.CancelResult.FINISHED
        try:
            record = await leader.components.admission.cancel(job_id)
        except JobOverError:
            return msg.CancelResult.FINISHED
        except TransitionError:
            return msg.CancelResult.UNKNOWN
        if record.is_cancelling or record.state is JobState.CANCELLED:
            return msg.CancelResult.CANCELLED
        return msg.CancelResult.FINISHED

    async def _submit_locally(self, prepared: PreparedJob) -> SubmitOutcome:
        """Submit to the leader of this domain, or record the job here."""
        peer = self._peers.leader_of(self._settings.domain)
        if self._leader_role.leader is None and peer is not None:
            return await self._submit_to(peer, prepared)
        return await self.accept(prepared)

    def _other_domains(self) -> list[str]:
        return [
            domain.name
            for domain in self._config.snapshot.document.domains
            if domain.name != self._settings.domain
        ]

    async def _submit_to(
        self, peer: Peer, prepared: PreparedJob, *, is_foreign: bool = False
    ) -> SubmitOutcome:
        """Submit to a leader; record the job here when no reply arrives.

        Recording it twice is safe because the id is the same. After a lost
        reply, a refusal here becomes unconfirmed: the leader may have
        recorded the job.
        """
        call = msg.SubmitJob(
            record=encode_record(prepared.record).encode(),
            ticket=prepared.ticket,
        )
        timing = self._settings.timing
        try:
            reply = await peer.client.submit_job(
                call, timeout_ms=Millis(2 * timing.call_timeout_ms)
            )
        except PeerUnreachable:
            if is_foreign:
                return Refused(
                    reason=RefusalReason.NEVER_FITS,
                    detail='the other domain cannot be reached',
                    retry_after_ms=_RETRY_AFTER_MS,
                )
            return await self.accept(prepared)
        except WireError as error:
            eliot.log_message('job:leader_lost', error=str(error))
        else:
            return reply.outcome
        outcome = await self.accept(prepared)
        if isinstance(outcome, Refused):
            return Unconfirmed(
                job_id=prepared.record.job_id, ticket=prepared.ticket
            )
        return outcome

    def _view(self, record: JobRecord) -> JobView:
        leader = self._leader_role.leader
        is_running = (
            leader is not None and leader.components.attempts.is_running(record)
        )
        return job_view(record, is_running=is_running)

    def _admission_refusal(self, record: JobRecord) -> Refused | None:
        """Refuse a job that can never fit or that exceeds a waiting limit."""
        leader = self._leader_role.leader
        team = self._config.snapshot.team(record.team)
        queue = self._config.snapshot.queue(record.queue)
        if leader is None or team is None or queue is None:
            return None
        if leader.components.repository.find(record.job_id) is not None:
            return None
        views = leader.components.placer.views
        reason = ''
        if views:
            reason = unschedulable_reason(record, views, is_urgent=queue.urgent)
        if reason:
            return Refused(reason=RefusalReason.NEVER_FITS, detail=reason)
        waiting_ids = leader.components.attempts.waiting_job_ids()
        waiting = [
            held
            for held in leader.components.repository.records
            if held.job_id in waiting_ids
        ]
        in_team = sum(held.team == record.team for held in waiting)
        in_queue = sum(held.queue == queue.name for held in waiting)
        if in_team >= team.max_waiting or in_queue >= queue.max_waiting:
            return Refused(
                reason=RefusalReason.OVER_LIMIT,
                detail=f'{in_team} jobs of the team wait, {in_queue} in queue',
                retry_after_ms=_RETRY_AFTER_MS,
            )
        return None

    async def _find_record(self, job_id: str, wait: Millis) -> JobRecord | None:
        """Find a record here or in the store; None when neither can tell."""
        leader = self._leader_role.leader
        if leader is not None:
            await leader.components.repository.wait_until_ended(job_id, wait)
            record = leader.components.repository.find(job_id)
            if record is not None:
                return record
        try:
            entry = await self._store.get(job_key(job_id))
        except StoreError:
            return None
        return decode_record(entry.value) if entry else None

    async def _ask_peers(
        self,
        job_id: str,
        access: msg.TicketAccess | msg.TeamAccess,
        wait: Millis,
    ) -> bytes | None:
        call = msg.JobQuery(job_id=job_id, access=access, wait_ms=wait)
        timeout = Millis(wait + self._settings.timing.call_timeout_ms)
        for domain in self._config.snapshot.document.domains:
            peer = self._peers.leader_of(domain.name)
            if peer is None:
                continue
            try:
                reply = await peer.client.job_query(call, timeout_ms=timeout)
            except WireError:
                continue
            if reply.document is not None:
                return reply.document
        return None


def _is_authorised(
    record: JobRecord, access: msg.TicketAccess | msg.TeamAccess
) -> bool:
    if isinstance(access, msg.TicketAccess):
        return hash_ticket(access.ticket) == record.ticket_hash
    return access.team == record.team


def _never_fits(outcome: SubmitOutcome) -> bool:
    return (
        isinstance(outcome, Refused)
        and outcome.reason is RefusalReason.NEVER_FITS
    )
