# What entries learn from control members, and control members from each other.
@0xd1a6c3b7f0e94a17;

using Gossip = import "gossip.capnp";

struct Message {
  union {
    pollNews @0 :PollNews;
    news @1 :News;
    shareRows @2 :ShareRows;
    rowsTaken @3 :RowsTaken;
  }
}

struct NewsMarks {
  epoch @0 :UInt64;
  targets @1 :UInt64;
  entries @2 :UInt64;
  revision @3 :UInt64;
}

struct PollNews {
  entry @0 :Gossip.EntryRow;
  known @1 :NewsMarks;
  waitMs @2 :UInt32;
}

struct News {
  marks @0 :NewsMarks;
  text @1 :Text;
  confirmed @2 :Bool;
  targets @3 :List(Gossip.AgedRow);
  entries @4 :List(Gossip.EntryRow);
  members @5 :List(Text);
}

struct AgedEntry { row @0 :Gossip.EntryRow; ageMs @1 :UInt64; }

struct ShareRows {
  sender @0 :Text;
  targets @1 :List(Gossip.AgedRow);
  entries @2 :List(AgedEntry);
}

struct RowsTaken { epoch @0 :UInt64; }
