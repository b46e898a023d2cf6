"""One version of the configuration, indexed for lookups by name."""

import dataclasses
import functools
from collections.abc import Mapping

from jayshore.config.document import Document
from jayshore.config.keys import (
    KeyRejected,
    TeamKey,
    parse_bearer,
    verify_bearer,
)
from jayshore.config.model import Key, Queue, Service, Team


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """A document with its version.

    The class has no slots because the indexes are cached properties.

    Attributes:
        version: incremented by one for each committed document.
        document: the configuration.
        write_id: random id of the write, by which a writer whose answer was
            lost recognises its own write.
    """

    version: int
    document: Document
    write_id: str

    def authenticate(self, bearer: str) -> TeamKey | KeyRejected:
        """Authenticate a bearer key against this version.

        Args:
            bearer: `<key_id>.<secret>`, without the word `Bearer`.

        Returns:
            The team of the key, or why it was rejected.
        """
        parsed = parse_bearer(bearer)
        if isinstance(parsed, KeyRejected):
            return parsed
        return verify_bearer(parsed, self._keys.get(parsed.key_id))

    def key_is_valid(self, key_id: str) -> bool:
        """Tell whether a key that was accepted earlier is still configured.

        Args:
            key_id: from TeamKey.

        Returns:
            False when the key was revoked.
        """
        return key_id in self._keys

    def team(self, name: str) -> Team | None:
        """Look up a team.

        Args:
            name: its name.

        Returns:
            The team, or None when this version has none of that name.
        """
        return self._teams.get(name)

    def queue(self, name: str) -> Queue | None:
        """Look up a queue.

        Args:
            name: its name.

        Returns:
            The queue, or None when this version has none of that name.
        """
        return self._queues.get(name)

    def service(self, name: str) -> Service | None:
        """Look up a service.

        Args:
            name: its name.

        Returns:
            The service, or None when this version has none of that name.
        """
        return self._services.get(name)

    @functools.cached_property
    def _keys(self) -> Mapping[str, Key]:
        return {key.id: key for key in self.document.keys}

    @functools.cached_property
    def _teams(self) -> Mapping[str, Team]:
        return {team.name: team for team in self.document.teams}

    @functools.cached_property
    def _queues(self) -> Mapping[str, Queue]:
        return {queue.name: queue for queue in self.document.queues}

    @functools.cached_property
    def _services(self) -> Mapping[str, Service]:
        return {service.name: service for service in self.document.services}
