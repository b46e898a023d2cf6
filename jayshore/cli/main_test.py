"""Tests of the command line with a client that returns given answers."""

import io
import json

import pytest

from jayshore.cli.client import (
    AnswerLostError,
    Applied,
    Cancelled,
    ConfigView,
    DaemonClient,
    DaemonStatus,
    DaemonUnreachableError,
    JobNotFound,
    JobView,
    JobViewState,
    NotCancelled,
    PeerStatus,
    SloView,
    UnexpectedAnswerError,
    VersionConflict,
)
from jayshore.cli.connection import connect
from jayshore.cli.console import Console
from jayshore.cli.main import execute
from jayshore.config.document import Document
from jayshore.config.loading import load_directory
from jayshore.config.loading_test import valid_sections, write_files
from jayshore.outcomes import Accepted, RefusalReason, Refused
from jayshore.report.burn import SloObjective
from jayshore.report.samples import SloSnapshot


class Terminal(io.StringIO):
    """Text stream that reports to be a terminal."""

    def isatty(self):
        return True


class ScriptedClient(DaemonClient):
    """Returns given answers in order and records the calls."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.calls = []
        self.is_closed = False

    def _answer(self, **call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def read_config(self):
        return self._answer()

    async def apply_config(self, **call):
        return self._answer(**call)

    async def read_status(self):
        return self._answer()

    async def submit(self, **call):
        return self._answer(**call)

    async def read_job(self, **call):
        return self._answer(**call)

    async def cancel(self, **call):
        return self._answer(**call)

    async def read_slo(self):
        return self._answer()

    async def close(self):
        self.is_closed = True


def run(*argv, client=None, stderr=None):
    """Run the command; return exit code, stdout and stderr."""
    console = Console(stdout=io.StringIO(), stderr=stderr or io.StringIO())
    code = execute(
        [str(argument) for argument in argv],
        console=console,
        client_factory=connect if client is None else lambda settings: client,
    )
    return code, console.stdout.getvalue(), console.stderr.getvalue()


@pytest.fixture
def cell(tmp_path):
    """Return a directory with a valid configuration."""
    directory = tmp_path / 'cell'
    directory.mkdir()
    write_files(directory, valid_sections())
    return directory


STATUS = DaemonStatus(
    name='d1',
    domain='a',
    leader=None,
    epoch=3,
    config_version=7,
    evidence_age_ms=120,
    is_fresh=True,
    is_draining=False,
    peers=(
        PeerStatus(name='d2', domain='b', is_reachable=False, config_version=6),
    ),
)
SLO = SloView(
    now_ms=0,
    snapshot=SloSnapshot(),
    objectives=(SloObjective(team='ridge', work='batch', objective=0.9),),
)
ACCEPTED = Accepted(job_id='j1', ticket='t')


def make_job(state):
    """Return the view of a job in a state."""
    return JobView(job_id='j1', state=JobViewState(state), results=('r1',))


def make_refusal(reason):
    """Return a refusal that may be retried after 500 ms."""
    return Refused(reason=RefusalReason(reason), retry_after_ms=500)


APPLY = ('apply', '--expect-version', '6', 'CELL')
SUBMIT = ('submit', 'JOB')
WAIT = ('wait', 'j1')
CANCEL = ('cancel', 'j1')
BURN = ('report', 'burn')


@pytest.mark.parametrize(
    ('argv', 'answers', 'code', 'shown', 'error'),
    [
        (APPLY, [Applied(version=7)], 0, 'version 7', ''),
        (
            APPLY,
            [VersionConflict(version=9)],
            4,
            '',
            'error: conflict: version 9',
        ),
        (APPLY, [make_refusal('conflict')], 4, '', 'error: conflict'),
        (APPLY, [make_refusal('store_unavailable')], 6, '', '500 ms'),
        (APPLY, [make_refusal('unauthorised')], 5, '', 'error: unauthorised'),
        (('status',), [STATUS], 0, 'peer d2', ''),
        (('status',), [DaemonUnreachableError('no')], 6, '', 'unreachable: no'),
        (('status',), [UnexpectedAnswerError('x')], 7, '', 'unexpected_answer'),
        (SUBMIT, [ACCEPTED], 0, 'ticket t', ''),
        (SUBMIT, [make_refusal('never_fits')], 5, '', 'error: never_fits'),
        (SUBMIT, [AnswerLostError('x')], 7, '', '--idempotency-key '),
        (WAIT, [make_job('running'), make_job('finished')], 0, 'r1', ''),
        (WAIT, [make_job('failed')], 1, 'r1', 'error: job_failed'),
        (WAIT, [make_job('unknown')], 7, 'r1', 'error: job_unknown'),
        (WAIT, [JobNotFound(job_id='j1')], 5, '', 'error: not_found: j1'),
        (WAIT, [make_refusal('not_fresh')], 6, '', 'error: not_fresh'),
        (CANCEL, [Cancelled(job_id='j1')], 0, 'cancelled job j1', ''),
        (
            CANCEL,
            [NotCancelled(job_id='j1', state=JobViewState.FINISHED)],
            1,
            '',
            'error: not_cancelled: job j1 is finished',
        ),
        (BURN, [SLO], 0, 'ridge', ''),
        (BURN, [make_refusal('not_fresh')], 6, '', 'error: not_fresh'),
    ],
)
def test_outcome_has_one_exit_code(
    cell, tmp_path, argv, answers, code, shown, error
):
    """Guards against a failure whose exit code reports success to a script."""
    specification = tmp_path / 'job.json'
    specification.write_text('{"tasks": 1}')
    paths = {'CELL': cell, 'JOB': specification}
    client = ScriptedClient(answers)
    found = run(*(paths.get(part, part) for part in argv), client=client)
    assert found[0] == code
    assert shown in found[1]
    assert error in found[2]
    assert found[2].count('\n') == bool(error)
    assert client.is_closed

    client = ScriptedClient(answers)
    as_json = run(
        *(paths.get(part, part) for part in argv), '--json', client=client
    )
    assert as_json[0] == code
    for line in (as_json[1] + as_json[2]).splitlines():
        assert isinstance(json.loads(line), dict)


@pytest.mark.parametrize(
    ('found', 'code'),
    [(7, 0), (6, 7)],
)
def test_lost_answer_to_apply_is_resolved(cell, found, code):
    """Guards against reporting an applied document as failed."""
    document = load_directory(cell)
    view = ConfigView(version=found, document=document)
    client = ScriptedClient([AnswerLostError('reset'), view])
    assert run(*APPLY[:3], cell, client=client)[0] == code


def test_lost_answer_to_apply_beside_another_document(cell):
    """Guards against reporting another operator's document as applied."""
    view = ConfigView(version=7, document=Document())
    client = ScriptedClient([AnswerLostError('reset'), view])
    assert run(*APPLY[:3], cell, client=client)[0] == 7


def test_invalid_directory_is_never_sent(cell):
    """Guards against applying a directory in which `check` finds faults."""
    (cell / 'teams.json').unlink()
    client = ScriptedClient([])
    code, shown, error = run(*APPLY[:3], cell, client=client)
    assert code == 3
    assert 'teams.json: $: missing file' in shown
    assert error.startswith('error: invalid_configuration: ')
    assert not client.calls


@pytest.mark.parametrize(('as_json'), [(), ('--json',)])
def test_check(cell, as_json):
    """Guards against a check that misses faults or shows another digest."""
    code, shown, _ = run('check', cell, *as_json)
    assert code == 0
    assert load_directory(cell).digest in shown
    (cell / 'keys.json').write_text('[{}]')
    code, shown, _ = run('check', cell, *as_json)
    assert code == 3
    for path in ('$[0].id', '$[0].team', '$[0].sha256'):
        assert path in shown


def test_new_key_is_accepted_by_its_entry(cell):
    """Guards against a printed key that its entry does not match."""
    code, shown, _ = run('new-key', 'ridge', '--json')
    generated = json.loads(shown)
    (cell / 'keys.json').write_text(json.dumps([generated['entry']]))
    assert code == 0
    assert run('check', cell)[0] == 0
    assert generated['bearer'].startswith(generated['entry']['id'])
    assert generated['bearer'].split('.')[1] not in json.dumps(
        generated['entry']
    )


@pytest.mark.parametrize(
    'argv',
    [
        (),
        ('nothing',),
        ('apply', '.'),
        ('wait', 'j1', '--timeout-ms', '0'),
        ('new-key', 'No/Team'),
        ('submit', 'no-such-file'),
        ('status', '--key-file', 'no-such-file'),
    ],
)
def test_wrong_usage_is_one_line(argv):
    """Guards against a usage text or a traceback instead of one error line."""
    client = ScriptedClient([])
    code, _, error = run(*argv, client=client)
    assert code == 2
    assert error.startswith('error: usage: ')
    assert error.count('\n') == 1


def test_progress_is_shown_on_a_terminal_only():
    """Guards against control characters in redirected output."""
    answers = [make_job('running'), make_job('finished')]
    assert run(*WAIT, client=ScriptedClient(answers))[2] == ''
    shown = run(*WAIT, client=ScriptedClient(answers), stderr=Terminal())[2]
    assert 'j1: running' in shown


def test_wait_gives_up_after_its_timeout(monkeypatch):
    """Guards against an endless wait, and against a last poll that is late."""
    client = ScriptedClient([make_job('running')] * 3)
    clock = iter([0, 0, 20_000, 30_000])
    monkeypatch.setattr(
        'jayshore.cli.wait.MonotonicClock.now', lambda self: next(clock)
    )
    code, _, error = run(*WAIT, '--timeout-ms', '30000', client=client)
    assert code == 8
    assert error.startswith('error: timed_out')
    waits = [call['wait_ms'] for call in client.calls]
    assert waits == [20_000, 10_000, 0]


@pytest.mark.parametrize(
    'command',
    ['check', 'apply', 'status', 'submit', 'wait', 'cancel', 'new-key'],
)
def test_help_has_examples_and_exit_codes(command, capsys):
    """Guards against a command without documentation."""
    with pytest.raises(SystemExit):
        run(command, '--help')
    shown = capsys.readouterr().out
    assert 'examples:' in shown
    assert 'exit codes:' in shown
