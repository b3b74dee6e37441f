/*
 * The commands of the replicated log and the records they keep.
 *
 * Names are UTF-8, times are milliseconds: `wall` since 1970, others as said.
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
  unsigned hyper position;   /* log position that accepted it */
  unsigned hyper wall;
  unsigned hyper hash;       /* of the text, by XXH3 */
  pu_name change_id;
  pu_name author;
  unsigned hyper rank;       /* as submitted; 0: by base version */
  string text<PU_DOCUMENT_MAX>; /* empty in the history, whole for the newest */
};

/* An instance that runs a daemon of ours.  */
struct pu_member_record
{
  pu_name name;
  unsigned hyper incarnation;
  pu_name region;
  pu_name zone;
  pu_name caller_address;    /* host:port; empty when it is no entry */
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

/* One model or adapter at one version in a backend server's memory.  */
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

/* A backend server that announced itself.  */
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
  bool down;                 /* its lease is over; kept for its memory */
  unsigned hyper seq;        /* of the report; rises within an incarnation */
  unsigned hyper token;      /* highest fencing token that it reported */
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
  unsigned hyper token;      /* fencing token: the log position that made it */
  pu_order_kind kind;
  pu_name backend;
  unsigned hyper incarnation; /* of the backend server */
  pu_name model;
  pu_name model_version;
  unsigned int memory_mb;
  unsigned hyper wall;       /* when it was reserved */
  unsigned int life_ms;      /* it can take effect no later than this */
  pu_detail reason;
};

/* At-most-once calls.  */
enum pu_claim_phase
{
  PU_CLAIM_OPEN = 0,         /* claimed, outcome not recorded */
  PU_CLAIM_RAN = 1,          /* ran; the result is kept */
  PU_CLAIM_NOT_RUN = 2,      /* proved not to have run; may be claimed again */
  PU_CLAIM_UNKNOWN = 3       /* its owner died */
};

struct pu_claim_record
{
  pu_name service;
  pu_name key;
  unsigned hyper fingerprint; /* of method, path and body */
  pu_name owner;             /* the entry */
  unsigned hyper owner_incarnation;
  unsigned hyper attempt;    /* of the owner's, so that a resent command is known */
  unsigned hyper position;   /* log position of the claim in force */
  unsigned hyper wall;       /* when it was claimed */
  unsigned hyper window_ms;
  pu_claim_phase phase;
  unsigned int status;       /* HTTP status of the result */
  pu_name content_type;
  opaque result<PU_RESULT_MAX>;
  pu_detail closed<PU_CLOSED_MAX>; /* earlier attempts that did not run */
};

/* A request that was running on a backend server when it died.  */
struct pu_suspect_record
{
  unsigned hyper fingerprint;
  pu_name model;
  unsigned int strikes;      /* backend servers lost while it ran */
  bool convicted;
  unsigned hyper wall;       /* of the last strike */
  pu_detail lost<PU_LOST_MAX>; /* NAME@INCARNATION of each, the first few; with
                                  a '!' behind it when it ran there apart */
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
  PU_COMMAND_BACKEND_DELTA = 14  /* from voters to public copies; never in
                                    the log */
};

/* A change of the document.  With a rank, the highest rank wins whatever the
   base version was; else the base version has to be the one in force.  As a
   delta, the new text is the first PREFIX bytes
   of the text at base_version, TEXT, and its last SUFFIX bytes.  */
struct pu_submit
{
  unsigned hyper base_version; /* 0: there is no document yet */
  unsigned hyper wall;
  pu_name change_id;
  pu_name author;
  unsigned hyper rank;       /* chosen by the submitter; 0: none */
  bool delta;
  unsigned int prefix;
  unsigned int suffix;       /* highest bit: TEXT is hunks, see delta.h */
  unsigned hyper hash;       /* of the new text, by XXH3; deltas only */
  string text<PU_DOCUMENT_MAX>;
};

/* A copy of the record before that changed.  */
struct pu_copy_change
{
  unsigned int number;       /* in the list before */
  unsigned int memory_mb;
  pu_copy_phase phase;
};

/* What a report changed in the record of a backend server.  */
struct pu_backend_delta
{
  pu_name name;
  unsigned hyper base;       /* hash of the record before, by XXH3 */
  unsigned hyper seq;
  unsigned hyper token;
  pu_copy_change changed<PU_LIST_MAX>;
  unsigned int gone<PU_LIST_MAX>; /* numbers in the list before, rising */
  pu_copy_record added<PU_LIST_MAX>; /* behind those that stay */
};

struct pu_down
{
  pu_name name;
  unsigned hyper incarnation;
};

struct pu_release
{
  unsigned hyper token;
  pu_detail proof;           /* why the memory is known to be free or counted */
};

struct pu_claim_request
{
  pu_name service;
  pu_name key;
  unsigned hyper fingerprint;
  pu_name owner;
  unsigned hyper owner_incarnation;
  unsigned hyper attempt;    /* unique within the owner's incarnation */
  unsigned hyper wall;
  unsigned hyper window_ms;  /* the result is kept that long; 0: the default */
};

struct pu_claim_done
{
  pu_name service;
  pu_name key;
  unsigned hyper position;   /* log position of the claim that it closes */
  pu_claim_phase phase;
  unsigned int status;
  pu_name content_type;
  opaque result<PU_RESULT_MAX>;
};

struct pu_strike
{
  bool apart;                /* it was known as a suspect when it was sent */
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
};

/* What applying a command answered; the same on every voter.  */
enum pu_outcome
{
  PU_OUTCOME_DONE = 0,
  PU_OUTCOME_SEEN = 1,       /* the same change id or claim came before */
  PU_OUTCOME_CONFLICT = 2,   /* stale version, other fingerprint, no memory */
  PU_OUTCOME_REFUSED = 3,    /* not known, too old, an old incarnation */
  PU_OUTCOME_BUSY = 4        /* claimed and still running */
};

struct pu_reply
{
  pu_outcome outcome;
  unsigned hyper doc_version; /* of the document in force */
  unsigned hyper position;   /* log position of the command (or of the first) */
  pu_detail detail;
  pu_claim_record *claim;    /* the claim that was there before */
};

/* The whole state at a log position.  The history, the claims and the orders
   stay empty in the copy that goes to entries.  */
struct pu_state_image
{
  unsigned hyper position;
  unsigned hyper view;       /* counts changes of members */
  pu_doc_record document;
  pu_doc_record history<PU_TABLE_MAX>;
  pu_member_record members<PU_LIST_MAX>;
  pu_backend_record backends<PU_LIST_MAX>;
  pu_order_record orders<PU_LIST_MAX>;
  pu_claim_record claims<PU_TABLE_MAX>;
  pu_suspect_record suspects<PU_LIST_MAX>;
};
