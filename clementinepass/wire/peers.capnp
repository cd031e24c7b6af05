@0xd4a0a3a1c1f7e5b2;
# Protocol between entries and agents, and among entries. Times are in
# milliseconds.

using Weights = import "weights.capnp";

struct Peer {
  id @0 :Text;
  # Increases with each start of the process, so that peers detect a restart.
  incarnation @1 :UInt64;
  failureDomain @2 :Text;
}

enum Phase {
  starting @0;
  serving @1;
  draining @2;
}

struct AgentState {
  # Increases with each change that must be sent to watchers at once.
  sequence @0 :UInt64;
  phase @1 :Phase;
  kind @2 :Text;
  serves @3 :Text;
  version @4 :Text;
  running @5 :UInt32;
  capacity @6 :UInt32;
  revision @7 :UInt64;
  incarnation @8 :UInt64;
  wanted @9 :Text;
  chunksHeld @10 :UInt32;
  chunksWanted @11 :UInt32;
  trouble @12 :Text;
  bytesOrigin @13 :UInt64;
  bytesPeers @14 :UInt64;
  bytesStore @15 :UInt64;
}

struct Dispatch {
  requestId @0 :Text;
  attempt @1 :UInt32;
  team @2 :Text;
  target @3 :Text;
  version @4 :Text;
  method @5 :Text;
  path @6 :Text;
  contentType @7 :Text;
  body @8 :Data;
  remaining @9 :UInt32;
  stream @10 :Bool;
  priority @11 :Int32;
  # Unix time after which the gate must not admit the attempt.
  admitBefore @12 :UInt64;
  # Whether the request was in flight when an endpoint died.
  suspect @13 :Bool;
}

struct Verdict {
  accepted @0 :Bool;
  reason @1 :Text;
  retryAfter @2 :UInt32;
}

enum FrameKind {
  head @0;
  part @1;
  end @2;
  failed @3;
}

struct Frame {
  requestId @0 :Text;
  attempt @1 :UInt32;
  # Contiguous from 0 for each attempt.
  sequence @2 :UInt64;
  kind @3 :FrameKind;
  payload @4 :Data;
  status @5 :UInt16;
  # Of a failed frame: whether the request was executed (notRun, ran,
  # mayHaveRun).
  execution @6 :Text;
}

interface FrameSink {
  push @0 (frames :List(Frame)) -> ();
}

interface Session {
  dispatch @0 (dispatch :Dispatch) -> (verdict :Verdict);
  # The state is omitted if its sequence equals known; running is always set.
  watch @1 (known :UInt64) -> (state :AgentState, running :UInt32);
  cancel @2 (requestId :Text, attempt :UInt32) -> ();
  resume @3 (requestId :Text, attempt :UInt32, next :UInt64) -> (verdict :Verdict);
  configure @4 (revision :UInt64, state :Data) -> (revision :UInt64);
}

interface Process {
  # Same as SIGTERM: accept no new requests, finish the running ones and exit.
  drain @0 () -> ();
}

interface Agent extends(Process) {
  attach @0 (peer :Peer, sink :FrameSink) -> (session :Session);
  weights @1 () -> (weights :Weights.Weights);
}

struct Amount {
  entry @0 :Text;
  slots @1 :Float64;
}

# An entry's report to its peers on its share of a team's promise on one target.
struct ShareReport {
  team @0 :Text;
  target @1 :Text;
  epoch @2 :Text;
  demand @3 :Float64;
  held @4 :Float64;
  given @5 :List(Amount);
  received @6 :List(Amount);
}

struct EntryState {
  # Increases with each change that must be sent to watchers at once.
  sequence @0 :UInt64;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  revision @3 :UInt64;
  shares @4 :List(ShareReport);
}

interface Entry extends(Process) {
  # Returns an empty state if no revision newer than known is in force here.
  configuration @0 (known :UInt64) -> (revision :UInt64, state :Data);
  watch @1 (known :UInt64) -> (state :EntryState);
}
