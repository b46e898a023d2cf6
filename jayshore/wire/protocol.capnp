@0xc1f0d3a86b9e4a27;

# Messages between jayshore daemons. Each frame contains one Envelope. A reply
# has the call id of its call; replies may arrive in any order.
# In signed fields with the default -1, a negative value means "none".

enum DaemonState {
  starting @0;
  serving @1;
  draining @2;
}

struct ServiceLoad {
  service @0 :Text;
  freeSlots @1 :UInt32;
}

struct DaemonStatus {
  sender @0 :Text;
  domain @1 :Text;
  configVersion @2 :UInt64;
  evidenceAgeMs @3 :Int64 = -1;
  leaderEpoch @4 :UInt64;       # 0: does not lead its domain
  load @5 :List(ServiceLoad);
  state @6 :DaemonState;
}

struct HeartbeatReply {
  status @0 :DaemonStatus;
  attests @1 :Bool;
}

struct PromiseConfig {
  revision @0 :UInt64;
}

struct PromiseConfigReply {
  promised @0 :Bool;
  configVersion @1 :UInt64;
}

struct ConfigCommitted {
  version @0 :UInt64;
  document @1 :Data;            # empty: read it from the store
}

struct ConfigCommittedReply {
  configVersion @0 :UInt64;
}

struct RouteRequest {
  requestId @0 :Text;
  service @1 :Text;
  team @2 :Text;
  keyId @3 :Text;
  configVersion @4 :UInt64;
  idempotent @5 :Bool;
  timeoutMs @6 :UInt32;
  hops @7 :UInt8;
  body @8 :Data;
  contentType @9 :Text;
}

struct RouteReply {
  union {
    ran :group {
      body @0 :Data;
      contentType @1 :Text;
    }
    notRun :group {
      reason @2 :Text;
      retryAfterMs @3 :Int64 = -1;
    }
    unknown :group {
      reason @4 :Text;
    }
  }
}

struct SubmitJob {
  record @0 :Data;              # job record as JSON
  ticket @1 :Text;
}

struct SubmitJobReply {
  union {
    accepted :group {
      jobId @0 :Text;
      ticket @1 :Text;
    }
    refused :group {
      reason @2 :Text;
      detail @3 :Text;
      retryAfterMs @4 :Int64 = -1;
    }
    unconfirmed :group {
      jobId @5 :Text;
      ticket @6 :Text;
    }
  }
}

struct JobQuery {
  jobId @0 :Text;
  waitMs @1 :UInt32;
  access :union {
    ticket @2 :Text;
    team @3 :Text;
  }
}

struct JobQueryReply {
  union {
    unknown @0 :Void;
    document @1 :Data;          # JSON
  }
}

struct CancelJob {
  jobId @0 :Text;
  team @1 :Text;
}

enum CancelResult {
  cancelled @0;
  finished @1;
  unknown @2;
  standby @3;                   # daemon does not lead its domain
}

struct CancelJobReply {
  result @0 :CancelResult;
}

struct SloReply {
  document @0 :Data;            # JSON
}

struct CallFailed {
  detail @0 :Text;
}

struct Envelope {
  callId @0 :UInt64;
  union {
    heartbeat @1 :DaemonStatus;
    heartbeatReply @2 :HeartbeatReply;
    promiseConfig @3 :PromiseConfig;
    promiseConfigReply @4 :PromiseConfigReply;
    configCommitted @5 :ConfigCommitted;
    configCommittedReply @6 :ConfigCommittedReply;
    routeRequest @7 :RouteRequest;
    routeReply @8 :RouteReply;
    jobQuery @9 :JobQuery;
    jobQueryReply @10 :JobQueryReply;
    cancelJob @11 :CancelJob;
    cancelJobReply @12 :CancelJobReply;
    callFailed @13 :CallFailed;
    submitJob @14 :SubmitJob;
    submitJobReply @15 :SubmitJobReply;
    sloQuery @16 :Void;
    sloReply @17 :SloReply;
  }
}
