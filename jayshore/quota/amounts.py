"""Componentwise arithmetic on resource vectors."""

from collections.abc import Callable

from jayshore.resources import NOTHING, Resources


def combine_components(
    left: Resources,
    right: Resources,
    function: Callable[[int, int], int],
) -> Resources:
    """Apply a binary function componentwise.

    Args:
        left: the first vector.
        right: the second vector.
        function: computes a component of the result.

    Returns:
        The vector of results.
    """
    return Resources(
        cpu_millis=function(left.cpu_millis, right.cpu_millis),
        memory_mb=function(left.memory_mb, right.memory_mb),
        accelerators=function(left.accelerators, right.accelerators),
        requests=function(left.requests, right.requests),
    )


def component_min(left: Resources, right: Resources) -> Resources:
    """Compute the componentwise minimum.

    Args:
        left: the first vector.
        right: the second vector.

    Returns:
        The minimum per component.
    """
    return combine_components(left, right, min)


def component_max(left: Resources, right: Resources) -> Resources:
    """Compute the componentwise maximum.

    Args:
        left: the first vector.
        right: the second vector.

    Returns:
        The maximum per component.
    """
    return combine_components(left, right, max)


def saturating_sub(amount: Resources, subtracted: Resources) -> Resources:
    """Subtract componentwise, clamping at zero.

    Args:
        amount: the minuend.
        subtracted: the subtrahend.

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
    """Scale one summand so that all summands fit in what is available.

    Args:
        amount: one summand.
        available: what all scaled summands may sum to.
        whole: the sum of all summands.

    Returns:
        `amount * available / whole`, rounded down, per component; zero where
        the whole is zero.
    """
    scaled = combine_components(
        amount, available, lambda summand, limit: summand * limit
    )
    return combine_components(
        scaled,
        whole,
        lambda product, divisor: product // divisor if divisor else 0,
    )
