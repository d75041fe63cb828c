# Messages that carry account rows between entries and control members.
@0xd1a6c3b7f0e94a14;

struct Message {
  union {
    accountRows @0 :AccountRows;
    accountsKept @1 :AccountsKept;
    rowBatch @2 :RowBatch;
    fetchPeriod @3 :FetchPeriod;
    periodContent @4 :PeriodContent;
  }
}

struct AccountRows {
  sender @0 :Text;
  sequence @1 :UInt64;
  settled @2 :Bool;
  batches @3 :List(Data);
  relay @4 :Bool;
}

struct AccountsKept {
  holder @0 :Text;
  holderIncarnation @1 :UInt64;
  kept @2 :Bool;
  detail @3 :Text;
}

# Never sent on its own: each element of AccountRows.batches is a compressed RowBatch.
struct RowBatch {
  entry @0 :Text;
  incarnation @1 :UInt64;
  names @2 :Text;
  layouts @3 :List(UInt32);
  heads @4 :Data;
  values @5 :Data;
  histograms @6 :List(Data);
  histogramHeads @7 :List(UInt64);
}

struct FetchPeriod { period @0 :Text; }
struct PeriodContent { period @0 :Text; digest @1 :Text; content @2 :Data; }
