"""Skips the tests that KNOWN-RED.txt lists, and prints their ids.

A listed test fails because of a known fault that is not repaired yet. It runs
with `--run-known-red`.
"""

import pathlib

import pytest

_KNOWN_RED = pathlib.Path(__file__).with_name('KNOWN-RED.txt')


def known_red():
    """Read the ids of the listed tests: the lines that are not indented."""
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line and not line[0].isspace()]


def pytest_addoption(parser):
    """Add the option that also runs the listed tests."""
    parser.addoption('--run-known-red', action='store_true')


def pytest_collection_modifyitems(config, items):
    """Skip the listed tests unless `--run-known-red` is given."""
    if config.getoption('--run-known-red'):
        return
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.skip(reason='listed in KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter, config):
    """Print the ids of the skipped tests."""
    if not config.getoption('--run-known-red'):
        for nodeid in known_red():
            terminalreporter.write_line(
                f'skipped, listed in KNOWN-RED.txt: {nodeid}'
            )
