@0xd8a1c43f7e905b26;
# Relay messages, which entries exchange several times a second. They carry the load
# on each engine, how up to date the sender's copies of the store's tables are, rows
# that the receiver lacks, and requests that crash the endpoints that run them.

# What the streams of some entries together need, one column for each property, as in
# the load of the engines. Amounts are whole numbers from 0 to 2**40.
struct Demand {
  # Running streams by priority.
  priorities @0 :List(UInt32);
  runningStreams @1 :List(UInt32);
  runningTokens @2 :List(Float64);
  # Waiting streams by tier.
  tiers @3 :List(UInt32);
  waitingStreams @4 :List(UInt32);
  waitingTokens @5 :List(Float64);
  # Names of the workspaces, separated by line feeds; an empty one stands for all that
  # are not named.
  workspaces @6 :Text;
  # Tokens of the running and the waiting streams of each workspace.
  workspaceRunning @7 :List(Float64);
  workspaceWaiting @8 :List(Float64);
  # Names of the failure domains, separated by line feeds.
  domains @9 :Text;
  # Prompt tokens a second of each failure domain.
  arrivals @10 :List(Float64);
  # Mbit/s wanted on the link between failure domains.
  transfers @11 :Float64;
}

# Load that some entries together put on the engines, one column for each property. A
# list of structs takes several times as long to encode and decode.
struct Loads {
  # Number of these entries; 0 if the message carries no load.
  entries @0 :UInt32;
  # Ids of the engines, separated by line feeds.
  engines @1 :Text;
  streams @2 :List(UInt32);
  # Memory in tokens times layers.
  memory @3 :List(Float64);
  demand @4 :Demand;
}

struct Known {
  table @0 :Text;
  version @1 :Int64;
  # Seconds since the store confirmed the version.
  age @2 :Float32;
  # Version of the last change that is more than a heartbeat.
  changed @3 :Int64;
  # Era of the versions; negative if the store has stated none, and in messages of
  # earlier releases.
  era @4 :Int64 = -1;
  # Whether rows that the sender lacks are missing for no outage of the store. Earlier
  # releases don't tell.
  sound @5 :Bool;
  # Version up to which rows may be missing because of an outage of the store that has
  # not ended, or only lately; negative if the sender knows of none, and in messages of
  # earlier releases.
  outage @6 :Int64 = -1;
}

struct Row {
  table @0 :Text;
  key @1 :Text;
  version @2 :Int64;
  removed @3 :Bool;
  value @4 :Data;
}

struct Suspect {
  fingerprint @0 :Text;
  death @1 :Text;
}

struct Unusable {
  endpoint @0 :Text;
  seconds @1 :Float32;
  # Whether nothing answers at the endpoint's address.
  lost @2 :Bool;
  # Digest of the registration that the notice is about.
  registration @3 :Text;
}

struct Limit {
  # Identifier of the run of the endpoint.
  run @0 :Text;
  # Requests a second; negative if the endpoint states no limit any more.
  perSecond @1 :Float64;
  # Seconds since the endpoint's answer.
  age @2 :Float32;
}

struct Relay {
  loads @0 :Loads;
  known @1 :List(Known);
  # Tables of which the sender requests the rows that it lacks.
  wants @2 :List(Text);
  rows @3 :List(Row);
  suspects @4 :List(Suspect);
  # Whether the store refuses the sender.
  refused @5 :Bool;
  unusable @6 :List(Unusable);
  # Whether the sender reports to the receiver.
  child @7 :Bool;
  # Names of the entries that the sender knows to be reachable in its failure domain.
  collectors @8 :List(Text);
  # Limits that endpoints have stated lately.
  limits @9 :List(Limit);
  # Runs of endpoints that have stated in a response that they are leaving.
  leaving @10 :List(Text);
  # Operator's version of the configuration in force; negative if there is none, and in
  # messages of earlier releases.
  configuration @11 :Int64 = -1;
}
