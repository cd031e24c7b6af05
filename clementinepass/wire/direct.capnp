@0xb7c1d52e9f30a846;
# Messages between entries and agents on the direct path. Each fits into a
# datagram; records of the store, which may be long, go over a connection.

struct Member {
  ip @0 :Text;
  boot @1 :UInt64;
  heartbeat @2 :UInt32;
  phase @3 :UInt8;
  callers @4 :Text;
  domain @5 :Text;
  region @6 :Text;
}

struct Digest {
  # What changes of a member from heartbeat to heartbeat; its IPv4 number.
  ip @0 :UInt32;
  boot @1 :UInt64;
  heartbeat @2 :UInt32;
  phase @3 :UInt8;
}

struct Load {
  # Requests of the sender at one endpoint.
  endpoint @0 :Text;
  inFlight @1 :UInt16;
}

struct Follow {
  # How far the sender has read the store.
  operatorOffset @0 :UInt64;
  endpointsOffset @1 :UInt64;
  # The version of the configuration in force at the sender; 0 for none.
  configuration @2 :UInt64;
  # Until the sender's reads end that wait for changes; 0 where none does.
  operatorEndsMs @3 :UInt32;
  endpointsEndsMs @4 :UInt32;
}

struct NamedVersion {
  # A version of weights and how long ago its naming was acknowledged.
  model @0 :Text;
  version @1 :UInt32;
  ageMs @2 :UInt32;
  # Whether the age is a guess: the sender began after the naming.
  guessed @3 :Bool;
}

struct Held {
  # What an engine has loaded, as its agent read it.
  address @0 :Text;
  version @1 :UInt32;
  first @2 :UInt16;
  end @3 :UInt16;
  # Whether what comes to its machine takes several times as long as usual.
  congested @4 :Bool;
  # When the engine started, in milliseconds of Unix time; 0 if untold.
  started @5 :UInt64;
}

struct EngineLoad {
  # Requests that the engine beside the sender runs, and that wait there.
  active @0 :UInt16;
  queued @1 :UInt16;
  started @2 :UInt64;
}

struct Heartbeat {
  sender @0 :Member;
  members @1 :List(Member);
  loads @2 :List(Load);
  follow @3 :Follow;
  versions @4 :List(NamedVersion);
  held @5 :List(Held);
  # Whether the sender uses the engine of the agent that gets this, and is to
  # be told of its load.
  wantsLoad @6 :Bool;
  digests @7 :List(Digest);
  # Whether the sender is to be told at once who gets this.
  asks @8 :Bool;
  # Alone in its message.
  load @9 :EngineLoad;
}

struct Record {
  key @0 :Text;
  offset @1 :UInt64;
  payload @2 :Data;
  removed @3 :Bool;
}

struct Records {
  records @0 :List(Record);
  nextOffset @1 :UInt64;
  # Whether an outage of the store ended just before they were read, and how
  # long ago.
  afterOutage @2 :Bool;
  # Whether these are the records of all keys that there were.
  snapshot @3 :Bool;
  outageAgeMs @4 :UInt32;
}
