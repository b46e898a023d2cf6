"""Changes of the headroom of workers while a round places tasks."""

from jayshore.fleet.demands import GroupDemand, Placement, WorkerHeadroom


def occupy_slot(
    demand: GroupDemand, index: int, slot: WorkerHeadroom
) -> Placement:
    """Place a task in a slot, which later decisions of the round count.

    Args:
        demand: waiting tasks.
        index: position of the task in its group.
        slot: worker whose resources the task was assigned before.

    Returns:
        The placement.
    """
    group_id = demand.group_id
    placement = Placement(
        group_id=group_id,
        index=index,
        worker_id=slot.worker_id,
        incarnation=slot.incarnation,
        probe=slot.probe and not demand.any_worker,
        beside=slot.group_runs.get(group_id, 0),
    )
    if demand.max_per_worker:
        slot.group_runs[group_id] = placement.beside + 1
    slot.new_groups.add(group_id)
    slot.probe = False
    if demand.suspect:
        slot.reserved_for = group_id
    return placement


def release_slots(demand: GroupDemand, slots: list[WorkerHeadroom]) -> None:
    """Return the resources of slots that are not used.

    Args:
        demand: waiting tasks.
        slots: workers whose resources were assigned, one entry for each task.
    """
    for worker in slots:
        worker.free += demand.need
