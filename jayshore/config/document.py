"""The complete configuration as one value, applied or rejected as a whole."""

import dataclasses
import hashlib

import msgspec

from jayshore.config.model import (
    Domain,
    Instance,
    Key,
    Policies,
    Queue,
    Service,
    Team,
)

MAX_DOCUMENT_BYTES = 999_000
"""The store takes values up to 1 MB; 1,000 bytes are for the envelope."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """All configuration files; each field is the file of the same name."""

    teams: tuple[Team, ...] = ()
    keys: tuple[Key, ...] = ()
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    policies: Policies = Policies()
    domains: tuple[Domain, ...] = ()
    instances: tuple[Instance, ...] = ()

    @property
    def digest(self) -> str:
        """SHA-256 of the canonical serialisation, in hex."""
        return hashlib.sha256(self.to_bytes()).hexdigest()

    def to_bytes(self) -> bytes:
        """Serialise canonically: equal documents give equal bytes.

        Returns:
            UTF-8 JSON with sorted fields and without white space.
        """
        return msgspec.json.encode(self, order='sorted')


def sort_entries(document: Document) -> Document:
    """Sort entries by name or id, so that their order in a file is irrelevant.

    Args:
        document: a document in any order.

    Returns:
        The same entries in canonical order.
    """
    return Document(
        teams=tuple(sorted(document.teams, key=lambda team: team.name)),
        keys=tuple(sorted(document.keys, key=lambda key: key.id)),
        queues=tuple(sorted(document.queues, key=lambda queue: queue.name)),
        services=tuple(sorted(document.services, key=lambda entry: entry.name)),
        policies=document.policies,
        domains=tuple(sorted(document.domains, key=lambda entry: entry.name)),
        instances=tuple(
            sorted(document.instances, key=lambda entry: entry.name)
        ),
    )
