"""Configuration of the documentation build."""

from __future__ import annotations

import pathlib
import tomllib

_PROJECT_FILE = pathlib.Path(__file__).parent.parent / 'pyproject.toml'

project = 'clementinepass'
release = tomllib.loads(_PROJECT_FILE.read_text())['project']['version']
extensions = ['myst_parser']
exclude_patterns = ['_build']
html_theme = 'alabaster'
#: Headings down to this level can be linked to.
myst_heading_anchors = 3
