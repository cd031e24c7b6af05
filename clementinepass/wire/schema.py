"""Cap'n Proto schemas of the protocols between processes."""

from __future__ import annotations

import pathlib

import capnp

capnp.remove_import_hook()

_FOLDER = pathlib.Path(__file__).parent

#: Protocol between entries and agents, and among entries.
peers = capnp.load(str(_FOLDER / 'peers.capnp'))
#: Protocol for the transfer of weights between agents.
weights = capnp.load(str(_FOLDER / 'weights.capnp'))
