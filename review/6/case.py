"""The part that crashes workers stands behind many others in the prompt."""

import pathlib
import sys

from review.harness2 import deadly

PLAN = deadly.Plan(parts=39, position=35, seconds=30, gap=0.5, burst=1)

sys.exit(deadly.play(PLAN, pathlib.Path(__file__).parent))
