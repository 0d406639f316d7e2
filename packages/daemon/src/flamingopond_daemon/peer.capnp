@0xb3f1c2d4a5968770;
# Calls between flamingopond daemons. Data fields that hold JSON say so.

interface Gate {
  # Both sides prove that they know the deployment's secret, the callee first.
  # A proof is HMAC-SHA256 over the direction, both nonces and both names.

  challenge @0 (node :Text, nonce :Data) -> (node :Text, nonce :Data, proof :Data);
  # node and nonce are the caller's, then the callee's. Both nonces are valid for
  # one call of open on this connection.

  open @1 (proof :Data) -> (peer :Peer);
}

interface Peer {
  exchange @0 (message :Gossip) -> (message :Gossip);
  fetchConfiguration @1 (afterRevision :UInt64) -> (revision :UInt64, snapshot :Data, changeSets :List(Data));
  # snapshot (JSON) is empty if changeSets (JSON each) alone lead to revision.

  pushChangeSet @2 (changeSet :Data) -> (revision :UInt64);
  requestGrant @3 (request :GrantRequest) -> (reply :GrantReply);
  settle @4 (node :Text, settlements :List(Settlement)) -> ();
  claimState @5 (workspace :Text, key :Text, claimId :Text) -> (state :ClaimState, outcome :Data);
  handOver @6 (shard :UInt16, epoch :UInt64, state :Data) -> ();
  listHoldings @7 (shards :List(UInt16)) -> (holdings :List(Holding));
  events @8 (query :Data) -> (events :List(Data));
  offerShards @9 (node :Text) -> (taken :UInt16);
  # node leaves while the store is away; the callee asks it by takeShards before it
  # answers with the number of shards that it took.

  takeShards @10 (node :Text) -> (transfers :Data);
  # JSON; node is the caller. The callee gives each shard once, whether the answer
  # arrives or not.
}

struct Gossip {
  sender @0 :Text;
  incarnation @1 :UInt64;
  rosterVersion @2 :UInt64;
  ages @3 :Data;
  # Only in replies. Eight bytes: age of a reference store contact in
  # microseconds. Then two bytes per roster member, in roster order: in the first,
  # 7 bits of age of its newest known heartbeat (127 for older or never) and the
  # top bit if it is steady; in the second, by how much the newest store contact
  # that it knew then lies before the reference (254 for more, 255 for a process
  # that may not count). Units of a fifth of the gossip period, little-endian.

  revision @4 :UInt64;
  confirmedAgeMs @5 :UInt32;
  # Age of the newest table read known that confirmed the revision; max if none.

  clock @6 :UInt64;
  topics @7 :List(Topic);
  # Soft state of other subsystems, opaque to the gossip.

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
  # Tokens needed now; ahead are further tokens wanted for coming requests.
  ahead @3 :UInt64;
  settlements @4 :List(Settlement);
  grantId @5 :UInt64;
  # Chosen by the asker, rising; a grant whose reply is lost is settled under it.
}

struct GrantReply {
  granted @0 :UInt64;
  epoch @1 :UInt64;
  lifeMs @2 :UInt32;
  # Counted by the asker from the moment at which it sent the request.
  waitMs @3 :UInt32;
  # If granted is less than tokens: estimate until the tokens are there.
  recentUse @4 :Float64;
  # Tokens that the workspace used lately over the whole fleet, decayed.
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
  # Running totals of the grant's settlements so far.
}

enum ClaimState {
  unknown @0;
  notSent @1;
  running @2;
  done @3;
}
