"""Arithmetic on resource vectors that the grants need, per component."""

from collections.abc import Callable

from jayshore.resources import NOTHING, Resources


def combine(
    left: Resources,
    right: Resources,
    rule: Callable[[int, int], int],
) -> Resources:
    """Apply a rule to each pair of components.

    Args:
        left: the first vector.
        right: the second vector.
        rule: computes a component of the result.

    Returns:
        The vector of results.
    """
    return Resources(
        cpu_millis=rule(left.cpu_millis, right.cpu_millis),
        memory_mb=rule(left.memory_mb, right.memory_mb),
        accelerators=rule(left.accelerators, right.accelerators),
        requests=rule(left.requests, right.requests),
    )


def component_min(left: Resources, right: Resources) -> Resources:
    """Take the smaller of each pair of components.

    Args:
        left: the first vector.
        right: the second vector.

    Returns:
        The minimum per component.
    """
    return combine(left, right, min)


def component_max(left: Resources, right: Resources) -> Resources:
    """Take the larger of each pair of components.

    Args:
        left: the first vector.
        right: the second vector.

    Returns:
        The maximum per component.
    """
    return combine(left, right, max)


def saturating_sub(amount: Resources, subtracted: Resources) -> Resources:
    """Subtract without going below zero.

    Args:
        amount: what is there.
        subtracted: what is taken off.

    Returns:
        The difference per component, zero where it would be negative.
    """
    return component_max(amount - subtracted, NOTHING)


def proportional_share(
    amount: Resources,
    *,
    available: Resources,
    whole: Resources,
) -> Resources:
    """Scale an amount down to its proportion of what is available.

    Args:
        amount: one part of the whole.
        available: what all parts may sum to.
        whole: the sum of all parts.

    Returns:
        `amount * available / whole`, rounded down, per component; zero where
        the whole is zero.
    """
    scaled = combine(amount, available, lambda part, room: part * room)
    return combine(
        scaled,
        whole,
        lambda product, parts: product // parts if parts else 0,
    )
