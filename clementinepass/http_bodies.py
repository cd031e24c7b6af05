"""Reading the bodies of HTTP answers, whole or not at all."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    import urllib3

_READ_BYTES = 65536
#: A piece of a chunk is awaited whole, so that small pieces keep the moments
#: at which a reader looks at the clock close together.
_CHUNK_READ_BYTES = 4096


def has_end(response: urllib3.BaseHTTPResponse) -> bool:
    """Tell whether a body's end can be told from a lost connection.

    A body that ends with its connection looks whole when the connection is
    cut in its middle; only a length or a last chunk proves the end.
    """
    return response.chunked or response.length_remaining is not None


def iter_body(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield a body piece by piece as it arrives.

    :raises urllib3.exceptions.HTTPError: the body was cut short, or fell
        silent.
    """
    if response.chunked:
        yield from response.read_chunked(
            _CHUNK_READ_BYTES, decode_content=False
        )
        return
    while piece := response.read1(_READ_BYTES, decode_content=False):
        yield piece
