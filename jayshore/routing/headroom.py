"""What routing needs to know of teams: their limits and their shares."""

import abc

from jayshore.resources import Resources


class Headroom(abc.ABC):
    """The part of the teams' limits that this domain may use."""

    @abc.abstractmethod
    def try_reserve(self, team: str, demand: Resources) -> bool:
        """Count a demand against the team's part if it fits.

        Args:
            team: name of the team.
            demand: what is about to start.

        Returns:
            False when it does not fit; nothing was counted then.
        """

    @abc.abstractmethod
    def charge(self, team: str, demand: Resources) -> None:
        """Count a demand that runs already, whether or not it fits.

        Args:
            team: name of the team.
            demand: what a former leader has started.
        """

    @abc.abstractmethod
    def release(self, team: str, demand: Resources) -> None:
        """Count a demand as ended.

        Args:
            team: name of the team.
            demand: as it was taken.
        """

    def fits_now(self, team: str, demand: Resources) -> bool:
        """Tell whether a demand would fit now.

        Args:
            team: name of the team.
            demand: what might start.

        Returns:
            True when it fits; nothing is counted.
        """
        if not self.try_reserve(team, demand):
            return False
        self.release(team, demand)
        return True

    def fits_grant(self, team: str, demand: Resources) -> bool:
        """Tell whether waiting for the team's other work to end can help.

        Args:
            team: name of the team.
            demand: what waits.

        Returns:
            False when the domain's part is too small for it.
        """
        return True


class Shares(abc.ABC):
    """The shares of the teams, which order them when slots are short."""

    @abc.abstractmethod
    def share_of(self, team: str) -> float:
        """Look up a share.

        Args:
            team: name of the team.

        Returns:
            A weight above 0.
        """
