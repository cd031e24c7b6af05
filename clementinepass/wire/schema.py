"""The Cap'n Proto schemas, loaded once."""

from __future__ import annotations

import pathlib

import capnp

capnp.remove_import_hook()

_FOLDER = pathlib.Path(__file__).parent

#: The protocol between entries and agents.
peers = capnp.load(str(_FOLDER / 'peers.capnp'))
#: The protocol for weights between agents.
weights = capnp.load(str(_FOLDER / 'weights.capnp'))
