"""The part that crashes workers stands behind many others in the prompt."""

import os
import pathlib
import sys

from review import deadly_parts

PLAN = deadly_parts.Plan(parts=39, position=35, seconds=30, gap=0.5, burst=1)
#: With TROUBLE=0 the same requests are sent, and the part crashes nobody.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
FOLDER = pathlib.Path(__file__).parent

sys.exit(deadly_parts.play(PLAN, FOLDER, is_troubled=IS_TROUBLED))
