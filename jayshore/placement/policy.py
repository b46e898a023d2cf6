"""The common form of every placement policy."""

import abc
from typing import Generic, TypeVar

CaseT = TypeVar('CaseT', contravariant=True)
AnswerT = TypeVar('AnswerT', covariant=True)


class Policy(abc.ABC, Generic[CaseT, AnswerT]):
    """A pure function from the facts of one case to an answer.

    The cell and its full-scan oracle are built from the same policies, and a
    program that embeds the package can replace any of them.
    """

    @abc.abstractmethod
    def evaluate(self, case: CaseT) -> AnswerT:
        """Answer one case.

        Args:
            case: all the facts that the answer depends on.

        Returns:
            The answer; the same case always gets the same answer.
        """
