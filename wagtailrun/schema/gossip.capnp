# Gossip messages between entries: target membership and fleet configuration.
@0xd1a6c3b7f0e94a13;

struct Message {
  union {
    gossipExchange @0 :GossipExchange;
    gossipRows @1 :GossipRows;
    gossipTaken @2 :GossipTaken;
    gossipProbe @3 :GossipProbe;
    gossipAsk @4 :GossipAsk;
    gossipText @5 :GossipText;
    gossipFetch @6 :GossipFetch;
    gossipStatus @7 :GossipStatus;
    gossipReport @8 :GossipReport;
    gossipGrowth @9 :GossipGrowth;
    gossipHeard @10 :GossipHeard;
    listTargets @11 :ListTargets;
  }
}

struct Address { host @0 :Text; port @1 :UInt16; }

struct TargetRow {
  name @0 :Text;
  address @1 :Address;
  service @2 :Text;
  dataCentre @3 :Text;
  capacity @4 :UInt32;
  incarnation @5 :UInt64;
  sequence @6 :UInt64;
  running @7 :UInt32;
  queued @8 :UInt32;
  leaving @9 :Bool;
  role @10 :Text;
  reportAgeMs @11 :UInt32;
  cacheFirst @12 :UInt64;
  cacheLast @13 :UInt64;
  cachePrefixes @14 :List(Text);
  checksFencing @15 :Bool;
  silent @16 :Bool;
  softwareVersion @17 :Text;
  draining @18 :Bool;
}

struct AgedRow { row @0 :TargetRow; ageMs @1 :UInt64; }

struct EntryRow {
  name @0 :Text;
  address @1 :Address;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt32;
  health @5 :UInt8;
  term @6 :UInt64;
  revision @7 :UInt64;
}

struct Marks {
  incarnation @0 :UInt64;
  targets @1 :UInt64;
  growth @2 :UInt64;
  entries @3 :UInt64;
  confirmed @4 :UInt64;
}

struct GossipExchange {
  sender @0 :EntryRow;
  seen @1 :Marks;
  sent @2 :Marks;
  targets @3 :List(AgedRow);
  growth @4 :Data;
  entries @5 :List(EntryRow);
  confirmed @6 :Data;
  hook @7 :Data;
  targetsDigest @8 :UInt64;
  entriesDigest @9 :UInt64;
  pathHints @10 :List(PathHint);
}

struct PathHint { target @0 :Text; dataCentre @1 :Text; ageMs @2 :Int64; }

struct GossipRows {
  targets @0 :List(AgedRow);
  growth @1 :Data;
  entries @2 :List(EntryRow);
  members @3 :List(Text);
}

struct GossipGrowth { growth @0 :Data; }
struct GossipHeard {}
struct GossipTaken { term @0 :UInt64; revision @1 :UInt64; alive @2 :Bool; }
struct GossipProbe { address @0 :Address; }
struct GossipAsk { names @0 :List(Text); }

struct GossipText {
  sender @0 :EntryRow;
  term @1 :UInt64;
  revision @2 :UInt64;
  baseTerm @3 :UInt64;
  baseRevision @4 :UInt64;
  difference @5 :Text;
  document @6 :Text;
  members @7 :List(Text);
}

struct GossipFetch { term @0 :UInt64; revision @1 :UInt64; whole @2 :Bool; }
struct GossipStatus { asker @0 :Text; }

struct GossipReport {
  sender @0 :EntryRow;
  entries @1 :List(EntryRow);
  waiting @2 :List(Text);
  isolated @3 :Bool;
  unconfirmed @4 :Bool;
}

struct ListTargets { asker @0 :Text; }
