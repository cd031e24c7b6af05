"""Compress records of the store for peers.

A configuration is sent whole whenever a part of it changes. Its receiver has an
earlier one, the base, and needs only what differs from it.
"""

from __future__ import annotations

import typing
import zlib

from backports import zstd

from clementinepass import errors

if typing.TYPE_CHECKING:
    from clementinepass.http import messages

#: Names of the encodings in ``Accept-Encoding`` and ``Content-Encoding``.
ZSTD = b'zstd'
DEFLATE = b'deflate'
#: Header with the offset of the base. Of a request: the sender has the record.
#: Of a response: the body can be decompressed with this record only.
BASE_HEADER = b'Records-Base'
#: Most bytes of records, decompressed, that are accepted from a peer at once.
_MAX_RECORDS_BYTES = 16 * 1024 * 1024
_FASTEST_DEFLATE = 1
#: The window of 4 MB, as a power of two, holds the base and the new records.
_WINDOW_LOG = 22
_ZSTD_OPTIONS: dict[int, int] = {
    zstd.CompressionParameter.compression_level: 3,
    zstd.CompressionParameter.window_log: _WINDOW_LOG,
    zstd.CompressionParameter.checksum_flag: 1,
}
_STEP = 'read records'


def base_offset(headers: messages.Headers) -> int | None:
    """Return the offset of the base that a message names; ``None`` for none."""
    offset = headers.get(BASE_HEADER.lower())
    return int(offset) if offset is not None and offset.isdigit() else None


def deflate(body: bytes) -> bytes:
    """Return compressed bytes for peers that do not know the base."""
    return zlib.compress(body, _FASTEST_DEFLATE)


def compress(body: bytes, base: bytes = b'') -> bytes:
    """Return compressed bytes.

    :param base: a record that the receiver has; empty for none.
    """
    return zstd.compress(body, options=_ZSTD_OPTIONS, zstd_dict=_prefix(base))


def decompress(
    body: bytes, encoding: bytes, peer: str, base: bytes = b''
) -> bytes:
    """Return decompressed bytes.

    :param encoding: the ``Content-Encoding``; empty for uncompressed bytes.
    :param peer: the sender, for error messages.
    :raises MalformedMessageError: the body is corrupt, truncated or too long,
        or was compressed with another base.
    """
    if not encoding:
        return body
    decompressor = (
        zlib.decompressobj()
        if encoding == DEFLATE
        else zstd.ZstdDecompressor(zstd_dict=_prefix(base))
    )
    try:
        decompressed = decompressor.decompress(body, _MAX_RECORDS_BYTES)
    except (zlib.error, zstd.ZstdError) as error:
        raise errors.MalformedMessageError(
            str(error), step=_STEP, peer=peer
        ) from error
    if not decompressor.eof:
        raise errors.MalformedMessageError(
            f'{len(body)} compressed bytes are truncated or too long',
            step=_STEP,
            peer=peer,
        )
    return decompressed


def _prefix(base: bytes) -> tuple[zstd.ZstdDict, int] | None:
    return zstd.ZstdDict(base, is_raw=True).as_prefix if base else None
