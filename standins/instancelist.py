"""Instance list of the store stand-in, which shows changes with a delay."""

import dataclasses

import msgspec

from jayshore.clock import Clock, Millis
from jayshore.http.messages import (
    JsonObject,
    Request,
    Response,
    decode_json,
    json_response,
)
from standins.faults import Faults

_STATUS_OK = 200


class StoreFaults(Faults, kw_only=True):
    """Faults of the store and its instance list.

    Attributes:
        lag_ms: delay until a change of the instance list is visible, in ms.
    """

    lag_ms: int = 0


class _Instances(msgspec.Struct, kw_only=True):
    instances: list[JsonObject]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Version:
    written_at: Millis
    instances: list[JsonObject]


class DelayedInstanceList:
    """Returns the instance list as it was `lag_ms` ago."""

    def __init__(self, *, faults: StoreFaults, clock: Clock) -> None:
        """Create an empty list.

        Args:
            faults: set the delay; read at every call.
            clock: measures the delay.
        """
        self._faults = faults
        self._clock = clock
        self._versions: list[_Version] = []

    async def read(self, request: Request) -> Response:
        """Read the visible version of the list.

        Args:
            request: the call; `known` is the version that the caller has.

        Returns:
            The version, with its instances unless the caller has it already.
        """
        visible_until = self._clock.now() - self._faults.lag_ms
        visible: list[JsonObject] = []
        number = 0
        for index, version in enumerate(self._versions, start=1):
            if version.written_at <= visible_until:
                visible = version.instances
                number = index
        if request.query.get('known') == str(number):
            return json_response(_STATUS_OK, {'version': number})
        return json_response(
            _STATUS_OK, {'version': number, 'instances': visible}
        )

    async def write(self, request: Request) -> Response:
        """Replace the list; the first version is visible immediately.

        Args:
            request: the call with all instances.

        Returns:
            The number of listed instances.
        """
        instances = decode_json(request.body, _Instances).instances
        # A test that starts a cell should not have to wait for the delay.
        written_at = self._clock.now() if self._versions else Millis(0)
        self._versions.append(
            _Version(written_at=written_at, instances=instances)
        )
        return json_response(_STATUS_OK, {'listed': len(instances)})
