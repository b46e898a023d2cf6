"""Tests of loading and validating a configuration."""

import json

import pytest

from jayshore.config.document import MAX_DOCUMENT_BYTES, Document
from jayshore.config.keys import TeamKey, generate_key, hash_secret
from jayshore.config.loading import decode_document, load_directory
from jayshore.config.snapshot import Snapshot
from jayshore.decoding import Faults

SECRET = 's' * 43


def valid_sections():
    """Return the parsed files of a valid configuration."""
    return {
        'teams': [
            {
                'name': 'ridge',
                'share': 2,
                'limit': {'cpu_millis': 64_000, 'requests': 40},
                'max_waiting': 100,
                'targets': [
                    {'work': 'preview', 'waiting_ms': 200, 'objective': 0.99}
                ],
            },
            {'name': 'delta', 'share': 1, 'limit': {}, 'max_waiting': 1},
        ],
        'keys': [{'id': 'k1', 'team': 'ridge', 'sha256': hash_secret(SECRET)}],
        'queues': [
            {'name': 'night', 'kind': 'batch', 'max_waiting': 9},
            {
                'name': 'demo',
                'kind': 'preview',
                'open': True,
                'team': 'delta',
                'max_waiting': 9,
            },
        ],
        'services': [
            {'name': 'plans', 'max_queue': 4, 'default_timeout_ms': 500}
        ],
        'policies': {'retry_budget': {'max_attempts': 2}},
        'domains': [{'name': 'a', 'region': 'north'}],
        'instances': [
            {'name': 'd1', 'domain': 'a', 'address': '127.0.0.1:7400'}
        ],
    }


def write_files(directory, parsed):
    """Write one file for each section."""
    for name, value in parsed.items():
        (directory / f'{name}.json').write_text(json.dumps(value))


def test_round_trip(tmp_path):
    """Guards against a document that changes when it is serialised."""
    write_files(tmp_path, valid_sections())
    document = load_directory(tmp_path)
    assert isinstance(document, Document)
    assert decode_document(document.to_bytes()) == document
    assert [team.name for team in document.teams] == ['delta', 'ridge']


def test_order_of_entries_is_irrelevant(tmp_path):
    """Guards against different digests for equal configurations."""
    write_files(tmp_path, valid_sections())
    first = load_directory(tmp_path).digest
    reordered = valid_sections()
    reordered['teams'].reverse()
    write_files(tmp_path, reordered)
    assert load_directory(tmp_path).digest == first


@pytest.mark.parametrize(
    ('section', 'place', 'value', 'path', 'message'),
    [
        ('teams', (0, 'share'), 0, '$[0].share', '> 0'),
        ('teams', (0, 'shares'), 1, '$[0].shares', 'unknown field'),
        ('teams', (0, 'limit'), {'cpu': 1}, '$[0].limit.cpu', 'unknown'),
        (
            'teams',
            (0, 'limit'),
            {'memory_mb': -1},
            '$[0].limit.memory_mb',
            'from 0 to',
        ),
        (
            'teams',
            (0, 'limit'),
            {'memory_mb': 2**31},
            '$[0].limit.memory_mb',
            'from 0 to',
        ),
        ('teams', (0, 'max_waiting'), 2**31, '$[0].max_waiting', '<='),
        ('teams', (0, 'name'), 'a/b', '$[0].name', 'regex'),
        ('teams', (0, 'name'), 'a\n', '$[0].name', 'regex'),
        ('teams', (1, 'name'), 'ridge', '$[1].name', 'duplicate of entry 0'),
        (
            'teams',
            (0, 'targets', 0, 'objective'),
            1,
            '$[0].targets[0].objective',
            '< 1',
        ),
        ('keys', (0, 'team'), 'nobody', '$[0].team', 'not in teams.json'),
        ('keys', (0, 'sha256'), 'F' * 64, '$[0].sha256', 'regex'),
        ('queues', (0, 'kind'), 'night', '$[0].kind', 'enum'),
        ('queues', (0, 'team'), 'ridge', '$[0].team', 'only when open'),
        ('queues', (1, 'team'), None, '$[1].team', 'required when open'),
        ('services', (0, 'open'), True, '$[0].team', 'required when open'),
        ('policies', ('agin',), {}, '$.agin', 'unknown field'),
        ('policies', ('aging',), {'full_ms': 1}, '$.aging.full_ms', '30000'),
        (
            'policies',
            ('preemption',),
            {'above_share': 0.9},
            '$.preemption.above_share',
            '>= 1',
        ),
        (
            'policies',
            ('preemption',),
            {'checkpoint_ms': 0},
            '$.preemption.checkpoint_ms',
            '>= 1',
        ),
        (
            'policies',
            ('weights',),
            {'spread': -1},
            '$.weights.spread',
            '>= 0',
        ),
        ('domains', (0, 'state'), 'gone', '$[0].state', 'enum'),
        ('instances', (0, 'domain'), 'z', '$[0].domain', 'domains.json'),
        ('instances', (0, 'address'), 'h:1', '$[0].address', 'IP number'),
        ('instances', (0, 'address'), '::1:7', '$[0].address', 'brackets'),
        ('instances', (0, 'address'), '127.0.0.1:0', '$[0].address', 'port'),
    ],
)
def test_fault_is_located(tmp_path, section, place, value, path, message):
    """Guards against an invalid entry accepted or reported at a wrong path."""
    parsed = valid_sections()
    target = parsed[section]
    for step in place[:-1]:
        target = target[step]
    target[place[-1]] = value
    write_files(tmp_path, parsed)
    located = [
        fault
        for fault in load_directory(tmp_path).faults
        if fault.path == path and fault.file == f'{section}.json'
    ]
    assert len(located) == 1
    assert message in located[0].message


def test_all_faults_are_listed_at_once(tmp_path):
    """Guards against a check that stops at the first fault."""
    parsed = valid_sections()
    parsed['teams'][0] |= {'share': -1, 'max_waiting': 'x', 'colour': 1}
    parsed['keys'].append({'id': 'k1', 'team': 'nobody'})
    parsed['instances'] = []
    write_files(tmp_path, parsed)
    (tmp_path / 'domains.json').write_text('[')
    (tmp_path / 'team.json').write_text('[]')
    (tmp_path / 'services.json').unlink()
    listed = {
        (fault.file, fault.path) for fault in load_directory(tmp_path).faults
    }
    assert listed == {
        ('teams.json', '$[0].share'),
        ('teams.json', '$[0].max_waiting'),
        ('teams.json', '$[0].colour'),
        ('keys.json', '$[1].id'),
        ('keys.json', '$[1].sha256'),
        ('domains.json', '$'),
        ('instances.json', '$'),
        ('services.json', '$'),
        ('team.json', '$'),
    }


@pytest.mark.parametrize(
    'raw', [b'', b'[]', b'{"teams": []}', b'\xff', b'[' * 100_000]
)
def test_malformed_document_is_refused(raw):
    """Guards against an exception on a malformed body sent by an operator."""
    assert isinstance(decode_document(raw), Faults)


def test_document_beyond_the_size_of_a_store_value_is_refused(tmp_path):
    """Guards against accepting a document that is too large for the store."""
    parsed = valid_sections()
    parsed['keys'] = [
        {'id': f'k{index}', 'team': 'ridge', 'sha256': f'{index:064x}'}
        for index in range(MAX_DOCUMENT_BYTES // 100)
    ]
    write_files(tmp_path, parsed)
    assert 'bytes' in load_directory(tmp_path).faults[0].message


@pytest.mark.parametrize(
    ('bearer', 'expected'),
    [
        (f'k1.{SECRET}', 'ridge'),
        (f'k1.{SECRET}x', 'wrong_secret'),
        (f'k2.{SECRET}', 'unknown_key'),
        ('k1', 'malformed'),
        ('k1.', 'malformed'),
        ('k1.\u00e9', 'malformed'),
        ('k1.' + 's' * 300, 'malformed'),
    ],
)
def test_authentication(tmp_path, bearer, expected):
    """Guards against a key mapped to a wrong team or an invalid key taken."""
    write_files(tmp_path, valid_sections())
    snapshot = Snapshot(
        version=1, document=load_directory(tmp_path), write_id='w'
    )
    answer = snapshot.authenticate(bearer)
    if isinstance(answer, TeamKey):
        assert answer.team == expected
    else:
        assert answer.reason == expected


def test_snapshot_lookups(tmp_path):
    """Guards against a lookup that misses an entry or returns a wrong one."""
    write_files(tmp_path, valid_sections())
    snapshot = Snapshot(
        version=1, document=load_directory(tmp_path), write_id='w'
    )
    assert snapshot.key_is_valid('k1')
    assert not snapshot.key_is_valid('k2')
    assert snapshot.team('ridge').share == 2
    assert snapshot.queue('demo').team == 'delta'
    assert snapshot.service('plans').max_queue == 4
    assert snapshot.team('nobody') is None


def test_generated_key_matches_its_entry_only():
    """Guards against a new key that its own entry rejects, or another's takes.

    The secret must also be left out of the representation.
    """
    first, second = generate_key('ridge'), generate_key('ridge')
    snapshot = Snapshot(
        version=1, document=Document(keys=(first.entry,)), write_id='w'
    )
    assert snapshot.authenticate(str(first.bearer)).team == 'ridge'
    assert not hasattr(snapshot.authenticate(str(second.bearer)), 'team')
    assert first.bearer.secret not in repr(first)


@pytest.mark.parametrize('name', ['missing', 'n' * 300])
def test_unusable_path_is_one_fault(tmp_path, name):
    """Guards against a traceback for a path longer than the system allows."""
    (fault,) = load_directory(tmp_path / name).faults
    assert 'is not a directory' in fault.message
