# Commands of the registry, its results, and the questions that entries ask control members.
@0xd1a6c3b7f0e94a12;

struct Message {
  union {
    applyText @0 :ApplyText;
    textVerdict @1 :TextVerdict;
    openOrder @2 :OpenOrder;
    orderVerdict @3 :OrderVerdict;
    closeOrder @4 :CloseOrder;
    sweepOrders @5 :SweepOrders;
    swept @6 :Swept;
    watchText @7 :WatchText;
    textUpdate @8 :TextUpdate;
    notLeader @9 :NotLeader;
    unavailable @10 :Unavailable;
    findOrder @11 :FindOrder;
  }
}

struct ApplyText {
  changeId @0 :Text;
  baseRevision @1 :UInt64;
  operator @2 :Text;
  source @3 :Text;
  text @4 :Text;
  nowMs @5 :UInt64;
}

struct TextVerdict {
  accepted @0 :Bool;
  revision @1 :UInt64;
  detail @2 :Text;
}

struct OpenOrder {
  workspace @0 :Text;
  key @1 :Text;
  service @2 :Text;
  call @3 :Text;
  bodyDigest @4 :Text;
  entry @5 :Text;
  entryIncarnation @6 :UInt64;
  nowMs @7 :UInt64;
  deadlineMs @8 :UInt64;
  requestId @9 :Text;
}

struct OrderVerdict {
  state @0 :Text;
  attempt @1 :UInt32;
  verdict @2 :Text;
  status @3 :UInt32;
  body @4 :Data;
  retryAfterMs @5 :UInt64;
}

struct CloseOrder {
  workspace @0 :Text;
  key @1 :Text;
  attempt @2 :UInt32;
  verdict @3 :Text;
  status @4 :UInt32;
  body @5 :Data;
  nowMs @6 :UInt64;
  entry @7 :Text;
  entryIncarnation @8 :UInt64;
}

struct SweepOrders { nowMs @0 :UInt64; }
struct Swept { closed @0 :UInt32; expired @1 :UInt32; }
struct WatchText { revision @0 :UInt64; waitMs @1 :UInt32; }

struct TextUpdate {
  revision @0 :UInt64;
  baseRevision @1 :UInt64;
  difference @2 :Text;
  text @3 :Text;
}

struct NotLeader { leader @0 :Text; }
struct Unavailable { detail @0 :Text; mayHaveCommitted @1 :Bool; retryAfterMs @2 :UInt64; }
struct FindOrder { workspace @0 :Text; key @1 :Text; }
