"""Read bodies of HTTP answers such that truncation is detected."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    import urllib3

_READ_BYTES = 65536
#: Reading from a chunk blocks until this many bytes arrived. A small number
#: makes readers check their deadlines often.
_CHUNK_READ_BYTES = 4096


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
