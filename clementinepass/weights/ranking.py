"""Rendezvous hashing: an order of members that all work out alike."""

from __future__ import annotations

import itertools
import typing

import xxhash

from clementinepass.weights import protocols


def weight(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``; the highest goes first."""
    return xxhash.xxh3_64_intdigest(f'{key}\n{name}'.encode())


def ranked(key: str, names: typing.Iterable[str]) -> list[str]:
    """Return ``names`` in their order for ``key``."""
    return sorted(names, key=lambda name: (-weight(key, name), name))


def rank(key: str, own: str, names: typing.Iterable[str]) -> int:
    """Return the place of ``own`` among ``names``, from 0."""
    mine = weight(key, own)
    return sum(weight(key, name) > mine for name in names if name != own)


def neighbours(
    own: protocols.Member,
    members: typing.Iterable[protocols.Member],
    near: int,
    far: int,
) -> list[protocols.Member]:
    """Choose whom to watch: a bounded number, whatever the fleet's size.

    Each member's choice is a random one, so that the choices of all together
    form a connected graph of small diameter. Those of other failure domains
    are taken from the domains in turn.
    """
    others = [one for one in members if one.id != own.id and one.alive]
    others.sort(key=lambda one: (-weight(own.id, one.id), one.id))
    inside = [one for one in others if one.failure_domain == own.failure_domain]
    outside = [
        one for one in others if one.failure_domain != own.failure_domain
    ]
    return inside[:near] + _by_turns(outside)[:far]


def _by_turns(
    members: typing.Sequence[protocols.Member],
) -> list[protocols.Member]:
    queues: dict[str, list[protocols.Member]] = {}
    for member in members:
        queues.setdefault(member.failure_domain, []).append(member)
    rounds = itertools.zip_longest(*queues.values())
    taken = itertools.chain.from_iterable(rounds)
    return [one for one in taken if one is not None]
