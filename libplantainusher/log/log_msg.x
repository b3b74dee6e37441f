/*
 * Messages between the voters of one log, and the records of the journal.
 *
 * Positions (`index`) start at 1; times are the sender's own clock and mean
 * nothing to anybody else.
 */

const PU_LOG_NAME_MAX = 128;
const PU_LOG_ADDRESS_MAX = 128;
const PU_LOG_MEMBERS_MAX = 16;
const PU_LOG_ENTRY_MAX = 5242880;
const PU_LOG_ENTRIES_MAX = 4096;
const PU_LOG_CHUNK_MAX = 262144;

/* One identity of a voter: a new disk is a new identity.  */
struct pu_log_peer
{
  unsigned hyper id;
  string name<PU_LOG_NAME_MAX>;
  string address<PU_LOG_ADDRESS_MAX>;
};

enum pu_log_role
{
  PU_LOG_LEARNER = 0, /* copies the log, does not count */
  PU_LOG_CHOSEN = 1,  /* a learner that an operator wants as a voter */
  PU_LOG_VOTER = 2,   /* counts */
  PU_LOG_LEAVING = 3  /* counts until it is removed */
};

struct pu_log_member
{
  pu_log_peer peer;
  pu_log_role role;
};

/* Who votes; in force as soon as it stands in the log.  */
struct pu_log_config
{
  unsigned hyper cluster; /* random, made when the log is started */
  unsigned int target;    /* voters wanted */
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
  PU_LOG_REJOIN = 9
};

/* From an identity that hears no leader: who leads, may I join?  */
struct pu_log_hello
{
  bool fresh; /* its log is empty */
  bool first; /* and its folder never held one: it may start one */
};

struct pu_log_welcome
{
  bool first; /* as in pu_log_hello */
  pu_log_peer leader; /* id 0 when not known */
};

struct pu_log_vote
{
  bool pre;      /* would you vote for me? changes nothing */
  bool transfer; /* the leader itself asked for this election */
  unsigned hyper last_index;
  unsigned hyper last_term;
};

/* The position an identity is known to have synced, all of it committed.  */
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
  unsigned hyper seq;     /* rises with each message to this peer */
  unsigned hyper sent;    /* the leader's clock */
  unsigned hyper prev_index;
  unsigned hyper prev_term;
  unsigned hyper commit;
  pu_log_entry entries<PU_LOG_ENTRIES_MAX>;
  pu_log_floor floors<PU_LOG_MEMBERS_MAX>;
  pu_log_peer seeder;     /* fetch a snapshot there; id 0: no need */
};

struct pu_log_append_reply
{
  unsigned hyper seq;     /* of the message answered */
  unsigned hyper sent;
  bool ok;
  unsigned hyper match;   /* ok: the same as the leader's and synced */
  unsigned hyper last;    /* not ok: the end of this log */
  unsigned hyper synced;  /* the end of this log that is synced */
  unsigned hyper snapshot; /* newest snapshot held */
  unsigned hyper fetched; /* bytes fetched of a snapshot */
};

struct pu_log_fetch
{
  unsigned hyper index;  /* 0: the newest */
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
};

struct pu_log_msg
{
  unsigned int protocol;
  unsigned int group;
  unsigned hyper cluster; /* 0: the sender's log is empty */
  unsigned hyper term;
  unsigned hyper to;      /* 0: whoever lives at that address */
  pu_log_peer from;
  pu_log_body body;
};

/* What one group sync puts into a segment.  */
struct pu_log_batch
{
  unsigned hyper commit; /* committed when it was written; a hint */
  pu_log_entry entries<>;
};

/* The voter's own record; never goes back.  */
struct pu_log_meta
{
  unsigned hyper saves;   /* rises with each save */
  unsigned hyper id;
  unsigned hyper cluster;
  unsigned hyper term;
  unsigned hyper vote;     /* 0: none in this term */
  unsigned hyper floor;    /* the log is known to reach this far */
  unsigned hyper segment;  /* the newest segment of the log */
};

struct pu_log_snapshot
{
  unsigned hyper index;
  unsigned hyper term;
  unsigned hyper first_batch; /* batches before it are void */
  pu_log_config config;
  opaque data<>;
};
