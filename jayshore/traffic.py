"""Counts the bytes and messages of one kind of traffic.

Plain integers, since they change with every message; the metrics read them
only when they are scraped.
"""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class Traffic:
    """What passed over the connections of one kind.

    Attributes:
        sent: bytes handed to the sockets, without the TCP and IP headers.
        received: bytes taken from the sockets.
        messages: calls sent by a client, or answered by a server.
    """

    sent: int = 0
    received: int = 0
    messages: int = 0
