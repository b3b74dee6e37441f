/*
 * Messages between daemons, in the control program.
 *
 * Times are milliseconds.  An `age` is the time since an event by the sender's
 * clock, so that clocks of different daemons need not agree.
 */

%#include "state/generated/state_msg.h"

#ifdef RPC_XDR
%#include "state/bounded.h"
#endif

const PU_CONTROL_VERSION = 1;

/* Procedures.  The body of PU_CONTROL_REPLICA is an encoded pu_log_msg.  */
const PU_CONTROL_POLL = 1;     /* pu_poll -> pu_poll_reply */
const PU_CONTROL_PROPOSE = 2;  /* pu_propose -> pu_propose_reply */
const PU_CONTROL_SESSIONS = 3; /* pu_sessions, one way */
const PU_CONTROL_REPLICA = 4;  /* one way */
const PU_CONTROL_QUERY = 6;    /* pu_query -> pu_query_reply */
const PU_CONTROL_LOADS = 7;    /* pu_loads, one way, entry to entry; 5
                                  was an earlier form of it, with
                                  names in place of ids */
const PU_CONTROL_POLL_DELTAS = 8; /* as POLL; entries may be
                                     BACKEND_DELTA commands */
const PU_CONTROL_FIND = 9;     /* pu_find -> pu_find, to any daemon */

const PU_CONTROL_WITHDRAW = 10; /* pu_withdrawal, one way, entry to entry */

const PU_CONTROL_POLL_BLOBS = 11; /* pu_poll -> pu_blob_reply; as POLL_DELTAS,
                                     but a large entry or image is only
                                     described, and fetched in chunks */
const PU_CONTROL_CHUNK = 12;   /* pu_chunk_request -> pu_chunk */
const PU_CONTROL_PROPOSE_PACKED = 13; /* as PROPOSE; the command is compressed
                                         (control/packed.h) */

const PU_CONTROL_ORIGINS = 14; /* pu_origin_list -> void, entry to entry */
const PU_CONTROL_FIND_ORIGIN = 15; /* pu_origin_query -> pu_origin_reply, entry
                                      to entry */

const PU_CONTROL_WITNESS = 16; /* pu_witness_query -> pu_witness_reply, entry
                                  to entry */

const PU_CONTROL_ACCUSE = 17;  /* pu_accusations, one way, entry to entry */

const PU_CONTROL_STATEMENTS = 18; /* pu_statements, one way, entry to entry */

const PU_CONTROL_ALLOWANCE = 19; /* pu_allowance_call ->
                                    pu_allowance_result */

const PU_CONTROL_LOAD_EXCHANGE = 20; /* pu_load_exchange_call ->
                                        pu_load_exchange_result, to any
                                        voter */

const PU_CONTROL_LIST_MAX = 4096;
const PU_CONTROL_ACCUSATIONS_MAX = 64;
const PU_CONTROL_STATEMENTS_MAX = 64;
const PU_CONTROL_VOTERS_MAX = 16;
const PU_CONTROL_CHUNK_MAX = 16384;
const PU_CONTROL_COMMAND_MAX = 5242880;
const PU_CONTROL_IMAGE_MAX = 33554432;
const PU_CONTROL_JSON_MAX = 16777216;

/* Renews the lease of a backend server that reports to the polling daemon.  */
struct pu_renewal
{
  pu_name backend;
  unsigned hyper incarnation;
  unsigned int age_ms; /* since its last report */
};

/* Requests for a model that arrived since the daemon's last poll.  */
struct pu_demand
{
  pu_name model;
  unsigned int requests;
  unsigned int stream_ms; /* total time they need on engines that are
                             not overloaded */
};

/* Long poll for public entries; also carries the heartbeat of the daemon,
   lease renewals and demand.  */
struct pu_poll
{
  pu_name name;
  unsigned hyper incarnation;
  unsigned hyper position;    /* up to which the daemon is up to date */
  unsigned hyper voters_hash; /* of the voters it knows; 0: none known */
  unsigned int wait_ms;
  bool fresh;                 /* has no usable state, needs an image */
  pu_renewal renewals<PU_CONTROL_LIST_MAX>;
  pu_demand demand<PU_CONTROL_LIST_MAX>;
};

struct pu_voter
{
  pu_name name;
  pu_name address;
};

struct pu_public_entry
{
  unsigned hyper position;
  opaque command<PU_CONTROL_COMMAND_MAX>;
};

/* With the entries or the image, the daemon is up to date up to POSITION.  */
struct pu_poll_reply
{
  unsigned hyper cluster;     /* of the log; never changes */
  unsigned hyper position;
  pu_name leader;             /* address; empty when not known */
  unsigned hyper voters_hash;
  unsigned hyper voters_at;   /* log position of this configuration */
  pu_voter voters<PU_CONTROL_VOTERS_MAX>; /* empty if the daemon
                                             sent the same hash */
  pu_public_entry entries<PU_CONTROL_LIST_MAX>;
  opaque image<PU_CONTROL_IMAGE_MAX>;     /* empty: no image */
};

/* A large entry or image, compressed; its bytes are fetched in chunks.  */
struct pu_blob
{
  unsigned hyper id;          /* hash of the compressed bytes */
  unsigned hyper position;    /* of the entry or of the image */
  bool image;                 /* else an entry */
  unsigned int size;          /* compressed bytes */
  unsigned int content_size;  /* bytes of the entry or of the image */
};

/* The blob, if there is one, is the image, which lies before the entries of
   REPLY, or else the entry after them.  */
struct pu_blob_reply
{
  pu_poll_reply reply;
  pu_blob blobs<1>;
};

/* Asks for the bytes of blob ID from OFFSET on; also carries the heartbeat of
   the daemon.  */
struct pu_chunk_request
{
  pu_name name;
  unsigned hyper incarnation;
  unsigned hyper position;    /* up to which the daemon is up to date */
  unsigned hyper id;
  unsigned int offset;
  unsigned int wait_ms;
};

struct pu_chunk
{
  bool known;                 /* whether the voter has the blob */
  opaque bytes<PU_CONTROL_CHUNK_MAX>; /* empty: the wait is over, ask again */
};

/* The voters that the sender knows, in both directions; each side adopts the
   list with the higher voters_at.  */
struct pu_find
{
  unsigned hyper voters_at;   /* 0: no voters are known */
  pu_voter voters<PU_CONTROL_VOTERS_MAX>;
};

struct pu_propose
{
  pu_name proposer;
  unsigned hyper incarnation;
  unsigned hyper seq;         /* increases with each proposal of an
                                 incarnation */
  unsigned hyper floor;       /* proposals below it have ended; delayed
                                 copies of them are not run */
  unsigned int timeout_ms;
  bool forwarded;             /* by a voter that is not the leader */
  opaque command<PU_CONTROL_COMMAND_MAX>;
};

struct pu_propose_reply
{
  int kind;                   /* pu_error_kind_t */
  pu_detail message;
  pu_name leader;             /* address; empty when not known */
  opaque reply<PU_CONTROL_COMMAND_MAX>; /* a pu_reply when kind is 0 */
};

/* A daemon that polled since the voter's last pu_sessions message.  */
struct pu_session
{
  pu_name name;
  unsigned hyper incarnation;
  unsigned hyper position;
  unsigned int age_ms;
  pu_renewal renewals<PU_CONTROL_LIST_MAX>;
  pu_demand demand<PU_CONTROL_LIST_MAX>;
};

struct pu_sessions
{
  pu_name voter;
  pu_session sessions<PU_CONTROL_LIST_MAX>;
};

/* A load report of a backend server, forwarded by its home entry.  */
struct pu_load
{
  unsigned hyper id;          /* pu_entry_load_id */
  unsigned hyper seq;
  unsigned int running;
  unsigned int waiting;
  unsigned int age_ms;        /* age of the report when forwarded */
};

struct pu_loads
{
  unsigned int life_ms;       /* validity if no later loads arrive */
  pu_load loads<PU_CONTROL_LIST_MAX>;
};

/* A copy is about to be unloaded; entries must send it no more requests.  */
struct pu_withdrawal
{
  unsigned hyper id;          /* pu_entry_load_id of its backend server */
  pu_name model;
  unsigned int life_ms;       /* validity; by its end reports show the
                                 unload */
};

/* The software version that began a stream (routing/origins.h).  */
struct pu_origin_record
{
  unsigned hyper key;         /* pu_origin_key of the request's id */
  pu_name software;
  unsigned int life_ms;       /* how long the stream can be resumed */
};

struct pu_origin_list
{
  pu_origin_record origins<PU_CONTROL_LIST_MAX>;
};

struct pu_origin_query
{
  unsigned hyper key;
};

struct pu_origin_reply
{
  unsigned hyper key;
  bool known;
  pu_name software;           /* "": several versions, or not known */
};

/* What another entry sees of a backend server (routing/witnesses.h).  */
struct pu_witness_query
{
  pu_name backend;
  unsigned hyper incarnation;
  unsigned hyper inquiry;     /* number at the entry that asks */
};

struct pu_witness_reply
{
  unsigned hyper inquiry;
  unsigned int sight;         /* pu_sight_t */
};

/* A crash of a backend server under a part of a prompt (suspects/parts.h), as
   hashes.  */
struct pu_accusation
{
  unsigned hyper part;
  unsigned hyper backend;
  unsigned hyper request;
};

struct pu_accusations
{
  pu_accusation accusations<PU_CONTROL_ACCUSATIONS_MAX>;
};

/* What a backend server states in its answers (routing/gossip.h).  */
struct pu_stated
{
  pu_name backend;
  unsigned hyper incarnation;
  double rejections_per_s;
  double limit_per_s;
  unsigned int crowded_ms;    /* for so long from now on; 0: not */
  unsigned int age_ms;        /* since the answer */
};

struct pu_statements
{
  pu_stated statements<PU_CONTROL_STATEMENTS_MAX>;
};

enum pu_query_kind
{
  PU_QUERY_STATUS = 0,        /* to the leader: sessions, voters */
  PU_QUERY_HISTORY = 1,       /* to any voter */
  PU_QUERY_VOTERS = 2,        /* to the leader: changes the voters */
  PU_QUERY_WANT = 3,          /* to the leader: asks for a ready copy of
                                 model NAME */
  PU_QUERY_GRANT = 4,         /* to the leader: asks for requests to backend
                                 server NAME, which limits them */
  PU_QUERY_REFUSAL = 5        /* to the leader: backend server NAME refuses
                                 connections from the daemon OTHER */
};

struct pu_query
{
  pu_query_kind kind;
  bool forwarded;
  unsigned int timeout_ms;
  pu_name action;             /* PU_QUERY_VOTERS: add, remove, replace;
                                 PU_QUERY_GRANT, PU_QUERY_REFUSAL: the
                                 incarnation */
  pu_name name;
  pu_name other;              /* PU_QUERY_VOTERS: the replacement;
                                 PU_QUERY_GRANT: pu_grant_terms_write;
                                 PU_QUERY_REFUSAL: the daemon */
};

struct pu_query_reply
{
  int kind;                   /* pu_error_kind_t */
  pu_detail message;
  string json<PU_CONTROL_JSON_MAX>;
};

/* What an entry wants for a team (routing/allowance.h).  One without a name
   belongs to the one before it, and `wanted` is what was refused and is
   expected back: earlier releases skip it as an unknown team.  */
struct pu_allowance_want
{
  pu_name team;
  unsigned hyper wanted;
  unsigned hyper first;
  unsigned hyper stock;
  unsigned hyper returned;
  unsigned hyper overdrawn;
};

/* To the leader, by way of any voter: asks for units of teams' allowances.
   With an empty name of the entry, a voter asks for what each team could be
   granted, in `granted` of the answer; `overdrawn` is what it granted itself
   while the leader was silent.  Earlier releases answer with no teams, which
   counts as not known.  */
struct pu_allowance_call
{
  pu_name entry;
  bool forwarded;             /* by a voter that is not the leader */
  unsigned int timeout_ms;
  pu_allowance_want wants<PU_CONTROL_LIST_MAX>;
};

/* What the leader grants to a team at the entry that asked.  One without a
   name belongs to the one before it: `next_ms` is the time until those that
   were refused are back, `granted` the units a second that they share.
   Earlier releases skip it as an unknown team.  */
struct pu_allowance_share
{
  pu_name team;
  unsigned hyper granted;
  unsigned int next_ms;
};

struct pu_allowance_result
{
  int kind;                   /* pu_error_kind_t */
  pu_detail message;
  pu_allowance_share shares<PU_CONTROL_LIST_MAX>;
};

/* What an entry has at an engine (pu_load_use_t of routing/load_hub.h).  */
struct pu_load_use
{
  unsigned hyper id;          /* pu_entry_load_id */
  unsigned int running;
  unsigned int prefilling;
  unsigned int streams;
  unsigned int prefill_tokens;
  unsigned int ratio_sum;     /* in thousandths */
  unsigned int ratio_count;
};

/* The statement of an entry, and the reply that it has taken last.  */
struct pu_load_exchange_call
{
  pu_name entry;
  unsigned hyper incarnation;
  unsigned hyper seq;
  unsigned hyper base;        /* seq of the statement that it builds on; 0:
                                 it has all engines */
  unsigned hyper hub;         /* 0: none */
  unsigned hyper since;       /* version of its numbers */
  pu_load_use uses<PU_CONTROL_LIST_MAX>;
};

/* What the other entries have at an engine.  */
struct pu_load_total
{
  unsigned hyper id;
  unsigned int running;
  unsigned int prefilling;
  unsigned int streams;
  unsigned int prefill_tokens;
  unsigned int slowness;      /* in thousandths; 0: not known */
};

struct pu_load_exchange_result
{
  int kind;                   /* pu_error_kind_t */
  unsigned hyper hub;
  unsigned hyper at;          /* version of the numbers */
  unsigned int next_ms;
  bool whole_wanted;
  bool all;                   /* has all engines that the hub knows */
  pu_load_total totals<PU_CONTROL_LIST_MAX>;
};
