#!/bin/sh
# Build the stand-ins that the scripts of this review start. All are Python
# modules: this compiles them, and fails if one of them cannot be imported.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root:$root/target/deps" exec python3 -c '
from review.harness2 import cold, consumers, deadly, link, ports, system, workers
from standins import keyed_store
'
