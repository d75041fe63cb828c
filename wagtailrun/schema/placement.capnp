# Engine placement: between the entry of a request and the entry that owns the service.
@0xd1a6c3b7f0e94a19;

using Discovery = import "discovery.capnp";

struct Message {
  union {
    placeRun @0 :PlaceRun;
    placed @1 :Placed;
    runOver @2 :RunOver;
    runNoted @3 :RunNoted;
    runBroken @4 :RunBroken;
    requestGrant @5 :RequestGrant;
    sendGrant @6 :SendGrant;
  }
}

struct Part { name @0 :Text; tokens @1 :UInt32; }
struct PlaceSize { dataCentre @0 :Text; bytes @1 :UInt64; }

struct PlaceRun {
  requestId @0 :Text;
  service @1 :Text;
  parts @2 :List(Part);
  promptTokens @3 :UInt32;
  avoid @4 :List(Text);
  results @5 :List(PlaceSize);
  begin @6 :Bool;
  route @7 :Text;
  softwareVersion @8 :Text;
  entry @9 :Text;
  leftMs @10 :UInt32;
  mayWait @11 :Bool;
}

struct Placed {
  target @0 :Text;
  dataCentre @1 :Text;
  expectedMs @2 :UInt32;
  marginMs @3 :UInt32;
  heldMs @4 :UInt64;
  heldParts @5 :List(Text);
  cachedTokens @6 :UInt32;
  holder @7 :Text;
  holderMs @8 :UInt32;
  partWaitMs @9 :UInt32;
}

struct RunBroken {
  requestId @0 :Text;
  service @1 :Text;
  target @2 :Text;
  parts @3 :List(Text);
  progress @4 :Text;
  sinceFirstEventMs @5 :UInt32;
  incarnation @6 :UInt64;
  address @7 :Text;
  request @8 :Text;
  refused @9 :Bool;
}

struct RunOver {
  requestId @0 :Text;
  service @1 :Text;
  target @2 :Text;
  outcome @3 :Text;
  firstEventMs @4 :UInt32;
  running @5 :UInt32;
  waiting @6 :UInt32;
  slots @7 :UInt32;
  route @8 :Text;
  errorMs @9 :Int32;
  held @10 :List(EngineParts);
  partFormat @11 :UInt16;
}

struct EngineParts { target @0 :Text; incarnation @1 :UInt64; parts @2 :List(UInt64); }

struct RunNoted { known @0 :Bool; again @1 :Bool; }

struct RequestGrant {
  limit @0 :Discovery.AgedLimit;
  service @1 :Text;
  urgency @2 :UInt8;
  entry @3 :Text;
  number @4 :UInt64;
  held @5 :List(UInt64);
  asked @6 :List(UInt64);
  slots @7 :UInt32 = 1;
  isReport @8 :Bool;
  rejected @9 :Bool;
  incarnation @10 :UInt64;
  requests @11 :UInt32 = 1;
}

struct SendGrant { granted @0 :Bool; waitMs @1 :UInt32; }
