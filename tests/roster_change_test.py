"""A daemon is added to the roster and another removed, under load.

Guards against requests and jobs that are lost or run twice during the change,
and against daemons that still count the majority of the former roster.
"""

import time

import pytest

from demo.cluster import Cluster
from demo.processes import (
    HOST,
    free_ports,
    start_daemon,
    wait_ready,
    wait_until,
)
from tests.balancer import (
    DRAIN_S,
    balanced_load,
    check_accepted_jobs,
    check_replies,
)
from tests.guarantee_support import (
    IN_FORCE_S,
    print_figure,
    send_request,
    small_shape,
    status_of,
    teams,
)
from tests.support import TAKEOVER_LIMIT_S, set_faults

pytestmark = pytest.mark.processes

CALLERS = 12


class ChangingCluster(Cluster):
    """A cluster in which daemons are added, replaced and removed."""

    def add_daemon(self, name, like):
        """Start a daemon with the settings and domain of another one."""
        listen, peer_listen = (f'{HOST}:{port}' for port in free_ports(2))
        self._settings[name] = {
            **self._settings[like],
            'name': name,
            'listen': listen,
            'peer_listen': peer_listen,
            'log_file': str(self.directory / f'{name}.log'),
        }
        self.domain_of[name] = self.domain_of[like]
        self.daemons[name] = start_daemon(self._settings[name], self.directory)
        wait_ready(self.daemons[name])

    def replace_daemon(self, name):
        """Kill a daemon and start one with the same name at a new address."""
        self.daemons[name].kill()
        self.add_daemon(name, like=name)

    def drop_daemon(self, name):
        """Remove a daemon from the next configuration documents."""
        del self._settings[name]

    def change_roster(self):
        """Apply the roster and check how soon it is in force everywhere."""
        answer = self.apply(self.document(), through='north-0')
        assert answer.status == 200, answer.body
        took = wait_until(
            lambda: all(
                status_of(self.daemons[name])['config_version'] == self.version
                for name in self._settings
            ),
            2 * IN_FORCE_S,
            'the roster is in force',
        )
        print_figure('roster in force', took, IN_FORCE_S, 's')
        assert took <= IN_FORCE_S


def test_roster_changes_under_load():
    shape = small_shape(workers=2)
    with ChangingCluster(shape=shape, teams=teams()) as cluster:
        with balanced_load(cluster, CALLERS) as (
            balancer,
            background,
            accepted,
        ):
            cluster.add_daemon('south-1', like='south-0')
            cluster.change_roster()
            wait_until(lambda: balancer.is_ready('south-1'), 10, 'it is used')
            cluster.drop_daemon('south-0')
            cluster.change_roster()
            stop = stop_removed_daemon(cluster)
        check_replies(background, [stop])
        check_new_majority(cluster, 'south-1')
        check_accepted_jobs(cluster, accepted)


def test_daemon_is_replaced_under_its_name():
    """Guards against heartbeats that are still sent to the former address."""
    with ChangingCluster(shape=small_shape(), teams=teams()) as cluster:
        cluster.replace_daemon('south-0')
        cluster.change_roster()
        took = wait_until(
            lambda: all(
                status_of(daemon)['leaders'].get('south') == 'south-0'
                and all(
                    peer['is_reachable'] for peer in status_of(daemon)['peers']
                )
                for daemon in cluster.daemons.values()
            ),
            2 * TAKEOVER_LIMIT_S,
            'the new daemon is heard and leads',
        )
        print_figure('replaced daemon leads', took, TAKEOVER_LIMIT_S, 's')
        assert took <= TAKEOVER_LIMIT_S
        check_new_majority(cluster, 'south-0')


def stop_removed_daemon(cluster):
    """Stop the removed daemon and wait until the added one leads its domain."""
    removed = cluster.daemons['south-0']
    began = time.monotonic()
    removed.terminate()
    assert removed.wait(DRAIN_S + 5) == 0
    stopped = time.monotonic()
    took = wait_until(
        lambda: cluster.leaders().get('south') == 'south-1',
        TAKEOVER_LIMIT_S,
        'the added daemon leads',
    )
    print_figure('added daemon leads', took, TAKEOVER_LIMIT_S, 's')
    time.sleep(1)
    return stopped - began


def check_new_majority(cluster, name):
    """Check that two of the three new members serve keyed work in an outage.

    Neither has a majority without the other, and only one daemon of the former
    roster answers.
    """
    headers = cluster.key(cluster.teams[1]['name'])
    # Each domain needs its grant first, since it gets none in an outage.
    wait_until(
        lambda: (
            send_request(cluster.daemons['north-0'], headers).status == 200
            and send_request(cluster.daemons[name], headers).status == 200
        ),
        TAKEOVER_LIMIT_S,
        'requests run at both',
    )
    set_faults(cluster.store, mode='down')
    cluster.daemons['east-0'].pause()
    time.sleep(IN_FORCE_S + 1)
    replies = [
        send_request(cluster.daemons[asked], headers)
        for asked in ('north-0', name)
    ]
    cluster.daemons['east-0'].resume()
    set_faults(cluster.store, mode='up')
    assert [reply.status for reply in replies] == [200, 200], replies
