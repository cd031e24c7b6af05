@0xb7c2d9e4f1a05836;
# Transfer of weights between agents.

interface Weights {
  # Which chunks of a manifest are held: one bit a chunk, lowest bit first.
  holdings @0 (manifest :Text) -> (bitmap :Data);
  # Returns an empty payload where the chunk is not held or the cap is reached.
  read @1 (digest :Text) -> (payload :Data, busy :Bool);
}
