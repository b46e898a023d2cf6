"""Keys of the stored records of jobs and of their progress."""

from typing import NamedTuple

from jayshore.fleet.model import GroupId
from jayshore.outcomes import JayshoreError

JOB_PREFIX = 'jobs/in/'
"""Prefix of the keys of accepted jobs and of cancellations."""

PROGRESS_PREFIX = 'jobs/run/'
"""Prefix of the keys of progress records."""

HEAD_KEY = 'jobs/head'
"""Key that fences the writes of leaders."""

_CANCEL_SUFFIX = '/cancel'


class InvalidRecord(JayshoreError):
    """A stored value is not a valid record."""


class SegmentId(NamedTuple):
    """Identifies the record of some tasks of a large job.

    Attributes:
        group: the occurrence of their group.
        number: position of the segment in the group.
    """

    group: GroupId
    number: int


def job_key(job_id: str) -> str:
    """Return the key of an accepted job.

    Args:
        job_id: the job.

    Returns:
        The key.
    """
    return f'{JOB_PREFIX}{job_id}'


def cancel_key(job_id: str) -> str:
    """Return the key of the cancellation of a job.

    Args:
        job_id: the job.

    Returns:
        The key.
    """
    return f'{JOB_PREFIX}{job_id}{_CANCEL_SUFFIX}'


def progress_key(job_id: str) -> str:
    """Return the key of the progress record of a job.

    Args:
        job_id: the job.

    Returns:
        The key.
    """
    return f'{PROGRESS_PREFIX}{job_id}'


def segment_key(segment: SegmentId) -> str:
    """Return the key of the record of a segment.

    Args:
        segment: the segment.

    Returns:
        The key, which begins with that of the progress record.
    """
    job_id, occurrence, group = segment.group
    return f'{progress_key(job_id)}/{occurrence}.{group}.{segment.number}'


def parse_progress_key(key: str) -> tuple[str, SegmentId | None]:
    """Parse a key with the prefix `PROGRESS_PREFIX`.

    Args:
        key: the key.

    Returns:
        The job id, and the segment, None for the progress record.

    Raises:
        InvalidRecord: the key names neither.
    """
    job_id, separator, name = key.removeprefix(PROGRESS_PREFIX).partition('/')
    if not separator:
        return job_id, None
    try:
        occurrence, group, number = map(int, name.split('.'))
    except ValueError:
        raise InvalidRecord(f'{key}: not a segment') from None
    return job_id, SegmentId(GroupId(job_id, occurrence, group), number)


def parse_job_key(key: str) -> tuple[str, bool]:
    """Parse a key with the prefix `JOB_PREFIX`.

    Args:
        key: the key.

    Returns:
        The job id, and whether the key is that of its cancellation.
    """
    name = key.removeprefix(JOB_PREFIX)
    return name.removesuffix(_CANCEL_SUFFIX), name.endswith(_CANCEL_SUFFIX)
