"""Counters of the bytes and messages of one traffic flow.

They are plain integers because every message updates them; the metrics read
them only when they are scraped.
"""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class Traffic:
    """Traffic counters of all connections of one flow.

    Attributes:
        sent: bytes written to the sockets, without the TCP and IP headers.
        received: bytes read from the sockets.
        messages: calls sent by a client, or answered by a server.
    """

    sent: int = 0
    received: int = 0
    messages: int = 0
