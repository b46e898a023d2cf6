"""Checks a configuration before it is sent, whatever its file format."""

import abc
import dataclasses
from collections.abc import Iterator

from jayshore.fleet.configdiff import compare_configs
from jayshore.fleet.configranges import check_ranges
from jayshore.fleet.configrules import check_limits, check_matches
from jayshore.fleet.findings import Finding, Severity
from jayshore.fleet.model import FleetConfig


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigDraft:
    """A configuration that has been read but is not in force.

    Attributes:
        config: the configuration, None when it cannot be decoded.
        services: names of the services that are declared beside it.
        findings: faults of its form, with at least one error when `config` is
            None; their paths are those of the file.
    """

    config: FleetConfig | None
    services: tuple[str, ...] = ()
    findings: tuple[Finding, ...] = ()


class ConfigFormat(abc.ABC):
    """File format of a platform for the configuration of a deployment."""

    @abc.abstractmethod
    def read(self, raw: bytes) -> ConfigDraft:
        """Decode a file.

        Args:
            raw: content of the file, which may be anything.

        Returns:
            The configuration, or the faults of its form.
        """

    @abc.abstractmethod
    def name_path(self, path: str) -> str:
        """Translate a key path of the model to one of the file.

        Args:
            path: such as `queues[2].priority`.

        Returns:
            The path under which the operator finds the value.
        """


def check_draft(
    draft: ConfigDraft,
    former: FleetConfig | None,
    config_format: ConfigFormat,
) -> tuple[Finding, ...]:
    """Check a configuration.

    Args:
        draft: the configuration to send.
        former: the configuration in force, None when it is not known.
        config_format: names the keys of its file.

    Returns:
        All findings, with errors first and otherwise in the order of the
        checks.
    """
    found = list(draft.findings)
    if draft.config is not None:
        found.extend(
            dataclasses.replace(
                finding, path=config_format.name_path(finding.path)
            )
            for finding in _check_config(draft.config, draft.services, former)
        )
    order = list(Severity)
    return tuple(sorted(found, key=lambda entry: order.index(entry.severity)))


def _check_config(
    config: FleetConfig,
    services: tuple[str, ...],
    former: FleetConfig | None,
) -> Iterator[Finding]:
    yield from check_ranges(config)
    yield from check_matches(config, services)
    yield from check_limits(config)
    if former is not None:
        yield from compare_configs(config, former)
