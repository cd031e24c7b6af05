@0xb7c2d9e4f1a05836;
# Transfer of weights between agents.

interface Weights {
  # The payload is empty if the manifest is unknown.
  manifest @0 (digest :Text) -> (payload :Data);
  # Which chunks of a manifest are stored, and which are being fetched from
  # the origin or another failure domain: one bit per chunk, lowest bit first.
  # A long poll: returns once the sequence differs from known, or after a
  # timeout.
  holdings @1 (manifest :Text, known :UInt64)
    -> (held :Data, coming :Data, sequence :UInt64);
  # The payload is empty if the chunk is not stored or the upload limit is
  # reached.
  read @2 (digest :Text, offset :UInt64, length :UInt32) -> (payload :Data);
  # The phase of the local replica, and the configuration revision of the
  # version that it is to serve.
  standing @3 () -> (phase :Text, revision :UInt64);
}
