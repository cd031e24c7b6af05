"""A worker crashes while it writes streams that end with their channels."""

import pathlib
import sys

from review.harness2 import leaving

sys.exit(leaving.play(pathlib.Path(__file__).parent, announces=False))
