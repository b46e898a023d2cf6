"""Finds entries that never match and limits that contradict each other."""

from collections.abc import Collection, Iterable, Iterator

from jayshore.fleet.advising import TICKET_TRANSFER_MS
from jayshore.fleet.findings import Finding, Severity, show_value
from jayshore.fleet.model import FleetConfig, Queue, Workspace


def check_matches(
    config: FleetConfig, services: Collection[str] = ()
) -> Iterator[Finding]:
    """Find the entries that no call can match.

    Args:
        config: a configuration.
        services: names of the services that are declared beside it, empty when
            none are.

    Yields:
        An error for each entry that another one replaces, and a warning for
        each entry that is of no use.
    """
    owners = config.workspaces
    yield from _duplicates('queues', (queue.name for queue in config.queues))
    yield from _duplicates('workspaces', (owner.name for owner in owners))
    yield from _check_routes(config.queues)
    yield from _check_keys(owners)
    yield from _check_services(config.queues, services)
    has_keys = any(owner.keys for owner in owners)
    for number, queue in enumerate(config.queues):
        if not (queue.public or has_keys):
            message = 'no workspace has a key, so every call is answered 401'
            yield _warn(f'queues[{number}].public', queue.public, message)


def check_limits(config: FleetConfig) -> Iterator[Finding]:
    """Find the limits that contradict each other.

    Args:
        config: a configuration.

    Yields:
        A warning for each of them.
    """
    if config.header_timeout_ms > config.idle_timeout_ms:
        message = 'longer than the time for which an idle connection is kept'
        expected = f'at most {config.idle_timeout_ms}'
        timeout_ms = config.header_timeout_ms
        yield _warn('header_timeout_ms', timeout_ms, message, expected)
    for number, queue in enumerate(config.queues):
        yield from _check_objective(queue, f'queues[{number}]')
    for position, owner in enumerate(config.workspaces):
        if owner.weight == 0:
            path = f'workspaces[{position}].weight'
            message = 'it has no share, and goes last, when workers are full'
            yield _warn(path, owner.weight, message, 'above 0')


def _duplicates(section: str, names: Iterable[str]) -> Iterator[Finding]:
    first: dict[str, int] = {}
    for index, name in enumerate(names):
        earlier = first.setdefault(name, index)
        if earlier != index:
            message = f'entry {earlier} has the same name'
            yield _error(
                f'{section}[{index}].name', name, message, 'a unique name'
            )


def _check_routes(queues: tuple[Queue, ...]) -> Iterator[Finding]:
    """Apply the order of `ConfigHolder.find_queue`.

    The longest prefix of a host is taken, so a shorter one hides nothing.
    """
    first: dict[tuple[str, str], int] = {}
    for index, queue in enumerate(queues):
        path, host = f'queues[{index}]', queue.host
        earlier = first.setdefault((host.lower(), queue.prefix), index)
        if earlier != index:
            message = f'entry {earlier} has the same host and prefix, hides it'
            yield _warn(f'{path}.prefix', queue.prefix, message)
        if not queue.prefix.startswith('/'):
            message = 'no path starts with it'
            yield _warn(f'{path}.prefix', queue.prefix, message, 'leading /')
        if not host or ':' in host:
            message = 'no call has it, as hosts are compared without their port'
            yield _warn(f'{path}.host', host, message, 'a name without port')


def _check_keys(workspaces: tuple[Workspace, ...]) -> Iterator[Finding]:
    owners: dict[str, int] = {}
    for index, workspace in enumerate(workspaces):
        path, keys = f'workspaces[{index}].keys', workspace.keys
        if not keys:
            yield _warn(path, keys, 'no caller can use it')
        for earlier in sorted({owners[key] for key in keys & owners.keys()}):
            message = f'takes over a key of entry {earlier}'
            yield _error(path, keys, message, 'keys of one workspace only')
        owners.update(dict.fromkeys(keys, index))


def _check_services(
    queues: tuple[Queue, ...], services: Collection[str]
) -> Iterator[Finding]:
    named = {queue.service for queue in queues}
    for position, service in enumerate(services):
        if service not in named:
            path = f'services[{position}].name'
            yield _warn(path, service, 'no queue names it')
    for number, queue in enumerate(queues):
        if services and queue.service not in services:
            message = 'it is not declared, so its jobs may wait for ever'
            yield _warn(f'queues[{number}].service', queue.service, message)


def _check_objective(queue: Queue, path: str) -> Iterator[Finding]:
    objective_ms, advice = queue.objective_ms, queue.advice
    if queue.stretch < 1 and objective_ms > 0:
        message = 'the objective of a long job is shorter than the job itself'
        yield _warn(f'{path}.stretch', queue.stretch, message, '1 or more')
    if advice is None:
        return
    decision_ms, validity_ms = advice.decision_ms, advice.validity_ms
    path = f'{path}.advice'
    if 0 < objective_ms <= decision_ms:
        message = 'advice for one attempt takes longer than the objective'
        expected = f'below {objective_ms}'
        yield _warn(f'{path}.decision_ms', decision_ms, message, expected)
    if validity_ms <= TICKET_TRANSFER_MS:
        message = 'a ticket has expired when it arrives, so no job starts'
        expected = f'above {TICKET_TRANSFER_MS}'
        yield _warn(f'{path}.validity_ms', validity_ms, message, expected)


def _warn(
    path: str, found: object, message: str, expected: str = ''
) -> Finding:
    return Finding(
        severity=Severity.WARNING,
        path=path,
        value=show_value(found),
        expected=expected,
        message=message,
    )


def _error(path: str, found: object, message: str, expected: str) -> Finding:
    return Finding(
        severity=Severity.ERROR,
        path=path,
        value=show_value(found),
        expected=expected,
        message=message,
    )
