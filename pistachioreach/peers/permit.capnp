@0xb7e09d3c5a2f6481;
# Request for a permit to send one request to an endpoint, and its answer.

struct PermitRequest {
  # Identifier of the run of the endpoint.
  run @0 :Text;
  # Requests a second that the endpoint takes from all entries together.
  perSecond @1 :Float64;
}

struct PermitAnswer {
  granted @0 :Bool;
  # Seconds after which the sender may ask again.
  waitSeconds @1 :Float64;
}
