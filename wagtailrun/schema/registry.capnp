# Registry commands and queries that are sent to control members, and their replies.
# wagtailrun/registry/messages.py describes the fields. "Text" is the source of the fleet
# configuration.
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
    grantController @12 :GrantController;
    controllerGranted @13 :ControllerGranted;
    putEngineOrder @14 :PutEngineOrder;
    closeEngineOrder @15 :CloseEngineOrder;
    engineOrderVerdict @16 :EngineOrderVerdict;
    closePeriod @17 :ClosePeriod;
    periodVerdict @18 :PeriodVerdict;
    recordMembers @19 :RecordMembers;
    membersRecorded @20 :MembersRecorded;
    exportAudit @21 :ExportAudit;
    auditPage @22 :AuditPage;
    listOrders @23 :ListOrders;
    orderList @24 :OrderList;
    putText @25 :PutText;
  }
}

struct ApplyText {
  changeId @0 :Text;
  baseRevision @1 :UInt64;
  operator @2 :Text;
  source @3 :Text;
  text @4 :Text;
  nowMs @5 :UInt64;
  fault @6 :Text;
}

struct PutText {
  version @0 :UInt64;
  operator @1 :Text;
  source @2 :Text;
  text @3 :Text;
  nowMs @4 :UInt64;
}

struct TextVerdict {
  accepted @0 :Bool;
  revision @1 :UInt64;
  detail @2 :Text;
  difference @3 :Text;
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
  sender @10 :UInt64;
}

struct OrderVerdict {
  state @0 :Text;
  attempt @1 :UInt32;
  verdict @2 :Text;
  status @3 :UInt32;
  body @4 :Data;
  retryAfterMs @5 :UInt64;
  answerDigest @6 :Text;
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
  sender @9 :UInt64;
  answerDigest @10 :Text;
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

struct GrantController { member @0 :Text; nowMs @1 :UInt64; }
struct ControllerGranted { fence @0 :UInt64; previous @1 :Text; }

struct EngineOrder {
  orderId @0 :Text;
  target @1 :Text;
  service @2 :Text;
  dataCentre @3 :Text;
  kind @4 :Text;
  subject @5 :Text;
  fence @6 :UInt64;
  state @7 :Text;
  putMs @8 :UInt64;
  closedMs @9 :UInt64;
}

struct PutEngineOrder { order @0 :EngineOrder; fence @1 :UInt64; nowMs @2 :UInt64; }

struct CloseEngineOrder {
  orderId @0 :Text;
  fence @1 :UInt64;
  state @2 :Text;
  nowMs @3 :UInt64;
}

struct EngineOrderVerdict { recorded @0 :Bool; fence @1 :UInt64; detail @2 :Text; }

struct ClosePeriod {
  period @0 :Text;
  digest @1 :Text;
  totals @2 :Text;
  nowMs @3 :UInt64;
}

struct PeriodVerdict {
  period @0 :Text;
  digest @1 :Text;
  totals @2 :Text;
  closedMs @3 :UInt64;
  first @4 :Bool;
}

struct RecordMembers {
  operator @0 :Text;
  source @1 :Text;
  change @2 :Text;
  nowMs @3 :UInt64;
}

struct MembersRecorded { number @0 :UInt64; }

struct AuditRecord {
  number @0 :UInt64;
  atMs @1 :UInt64;
  kind @2 :Text;
  who @3 :Text;
  source @4 :Text;
  beforeRevision @5 :UInt64;
  afterRevision @6 :UInt64;
  verdict @7 :Text;
  subject @8 :Text;
  previous @9 :Text;
  digest @10 :Text;
}

struct ExportAudit { first @0 :UInt64; limit @1 :UInt32; }
struct AuditPage { records @0 :List(AuditRecord); head @1 :Text; newest @2 :UInt64; }
struct ListOrders { workspace @0 :Text; limit @1 :UInt32; }

struct OrderRow {
  workspace @0 :Text;
  key @1 :Text;
  service @2 :Text;
  call @3 :Text;
  attempt @4 :UInt32;
  verdict @5 :Text;
  entry @6 :Text;
  requestId @7 :Text;
  openedMs @8 :UInt64;
  deadlineMs @9 :UInt64;
}

struct OrderList { rows @0 :List(OrderRow); total @1 :UInt32; }
