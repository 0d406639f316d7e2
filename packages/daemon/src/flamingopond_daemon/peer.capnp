@0xb3f1c2d4a5968770;
# Calls between flamingopond daemons. Data fields that hold JSON are marked as such.

interface Gate {
  # Both sides prove that they know the deployment's secret, the callee first.
  # A proof is HMAC-SHA256 over the direction, both nonces and both names.

  challenge @0 (node :Text, nonce :Data) -> (node :Text, nonce :Data, proof :Data);
  # node and nonce are those of the caller in the request and of the callee in the
  # reply. Both nonces are valid for one call of open on this connection.

  open @1 (proof :Data) -> (peer :Peer);
}

interface Peer {
  exchange @0 (message :Gossip) -> (message :Gossip);
  fetchConfiguration @1 (afterRevision :UInt64) -> (revision :UInt64, snapshot :Data, changeSets :List(Data));
  # snapshot (JSON) is empty if changeSets (JSON each) suffice to reach revision.

  pushChangeSet @2 (changeSet :Data) -> (revision :UInt64);
  requestGrant @3 (request :GrantRequest) -> (reply :GrantReply);
  settle @4 (node :Text, settlements :List(Settlement)) -> ();
  claimState @5 (workspace :Text, key :Text, claimId :Text) -> (state :ClaimState, outcome :Data);
  handOver @6 (shard :UInt16, epoch :UInt64, state :Data) -> ();
  listHoldings @7 (shards :List(UInt16)) -> (holdings :List(Holding));
  events @8 (query :Data) -> (events :List(Data));
  offerShards @9 (node :Text) -> (taken :UInt16);
  # node leaves during a store outage. The callee calls takeShards on it before it
  # replies with the number of shards taken.

  takeShards @10 (node :Text) -> (transfers :Data);
  # JSON; node is the caller. The callee delegates each shard once, whether the reply
  # arrives or not.
}

struct Gossip {
  sender @0 :Text;
  incarnation @1 :UInt64;
  rosterVersion @2 :UInt64;
  ages @3 :Data;
  # Only in replies. Eight bytes: age of a reference store contact in
  # microseconds. Then two bytes per roster member, in roster order. First byte:
  # 7 bits of age of its newest known heartbeat (127 for older or never); the top
  # bit is set if its process started no later than its newest store contact.
  # Second byte: by how much the newest store contact that it knew then precedes
  # the reference (254 for more, 255 for a process that does not count towards a
  # majority). Units of a fifth of the gossip period, little-endian.

  revision @4 :UInt64;
  confirmedAgeMs @5 :UInt32;
  # Age of the newest known table read that confirmed the revision; max if none.

  clock @6 :UInt64;
  topics @7 :List(Topic);
  # Soft state of other subsystems, opaque to gossip.

  mature @8 :Bool;
  contactAgeMs @9 :UInt32;
}

struct Topic {
  name @0 :Text;
  body @1 :Data;
}

struct GrantRequest {
  node @0 :Text;
  workspace @1 :Text;
  tokens @2 :UInt64;
  # Tokens needed now; ahead is the number of further tokens requested in advance.
  ahead @3 :UInt64;
  settlements @4 :List(Settlement);
  grantId @5 :UInt64;
  # Chosen by the requester, increasing. A grant whose reply is lost is settled
  # under this id.
}

struct GrantReply {
  granted @0 :UInt64;
  epoch @1 :UInt64;
  lifeMs @2 :UInt32;
  # Counted by the requester from the time at which it sent the request.
  waitMs @3 :UInt32;
  # If granted is less than tokens: estimated time until the rest is available.
  recentUse @4 :Float64;
  # Recent token use of the workspace over the whole fleet, decayed.
  notOwner @5 :Bool;
  grantId @6 :UInt64;
}

struct Settlement {
  workspace @0 :Text;
  epoch @1 :UInt64;
  grantId @2 :UInt64;
  used @3 :UInt64;
  returned @4 :UInt64;
}

struct Holding {
  workspace @0 :Text;
  epoch @1 :UInt64;
  grantId @2 :UInt64;
  unspent @3 :UInt64;
  reserved @4 :UInt64;
  used @5 :UInt64;
  returned @6 :UInt64;
  # used and returned are running totals of the grant's settlements so far.
}

enum ClaimState {
  unknown @0;
  notSent @1;
  running @2;
  done @3;
}
