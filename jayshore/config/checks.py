"""Validation rules that span several fields or files of a configuration."""

import dataclasses
import ipaddress
from collections.abc import Iterable, Iterator
from typing import Any

from jayshore.config.model import (
    MAX_NUMBER,
    Domain,
    Instance,
    Key,
    Queue,
    Service,
    Team,
)
from jayshore.config.sections import Indexed, Section
from jayshore.decoding import Fault

_MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sections:
    """The sections read from all configuration files that hold a list."""

    teams: Section[Team]
    keys: Section[Key]
    queues: Section[Queue]
    services: Section[Service]
    domains: Section[Domain]
    instances: Section[Instance]

    def each(self) -> Iterator[Section[Any]]:
        """Iterate over all sections, in the order of the fields.

        Yields:
            Each section.
        """
        yield self.teams
        yield self.keys
        yield self.queues
        yield self.services
        yield self.domains
        yield self.instances


def check_sections(sections: Sections) -> Iterator[Fault]:
    """Check all rules that span several fields or files.

    Args:
        sections: the sections as read, with or without invalid entries.

    Yields:
        Each fault found.
    """
    for section in sections.each():
        id_field = 'id' if section is sections.keys else 'name'
        yield from _duplicate_faults(section, id_field, section.names)
    yield from _check_teams(sections.teams)
    yield from _check_keys(sections.keys, sections.teams)
    yield from _check_open_access(sections.queues, sections.teams)
    yield from _check_open_access(sections.services, sections.teams)
    yield from _check_roster(sections.instances, sections.domains)


def address_fault(address: str) -> str:
    """Validate the address of a peer listener.

    Args:
        address: such as `10.0.0.1:7400` or `[fd00::1]:7400`.

    Returns:
        What is wrong with the address, empty when it is valid.
    """
    host, _, port = address.rpartition(':')
    is_bracketed = host.startswith('[') and host.endswith(']')
    try:
        ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return 'Expected an IP number and a port, as in 10.0.0.1:7400'
    if is_bracketed != (ip.version == 6):
        return 'Expected brackets around an IPv6 number and no other'
    if not (port.isascii() and port.isdecimal()):
        return 'Expected a port number after the last colon'
    if not 0 < int(port) <= _MAX_PORT:
        return f'Expected a port from 1 to {_MAX_PORT}'
    return ''


def _duplicate_faults(
    section: Section[Any], field: str, named: Iterable[Indexed[str]]
) -> Iterator[Fault]:
    first_index: dict[str, int] = {}
    for name in named:
        earlier = first_index.setdefault(name.value, name.index)
        if earlier != name.index:
            yield section.make_fault(
                name.index, field, f'duplicate of entry {earlier}'
            )


def _reference_faults(
    section: Section[Any],
    reference: Indexed[str],
    field: str,
    target: Section[Any],
) -> Iterator[Fault]:
    if target.is_readable and reference.value not in target.known_names:
        yield section.make_fault(
            reference.index,
            field,
            f'{reference.value!r} is not in {target.file}',
        )


def _check_teams(teams: Section[Team]) -> Iterator[Fault]:
    for entry in teams.entries:
        limit = entry.value.limit
        for field in dataclasses.fields(limit):
            if not 0 <= getattr(limit, field.name) <= MAX_NUMBER:
                yield teams.make_fault(
                    entry.index,
                    f'limit.{field.name}',
                    f'Expected `int` from 0 to {MAX_NUMBER}',
                )
        seen = set()
        for position, target in enumerate(entry.value.targets):
            if target.work in seen:
                yield teams.make_fault(
                    entry.index,
                    f'targets[{position}].work',
                    f'second target for {target.work}',
                )
            seen.add(target.work)


def _check_keys(keys: Section[Key], teams: Section[Team]) -> Iterator[Fault]:
    for entry in keys.entries:
        reference = Indexed(index=entry.index, value=entry.value.team)
        yield from _reference_faults(keys, reference, 'team', teams)
    digests = (
        Indexed(index=key.index, value=key.value.sha256) for key in keys.entries
    )
    yield from _duplicate_faults(keys, 'sha256', digests)


def _check_open_access(
    section: Section[Any], teams: Section[Team]
) -> Iterator[Fault]:
    for entry in section.entries:
        team = entry.value.team
        if entry.value.open and team is None:
            yield section.make_fault(
                entry.index, 'team', 'missing field: required when open'
            )
        elif team is not None and not entry.value.open:
            yield section.make_fault(
                entry.index, 'team', 'allowed only when open'
            )
        elif team is not None:
            reference = Indexed(index=entry.index, value=team)
            yield from _reference_faults(section, reference, 'team', teams)


def _check_roster(
    instances: Section[Instance], domains: Section[Domain]
) -> Iterator[Fault]:
    # With an empty roster there is no majority that could promise or attest.
    if instances.is_readable and not instances.names:
        yield Fault(file=instances.file, message='Expected at least one entry')
    for entry in instances.entries:
        reference = Indexed(index=entry.index, value=entry.value.domain)
        yield from _reference_faults(instances, reference, 'domain', domains)
        message = address_fault(entry.value.address)
        if message:
            yield instances.make_fault(entry.index, 'address', message)
    addresses = (
        Indexed(index=daemon.index, value=daemon.value.address)
        for daemon in instances.entries
    )
    yield from _duplicate_faults(instances, 'address', addresses)
