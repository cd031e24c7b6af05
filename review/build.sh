#!/bin/sh
# Builds the stand-ins of all cases. They are plain Python without packages, so
# that there is nothing to make; this checks that they can be compiled.
cd "$(dirname "$0")" || exit 1
for file in *.py [0-9]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
