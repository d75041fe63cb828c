# Tunnels: connections to targets that an entry opens through another entry.
@0xd1a6c3b7f0e94a1b;

struct Message {
  union {
    openTunnel @0 :OpenTunnel;
    tunnelOpened @1 :TunnelOpened;
    tunnelRefused @2 :TunnelRefused;
    reportPause @3 :ReportPause;
    pauseNoted @4 :PauseNoted;
  }
}

struct OpenTunnel {
  sender @0 :Text;
  target @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
  probe @4 :Bool;
  limitMs @5 :UInt32;
  silentMs @6 :UInt32;  # The receiver refuses if it stood still within this time.
}

struct TunnelOpened { tookMs @0 :UInt32; }

struct TunnelRefused {
  reason @0 :Text;
  detail @1 :Text;
  waitMs @2 :UInt64;
  refused @3 :Bool;
}

struct ReportPause {
  target @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  pauseMs @3 :UInt64;
}

struct PauseNoted { known @0 :Bool; }
