"""Creates the clients of a domain's workers and executors."""

from jayshore.clock import Clock, Millis
from jayshore.daemon.settings import Settings
from jayshore.http.client import Address, HttpClient
from jayshore.http.messages import Request, Response
from jayshore.leases.executor import REQUEST_ID_HEADER, HttpExecutorClient
from jayshore.leases.worker import HttpWorkerClient
from jayshore.store.instances import Instance
from jayshore.traffic import Traffic

_WORKER_CONNECTIONS = 8
_CHECKPOINT_CONNECTIONS = 32
"""Concurrent checkpoint calls to one worker; a small task takes one core."""
_EXECUTOR_CONNECTIONS = 64


class UpstreamConnector:
    """Creates HTTP clients for the upstreams of a domain."""

    def __init__(
        self,
        *,
        settings: Settings,
        clock: Clock,
        workers: Traffic,
        executors: Traffic,
    ) -> None:
        """Create a connector; no connection is opened yet.

        Args:
            settings: settings of the daemon.
            clock: monotonic time.
            workers: counts the bytes to and from workers.
            executors: counts the bytes to and from executors.
        """
        self._holder = settings.name
        self._timing = settings.timing
        self._clock = clock
        self._workers = workers
        self._executors = executors

    def create_worker_client(self, instance: Instance) -> HttpWorkerClient:
        """Create the client of a worker.

        Args:
            instance: the worker's entry in the instance list.

        Returns:
            The client, which connects on first use.
        """
        timing = self._timing
        return HttpWorkerClient(
            client=self._worker_http_client(instance, _WORKER_CONNECTIONS),
            checkpoints=self._worker_http_client(
                instance, _CHECKPOINT_CONNECTIONS
            ),
            holder=self._holder,
            clock=self._clock,
            call_timeout_ms=Millis(timing.call_timeout_ms),
            task_lease_ms=Millis(timing.task_lease_ms),
        )

    def create_executor_client(self, instance: Instance) -> HttpExecutorClient:
        """Create the client of an executor.

        Args:
            instance: the executor's entry in the instance list.

        Returns:
            The client, which connects on first use.
        """
        timing = self._timing
        return HttpExecutorClient(
            client=HttpClient(
                address=Address.parse(instance.address),
                max_connections=_EXECUTOR_CONNECTIONS,
                connect_timeout_ms=Millis(timing.call_timeout_ms),
                may_reuse=_matches_request_id,
                traffic=self._executors,
            ),
            holder=self._holder,
            call_timeout_ms=Millis(timing.call_timeout_ms),
            renew_wait_ms=Millis(timing.executor_wait_ms),
        )

    def _worker_http_client(
        self, instance: Instance, connections: int
    ) -> HttpClient:
        return HttpClient(
            address=Address.parse(instance.address),
            max_connections=connections,
            connect_timeout_ms=Millis(self._timing.call_timeout_ms),
            traffic=self._workers,
        )


def _matches_request_id(request: Request, response: Response) -> bool:
    """Allow reuse only if the response carries the id of the request."""
    wanted = request.headers.get(REQUEST_ID_HEADER)
    return response.header(REQUEST_ID_HEADER) == wanted
