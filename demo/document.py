"""Builds the configuration of the demonstration's and the tests' clusters."""

from collections.abc import Iterable
from typing import Any

from jayshore.config.keys import NewKey

SERVICE = 'plans'


def make_document(
    *,
    domains: Iterable[str],
    teams: list[dict[str, Any]],
    keys: Iterable[NewKey],
    daemons: Iterable[dict[str, Any]],
) -> dict[str, Any]:
    """Build a configuration with a queue of each kind and two services.

    One further batch queue and one of the services are open: they take work
    without a key, in the name of the first team.

    Args:
        domains: names of the failure domains.
        teams: content of `teams.json`.
        keys: keys of the teams.
        daemons: settings of the daemons.

    Returns:
        One value for each configuration file.
    """
    open_team = teams[0]['name']
    return {
        'teams': teams,
        'keys': [
            {
                'id': key.entry.id,
                'team': key.entry.team,
                'sha256': key.entry.sha256,
            }
            for key in keys
        ],
        'queues': [
            {'name': 'night', 'kind': 'batch', 'max_waiting': 5000},
            {'name': 'gangs', 'kind': 'gang', 'max_waiting': 100},
            {'name': 'services', 'kind': 'service', 'max_waiting': 100},
            {
                'name': 'previews',
                'kind': 'preview',
                'urgent': True,
                'max_waiting': 1000,
            },
            {
                'name': 'public',
                'kind': 'batch',
                'open': True,
                'team': open_team,
                'max_waiting': 100,
            },
        ],
        'services': [
            {
                'name': SERVICE,
                'max_queue': 200,
                'default_timeout_ms': 10_000,
            },
            {
                'name': 'catalog',
                'open': True,
                'team': open_team,
                'max_queue': 200,
                'default_timeout_ms': 10_000,
            },
        ],
        'policies': {},
        'domains': [{'name': domain, 'region': 'delta'} for domain in domains],
        'instances': [
            {
                'name': settings['name'],
                'domain': settings['domain'],
                'address': settings['peer_listen'],
            }
            for settings in daemons
        ],
    }
