"""Strict decoding of JSON into dataclasses that reports every fault.

msgspec ignores unknown fields of a dataclass and stops at the first fault.
Operators need misspelt fields rejected and all faults of a file reported at
once, so the value is checked field by field before msgspec converts it.
"""

import dataclasses
import types
import typing
from collections.abc import Iterator

import msgspec

T = typing.TypeVar('T')

DECODE_ERRORS: typing.Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)
"""Errors that msgspec raises on malformed or deeply nested input."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Fault:
    """One reason why a value was rejected.

    Attributes:
        file: name of the file, empty for a value that is not from a file.
        path: JSON path within the value, such as `$[3].share`.
        message: what is wrong, in one line.
    """

    file: str = ''
    path: str = '$'
    message: str

    def __str__(self) -> str:
        """Format as one line with file, path and message."""
        location = f'{self.file}: {self.path}' if self.file else self.path
        return f'{location}: {self.message}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Faults:
    """The value was rejected; no part of it may be used.

    Attributes:
        faults: every fault found, at least one.
    """

    faults: tuple[Fault, ...]


def parse_json(raw: bytes, *, file: str = '') -> typing.Any:
    """Parse JSON without a schema.

    Args:
        raw: JSON as UTF-8 text.
        file: file name for the fault.

    Returns:
        The value as dicts, lists and scalars, or Faults when it is malformed.
    """
    try:
        return msgspec.json.decode(raw)
    except DECODE_ERRORS as error:
        return Faults(faults=(Fault(file=file, message=str(error)),))


def convert_strictly(
    value: object,
    target_type: type[T],
    *,
    file: str = '',
    path: str = '$',
) -> T | Faults:
    """Convert a parsed JSON value to a dataclass or a tuple of dataclasses.

    Args:
        value: a value that `parse_json` returned.
        target_type: the type to convert to.
        file: file name for the faults.
        path: JSON path of the value, for the faults.

    Returns:
        The converted value, or Faults when it does not match the type.
    """
    faults = tuple(_find_faults(value, target_type, path))
    if faults:
        located = (dataclasses.replace(fault, file=file) for fault in faults)
        return Faults(faults=tuple(located))
    return msgspec.convert(value, target_type, strict=True)


def decode_strictly(raw: bytes, target_type: type[T]) -> T | Faults:
    """Parse JSON and convert it strictly.

    Args:
        raw: JSON as UTF-8 text.
        target_type: the type to convert to.

    Returns:
        The converted value, or Faults.
    """
    value = parse_json(raw)
    if isinstance(value, Faults):
        return value
    return convert_strictly(value, target_type)


def _find_faults(
    value: object, target_type: typing.Any, path: str
) -> Iterator[Fault]:
    target_type = _strip_optional(target_type, value)
    if dataclasses.is_dataclass(target_type) and isinstance(value, dict):
        yield from _dataclass_faults(value, target_type, path)
        return
    found = False
    if typing.get_origin(target_type) is tuple and isinstance(value, list):
        for index, element in enumerate(value):
            for fault in _find_faults(
                element, typing.get_args(target_type)[0], f'{path}[{index}]'
            ):
                found = True
                yield fault
    if not found:
        yield from _conversion_fault(value, target_type, path)


def _dataclass_faults(
    value: dict[str, object], target_type: typing.Any, path: str
) -> Iterator[Fault]:
    hints = typing.get_type_hints(target_type, include_extras=True)
    fields = {field.name: field for field in dataclasses.fields(target_type)}
    for name, element in value.items():
        field_path = f'{path}.{name}'
        if name in fields:
            yield from _find_faults(element, hints[name], field_path)
        else:
            yield Fault(path=field_path, message='unknown field')
    for name, field in fields.items():
        if name not in value and _is_required(field):
            yield Fault(path=f'{path}.{name}', message='missing field')


def _conversion_fault(
    value: object, target_type: typing.Any, path: str
) -> Iterator[Fault]:
    try:
        msgspec.convert(value, target_type, strict=True)
    except msgspec.ValidationError as error:
        yield Fault(path=path, message=str(error))


def _is_required(field: dataclasses.Field[typing.Any]) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _strip_optional(target_type: typing.Any, value: object) -> typing.Any:
    """Reduce `X | None` to `X`, so that the fields of X are checked."""
    if typing.get_origin(target_type) not in {typing.Union, types.UnionType}:
        return target_type
    options = [
        option
        for option in typing.get_args(target_type)
        if option is not types.NoneType
    ]
    if value is None or len(options) != 1:
        return target_type
    return options[0]
