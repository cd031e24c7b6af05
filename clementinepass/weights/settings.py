"""Settings of weights, with the defaults and what they are sized for."""

from __future__ import annotations

import msgspec

_MEBIBYTE = 1024 * 1024


class WeightSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator may set; rates in bytes a second, times in seconds."""

    #: Memory for chunks; a version that is larger is refused.
    memory_limit: int = 1024 * _MEBIBYTE
    #: What may leave this instance for other agents; 0 for no limit.
    upload_rate: float = 0
    #: What may arrive here from other agents; 0 for no limit.
    download_rate: float = 0
    #: What all agents together may read from the origin; 0 for no limit.
    origin_rate: float = 0
    #: The share of ``upload_rate`` used while requests are in progress.
    yield_share: float = 0.9
    #: The most that one call between agents carries.
    slice_bytes: int = 256 * 1024
    #: Chunks on their way from peers at once.
    downloads: int = 16
    #: Chunks on their way from one peer at once; more with few peers.
    downloads_each: int = 2
    #: Chunks on their way from the origin at once.
    origin_reads: int = 2
    #: Watched peers of the own failure domain.
    near: int = 12
    #: Watched peers of other failure domains.
    far: int = 6
    #: A call between agents without an answer for so long has stalled.
    stall_timeout: float = 3
    #: How long a peer may hold back an unchanged answer about holdings.
    hold: float = 1
    #: Changes of holdings are gathered for so long before they are told.
    gather: float = 0.2
    #: How long to wait for others before doing their part oneself.
    patience: float = 2
    #: How long a sender of a corrupt chunk is not asked.
    distrust: float = 60
    #: Between looks at the members and at the replica before in the wave.
    poll: float = 0.5
    #: Between two readings of what the engine serves.
    read_back: float = 2
    #: How long the wave waits for a replica that is loading or stuck.
    wave_patience: float = 30
    #: The first wait after a failure; it doubles up to ``retry_limit``.
    retry: float = 0.5
    retry_limit: float = 10
