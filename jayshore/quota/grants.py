"""The grant record of one team, and the changes that are valid on it.

The record is the value of the store key `grants/<team>`. It divides the team's
limit into one grant per failure domain, so that a domain that is cut off can
keep using its grant without asking anyone. `spec/quota_model.py` checks these
rules.
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
    """A stored value is not a grant record."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TeamLimit:
    """A team's upper limit.

    Attributes:
        version: version of the configuration that sets the limit.
        amount: resources that the team may use across all domains.
    """

    version: int
    amount: Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DomainGrant:
    """The part of a team's limit that one domain may use.

    Attributes:
        domain: the failure domain.
        epoch: leadership epoch of the owner. A successor writes its own epoch
            first, so that a delayed write of its predecessor fails.
        amount: the granted resources.
        basis: the amount when the limit in the record was adopted, from which
            the proportional grant is computed.
    """

    domain: str
    epoch: int
    amount: Resources
    basis: Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantRecord:
    """The grants of one team in all domains.

    Attributes:
        limit: the newest limit that any leader has adopted.
        parts: the grants of the domains that have claimed one.
    """

    limit: TeamLimit
    parts: tuple[DomainGrant, ...] = ()

    @property
    def assigned(self) -> Resources:
        """Sum of the grants of all domains."""
        return total(grant.amount for grant in self.parts)

    def grant_for(self, domain: str) -> DomainGrant | None:
        """Find a domain's grant.

        Args:
            domain: the failure domain.

        Returns:
            The grant, or None when the domain has claimed none.
        """
        for grant in self.parts:
            if grant.domain == domain:
                return grant
        return None


NO_GRANTS = GrantRecord(limit=TeamLimit(version=0, amount=NOTHING))
"""The record of a team for which none is stored."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantOwner:
    """The leader that changes its domain's grant.

    Attributes:
        domain: the failure domain that it leads.
        epoch: its leadership epoch.
    """

    domain: str
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantUpdated:
    """The change is valid and results in this record."""

    record: GrantRecord


class GrantRefusal(enum.StrEnum):
    """Why a change of the grants is refused."""

    OLDER_LIMIT = 'older_limit'
    NOT_OWNER = 'not_owner'
    EXCEEDS_LIMIT = 'exceeds_limit'
    WRONG_DIRECTION = 'wrong_direction'
    NOT_LOST = 'not_lost'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantRefused:
    """The change is refused."""

    reason: GrantRefusal


GrantOutcome: TypeAlias = GrantUpdated | GrantRefused


def encode_grants(record: GrantRecord) -> str:
    """Encode a record as JSON text.

    Args:
        record: the record.

    Returns:
        JSON that `decode_grants` decodes to an equal record.
    """
    return msgspec.json.encode(record).decode()


def decode_grants(text: str | bytes) -> GrantRecord:
    """Decode a record.

    Args:
        text: JSON as written by `encode_grants`.

    Returns:
        The record.

    Raises:
        MalformedGrantsError: the text is not a grant record.
    """
    try:
        return msgspec.json.decode(text, type=GrantRecord)
    except msgspec.MsgspecError as error:
        raise MalformedGrantsError(str(error)) from error


def claim_grant(record: GrantRecord, owner: GrantOwner) -> GrantOutcome:
    """Take over a domain's grant, or create an empty one.

    Args:
        record: the grants.
        owner: the leader that claims its domain's grant.

    Returns:
        `GrantUpdated`, or `GrantRefused` when a later leader owns the grant.
    """
    grant = record.grant_for(owner.domain)
    if grant is None:
        grant = DomainGrant(
            domain=owner.domain,
            epoch=owner.epoch,
            amount=NOTHING,
            basis=NOTHING,
        )
    if grant.epoch > owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    claimed = dataclasses.replace(grant, epoch=owner.epoch)
    return GrantUpdated(record=_with_grant(record, claimed))


def raise_grant(
    record: GrantRecord,
    *,
    owner: GrantOwner,
    to: Resources,
    limit: TeamLimit,
) -> GrantOutcome:
    """Raise a domain's grant out of the unassigned remainder of the limit.

    Args:
        record: the grants.
        owner: the leader that raises its domain's grant.
        to: the new amount, in no component below the old one.
        limit: the newest limit, from fresh configuration.

    Returns:
        `GrantUpdated`, or `GrantRefused` when the leader does not own the
        grant, a component would decrease, a component that grows does not fit
        in the limit, or the record shows a newer limit.
    """
    grant = record.grant_for(owner.domain)
    if grant is None or grant.epoch != owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    if limit.version < record.limit.version:
        return GrantRefused(reason=GrantRefusal.OLDER_LIMIT)
    if not grant.amount.fits_in(to):
        return GrantRefused(reason=GrantRefusal.WRONG_DIRECTION)
    adopted = adopt_limit(record, limit)
    remainder = saturating_sub(limit.amount, record.assigned)
    if not (to - grant.amount).fits_in(remainder):
        return GrantRefused(reason=GrantRefusal.EXCEEDS_LIMIT)
    return GrantUpdated(record=_with_granted_amount(adopted, owner.domain, to))


def lower_grant(
    record: GrantRecord,
    *,
    owner: GrantOwner,
    to: Resources,
) -> GrantOutcome:
    """Lower a domain's grant, which needs no fresh configuration.

    Args:
        record: the grants.
        owner: the leader that lowers its domain's grant; what its domain uses
            must already fit in the new amount.
        to: the new amount, in no component above the old one.

    Returns:
        `GrantUpdated`, or `GrantRefused` when the leader does not own the
        grant or a component would increase.
    """
    grant = record.grant_for(owner.domain)
    if grant is None or grant.epoch != owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    if not to.fits_in(grant.amount):
        return GrantRefused(reason=GrantRefusal.WRONG_DIRECTION)
    return GrantUpdated(record=_with_granted_amount(record, owner.domain, to))


def reclaim_grant(
    record: GrantRecord,
    *,
    domain: str,
    lost: frozenset[str],
) -> GrantOutcome:
    """Remove the grant of a domain that the configuration declares lost.

    Args:
        record: the grants.
        domain: the lost domain.
        lost: the domains declared lost, from fresh configuration.

    Returns:
        `GrantUpdated`, or `GrantRefused` when the domain is not declared lost.
    """
    if domain not in lost:
        return GrantRefused(reason=GrantRefusal.NOT_LOST)
    kept = tuple(grant for grant in record.parts if grant.domain != domain)
    return GrantUpdated(record=dataclasses.replace(record, parts=kept))


def adopt_limit(record: GrantRecord, limit: TeamLimit) -> GrantRecord:
    """Adopt a newer limit and make the present amounts the new basis.

    Args:
        record: the grants.
        limit: a limit from fresh configuration.

    Returns:
        The record under the newer of the two limits.
    """
    if limit.version <= record.limit.version:
        return record
    parts = tuple(
        dataclasses.replace(grant, basis=grant.amount) for grant in record.parts
    )
    return GrantRecord(limit=limit, parts=parts)


def proportional_grant(
    record: GrantRecord,
    *,
    domain: str,
    cut_off: frozenset[str],
) -> Resources:
    """Compute the amount that a domain must not exceed under the limit.

    Unreachable domains keep their grants. The others share what these leave of
    the limit, in proportion to their grants when the limit was adopted.

    Args:
        record: the grants.
        domain: a domain that can be reached.
        cut_off: the domains that cannot be reached.

    Returns:
        The domain's grant, reduced in those components in which the sum of all
        grants exceeds the limit.
    """
    grant = record.grant_for(domain)
    if grant is None:
        return NOTHING
    kept = total(
        other.amount for other in record.parts if other.domain in cut_off
    )
    reachable_basis = total(
        other.basis for other in record.parts if other.domain not in cut_off
    )
    bound = proportional_share(
        grant.basis,
        available=saturating_sub(record.limit.amount, kept),
        whole=reachable_basis,
    )
    return _lower_exceeding(record, grant.amount, bound)


def _lower_exceeding(
    record: GrantRecord,
    amount: Resources,
    bound: Resources,
) -> Resources:
    lowered = component_min(amount, bound)
    pairs = zip(record.assigned, record.limit.amount, strict=True)
    chosen = (
        lowered_component if assigned > limit else granted_component
        for (assigned, limit), lowered_component, granted_component in zip(
            pairs, lowered, amount, strict=True
        )
    )
    names = (field.name for field in dataclasses.fields(Resources))
    return Resources(**dict(zip(names, chosen, strict=True)))


def _with_granted_amount(
    record: GrantRecord,
    domain: str,
    amount: Resources,
) -> GrantRecord:
    parts = tuple(
        dataclasses.replace(grant, amount=amount)
        if grant.domain == domain
        else grant
        for grant in record.parts
    )
    return dataclasses.replace(record, parts=parts)


def _with_grant(record: GrantRecord, grant: DomainGrant) -> GrantRecord:
    others = (other for other in record.parts if other.domain != grant.domain)
    parts = sorted((*others, grant), key=lambda other: other.domain)
    return dataclasses.replace(record, parts=tuple(parts))
