"""Interfaces to the teams' limits and shares that routing depends on."""

import abc

from jayshore.resources import Resources


class Headroom(abc.ABC):
    """Accounts use against the domain's grants of the teams' limits."""

    @abc.abstractmethod
    def try_reserve(self, team: str, demand: Resources) -> bool:
        """Reserve a demand in the team's grant if it fits.

        Args:
            team: name of the team.
            demand: resources that are about to be used.

        Returns:
            False when it does not fit; nothing is reserved then.
        """

    @abc.abstractmethod
    def charge(self, team: str, demand: Resources) -> None:
        """Count a demand that is in use already, even above the grant.

        Args:
            team: name of the team.
            demand: resources of work that another leader started.
        """

    @abc.abstractmethod
    def release(self, team: str, demand: Resources) -> None:
        """Release a demand that was reserved or charged.

        Args:
            team: name of the team.
            demand: the same resources as were reserved or charged.
        """

    def fits_now(self, team: str, demand: Resources) -> bool:
        """Tell whether a demand fits beside the team's present use.

        Args:
            team: name of the team.
            demand: resources that might be used.

        Returns:
            True when it fits; nothing stays reserved.
        """
        if not self.try_reserve(team, demand):
            return False
        self.release(team, demand)
        return True

    def fits_grant(self, team: str, demand: Resources) -> bool:
        """Tell whether a demand fits once the team's other work has ended.

        Args:
            team: name of the team.
            demand: resources that are waited for.

        Returns:
            False when the domain's grant is too small for it. The default
            implementation returns True.
        """
        return True


class Shares(abc.ABC):
    """Weights of the teams for fair queueing while slots are scarce."""

    @abc.abstractmethod
    def share_of(self, team: str) -> float:
        """Return the weight of a team.

        Args:
            team: name of the team.

        Returns:
            A weight above 0.
        """
