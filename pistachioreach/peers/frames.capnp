@0xc2b6e0d6a7f1945d;
# Frames that entries exchange. Every request and every reply carries the versions
# that its sender knows.

struct News {
  id @0 :Text;
  kind @1 :Text;
  subject @2 :Text;
  detail @3 :Text;
}

struct Frame {
  sender @0 :Text;
  incarnation @1 :Text;
  sequence @2 :UInt64;
  committed @3 :UInt64;
  active @4 :UInt64;
  prepared @5 :Text;
  kind @6 :Text;
  digest @7 :Text;
  base @8 :Text;
  body @9 :Data;
  news @10 :List(News);
}
