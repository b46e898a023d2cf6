"""The configuration in force, with lookups of queues and workspaces."""

from collections.abc import Callable

import eliot

from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import FleetConfig, Queue, Workspace
from jayshore.outcomes import JayshoreError
from jayshore.store.mirror import MirrorObserver
from jayshore.store.store import Entry

EMPTY_CONFIG = FleetConfig(version=0)
"""Configuration in force until the first version has been read."""


class InvalidConfig(JayshoreError):
    """A stored value is not a valid configuration."""


class ConfigHolder(MirrorObserver):
    """Holds the newest version of the configuration that was seen.

    The version never decreases while the process runs, and a value that cannot
    be decoded leaves the previous version in force.
    """

    def __init__(
        self,
        *,
        key: str,
        decode: Callable[[str], FleetConfig],
        metrics: FleetMetrics,
    ) -> None:
        """Create a holder of the empty configuration.

        Args:
            key: key of the configuration in the store.
            decode: decodes its value, or raises `InvalidConfig`.
            metrics: exports the version.
        """
        self._key = key
        self._decode = decode
        self._metrics = metrics
        self._config = EMPTY_CONFIG
        self._owners: dict[str, Workspace] = {}
        self._routes: dict[str, list[Queue]] = {}

    @property
    def config(self) -> FleetConfig:
        """The version in force."""
        return self._config

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Apply a change of a key in the store.

        Args:
            key: the key.
            entry: its new entry, None when the key was deleted.
        """
        if key != self._key or entry is None:
            return
        try:
            config = self._decode(entry.value)
        except InvalidConfig as error:
            eliot.log_message(
                'config:invalid', revision=entry.revision, error=str(error)
            )
            return
        if config.version < self._config.version:
            eliot.log_message(
                'config:older',
                version=config.version,
                in_force=self._config.version,
            )
            return
        self._apply(config)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue that a call addresses.

        Args:
            host: host name in the call, without port.
            path: path of the call.

        Returns:
            The queue with the longest matching prefix, or None.
        """
        for queue in self._routes.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Find the workspace of an API key.

        Args:
            key: key that the caller presented.

        Returns:
            The workspace, or None for an unknown key.
        """
        return self._owners.get(key)

    def _apply(self, config: FleetConfig) -> None:
        self._config = config
        self._metrics.config_version.set(config.version)
        self._owners = {
            key: workspace
            for workspace in config.workspaces
            for key in workspace.keys
        }
        routes: dict[str, list[Queue]] = {}
        for queue in config.queues:
            routes.setdefault(queue.host.lower(), []).append(queue)
        for found in routes.values():
            found.sort(key=_prefix_length, reverse=True)
        self._routes = routes
        eliot.log_message(
            'config:in_force',
            version=config.version,
            queues=len(config.queues),
            workspaces=len(config.workspaces),
        )


def _prefix_length(queue: Queue) -> int:
    return len(queue.prefix)
