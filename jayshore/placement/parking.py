"""Queues whose entries fit nowhere, by the workers that could change that."""

from jayshore.placement.feasible import slots
from jayshore.placement.roster import Member
from jayshore.placement.shape_queue import ShapeQueue

_ANY_WORKER = ''


class Parking:
    """Parked queues; those bound to named workers are filed under each."""

    def __init__(self) -> None:
        """Start empty."""
        self._queues: dict[str, dict[int, ShapeQueue]] = {_ANY_WORKER: {}}
        self._all: dict[int, ShapeQueue] = {}

    def add(self, queue: ShapeQueue) -> None:
        """File a queue.

        Args:
            queue: a queue that is parked.
        """
        self._all[queue.serial] = queue
        for place in queue.shape.allowed or (_ANY_WORKER,):
            self._queues.setdefault(place, {})[queue.serial] = queue

    def remove(self, queue: ShapeQueue) -> None:
        """Remove a queue if it is there.

        Args:
            queue: the queue.
        """
        if self._all.pop(queue.serial, None) is None:
            return
        for place in queue.shape.allowed or (_ANY_WORKER,):
            filed = self._queues[place]
            filed.pop(queue.serial)
            if not filed and place != _ANY_WORKER:
                self._queues.pop(place)

    def all_queues(self) -> tuple[ShapeQueue, ...]:
        """List all parked queues.

        Returns:
            The queues, in no particular order.
        """
        return tuple(self._all.values())

    def fitting(self, member: Member) -> list[ShapeQueue]:
        """List the queues whose entries fit on a worker.

        Args:
            member: a usable worker.

        Returns:
            The queues, in no particular order.
        """
        worker_id = member.view.worker_id
        rooms = (member.load.ordinary_room, member.load.free)
        return [
            queue
            for place in (_ANY_WORKER, worker_id)
            for queue in self._queues.get(place, {}).values()
            if worker_id not in queue.shape.avoided
            and slots(queue.shape.demand, rooms[queue.shape.in_lane], 1)
        ]
