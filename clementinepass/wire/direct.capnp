@0xb7c1d52e9f30a846;
# Messages between entries and agents on the direct path. A heartbeat fits into
# a datagram; records of the store, which may be long, are sent over HTTP.

struct Member {
  # An entry, as it describes itself.
  ip @0 :Text;
  boot @1 :UInt64;
  heartbeat @2 :UInt32;
  # 0 while it starts, 1 when it is ready, 2 while it drains.
  phase @3 :UInt8;
  callers @4 :Text;
  domain @5 :Text;
  region @6 :Text;
}

struct Digest {
  # The part of a member that changes from heartbeat to heartbeat. The IPv4
  # address is written as a number.
  ip @0 :UInt32;
  boot @1 :UInt64;
  heartbeat @2 :UInt32;
  phase @3 :UInt8;
}

struct Load {
  # The number of the sender's requests at one endpoint.
  endpoint @0 :Text;
  inFlight @1 :UInt16;
}

struct Follow {
  # The offsets from which the sender reads the store's topics next.
  operatorOffset @0 :UInt64;
  endpointsOffset @1 :UInt64;
  # The version of the configuration in force at the sender; 0 for none.
  configuration @2 :UInt64;
  # Milliseconds until the sender's pending reads end; 0 if none is pending.
  operatorEndsMs @3 :UInt32;
  endpointsEndsMs @4 :UInt32;
  # Milliseconds since the sender, or who reads for it, last heard from the
  # store about the operator's records; 0 if never.
  operatorContactMs @5 :UInt32;
}

struct StoreDistance {
  # The shortest time in which an entry of a region connected to the store.
  region @0 :Text;
  micros @1 :UInt32;
}

struct NamedVersion {
  # A desired version of weights, and the time since the store acknowledged it.
  model @0 :Text;
  version @1 :UInt32;
  ageMs @2 :UInt32;
  # Whether the age is an estimate, because the sender started after the
  # version was written.
  guessed @3 :Bool;
}

struct Held {
  # The weights that an engine has loaded, as its agent read them.
  address @0 :Text;
  version @1 :UInt32;
  # The first layer loaded, and the layer after the last one loaded.
  first @2 :UInt16;
  end @3 :UInt16;
  # Whether transfers to its machine take several times as long as usual.
  congested @4 :Bool;
  # When the engine started, in milliseconds of Unix time; 0 if unknown.
  started @5 :UInt64;
}

struct EngineLoad {
  # Requests that run or wait at the engine beside the sender.
  active @0 :UInt16;
  queued @1 :UInt16;
  # When the engine started, in milliseconds of Unix time; 0 if unknown.
  started @2 :UInt64;
  # Hundredths by which the engine is slower than usual; 0 if it is not.
  slowdown @3 :UInt16;
}

struct SlotMessage {
  # The sender's number of the request, or that of the entry that is answered.
  number @0 :UInt32;
  union {
    # An entry asks for a slot of the engine beside the receiving agent.
    query :group {
      urgency @1 :UInt8;
      # Milliseconds for which an answer in time is possible; 0 if it is not.
      timelyMs @2 :UInt32;
      # Milliseconds for which the request waits.
      waitMs @3 :UInt32;
    }
    # The sender offers a slot of its engine; when the engine started, in
    # milliseconds of Unix time, 0 if unknown.
    offer @4 :UInt64;
    # The sender does not use the slot that it was offered.
    return @5 :Void;
  }
}

struct Suspect {
  # A request that ran at an endpoint as it crashed: the digest by which it is
  # recognised, and the milliseconds from its sending to the crash. They stay
  # the same however often the message is passed on.
  fingerprint @0 :Data;
  leadMs @1 :UInt32;
}

struct Crash {
  # The start of the endpoint, and the milliseconds since the crash.
  id @0 :Text;
  ageMs @1 :UInt32;
  suspects @2 :List(Suspect);
}

struct Clearance {
  # A request that was answered after these crashes or shortly before them.
  fingerprint @0 :Data;
  crashes @1 :List(Text);
}

struct Prompt {
  # A request that had been sent to an endpoint and had not begun as it crashed:
  # the digest by which it is recognised, and digests of parts of its prompt.
  fingerprint @0 :Data;
  parts @1 :List(UInt64);
  # The ids of sets of more parts.
  sets @2 :List(UInt64);
}

struct PartCrash {
  # The start of the endpoint, and the milliseconds since the crash.
  id @0 :Text;
  ageMs @1 :UInt32;
  # The model or service that reads the prompts.
  target @2 :Text;
  prompts @3 :List(Prompt);
}

struct PartAnswer {
  # Requests of the target of a crash that the sender has answered.
  crash @0 :Text;
  # Whether they were answered shortly before the crash or later.
  recent @1 :Bool;
  # Their parts that are reported of the crash, and the ids of sets of more.
  parts @2 :List(UInt64);
  sets @3 :List(UInt64);
}

struct PartSet {
  # Digests of parts of prompts, and a digest of them all.
  id @0 :UInt64;
  parts @1 :List(UInt64);
}

struct EndpointLimit {
  # The limit of requests that an endpoint names in its answers.
  endpoint @0 :Text;
  # When the endpoint started, in milliseconds of Unix time; 0 if unknown.
  started @1 :UInt64;
  # Requests a second of all entries together.
  rate @2 :Float64;
  # Whether the limit has ended.
  ended @3 :Bool;
  # Milliseconds since the answer that said so.
  ageMs @4 :UInt32;
}

struct Heartbeat {
  sender @0 :Member;
  members @1 :List(Member);
  loads @2 :List(Load);
  follow @3 :Follow;
  versions @4 :List(NamedVersion);
  held @5 :List(Held);
  # Whether the sender subscribes to the load of the receiving agent's engine.
  wantsLoad @6 :Bool;
  digests @7 :List(Digest);
  # Whether the receiver must introduce itself to the sender at once.
  asks @8 :Bool;
  # If this field is set, the message carries no other field.
  load @9 :EngineLoad;
  crashes @10 :List(Crash);
  clearances @11 :List(Clearance);
  limits @12 :List(EndpointLimit);
  distances @13 :List(StoreDistance);
  # If this field is set, the message carries no other field.
  slot @14 :SlotMessage;
  partCrashes @15 :List(PartCrash);
  partAnswers @16 :List(PartAnswer);
  # If one of these fields is set, the message carries no other field: sets of
  # parts that the sender asks for, and those that it was asked for.
  wantedSets @17 :List(UInt64);
  partSets @18 :List(PartSet);
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
  # Whether the records were read just after an outage of the store.
  afterOutage @2 :Bool;
  # Whether these are the records of all keys.
  snapshot @3 :Bool;
  # Milliseconds since the end of that outage.
  outageAgeMs @4 :UInt32;
}
