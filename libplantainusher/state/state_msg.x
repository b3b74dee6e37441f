/*
 * The commands of the replicated log and the records of the state.
 *
 * Names are UTF-8.  Times are in milliseconds; `wall` is wall-clock time since
 * 1970.
 */

#ifdef RPC_XDR
%#include "state/bounded.h"
#endif

const PU_NAME_MAX = 128;
const PU_DETAIL_MAX = 1024;
const PU_DOCUMENT_MAX = 4194304;
const PU_RESULT_MAX = 65536;
const PU_LIST_MAX = 4096;
const PU_LOST_MAX = 16;
const PU_CLOSED_MAX = 16;
const PU_TABLE_MAX = 1048576;

typedef string pu_name<PU_NAME_MAX>;
typedef string pu_detail<PU_DETAIL_MAX>;

/* An accepted document.  */
struct pu_doc_record
{
  unsigned hyper doc_version; /* 1 is the first */
  unsigned hyper position;   /* log position of the command */
  unsigned hyper wall;
  unsigned hyper hash;       /* of the text, by XXH3 */
  pu_name change_id;
  pu_name author;
  unsigned hyper rank;       /* of the last change that had one; 0: none */
  string text<PU_DOCUMENT_MAX>; /* empty except in the newest */
};

/* An instance that runs a daemon.  */
struct pu_member_record
{
  pu_name name;
  unsigned hyper incarnation;
  pu_name region;
  pu_name zone;
  pu_name caller_address;    /* for clients, host:port; empty when the
                                member is not an entry */
  pu_name operator_address;
  pu_name peer_address;
  bool leaving;
};

enum pu_copy_phase
{
  PU_COPY_LOADING = 0,
  PU_COPY_READY = 1,
  PU_COPY_DRAINING = 2,
  PU_COPY_UNLOADING = 3
};

/* A model or adapter at one version in a backend server's memory.  */
struct pu_copy_record
{
  pu_name model;
  pu_name model_version;
  unsigned int memory_mb;    /* on each of its accelerators */
  pu_copy_phase phase;
};

enum pu_backend_kind
{
  PU_BACKEND_ENGINE = 0,
  PU_BACKEND_PLAIN = 1
};

/* A backend server that has announced itself.  */
struct pu_backend_record
{
  pu_name name;
  unsigned hyper incarnation;
  pu_backend_kind kind;
  pu_name service;           /* plain services only */
  pu_name address;           /* host:port */
  pu_name region;
  pu_name zone;
  unsigned int accelerators;
  unsigned int memory_mb;    /* of each accelerator */
  bool fenced;               /* refuses an order with an old token */
  bool leaving;
  bool down;                 /* its lease has expired; the record is kept
                                because its memory stays counted */
  unsigned hyper seq;        /* sequence number of the report; increases within
                                an incarnation */
  unsigned hyper token;      /* highest fencing token that it has reported */
  pu_copy_record copies<PU_LIST_MAX>;
};

/* A reservation of memory for an order to a backend server.  */
enum pu_order_kind
{
  PU_ORDER_LOAD = 0,
  PU_ORDER_UNLOAD = 1
};

struct pu_order_record
{
  unsigned hyper token;      /* fencing token: log position of RESERVE */
  pu_order_kind kind;
  pu_name backend;
  unsigned hyper incarnation; /* of the backend server */
  pu_name model;
  pu_name model_version;
  unsigned int memory_mb;
  unsigned hyper wall;       /* when it was reserved */
  unsigned int life_ms;      /* lifetime; the order has no effect after it */
  pu_detail reason;
};

/* At-most-once calls.  */
enum pu_claim_phase
{
  PU_CLAIM_OPEN = 0,         /* claimed, outcome not recorded */
  PU_CLAIM_RAN = 1,          /* has run; the result is kept */
  PU_CLAIM_NOT_RUN = 2,      /* known not to have run; may be claimed again */
  PU_CLAIM_UNKNOWN = 3       /* its owner is gone; may have run */
};

struct pu_claim_record
{
  pu_name service;
  pu_name key;
  unsigned hyper fingerprint; /* of method, path and body */
  pu_name owner;             /* name of the entry */
  unsigned hyper owner_incarnation;
  unsigned hyper attempt;    /* number of the owner's attempt; identifies a
                                command that was sent again */
  unsigned hyper position;   /* log position of the command that opened it */
  unsigned hyper wall;       /* when it was claimed */
  unsigned hyper window_ms;
  pu_claim_phase phase;
  unsigned int status;       /* HTTP status of the result */
  pu_name content_type;
  opaque result<PU_RESULT_MAX>;
  pu_detail closed<PU_CLOSED_MAX>; /* earlier attempts that did not run, the
                                newest first: OWNER@INCARNATION/ATTEMPT */
};

/* A request that was in flight on a backend server when the server died.  */
struct pu_suspect_record
{
  unsigned hyper fingerprint;
  pu_name model;
  unsigned int strikes;      /* backend servers lost while it ran */
  bool convicted;
  unsigned hyper wall;       /* of the last strike */
  pu_detail lost<PU_LOST_MAX>; /* the last of them, as NAME@INCARNATION; with
                                  '!' appended when it ran there isolated */
};

enum pu_voter_action
{
  PU_VOTER_ADD = 0,
  PU_VOTER_REMOVE = 1
};

enum pu_command_type
{
  PU_COMMAND_NOOP = 0,
  PU_COMMAND_SUBMIT = 1,
  PU_COMMAND_MEMBER_UP = 2,
  PU_COMMAND_MEMBER_DOWN = 3,
  PU_COMMAND_MEMBER_LEAVING = 4,
  PU_COMMAND_BACKEND_UP = 5,     /* new, or changed copies or flags */
  PU_COMMAND_BACKEND_DOWN = 6,
  PU_COMMAND_BACKEND_LEAVING = 7,
  PU_COMMAND_RESERVE = 8,
  PU_COMMAND_RELEASE = 9,
  PU_COMMAND_CLAIM = 10,
  PU_COMMAND_CLAIM_DONE = 11,
  PU_COMMAND_STRIKE = 12,
  PU_COMMAND_LIFT = 13,
  PU_COMMAND_BACKEND_DELTA = 14, /* sent by voters to public copies; never
                                    in the log */
  PU_COMMAND_SERVED_TIME = 15    /* earlier releases skip it */
};

/* A change of the document.  With a rank, it is accepted when the rank is
   above that of the document in force, whatever the base version is; without a
   rank, when the base version is the one in force.  In a delta, the new text
   is the first PREFIX bytes of the text at base_version, then TEXT, then the
   last SUFFIX bytes of the text at base_version.  */
struct pu_submit
{
  unsigned hyper base_version; /* 0: before the first document */
  unsigned hyper wall;
  pu_name change_id;
  pu_name author;
  unsigned hyper rank;       /* chosen by the submitter; 0: none */
  bool delta;
  unsigned int prefix;
  unsigned int suffix;       /* highest bit set: TEXT has hunks, see delta.h */
  unsigned hyper hash;       /* of the new text, by XXH3; deltas only */
  string text<PU_DOCUMENT_MAX>;
};

/* A copy that changed, in a list of copies.  */
struct pu_copy_change
{
  unsigned int number;       /* index in the old record's list */
  unsigned int memory_mb;
  pu_copy_phase phase;
};

/* The changes of a report to the record of a backend server.  */
struct pu_backend_delta
{
  pu_name name;
  unsigned hyper base;       /* hash of the old record, by XXH3 */
  unsigned hyper seq;
  unsigned hyper token;
  pu_copy_change changed<PU_LIST_MAX>;
  unsigned int gone<PU_LIST_MAX>; /* indexes in the old list, ascending */
  pu_copy_record added<PU_LIST_MAX>; /* appended to the remaining ones */
};

struct pu_down
{
  pu_name name;
  unsigned hyper incarnation;
};

struct pu_release
{
  unsigned hyper token;
  pu_detail proof;           /* why closing the order is safe: its memory is
                                known to be free, or is counted without it */
};

struct pu_claim_request
{
  pu_name service;
  pu_name key;
  unsigned hyper fingerprint;
  pu_name owner;
  unsigned hyper owner_incarnation;
  unsigned hyper attempt;    /* unique in the owner's incarnation */
  unsigned hyper wall;
  unsigned hyper window_ms;  /* retention of the result; 0: the default */
};

struct pu_claim_done
{
  pu_name service;
  pu_name key;
  unsigned hyper position;   /* log position of the claim to close */
  pu_claim_phase phase;
  unsigned int status;
  pu_name content_type;
  opaque result<PU_RESULT_MAX>;
};

struct pu_strike
{
  bool apart;                /* the request ran isolated, as a known suspect */
  unsigned hyper fingerprint;
  pu_name model;
  pu_name backend;
  unsigned hyper incarnation;
  unsigned hyper wall;
};

union pu_command switch (pu_command_type type)
{
case PU_COMMAND_NOOP:
  void;
case PU_COMMAND_SUBMIT:
  pu_submit submit;
case PU_COMMAND_MEMBER_UP:
  pu_member_record member_up;
case PU_COMMAND_MEMBER_DOWN:
  pu_down member_down;
case PU_COMMAND_MEMBER_LEAVING:
  pu_down member_leaving;
case PU_COMMAND_BACKEND_UP:
  pu_backend_record backend_up;
case PU_COMMAND_BACKEND_DOWN:
  pu_down backend_down;
case PU_COMMAND_BACKEND_LEAVING:
  pu_down backend_leaving;
case PU_COMMAND_RESERVE:
  pu_order_record reserve;
case PU_COMMAND_RELEASE:
  pu_release release;
case PU_COMMAND_CLAIM:
  pu_claim_request claim;
case PU_COMMAND_CLAIM_DONE:
  pu_claim_done claim_done;
case PU_COMMAND_STRIKE:
  pu_strike strike;
case PU_COMMAND_LIFT:
  unsigned hyper lift;       /* fingerprint */
case PU_COMMAND_BACKEND_DELTA:
  pu_backend_delta backend_delta;
case PU_COMMAND_SERVED_TIME:
  unsigned hyper served_time; /* wall, see state/served.h */
};

/* The result of a command; the same on every voter.  */
enum pu_outcome
{
  PU_OUTCOME_DONE = 0,
  PU_OUTCOME_SEEN = 1,       /* a duplicate, or nothing to change */
  PU_OUTCOME_CONFLICT = 2,   /* stale version, other content, no memory */
  PU_OUTCOME_REFUSED = 3,    /* unknown, stale, or of an old incarnation */
  PU_OUTCOME_BUSY = 4        /* claimed and still running */
};

struct pu_reply
{
  pu_outcome outcome;
  unsigned hyper doc_version; /* of the document in force */
  unsigned hyper position;   /* log position of the command, or of the one
                                that it duplicates */
  pu_detail detail;
  pu_claim_record *claim;    /* the claim that exists for the key */
};

/* A snapshot of the state at a log position.  The history, the claims and the
   orders are empty in a snapshot for public copies.  */
struct pu_state_image
{
  unsigned hyper position;
  unsigned hyper view;       /* number of changes of members */
  pu_doc_record document;
  pu_doc_record history<PU_TABLE_MAX>;
  pu_member_record members<PU_LIST_MAX>;
  pu_backend_record backends<PU_LIST_MAX>;
  pu_order_record orders<PU_LIST_MAX>;
  pu_claim_record claims<PU_TABLE_MAX>;
  pu_suspect_record suspects<PU_LIST_MAX>;
};
