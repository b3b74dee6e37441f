/*
 * Messages between the members of one replicated log, and the records of the
 * journal.
 *
 * Indexes of log entries start at 1.  Times in messages are read from the
 * sender's clock; receivers return them and do not interpret them.
 */

const PU_LOG_NAME_MAX = 128;
const PU_LOG_ADDRESS_MAX = 128;
const PU_LOG_MEMBERS_MAX = 16;
const PU_LOG_ENTRY_MAX = 5242880;
const PU_LOG_ENTRIES_MAX = 4096;
const PU_LOG_CHUNK_MAX = 262144;

/* One identity of a voter.  A voter gets a new identity when it gets a new
   disk.  */
struct pu_log_peer
{
  unsigned hyper id;
  string name<PU_LOG_NAME_MAX>;
  string address<PU_LOG_ADDRESS_MAX>;
};

enum pu_log_role
{
  PU_LOG_LEARNER = 0, /* replicates the log, does not count in the quorum */
  PU_LOG_CHOSEN = 1,  /* a learner that an operator chose as a voter */
  PU_LOG_VOTER = 2,   /* counts in the quorum */
  /* a voter to be removed; counts in the quorum until then */
  PU_LOG_LEAVING = 3
};

struct pu_log_member
{
  pu_log_peer peer;
  pu_log_role role;
};

/* The members of the log.  A configuration is in force as soon as it is
   appended, before it is committed.  */
struct pu_log_config
{
  unsigned hyper cluster; /* random, chosen when the log is bootstrapped */
  unsigned int target;    /* target number of voters */
  pu_log_member members<PU_LOG_MEMBERS_MAX>;
};

enum pu_log_type
{
  PU_LOG_DATA = 0,
  PU_LOG_NOOP = 1,
  PU_LOG_CONFIG = 2
};

struct pu_log_entry
{
  unsigned hyper index;
  unsigned hyper term;
  pu_log_type type;
  opaque data<PU_LOG_ENTRY_MAX>;
};

enum pu_log_kind
{
  PU_LOG_HELLO = 0,
  PU_LOG_WELCOME = 1,
  PU_LOG_VOTE = 2,
  PU_LOG_VOTE_REPLY = 3,
  PU_LOG_APPEND = 4,
  PU_LOG_APPEND_REPLY = 5,
  PU_LOG_FETCH = 6,
  PU_LOG_CHUNK = 7,
  PU_LOG_TIMEOUT_NOW = 8,
  PU_LOG_REJOIN = 9,
  PU_LOG_STOPPING = 10 /* the sender is about to stop */
};

/* Sent by an identity that receives no messages from a leader: asks for the
   leader and, if the sender's log is empty, to be added as a learner.  */
struct pu_log_hello
{
  bool fresh; /* the sender's log is empty */
  /* fresh, and the sender's folder never held a log: the sender may bootstrap
     the log */
  bool first;
};

struct pu_log_welcome
{
  bool first; /* same meaning as in pu_log_hello */
  pu_log_peer leader; /* id 0: the leader is not known */
};

struct pu_log_vote
{
  bool pre;      /* a pre-vote: the receiver's state does not change */
  bool transfer; /* the leader requested this election (leadership transfer) */
  unsigned hyper last_index;
  unsigned hyper last_term;
};

/* The durable floor of an identity: all entries up to index are committed,
   and the identity is known to have synced them.  */
struct pu_log_floor
{
  unsigned hyper id;
  unsigned hyper index;
};

struct pu_log_vote_reply
{
  bool pre;
  bool granted;
  unsigned hyper last_index;
  pu_log_floor floors<PU_LOG_MEMBERS_MAX>;
};

struct pu_log_append
{
  unsigned hyper seq;     /* increases with each message to this peer */
  unsigned hyper sent;    /* send time by the leader's clock, in ms */
  unsigned hyper prev_index;
  unsigned hyper prev_term;
  unsigned hyper commit;  /* 0: the leader may have been replaced */
  pu_log_entry entries<PU_LOG_ENTRIES_MAX>;
  pu_log_floor floors<PU_LOG_MEMBERS_MAX>;
  /* member from which to fetch a snapshot; id 0: no snapshot is needed */
  pu_log_peer seeder;
};

struct pu_log_append_reply
{
  unsigned hyper seq;     /* seq of the message answered */
  unsigned hyper sent;    /* send time of the message answered */
  bool ok;
  /* if ok: the follower's log is synced and equal to the leader's log up to
     here */
  unsigned hyper match;
  /* if not ok: the highest index at which the follower's log may match */
  unsigned hyper last;
  unsigned hyper synced;  /* index of the last durable entry */
  unsigned hyper snapshot; /* index of the newest snapshot */
  unsigned hyper fetched; /* bytes of a snapshot fetched so far */
};

struct pu_log_fetch
{
  unsigned hyper index;  /* 0: the newest snapshot */
  unsigned hyper offset;
};

struct pu_log_chunk
{
  unsigned hyper index;
  unsigned hyper index_term;
  unsigned hyper offset;
  unsigned hyper total;
  unsigned hyper hash;
  pu_log_config config;
  opaque data<PU_LOG_CHUNK_MAX>;
};

union pu_log_body switch (pu_log_kind kind)
{
case PU_LOG_HELLO:
  pu_log_hello hello;
case PU_LOG_WELCOME:
  pu_log_welcome welcome;
case PU_LOG_VOTE:
  pu_log_vote vote;
case PU_LOG_VOTE_REPLY:
  pu_log_vote_reply vote_reply;
case PU_LOG_APPEND:
  pu_log_append append;
case PU_LOG_APPEND_REPLY:
  pu_log_append_reply append_reply;
case PU_LOG_FETCH:
  pu_log_fetch fetch;
case PU_LOG_CHUNK:
  pu_log_chunk chunk;
case PU_LOG_TIMEOUT_NOW:
  void;
case PU_LOG_REJOIN:
  void;
case PU_LOG_STOPPING:
  void;
};

struct pu_log_msg
{
  unsigned int protocol;
  unsigned int group;
  unsigned hyper cluster; /* 0: the sender's log is empty */
  unsigned hyper term;
  unsigned hyper to;      /* 0: any identity at the receiver's address */
  pu_log_peer from;
  pu_log_body body;
};

/* The entries that one group commit writes to a segment.  */
struct pu_log_batch
{
  /* commit index when the batch was written; only a hint */
  unsigned hyper commit;
  pu_log_entry entries<>;
};

/* The voter's metadata.  Each save replaces an older state; a voter never
   goes back to an older one.  */
struct pu_log_meta
{
  unsigned hyper saves;   /* number of saves so far */
  unsigned hyper id;
  unsigned hyper cluster;
  unsigned hyper term;
  /* identity that got this voter's vote in this term; 0: none */
  unsigned hyper vote;
  /* entries up to this index were durable and committed */
  unsigned hyper floor;
  unsigned hyper segment;  /* number of the newest segment */
};

struct pu_log_snapshot
{
  unsigned hyper index;
  unsigned hyper term;
  /* batches with a lower number are void: the snapshot replaced them */
  unsigned hyper first_batch;
  pu_log_config config;
  opaque data<>;
};
