@0xb7c2d9e4f1a05836;
# Transfer of weights between agents.

interface Weights {
  # Empty where the manifest is not known.
  manifest @0 (digest :Text) -> (payload :Data);
  # Which chunks of a manifest are held, and which are on their way from
  # outside: one bit a chunk, lowest bit first. Answers once the sequence
  # differs from what the asker knows, or after a while.
  holdings @1 (manifest :Text, known :UInt64)
    -> (held :Data, coming :Data, sequence :UInt64);
  # Empty where the chunk is not held or the cap is reached.
  read @2 (digest :Text, offset :UInt64, length :UInt32) -> (payload :Data);
  standing @3 () -> (phase :Text, revision :UInt64);
}
