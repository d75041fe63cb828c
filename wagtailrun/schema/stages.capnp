# Messages between the entry of a request and the entry that forms the stage calls.
# The classes of wagtailrun/stages/messages.py describe the fields. Names and numbers are
# part of the wire format.
@0xd1a6c3b7f0e94a18;

struct Message {
  union {
    runPieces @0 :RunPieces;
    piecesState @1 :PiecesState;
    cancelPieces @2 :CancelPieces;
    freeResults @3 :FreeResults;
    piecesDropped @4 :PiecesDropped;
    carryCall @5 :CarryCall;
    callMade @6 :CallMade;
    takeOver @7 :TakeOver;
    takenOver @8 :TakenOver;
  }
}

struct RunPieces {
  requestId @0 :Text;
  step @1 :UInt16;
  service @2 :Text;
  dataCentre @3 :Text;
  pieces @4 :List(UInt16);
  key @5 :Text;
  inputs @6 :List(Text);
  hasInputs @7 :Bool;
  urgency @8 :UInt8;
  aimMs @9 :Int64;  # Time until the latency objective, in milliseconds.
  remainingMs @10 :Int64;
  resultBytes @11 :UInt64;
  waitMs @12 :UInt32;  # How long the reply may be held, in milliseconds.
  reserve @13 :Bool;  # Only announces the pieces.
  seenFetched @14 :Bool;  # The sender knows that the inputs were fetched.
  round @15 :UInt8;
  movedBytes @16 :UInt64;
  inputServices @17 :List(Text);  # Services of the inputs that the owner releases.
  inputAddresses @18 :List(Text);  # Targets that hold these inputs.
  inputOwners @19 :List(Text);  # Entries that formed the calls that made them.
  announcement @20 :UInt16;  # Counts the announcements of the pieces, from 1.
  entryDataCentre @21 :Text;  # Where the entry of the request is.
  inputBytes @22 :UInt64;  # Of all inputs of the step; each piece fetches them.
}

struct PieceResult {
  piece @0 :UInt16;
  handle @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
}

struct PiecesState {
  state @0 :Text;
  results @1 :List(PieceResult);
  queueMs @2 :UInt32;  # Expected queueing delay of new pieces, in milliseconds.
  detail @3 :Text;
  owner @4 :Text;  # Entry to poll from now on; empty if this one.
}

struct CancelPieces {
  requestId @0 :Text;
  service @1 :Text;
  rounds @2 :UInt8;  # Rounds that are cancelled, from the first; 0 for all.
}
struct FreeResults {
  service @0 :Text;
  results @1 :List(PieceResult);
  owner @2 :Text;  # Entry that formed their calls; empty if it is not known.
}
struct PiecesDropped { count @0 :UInt32; }

struct RequestPieces {
  requestId @0 :Text;
  step @1 :UInt16;
  pieces @2 :List(UInt16);
  remainingMs @3 :Int64;
  key @4 :Text;
  inputs @5 :List(Text);
  hasInputs @6 :Bool;
}

struct CarryCall {
  target @0 :Text;
  address @1 :Text;
  service @2 :Text;
  dataCentre @3 :Text;
  requests @4 :List(RequestPieces);
  timeoutMs @5 :UInt32;
}

struct PieceMade { outcome @0 :Text; handle @1 :Text; }

struct CallMade {
  failure @0 :Text;
  verdict @1 :Text;
  connected @2 :Bool;
  pieces @3 :List(PieceMade);
  retryAfterMs @4 :UInt64;
  confirmed @5 :Bool = true;
}

struct MovedJob {
  request @0 :RunPieces;  # Its times count from the moment of sending.
  waiting @1 :List(UInt16);
  results @2 :List(PieceResult);
  fetchedPieces @3 :List(UInt16);
  fetched @4 :Bool;
  failedAttempts @5 :UInt32;
}

struct HeldResult {
  address @0 :Text;
  handle @1 :Text;
  size @2 :UInt64;
  leftMs @3 :Int64;  # Until the target drops it, in milliseconds.
}

struct TargetUse {
  name @0 :Text;
  address @1 :Text;
  busyMs @2 :Int64;
  pauseMs @3 :Int64;
  slowness @4 :Float64;
  runningBytes @5 :UInt64;
}

struct TakeOver {
  service @0 :Text;
  jobs @1 :List(MovedJob);
  results @2 :List(HeldResult);
  targets @3 :List(TargetUse);
}

struct TakenOver { count @0 :UInt32; }
