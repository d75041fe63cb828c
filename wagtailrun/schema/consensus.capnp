# Consensus messages between control members, and the records of their files.
# wagtailrun/consensus/messages.py describes the fields.
@0xd1a6c3b7f0e94a15;

struct Message {
  union {
    appendEntries @0 :AppendEntries;
    appendReply @1 :AppendReply;
    voteRequest @2 :VoteRequest;
    voteReply @3 :VoteReply;
    snapshotPiece @4 :SnapshotPiece;
    pieceReply @5 :PieceReply;
    join @6 :Join;
    joinReply @7 :JoinReply;
    entryBatch @8 :EntryBatch;
    memberRecord @9 :MemberRecord;
    snapshotHeader @10 :SnapshotHeader;
    configuration @11 :Configuration;
    readIndex @12 :ReadIndex;
    readIndexReply @13 :ReadIndexReply;
    handover @14 :Handover;
    foundingQuery @15 :FoundingQuery;
    foundingPrepare @16 :FoundingPrepare;
    foundingAccept @17 :FoundingAccept;
    foundingReply @18 :FoundingReply;
    foundingDecision @19 :FoundingDecision;
    foundingOrder @20 :FoundingOrder;
    leadershipQuery @21 :LeadershipQuery;
    leadershipReply @22 :LeadershipReply;
  }
}

struct Entry { index @0 :UInt64; term @1 :UInt64; kind @2 :UInt8; data @3 :Data; }
struct EntryBatch { entries @0 :List(Entry); }
struct MemberInfo { identity @0 :Text; address @1 :Text; voter @2 :Bool; }
struct Configuration { members @0 :List(MemberInfo); }

struct MemberRecord {
  identity @0 :Text;
  cluster @1 :Text;
  term @2 :UInt64;
  vote @3 :Text;
  founding @4 :FoundingRecord;
}

struct SnapshotHeader {
  index @0 :UInt64;
  term @1 :UInt64;
  commands @2 :UInt64;
  configuration @3 :Configuration;
  size @4 :UInt64;
  checksum @5 :UInt64;
}

struct AppendEntries {
  cluster @0 :Text;
  recipient @1 :Text;
  term @2 :UInt64;
  leader @3 :Text;
  leaderAddress @4 :Text;
  previousIndex @5 :UInt64;
  previousTerm @6 :UInt64;
  commitIndex @7 :UInt64;
  entries @8 :List(Entry);
}

struct AppendReply {
  sender @0 :Text;
  term @1 :UInt64;
  success @2 :Bool;
  lastIndex @3 :UInt64;
}

struct VoteRequest {
  cluster @0 :Text;
  recipient @1 :Text;
  term @2 :UInt64;
  candidate @3 :Text;
  lastIndex @4 :UInt64;
  lastTerm @5 :UInt64;
  preVote @6 :Bool;
  handover @7 :Bool;
  voters @8 :List(Text);
}

struct LeadershipQuery { cluster @0 :Text; recipient @1 :Text; sender @2 :Text; }

struct LeadershipReply {
  sender @0 :Text;
  leads @1 :Bool;
  lastTerm @2 :UInt64;
  lastIndex @3 :UInt64;
}

struct VoteReply { sender @0 :Text; term @1 :UInt64; granted @2 :Bool; }

struct SnapshotPiece {
  cluster @0 :Text;
  recipient @1 :Text;
  term @2 :UInt64;
  leader @3 :Text;
  leaderAddress @4 :Text;
  header @5 :SnapshotHeader;
  offset @6 :UInt64;
  data @7 :Data;
}

struct PieceReply { sender @0 :Text; term @1 :UInt64; nextOffset @2 :UInt64; }
struct Join { identity @0 :Text; address @1 :Text; }
struct JoinReply { identity @0 :Text; cluster @1 :Text; peers @2 :List(Text); }
struct ReadIndex { sender @0 :Text; }
struct ReadIndexReply { valid @0 :Bool; index @1 :UInt64; }
struct Handover { cluster @0 :Text; recipient @1 :Text; term @2 :UInt64; }

struct FoundingBallot { round @0 :UInt64; proposer @1 :Text; }
struct FoundingValue { cluster @0 :Text; configuration @1 :Configuration; }

struct FoundingRecord {
  seeds @0 :List(Text);
  byMajority @1 :Bool;
  promised @2 :FoundingBallot;
  accepted @3 :FoundingBallot;
  value @4 :FoundingValue;
}

struct FoundingQuery {
  sender @0 :Text;
  cluster @1 :Text;
  leaderAddress @2 :Text;
}

struct FoundingOrder { recipient @0 :Text; seeds @1 :List(Text); }

struct FoundingPrepare {
  recipient @0 :Text;
  seeds @1 :List(Text);
  ballot @2 :FoundingBallot;
}

struct FoundingAccept {
  recipient @0 :Text;
  seeds @1 :List(Text);
  ballot @2 :FoundingBallot;
  value @3 :FoundingValue;
}

struct FoundingReply {
  sender @0 :Text;
  cluster @1 :Text;
  record @2 :FoundingRecord;
}

struct FoundingDecision { recipient @0 :Text; value @1 :FoundingValue; }
