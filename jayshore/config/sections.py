"""The entries of one configuration file with their indexes.

All faults are reported at once, so checks across files also run when some
entries are invalid. A section therefore keeps the valid entries and, in
addition, the names of invalid ones: an invalid team must not make each key of
that team invalid as well.
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
    """The result of reading a file that holds a list of entries.

    Attributes:
        file: name of the file.
        entries: the valid entries.
        names: the names of all entries that have one.
        is_readable: False when the file is missing or not a list, in which
            case references to its entries cannot be checked.
        faults: the faults of the file or of its entries.
    """

    file: str
    entries: tuple[Indexed[T], ...] = ()
    names: tuple[Indexed[str], ...] = ()
    is_readable: bool = False
    faults: tuple[Fault, ...] = ()

    @property
    def known_names(self) -> frozenset[str]:
        """The names of all entries, to check references from other files."""
        return frozenset(name.value for name in self.names)

    @property
    def values(self) -> tuple[T, ...]:
        """The valid entries without their indexes."""
        return tuple(entry.value for entry in self.entries)

    def make_fault(self, index: int, field: str, message: str) -> Fault:
        """Create a fault located at one field of an entry.

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
    """Convert the entries of a list one by one.

    Args:
        parsed: the JSON value of the file, or Faults when it was not parsed.
        entry_type: the type of an entry.
        file: name of the file.
        name_field: the field that identifies an entry.

    Returns:
        The section, with the valid entries and all faults.
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
