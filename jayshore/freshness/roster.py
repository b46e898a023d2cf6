"""The roster of daemons and its majorities."""

import dataclasses
from collections.abc import Set as AbstractSet

from jayshore.config.document import Document


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """The names of the daemons that may promise and attest."""

    members: frozenset[str] = frozenset()

    @property
    def majority(self) -> int:
        """Number of members that form a majority."""
        return len(self.members) // 2 + 1

    def has_majority(self, names: AbstractSet[str]) -> bool:
        """Tell whether the members among the names form a majority.

        Args:
            names: any names; those that are no members do not count.

        Returns:
            True when they form a majority.
        """
        return len(self.members & names) >= self.majority


def roster_of(document: Document) -> Roster:
    """Take the roster from a configuration.

    Args:
        document: a configuration.

    Returns:
        The names of its instances.
    """
    return Roster(
        members=frozenset(daemon.name for daemon in document.instances)
    )


def has_write_quorum(
    *, promised: AbstractSet[str], old: Roster | None, new: Roster
) -> bool:
    """Tell whether enough daemons promised for a configuration write.

    Every daemon that still holds the old version asks a majority of the old
    roster, and one of that majority has promised. The majority of the new
    roster is required so that the new roster is able to work at once.

    Args:
        promised: the daemons that promised, the writer included.
        old: the roster of the version in the store; None when there is no
            version yet, in which case there is nothing to supersede and no
            promise is needed.
        new: the roster of the version to be written.

    Returns:
        True when the write may be sent.
    """
    if old is None:
        return True
    return old.has_majority(promised) and new.has_majority(promised)
