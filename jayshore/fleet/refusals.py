"""What the leader publishes to be refused, as instances read it.

The value is a list of names in a deployment whose leader has an earlier
version; these are the workspaces with a full backlog.
"""

import dataclasses
from typing import Final

import msgspec

from jayshore.decoding import DECODE_ERRORS

FULL_KEY: Final = 'domains/deployment/full'
"""Key under which the leader publishes what instances refuse."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Submissions that are refused because they would wait too long.

    Attributes:
        queue: name of the queue.
        workspace: name of the workspace, empty for all.
        wait_ms: predicted wait of a new job, in ms.
        share: share of the submissions that is refused; below 1 for what a
            workspace submits beyond its rate.
    """

    queue: str
    wait_ms: int
    workspace: str = ''
    share: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RefusalNotice:
    """Everything that is refused.

    Attributes:
        workspaces: workspaces with a full backlog.
        refusals: submissions that would wait too long.
        confirmed: counts the confirmations by the leader, so that each one
            changes the value.
    """

    workspaces: tuple[str, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    confirmed: int = 0

    def select(self, queue: str, workspace: str) -> 'RefusalNotice':
        """Select what concerns the submissions of a workspace to a queue.

        Args:
            queue: name of the queue.
            workspace: name of the workspace.

        Returns:
            The notice without the rest.
        """
        return RefusalNotice(
            workspaces=tuple(
                name for name in self.workspaces if name == workspace
            ),
            refusals=tuple(
                refusal
                for refusal in self.refusals
                if refusal.queue == queue
                and refusal.workspace in {'', workspace}
            ),
        )


NOTHING_REFUSED: Final = RefusalNotice()


def encode_notice(notice: RefusalNotice) -> str:
    """Encode a notice.

    Args:
        notice: the notice.

    Returns:
        JSON text.
    """
    return msgspec.json.encode(notice).decode()


def decode_notice(text: str) -> RefusalNotice:
    """Decode a notice.

    Args:
        text: JSON text, also of an earlier version.

    Returns:
        The notice; `NOTHING_REFUSED` for a value that cannot be decoded.
    """
    try:
        decoded = msgspec.json.decode(text, type=RefusalNotice | list[str])
    except DECODE_ERRORS:
        return NOTHING_REFUSED
    if isinstance(decoded, list):
        return RefusalNotice(workspaces=tuple(decoded))
    return decoded
