"""The common interface of the placement policies."""

import abc
from typing import Generic, TypeVar

CaseT = TypeVar('CaseT', contravariant=True)
AnswerT = TypeVar('AnswerT', covariant=True)


class Policy(abc.ABC, Generic[CaseT, AnswerT]):
    """A pure function from the inputs of one case to a result.

    `Cell` and its oracle `NaiveCell` use the same policies. The common
    interface is meant to let a program that embeds the package replace any of
    them.
    """

    @abc.abstractmethod
    def evaluate(self, case: CaseT) -> AnswerT:
        """Evaluate the policy for one case.

        Args:
            case: all inputs that the result depends on.

        Returns:
            The result; equal cases have equal results.
        """
