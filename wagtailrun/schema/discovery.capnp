# Messages by which entries get updates from control members, and control members share
# rows with each other. The classes of wagtailrun/discovery/messages.py describe the
# fields. Names and numbers are part of the wire format.
@0xd1a6c3b7f0e94a17;

using Gossip = import "gossip.capnp";

struct Message {
  union {
    pollNews @0 :PollNews;
    news @1 :News;
    shareRows @2 :ShareRows;
    rowsTaken @3 :RowsTaken;
    fetchConfiguration @4 :FetchConfiguration;
    configurationPart @5 :ConfigurationPart;
    reportCrashes @6 :ReportCrashes;
    reportLeaving @7 :ReportLeaving;
    reportLimits @8 :ReportLimits;
    recordOrigins @9 :RecordOrigins;
    findOrigin @10 :FindOrigin;
    originFound @11 :OriginFound;
  }
}

# Positions up to which an entry has the updates ("news") of one control member.
struct NewsMarks {
  epoch @0 :UInt64;
  targets @1 :UInt64;
  entries @2 :UInt64;
  revision @3 :UInt64;
  crashes @4 :UInt64;
  limits @5 :UInt64;
  evacuations @6 :UInt64;
}

struct PartSet { parts @0 :List(Text); }

struct CrashEvidence {
  key @0 :Text;
  alternatives @1 :List(PartSet);
  requests @2 :List(Text);
}

struct AgedEvidence { evidence @0 :CrashEvidence; ageMs @1 :UInt64; }

struct TargetLimit {
  target @0 :Text;
  incarnation @1 :UInt64;
  isLimited @2 :Bool;
  perSecond @3 :Float64;
  isBrittle @4 :Bool;
  maxRejections @5 :Float64;
}

struct AgedLimit {
  limit @0 :TargetLimit;
  ageMs @1 :UInt64;
  brittleAgeMs @2 :UInt64 = 1000000000000000;  # Earlier builds say nothing of it.
  coldSource @3 :Text;  # Empty if nothing is known, as from earlier builds.
  coldLeftMs @4 :Int64;  # Negative since it became warm.
  coldAgeMs @5 :UInt64;
}

struct PollNews {
  entry @0 :Gossip.EntryRow;
  known @1 :NewsMarks;
  waitMs @2 :UInt32;  # How long the reply may be held, in milliseconds.
  fetchesText @3 :Bool;
}

struct News {
  marks @0 :NewsMarks;
  text @1 :Text;  # Fleet configuration for entries that do not fetch it.
  confirmed @2 :Bool;
  targets @3 :List(Gossip.AgedRow);
  entries @4 :List(Gossip.EntryRow);
  members @5 :List(Text);
  crashes @6 :List(AgedEvidence);
  limits @7 :List(AgedLimit);
  remembersVersions @8 :Bool;
  evacuations @9 :List(Text);
  leaderInMs @10 :UInt32;
}

struct ReportLeaving { target @0 :Text; incarnation @1 :UInt64; }

struct ReportCrashes { rows @0 :List(AgedEvidence); }

struct ReportLimits { rows @0 :List(AgedLimit); }

struct FetchConfiguration {
  baseRevision @0 :UInt64;
  identity @1 :UInt64;
  offset @2 :UInt64;
  limit @3 :UInt32;
}

struct ConfigurationPart {
  identity @0 :UInt64;
  revision @1 :UInt64;
  baseRevision @2 :UInt64;
  size @3 :UInt64;
  offset @4 :UInt64;
  data @5 :Data;
}

struct AgedEntry { row @0 :Gossip.EntryRow; ageMs @1 :UInt64; }

struct ShareRows {
  sender @0 :Text;
  targets @1 :List(Gossip.AgedRow);
  entries @2 :List(AgedEntry);
  crashes @3 :List(AgedEvidence);
  limits @4 :List(AgedLimit);
  dataCentre @5 :Text;
}

struct RowsTaken { epoch @0 :UInt64; }

struct StreamOrigin {
  service @0 :Text;
  softwareVersion @1 :Text;
  target @2 :Text;
  incarnation @3 :UInt64;
}

struct StreamsBegun {
  origin @0 :StreamOrigin;
  ageMs @1 :UInt64;
  streams @2 :List(UInt64);
}

struct RecordOrigins { groups @0 :List(StreamsBegun); }

struct FindOrigin { stream @0 :UInt64; service @1 :Text; targets @2 :List(Text); }

struct TargetIncarnation {
  name @0 :Text;
  incarnation @1 :UInt64;
  softwareVersion @2 :Text;
}

struct AgedOrigin { origin @0 :StreamOrigin; ageMs @1 :UInt64; }

struct OriginFound {
  origins @0 :List(AgedOrigin);
  versions @1 :List(Text);
  memoryMs @2 :UInt64;
  targets @3 :List(TargetIncarnation);
}
