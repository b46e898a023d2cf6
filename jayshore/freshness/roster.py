"""The roster of voting daemons and its majorities."""

import dataclasses
from collections.abc import Set as AbstractSet

from jayshore.config.document import Document


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """The names of the daemons whose promises and attestations count."""

    members: frozenset[str] = frozenset()

    @property
    def majority(self) -> int:
        """Number of members that form a majority."""
        return len(self.members) // 2 + 1

    def has_majority(self, names: AbstractSet[str]) -> bool:
        """Tell whether the members among the names form a majority.

        Args:
            names: any names; those of non-members do not count.

        Returns:
            True when they form a majority.
        """
        return len(self.members & names) >= self.majority


def roster_of(document: Document) -> Roster:
    """Build the roster of a configuration.

    Args:
        document: the configuration.

    Returns:
        A roster of the configured instances.
    """
    return Roster(
        members=frozenset(daemon.name for daemon in document.instances)
    )


def has_write_quorum(
    *, promised: AbstractSet[str], old: Roster | None, new: Roster
) -> bool:
    """Tell whether enough daemons have promised for a configuration write.

    A majority of the old roster must have promised: a daemon that still holds
    the old version needs attestations from a majority of that roster, so it
    asks at least one daemon that has promised. A majority of the new roster
    must have promised so that the new roster can work at once.

    Args:
        promised: the daemons that promised, including the writer.
        old: the roster of the version in the store, or None when there is no
            version yet; then nothing is superseded and no promise is needed.
        new: the roster of the version to be written.

    Returns:
        True when the write may be sent.
    """
    if old is None:
        return True
    return old.has_majority(promised) and new.has_majority(promised)
