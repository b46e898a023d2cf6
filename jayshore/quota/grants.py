"""The record of grants of one team, and the changes that it allows.

The record is the value of the store key `grants/<team>`. It divides the team's
limit into one part per failure domain, so that a domain that is cut off can
go on without asking anyone. `spec/quota_model.py` checks these rules.
"""

import dataclasses
import enum
from typing import TypeAlias

import msgspec

from jayshore.outcomes import JayshoreError
from jayshore.quota.amounts import (
    component_min,
    proportional_share,
    saturating_sub,
)
from jayshore.resources import NOTHING, Resources, total

GRANTS_PREFIX = 'grants/'
"""Prefix of the store keys that hold grants."""


class MalformedGrantsError(JayshoreError):
    """A stored value is not a record of grants."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TeamLimit:
    """A team's upper limit.

    Attributes:
        version: of the configuration that set it.
        amount: what the team may run across the fleet.
    """

    version: int
    amount: Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DomainGrant:
    """What one domain may run of a team.

    Attributes:
        domain: the failure domain.
        epoch: of the leader that owns the part. A successor writes its own
            epoch first, so that a delayed write of its predecessor fails.
        amount: the part.
        basis: the amount when the limit in the record came into force, from
            which the proportional part is computed.
    """

    domain: str
    epoch: int
    amount: Resources
    basis: Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantRecord:
    """The grants of one team.

    Attributes:
        limit: the newest limit that any leader has applied.
        parts: one for each domain that has claimed its part.
    """

    limit: TeamLimit
    parts: tuple[DomainGrant, ...] = ()

    @property
    def assigned(self) -> Resources:
        """Sum of all parts."""
        return total(part.amount for part in self.parts)

    def grant_for(self, domain: str) -> DomainGrant | None:
        """Find a domain's part.

        Args:
            domain: the failure domain.

        Returns:
            The part, or None when the domain has claimed none.
        """
        for part in self.parts:
            if part.domain == domain:
                return part
        return None


NO_GRANTS = GrantRecord(limit=TeamLimit(version=0, amount=NOTHING))
"""What holds for a team without a stored record."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantOwner:
    """The leader that changes its domain's part.

    Attributes:
        domain: its failure domain.
        epoch: its leadership epoch.
    """

    domain: str
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantUpdated:
    """The change is allowed and gives this record."""

    record: GrantRecord


class GrantRefusal(enum.StrEnum):
    """Why a change of the grants is not allowed."""

    OLDER_LIMIT = 'older_limit'
    NOT_OWNER = 'not_owner'
    EXCEEDS_LIMIT = 'exceeds_limit'
    WRONG_DIRECTION = 'wrong_direction'
    NOT_LOST = 'not_lost'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantRefused:
    """The change is not allowed."""

    reason: GrantRefusal


GrantOutcome: TypeAlias = GrantUpdated | GrantRefused


def encode_grants(record: GrantRecord) -> str:
    """Write a record as JSON text.

    Args:
        record: the record.

    Returns:
        JSON, which `decode_grants` reads back unchanged.
    """
    return msgspec.json.encode(record).decode()


def decode_grants(text: str | bytes) -> GrantRecord:
    """Read a record.

    Args:
        text: JSON as written by `encode_grants`.

    Returns:
        The record.

    Raises:
        MalformedGrantsError: the text is no record of grants.
    """
    try:
        return msgspec.json.decode(text, type=GrantRecord)
    except msgspec.MsgspecError as error:
        raise MalformedGrantsError(str(error)) from error


def claim_grant(record: GrantRecord, owner: GrantOwner) -> GrantOutcome:
    """Take over a domain's part, or claim an empty one.

    Args:
        record: the grants.
        owner: the leader that claims its domain's part.

    Returns:
        `Changed`, or `GrantRefused` when a later leader owns the part.
    """
    part = record.grant_for(owner.domain)
    if part is None:
        part = DomainGrant(
            domain=owner.domain,
            epoch=owner.epoch,
            amount=NOTHING,
            basis=NOTHING,
        )
    if part.epoch > owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    claimed = dataclasses.replace(part, epoch=owner.epoch)
    return GrantUpdated(record=_with_part(record, claimed))


def raise_grant(
    record: GrantRecord,
    *,
    owner: GrantOwner,
    to: Resources,
    limit: TeamLimit,
) -> GrantOutcome:
    """Raise a domain's part out of the unassigned remainder.

    Args:
        record: the grants.
        owner: the leader that raises its domain's part.
        to: the new part, in no component below the old one.
        limit: the newest limit, from fresh configuration.

    Returns:
        `Changed`, or `GrantRefused` when a component that grows does not fit
        in the limit or the record shows a newer limit.
    """
    part = record.grant_for(owner.domain)
    if part is None or part.epoch != owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    if limit.version < record.limit.version:
        return GrantRefused(reason=GrantRefusal.OLDER_LIMIT)
    if not part.amount.fits_in(to):
        return GrantRefused(reason=GrantRefusal.WRONG_DIRECTION)
    adopted = adopt_limit(record, limit)
    remainder = saturating_sub(limit.amount, record.assigned)
    if not (to - part.amount).fits_in(remainder):
        return GrantRefused(reason=GrantRefusal.EXCEEDS_LIMIT)
    return GrantUpdated(record=_with_amount(adopted, owner.domain, to))


def lower_grant(
    record: GrantRecord,
    *,
    owner: GrantOwner,
    to: Resources,
) -> GrantOutcome:
    """Lower a domain's part, which needs no fresh configuration.

    Args:
        record: the grants.
        owner: the leader that lowers its domain's part; its use must already
            fit in the new part.
        to: the new part, in no component above the old one.

    Returns:
        `Changed`, or `GrantRefused`.
    """
    part = record.grant_for(owner.domain)
    if part is None or part.epoch != owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    if not to.fits_in(part.amount):
        return GrantRefused(reason=GrantRefusal.WRONG_DIRECTION)
    return GrantUpdated(record=_with_amount(record, owner.domain, to))


def reclaim_grant(
    record: GrantRecord,
    *,
    domain: str,
    lost: frozenset[str],
) -> GrantOutcome:
    """Remove the part of a domain that the configuration declares lost.

    Args:
        record: the grants.
        domain: the lost domain.
        lost: the domains declared lost, from fresh configuration.

    Returns:
        `Changed`, or `GrantRefused` when the domain is not declared lost.
    """
    if domain not in lost:
        return GrantRefused(reason=GrantRefusal.NOT_LOST)
    kept = tuple(part for part in record.parts if part.domain != domain)
    return GrantUpdated(record=dataclasses.replace(record, parts=kept))


def adopt_limit(record: GrantRecord, limit: TeamLimit) -> GrantRecord:
    """Note a newer limit and the parts from which domains shrink.

    Args:
        record: the grants.
        limit: a limit from fresh configuration.

    Returns:
        The record under the newer of the two limits.
    """
    if limit.version <= record.limit.version:
        return record
    parts = tuple(
        dataclasses.replace(part, basis=part.amount) for part in record.parts
    )
    return GrantRecord(limit=limit, parts=parts)


def proportional_grant(
    record: GrantRecord,
    *,
    domain: str,
    cut_off: frozenset[str],
) -> Resources:
    """Compute what a domain has to shrink to.

    The domains that are cut off keep their parts. The others share what the
    limit leaves, in proportion to their parts when the limit changed.

    Args:
        record: the grants.
        domain: a domain that can be reached.
        cut_off: the domains that cannot be reached.

    Returns:
        The domain's part, reduced in the components whose sum exceeds the
        limit.
    """
    part = record.grant_for(domain)
    if part is None:
        return NOTHING
    kept = total(one.amount for one in record.parts if one.domain in cut_off)
    reachable = total(
        one.basis for one in record.parts if one.domain not in cut_off
    )
    bound = proportional_share(
        part.basis,
        available=saturating_sub(record.limit.amount, kept),
        whole=reachable,
    )
    return _where_exceeding(record, part.amount, bound)


def _where_exceeding(
    record: GrantRecord,
    amount: Resources,
    bound: Resources,
) -> Resources:
    lowered = component_min(amount, bound)
    pairs = zip(record.assigned, record.limit.amount, strict=True)
    chosen = (
        low if assigned > limit else held
        for (assigned, limit), low, held in zip(
            pairs, lowered, amount, strict=True
        )
    )
    names = (field.name for field in dataclasses.fields(Resources))
    return Resources(**dict(zip(names, chosen, strict=True)))


def _with_amount(
    record: GrantRecord,
    domain: str,
    amount: Resources,
) -> GrantRecord:
    parts = tuple(
        dataclasses.replace(part, amount=amount)
        if part.domain == domain
        else part
        for part in record.parts
    )
    return dataclasses.replace(record, parts=parts)


def _with_part(record: GrantRecord, part: DomainGrant) -> GrantRecord:
    others = (one for one in record.parts if one.domain != part.domain)
    parts = sorted((*others, part), key=lambda one: one.domain)
    return dataclasses.replace(record, parts=tuple(parts))
