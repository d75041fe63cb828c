# Messages that every process of the system handles.
@0xd1a6c3b7f0e94a11;

struct Message {
  union {
    peerError @0 :PeerError;
    ping @1 :Ping;
    pong @2 :Pong;
  }
}

struct PeerError { reason @0 :Text; detail @1 :Text; }
struct Ping { sender @0 :Text; }
struct Pong { sender @0 :Text; }
