"""Loads a configuration from a directory or from its serialised form.

Both paths use the same checks, so that a daemon accepts from the network
exactly what `jayshore check` accepts from a directory.
"""

import dataclasses
import os
import pathlib
from collections.abc import Mapping
from typing import TypeVar

from jayshore.config.checks import Sections, check_sections
from jayshore.config.document import (
    MAX_DOCUMENT_BYTES,
    Document,
    sort_entries,
)
from jayshore.config.model import (
    Domain,
    Instance,
    Key,
    Policies,
    Queue,
    Service,
    Team,
)
from jayshore.config.sections import Section, read_section
from jayshore.decoding import Fault, Faults, convert_strictly, parse_json

T = TypeVar('T')

_SECTION_NAMES = tuple(field.name for field in dataclasses.fields(Document))


def load_directory(path: pathlib.Path) -> Document | Faults:
    """Load and validate the configuration files of a directory.

    Args:
        path: the directory; it holds one file for each field of Document,
            such as `teams.json`, and no other `.json` file.

    Returns:
        The document in canonical order, or every fault found.
    """
    if not os.path.isdir(path):
        return _single_fault(Fault(message=f'{path} is not a directory'))
    try:
        present = {entry.name for entry in path.glob('*.json')}
    except OSError as error:
        return _single_fault(
            Fault(message=f'cannot list {path}: {error.strerror}')
        )
    known = {section_file_name(name) for name in _SECTION_NAMES}
    parsed = {
        name: _read_file(path / section_file_name(name))
        for name in _SECTION_NAMES
    }
    unknown = (
        Fault(file=file, message='unknown file')
        for file in sorted(present - known)
    )
    return _build_document(parsed, tuple(unknown))


def decode_document(raw: bytes) -> Document | Faults:
    """Decode and validate a document; faults name the file of the section.

    Args:
        raw: the document as JSON, such as `Document.to_bytes` returns.

    Returns:
        The document in canonical order, or every fault found.
    """
    return convert_document(parse_json(raw))


def convert_document(parsed: object) -> Document | Faults:
    """Validate and convert a parsed document.

    Args:
        parsed: the JSON value, or Faults, which are returned unchanged.

    Returns:
        The document in canonical order, or every fault found.
    """
    if isinstance(parsed, Faults):
        return parsed
    if not isinstance(parsed, dict):
        return _single_fault(Fault(message='Expected an object'))
    unknown = (
        Fault(path=f'$.{name}', message='unknown field')
        for name in parsed
        if name not in _SECTION_NAMES
    )
    sections = {
        name: parsed.get(name, _single_fault(_missing_file(name)))
        for name in _SECTION_NAMES
    }
    return _build_document(sections, tuple(unknown))


def section_file_name(section: str) -> str:
    """Return the name of the file that holds a section.

    Args:
        section: a field of Document.

    Returns:
        The file name, without a directory.
    """
    return f'{section}.json'


def _missing_file(section: str) -> Fault:
    return Fault(file=section_file_name(section), message='missing file')


def _single_fault(fault: Fault) -> Faults:
    return Faults(faults=(fault,))


def _read_file(path: pathlib.Path) -> object:
    try:
        raw = path.read_bytes()
    except FileNotFoundError:
        return _single_fault(Fault(file=path.name, message='missing file'))
    except OSError as error:
        message = f'cannot be read: {error.strerror}'
        return _single_fault(Fault(file=path.name, message=message))
    return parse_json(raw, file=path.name)


def _build_document(
    parsed: Mapping[str, object], unknown: tuple[Fault, ...]
) -> Document | Faults:
    sections = _read_sections(parsed)
    policies = _read_policies(parsed['policies'])
    faults = list(unknown)
    for section in sections.each():
        faults.extend(section.faults)
    faults.extend(check_sections(sections))
    if isinstance(policies, Faults):
        faults.extend(policies.faults)
    if faults or isinstance(policies, Faults):
        return Faults(faults=tuple(sorted(faults)))
    return _check_size(
        Document(
            teams=sections.teams.values,
            keys=sections.keys.values,
            queues=sections.queues.values,
            services=sections.services.values,
            policies=policies,
            domains=sections.domains.values,
            instances=sections.instances.values,
        )
    )


def _read_sections(parsed: Mapping[str, object]) -> Sections:
    return Sections(
        teams=_read_list(parsed, 'teams', Team),
        keys=_read_list(parsed, 'keys', Key, name_field='id'),
        queues=_read_list(parsed, 'queues', Queue),
        services=_read_list(parsed, 'services', Service),
        domains=_read_list(parsed, 'domains', Domain),
        instances=_read_list(parsed, 'instances', Instance),
    )


def _read_list(
    parsed: Mapping[str, object],
    name: str,
    entry_type: type[T],
    *,
    name_field: str = 'name',
) -> Section[T]:
    return read_section(
        parsed[name],
        entry_type,
        file=section_file_name(name),
        name_field=name_field,
    )


def _read_policies(parsed: object) -> Policies | Faults:
    if isinstance(parsed, Faults):
        return parsed
    file = section_file_name('policies')
    policies = convert_strictly(parsed, Policies, file=file)
    if isinstance(policies, Faults):
        return policies
    if policies.aging.full_ms < policies.aging.after_ms:
        message = f'Expected at least after_ms, {policies.aging.after_ms}'
        return _single_fault(
            Fault(file=file, path='$.aging.full_ms', message=message)
        )
    return policies


def _check_size(document: Document) -> Document | Faults:
    size = len(document.to_bytes())
    if size > MAX_DOCUMENT_BYTES:
        message = f'{size} bytes, at most {MAX_DOCUMENT_BYTES} are allowed'
        return _single_fault(Fault(message=message))
    return sort_entries(document)
