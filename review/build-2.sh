#!/bin/sh
# Builds the stand-ins of cases 4 to 8, the project's own too. All are Python
# modules without a build of their own; this checks that each can be imported.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root:$root/target/deps" exec python3 -c '
import review.cold_workers, review.consumer_channels, review.deadly_parts
import review.loopback_ports, review.part_workers, review.small_system
import review.store_link, standins.keyed_store
'
