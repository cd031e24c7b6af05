"""Limits on the requests of callers."""

from __future__ import annotations


class Bounds:
    """Limits on the size and duration of callers' requests.

    :param header_bytes: maximum size of a request's line and headers.
    :param body_bytes: maximum size of a request's body.
    :param header_seconds: maximum time from the first byte of a request to its
        last header.
    :param idle_seconds: time for which a connection without a request is kept.
    """

    __slots__ = ('body_bytes', 'header_bytes', 'header_seconds', 'idle_seconds')

    def __init__(
        self,
        header_bytes: int = 16384,
        body_bytes: int = 4194304,
        header_seconds: float = 5,
        idle_seconds: float = 30,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_seconds = header_seconds
        self.idle_seconds = idle_seconds
