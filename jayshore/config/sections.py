"""The entries of one file, valid or not, with their places.

Checks across files have to run although some entries are invalid, because all
faults are listed at once. A section therefore keeps the valid entries with
their indexes, and the names of the invalid ones as well, so that a fault in a
team does not make every key of that team a fault too.
"""

import dataclasses
from collections.abc import Iterator
from typing import Generic, TypeVar

from jayshore.decoding import Fault, Faults, convert_strictly

T = TypeVar('T')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Indexed(Generic[T]):
    """A value with its index in the file."""

    index: int
    value: T


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Section(Generic[T]):
    """What could be read of a file that holds a list.

    Attributes:
        file: name of the file.
        entries: the valid entries.
        names: the names of all entries that have one.
        is_readable: False when the file is missing or not a list, in which
            case references into it cannot be judged.
        faults: the faults of single entries.
    """

    file: str
    entries: tuple[Indexed[T], ...] = ()
    names: tuple[Indexed[str], ...] = ()
    is_readable: bool = False
    faults: tuple[Fault, ...] = ()

    @property
    def known_names(self) -> frozenset[str]:
        """The set of names, for references from other files."""
        return frozenset(name.value for name in self.names)

    @property
    def values(self) -> tuple[T, ...]:
        """The valid entries without their indexes."""
        return tuple(entry.value for entry in self.entries)

    def make_fault(self, index: int, field: str, message: str) -> Fault:
        """Make a fault of one field of an entry.

        Args:
            index: index of the entry.
            field: name of the field.
            message: what is wrong.

        Returns:
            The fault with its JSON path.
        """
        return Fault(
            file=self.file, path=f'$[{index}].{field}', message=message
        )


def read_section(
    parsed: object, entry_type: type[T], *, file: str, name_field: str
) -> Section[T]:
    """Convert each entry of a list on its own.

    Args:
        parsed: the JSON value of the file, or Faults when it has none.
        entry_type: the type of an entry.
        file: name of the file.
        name_field: the field that names an entry.

    Returns:
        The section, with all faults of single entries.
    """
    if isinstance(parsed, Faults):
        return Section(file=file, faults=parsed.faults)
    if not isinstance(parsed, list):
        fault = Fault(file=file, message='Expected a list of entries')
        return Section(file=file, faults=(fault,))
    entries: list[Indexed[T]] = []
    faults: list[Fault] = []
    for index, raw in enumerate(parsed):
        entry = convert_strictly(raw, entry_type, file=file, path=f'$[{index}]')
        if isinstance(entry, Faults):
            faults.extend(entry.faults)
        else:
            entries.append(Indexed(index=index, value=entry))
    return Section(
        file=file,
        entries=tuple(entries),
        names=tuple(_names(parsed, name_field)),
        is_readable=True,
        faults=tuple(faults),
    )


def _names(parsed: list[object], name_field: str) -> Iterator[Indexed[str]]:
    for index, raw in enumerate(parsed):
        name = raw.get(name_field) if isinstance(raw, dict) else None
        if isinstance(name, str):
            yield Indexed(index=index, value=name)
