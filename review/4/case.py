"""Deadly and sound requests come over kept channels to different entries."""

import pathlib
import sys

from review.harness2 import deadly

PLAN = deadly.Plan(
    parts=3, position=2, seconds=30, gap=1, burst=1, is_apart=True
)

sys.exit(deadly.play(PLAN, pathlib.Path(__file__).parent))
