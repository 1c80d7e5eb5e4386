@0x9c1f3a5b7d2e4f60;

# Gossip, over UDP.

struct Datagram {
  origin @0 :Text;
  zone @1 :Text;
  entries @2 :List(Entry);
  digests @3 :List(Digest);
  step @4 :UInt8;
}

struct Entry {
  origin @0 :Text;
  incarnation @1 :UInt64;
  topic @2 :UInt16;
  sequence @3 :UInt32;
  ageMs @4 :UInt32;
  value @5 :Data;
}

struct Digest {
  origin @0 :Text;
  incarnation @1 :UInt64;
  heartbeat @2 :UInt32;
  ageMs @3 :UInt32;
  sequences @4 :List(UInt32);  # one per topic
}

struct Member {
  zone @0 :Text;
  region @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  rulesVersion @4 :UInt64;
  rulesSinceMs @5 :UInt64;  # Unix time
  isReady @6 :Bool;
  isLeaving @7 :Bool;
  storeEra @8 :UInt32;
  relayPort @9 :UInt16;
  isCutOff @10 :Bool;  # the router reaches no upstream
  features @11 :UInt64;  # bits of what the router understands
  evacuations @12 :List(EvacuationMark);
}

struct EvacuationMark {
  zone @0 :Text;
  era @1 :UInt32;
  revision @2 :UInt64;
  isInForce @3 :Bool;
}

struct Names {
  names @0 :List(Text);
}

struct LeavingMarks {
  marks @0 :List(LeavingMark);
}

struct LeavingMark {
  instance @0 :Text;
  noticeMs @1 :UInt32;  # remaining time when the mark was published
}

struct Loads {
  loads @0 :List(Load);
}

struct Load {
  upstream @0 :Text;
  inFlight @1 :UInt32;
}

struct Deaths {
  deaths @0 :List(Death);
  cleared @1 :List(Cleared);
}

struct Cleared {
  subject @0 :UInt64;
  ageMs @1 :UInt32;
}

struct Death {
  upstream @0 :Text;
  zone @1 :Text;
  fingerprints @2 :List(UInt64);
  id @3 :UInt64;
  ageMs @4 :UInt32;
  parts @5 :List(UInt64);
}

struct Evidence {
  cells @0 :List(EvidenceCell);
  zone @1 :Text;  # zone whose routers' evidence is summed; empty for one router
}

struct EvidenceCell {
  service @0 :Text;
  version @1 :Text;
  route @2 :Text;
  workspace @3 :Text;
  loadBand @4 :UInt8;
  good @5 :UInt32;
  failed @6 :UInt32;
  latencies @7 :List(UInt32);  # counts by bucket
  move @8 :UInt32;
}

struct TrafficReport {
  used @0 :List(Counter);  # quota units by workspace since the process started
  prefill @1 :List(Counter);  # prompt tokens by service since the process started
  work @2 :List(UpstreamWork);
  tallies @3 :List(VersionTally);
  isUnfitForDuties @4 :Bool;  # the router is draining or can't reach the store
  isUrgent @5 :Bool;  # a quota is nearly used up
  holdsDuties @6 :Bool;  # the router holds the lease on the duties
  limits @7 :List(NamedLimit);
  speeds @8 :List(UpstreamSpeed);
  assigned @9 :List(Counter);  # work by service/workspace since the process started
  routeTallies @10 :List(RouteTally);
  rejected @11 :List(Counter);  # quota units by workspace, rejected by the quota
}

struct TrafficSum {
  used @0 :List(Counter);
  prefill @1 :List(Counter);
  work @2 :List(UpstreamWork);
  tallies @3 :List(VersionTally);
  zone @4 :Text;  # of the routers in the sum; empty for the fleet
  routers @5 :UInt32;
  silentRouters @6 :UInt32;
  dutyCandidates @7 :List(Text);
  included @8 :List(IncludedReport);  # in the order in which the sum is relayed
  isUrgent @9 :Bool;
  dutyHolders @10 :List(Text);
  limits @11 :List(NamedLimit);
  speeds @12 :List(UpstreamSpeed);
  assigned @13 :List(Counter);
  routeTallies @14 :List(RouteTally);
  rejected @15 :List(Counter);
}

struct UpstreamSpeed {
  upstream @0 :Text;  # name of its incarnation
  samples @1 :UInt32;
  logSum @2 :Float32;  # of the ratios of expected to measured time, decayed
  ageMs @3 :UInt32;  # since the last sample
}

struct NamedLimit {
  upstream @0 :Text;
  isLimited @1 :Bool;
  perS @2 :Float64;  # requests a second from all routers together
  ageMs @3 :UInt32;  # since the answer that named it
}

struct Counter {
  name @0 :Text;
  total @1 :Float64;
}

struct IncludedReport {
  router @0 :UInt64;
  sequence @1 :UInt32;
}

struct Usage {
  windows @0 :List(WindowCount);
  ended @1 :List(EndedUsage);  # that a router which stops knows of others
}

struct EndedUsage {
  process @0 :Text;
  windows @1 :List(WindowCount);
}

struct VersionTally {
  service @0 :Text;
  move @1 :UInt64;
  isTarget @2 :Bool;
  good @3 :UInt32;
  bad @4 :UInt32;
  failed @5 :UInt32;  # of the bad ones
}

struct RouteTally {
  tally @0 :VersionTally;
  route @1 :Text;
  isUnderLoad @2 :Bool;  # of answers while the target got a large share
}

struct WindowCount {
  window @0 :UInt64;
  workspace @1 :Text;
  began @2 :UInt32;  # requests that started to run in the window
}

struct UpstreamWork {
  upstream @0 :Text;
  running @1 :UInt32;
  prefill @2 :UInt32;  # prompt tokens of requests that have no first token yet
}

# Calls between routers, over TCP.

struct Call {
  id @0 :UInt32;
  acceptsDeflated @10 :Bool;  # of a large reply
  union {
    start @1 :Claim;
    finish @2 :Outcome;
    release @3 :Claim;
    fetch @4 :Fetch;
    keepStream @5 :StreamRecord;
    takeStream @6 :Text;
    reachUpstream @7 :Text;  # its id
    followStore @8 :FollowStore;
    reachIncarnation @9 :Incarnation;
  }
}

struct Fetch {
  name @0 :Text;
  version @1 :UInt64;  # version that the caller has
}

struct Incarnation {
  upstream @0 :Text;
  startedAt @1 :UInt64;  # Unix time in milliseconds
}

struct Claim {
  key @0 :Text;
  attempt @1 :Text;
  fingerprint @2 :UInt64;
}

struct Outcome {
  key @0 :Text;
  attempt @1 :Text;
  answer @2 :Answer;
}

struct Answer {
  status @0 :UInt16;
  contentType @1 :Text;
  hasBody @2 :Bool;
  body @3 :Text;
}

struct StreamRecord {
  requestId @0 :Text;
  service @1 :Text;
  workspace @2 :Text;
  body @3 :Data;
  events @4 :List(Data);
}

struct Reply {
  id @0 :UInt32;
  union {
    started @1 :Void;
    inFlight @2 :Text;
    finished @3 :Answer;
    keyMismatch @4 :Void;
    shardFull @5 :Void;
    recorded @6 :Void;
    unavailable @7 :Text;
    document @8 :Document;
    stream @9 :StreamRecord;
    nothing @10 :Void;
    reached @11 :Void;
    notReached @12 :Void;
    storeChanges @13 :StoreChanges;
    notSupported @14 :Void;
    deflated @15 :Data;  # a reply; only if the call accepts it
  }
}

struct Document {
  version @0 :UInt64;
  text @1 :Text;
}

struct FollowStore {
  kinds @0 :List(KnownKind);
  waitMs @1 :UInt32;  # for a change
}

struct KnownKind {
  kind @0 :Text;
  isKnown @1 :Bool;  # whether the caller has a list of the kind
  era @2 :UInt32;
  number @3 :UInt64;
}

struct StoreChanges {
  kinds @0 :List(KindChanges);
  heldMs @1 :UInt32;  # from the receipt of the call to the reply
}

struct KindChanges {
  kind @0 :Text;
  era @1 :UInt32;
  number @2 :UInt64;
  isComplete @3 :Bool;  # the objects are all that exist
  objects @4 :List(Text);  # JSON
  deleted @5 :List(Text);
  lapsed @6 :List(Text);  # deleted, perhaps only because of an outage
  ageMs @7 :UInt32;  # of the state, by the router's last contact with the store
}
