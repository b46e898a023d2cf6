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
from jayshore.quota.amounts import proportion, smaller, surplus
from jayshore.resources import NOTHING, Resources, total

GRANTS_PREFIX = 'grants/'
"""Prefix of the store keys that hold grants."""


class MalformedGrantsError(JayshoreError):
    """A stored value is not a record of grants."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limit:
    """A team's upper limit.

    Attributes:
        version: of the configuration that set it.
        amount: what the team may run across the fleet.
    """

    version: int
    amount: Resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Part:
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

    limit: Limit
    parts: tuple[Part, ...] = ()

    @property
    def assigned(self) -> Resources:
        """Sum of all parts."""
        return total(part.amount for part in self.parts)

    def part_of(self, domain: str) -> Part | None:
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


NO_GRANTS = GrantRecord(limit=Limit(version=0, amount=NOTHING))
"""What holds for a team without a stored record."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """The leader that changes its domain's part.

    Attributes:
        domain: its failure domain.
        epoch: its leadership epoch.
    """

    domain: str
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Changed:
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


GrantOutcome: TypeAlias = Changed | GrantRefused


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


def claim_part(record: GrantRecord, owner: Owner) -> GrantOutcome:
    """Take over a domain's part, or claim an empty one.

    Args:
        record: the grants.
        owner: the leader that claims its domain's part.

    Returns:
        `Changed`, or `GrantRefused` when a later leader owns the part.
    """
    part = record.part_of(owner.domain)
    if part is None:
        part = Part(
            domain=owner.domain,
            epoch=owner.epoch,
            amount=NOTHING,
            basis=NOTHING,
        )
    if part.epoch > owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    claimed = dataclasses.replace(part, epoch=owner.epoch)
    return Changed(record=_with_part(record, claimed))


def raise_part(
    record: GrantRecord,
    *,
    owner: Owner,
    to: Resources,
    limit: Limit,
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
    part = record.part_of(owner.domain)
    if part is None or part.epoch != owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    if limit.version < record.limit.version:
        return GrantRefused(reason=GrantRefusal.OLDER_LIMIT)
    if not part.amount.fits_in(to):
        return GrantRefused(reason=GrantRefusal.WRONG_DIRECTION)
    adopted = adopt_limit(record, limit)
    remainder = surplus(limit.amount, record.assigned)
    if not (to - part.amount).fits_in(remainder):
        return GrantRefused(reason=GrantRefusal.EXCEEDS_LIMIT)
    return Changed(record=_with_amount(adopted, owner.domain, to))


def lower_part(
    record: GrantRecord,
    *,
    owner: Owner,
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
    part = record.part_of(owner.domain)
    if part is None or part.epoch != owner.epoch:
        return GrantRefused(reason=GrantRefusal.NOT_OWNER)
    if not to.fits_in(part.amount):
        return GrantRefused(reason=GrantRefusal.WRONG_DIRECTION)
    return Changed(record=_with_amount(record, owner.domain, to))


def reclaim_lost(
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
    return Changed(record=dataclasses.replace(record, parts=kept))


def adopt_limit(record: GrantRecord, limit: Limit) -> GrantRecord:
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


def proportional_part(
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
    part = record.part_of(domain)
    if part is None:
        return NOTHING
    kept = total(one.amount for one in record.parts if one.domain in cut_off)
    reachable = total(
        one.basis for one in record.parts if one.domain not in cut_off
    )
    bound = proportion(
        part.basis,
        available=surplus(record.limit.amount, kept),
        whole=reachable,
    )
    return _where_exceeding(record, part.amount, bound)


def _where_exceeding(
    record: GrantRecord,
    amount: Resources,
    bound: Resources,
) -> Resources:
    lowered = smaller(amount, bound)
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


def _with_part(record: GrantRecord, part: Part) -> GrantRecord:
    others = (one for one in record.parts if one.domain != part.domain)
    parts = sorted((*others, part), key=lambda one: one.domain)
    return dataclasses.replace(record, parts=tuple(parts))
