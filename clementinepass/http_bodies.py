"""Read HTTP answers such that truncation is detected."""

from __future__ import annotations

import http.client
import typing

import urllib3.connection

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    import urllib3

_READ_BYTES = 65536
#: Reading from a chunk blocks until this many bytes arrived. A small number
#: makes readers check their deadlines often.
_CHUNK_READ_BYTES = 4096


class _HeadLines:
    """The lines of a head; fails where the connection ends in one.

    The standard library takes the end of the connection for the end of the
    head.

    :param stream: the bytes of the connection.
    """

    __slots__ = ('_stream',)

    def __init__(self, stream: typing.BinaryIO) -> None:
        self._stream = stream

    def readline(self, limit: int = -1) -> bytes:
        """Return a line, or its first bytes if it is longer than the limit.

        :raises RemoteDisconnected: the connection ended before its end.
        """
        line = self._stream.readline(limit)
        if line.endswith(b'\n') or len(line) == limit:
            return line
        raise http.client.RemoteDisconnected('the answer ends inside its head')

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()


class _Response(http.client.HTTPResponse):
    """An answer whose head must be whole."""

    fp: typing.Any

    def begin(self) -> None:
        """Read the head.

        :raises RemoteDisconnected: the connection ended inside the head.
        """
        stream = self.fp
        self.fp = _HeadLines(stream)
        try:
            super().begin()
        finally:
            # The library sets it to None when it has closed the stream.
            if self.fp is not None:
                self.fp = stream


class Connection(urllib3.connection.HTTPConnection):
    """A connection that takes no answer whose head is cut off."""

    response_class = _Response


def has_detectable_end(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether a truncated body can be told from a complete one.

    A body that ends with its connection looks complete when the connection is
    lost in its middle; only a length or a last chunk proves the end.
    """
    return response.chunked or response.length_remaining is not None


def iter_body(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield parts of a body as they arrive.

    :raises urllib3.exceptions.HTTPError: the body was truncated, or no more
        bytes arrived within the read timeout.
    """
    if response.chunked:
        yield from response.read_chunked(
            _CHUNK_READ_BYTES, decode_content=False
        )
        return
    while part := response.read1(_READ_BYTES, decode_content=False):
        yield part
