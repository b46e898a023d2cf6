"""Tests of slot reservations, the choice of executors, and ejection."""

import random

import pytest

from jayshore.clock import ManualClock
from jayshore.retry import Backoff
from jayshore.routing.executor import Inventory, OpenedLease, RunningRequest
from jayshore.routing.health import EjectionPolicy, ExecutorHealth
from jayshore.routing.slots import ExecutorSlots, SlotReservation, SlotTable

BACKOFF = Backoff(base_ms=1000, max_ms=60_000)


def make_health(clock, failures=3):
    return ExecutorHealth(
        policy=EjectionPolicy(consecutive_failures=failures, backoff=BACKOFF),
        clock=clock,
        rng=random.Random(3),
    )


def make_slots(executor_id='e', clock=None, count=4):
    slots = ExecutorSlots(
        executor_id=executor_id,
        service='fill',
        health=make_health(clock or ManualClock()),
    )
    open_lease(slots, generation=1, count=count)
    return slots


def inventory(*request_ids):
    return Inventory(
        leaving=False,
        running=tuple(
            RunningRequest(request_id=request_id, team='t')
            for request_id in request_ids
        ),
    )


def open_lease(slots, generation, *request_ids, count=4, poll=None):
    lease = OpenedLease(
        lease_id=generation,
        boot_id='boot',
        slots=count,
        connections=64,
        inventory=inventory(*request_ids),
    )
    return slots.apply_lease(
        lease,
        generation=generation,
        poll=poll or slots.begin_poll(),
    )


def reserve_slot(slots, request_id, generation=1, orphan=False):
    reservation = SlotReservation(request_id=request_id, team='t', now=0)
    reservation.generation = generation
    reservation.is_orphaned = orphan
    slots.reserve(reservation)
    return reservation


def test_orphan_is_not_released_under_the_lease_it_was_sent_under():
    """Guards against releasing the slot of a request that is on its way."""
    slots = make_slots()
    orphan = reserve_slot(slots, 'r', orphan=True)
    assert not slots.apply_inventory(inventory(), poll=slots.begin_poll())
    assert not open_lease(slots, 2, 'r')
    assert slots.apply_inventory(
        inventory(),
        poll=slots.begin_poll(),
    ) == (orphan,)


def test_request_in_progress_is_released_by_its_answer_only():
    """Guards against releasing a slot while the answer is awaited."""
    slots = make_slots()
    reserve_slot(slots, 'r')
    assert not open_lease(slots, 2)
    assert slots.used == 1


def test_inventories_out_of_order_are_ignored():
    """Guards against an old inventory that releases a slot in use."""
    slots = make_slots()
    reserve_slot(slots, 'r', orphan=True)
    early = slots.begin_poll()
    assert not open_lease(slots, 2, 'r')
    assert not slots.apply_inventory(inventory(), poll=early)
    assert slots.used == 1


def test_inventory_older_than_an_answer_takes_no_slot():
    """Guards against a slot that stays reserved for a finished request."""
    slots = make_slots()
    reservation = reserve_slot(slots, 'r')
    poll = slots.begin_poll()
    slots.release(reservation)
    slots.apply_inventory(inventory('r'), poll=poll)
    assert slots.used == 0
    slots.apply_inventory(inventory('r'), poll=slots.begin_poll())
    assert slots.used == 1


def test_connections_bound_the_free_slots():
    """Guards against more connections than the executor accepts."""
    slots = make_slots(count=100)
    assert slots.free == 62
    slots.open_runs = 60
    assert slots.free == 2


def test_choice_prefers_the_less_loaded_of_two():
    """Guards against ignoring load or always choosing the same executor."""
    table = SlotTable(rng=random.Random(2))
    loaded = make_slots('loaded')
    reserve_slot(loaded, 'x')
    for slots in (make_slots('a'), make_slots('b'), loaded):
        table.add(slots)
    chosen = [table.choose('fill').executor_id for _ in range(200)]
    assert set(chosen) == {'a', 'b'}
    assert min(chosen.count('a'), chosen.count('b')) > 60
    avoided = table.choose('fill', avoid=frozenset(('a', 'b')))
    assert avoided.executor_id == 'loaded'
    assert table.choose('labels') is None


def test_failing_executor_is_ejected_and_returns_step_by_step():
    """Guards against full load on an executor right after its failures."""
    clock = ManualClock()
    health = make_health(clock)
    for allowed in (8, 8, 0):
        health.record_failure(may_eject=True)
        assert health.allowance(8) == allowed
    health.record_success(8)
    assert health.allowance(8) == 0
    clock.advance(2000)
    allowances = []
    while health.is_ejected:
        allowances.append(health.allowance(8))
        health.record_success(8)
    assert allowances == [1, 2, 4, 8]


def test_failure_during_the_return_ejects_for_longer():
    """Guards against an executor that flaps between ejection and return."""
    clock = ManualClock()
    health = make_health(clock)
    for _ in range(3):
        health.record_failure(may_eject=True)
    pauses = []
    for _ in range(8):
        pause = 0
        while not health.allowance(8):
            clock.advance(100)
            pause += 100
        pauses.append(pause)
        health.record_failure(may_eject=True)
        assert health.allowance(8) == 0
    assert max(pauses) > 10_000


@pytest.mark.parametrize(('count', 'ejected'), [(1, 0), (2, 1), (5, 2)])
def test_at_most_half_of_a_service_is_ejected(count, ejected):
    """Guards against ejecting all executors for a common cause."""
    table = SlotTable(rng=random.Random(2))
    executors = [make_slots(f'e{number}') for number in range(count)]
    for slots in executors:
        table.add(slots)
    for slots in executors:
        for _ in range(5):
            table.record_failure(slots)
    assert sum(slots.health.is_ejected for slots in executors) == ejected


def test_success_resets_the_failure_count():
    """Guards against ejection for isolated failures."""
    health = make_health(ManualClock())
    for _ in range(20):
        health.record_failure(may_eject=True)
        health.record_failure(may_eject=True)
        health.record_success(8)
    assert health.allowance(8) == 8
