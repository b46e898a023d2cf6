"""The configuration in force at an instance, and who a caller is."""

from collections.abc import Callable

import eliot

from jayshore.fleet.metrics import FleetMetrics
from jayshore.fleet.model import FleetConfig, Queue, Workspace
from jayshore.outcomes import JayshoreError
from jayshore.store.mirror import MirrorObserver
from jayshore.store.store import Entry

NO_CONFIG = FleetConfig(version=0)
"""What holds before the first version was read."""


class InvalidConfig(JayshoreError):
    """A stored value is not a configuration."""


class ConfigHolder(MirrorObserver):
    """Holds the newest version that this instance has seen.

    A version never goes back within one life of the instance, and a value
    that cannot be decoded leaves the former version in force.
    """

    def __init__(
        self,
        *,
        key: str,
        decode: Callable[[str], FleetConfig],
        metrics: FleetMetrics,
    ) -> None:
        """Start without a version.

        Args:
            key: of the configuration in the store.
            decode: decodes its value, or raises `InvalidConfig`.
            metrics: shows the version.
        """
        self._key = key
        self._decode = decode
        self._metrics = metrics
        self._config = NO_CONFIG
        self._owners: dict[str, Workspace] = {}
        self._routes: dict[str, list[Queue]] = {}

    @property
    def config(self) -> FleetConfig:
        """The version in force."""
        return self._config

    async def changed(self, key: str, entry: Entry | None) -> None:
        """Take a change over.

        Args:
            key: the key.
            entry: its new entry, None when the key is gone.
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
        self._use(config)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue of a call.

        Args:
            host: that the caller named, without port.
            path: of the call.

        Returns:
            The queue with the longest prefix, or None.
        """
        for queue in self._routes.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Find the owner of a key.

        Args:
            key: as the caller presented it.

        Returns:
            The workspace, or None for an unknown key.
        """
        return self._owners.get(key)

    def _use(self, config: FleetConfig) -> None:
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
