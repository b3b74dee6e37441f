#include "log/commit_watch.h"

#include "base/log.h"

enum
{
  STALLED_MS = 1000,
};

/* Appends the match index of each other member, and for how long it has been
   silent.  */
static void
describe_members (const pu_replica_t *r, uint64_t now, GString *text)
{
  const pu_log_config *c = pu_replica_config (r);
  uint64_t match;
  uint64_t silent;

  for (guint i = 0; i < c->members.members_len; i++)
    {
      const pu_log_peer *p = &c->members.members_val[i].peer;

      if (!pu_replica_peer_state (r, p->id, now, &match, &silent))
        continue;
      g_string_append_printf (text,
                              ", %s has %" G_GUINT64_FORMAT
                              " and answered %" G_GUINT64_FORMAT " ms ago",
                              p->name, match, silent);
    }
}

static void
log_stall (const pu_commit_watch_t *w, const pu_replica_t *r, uint64_t now)
{
  GString *members = g_string_new (NULL);

  describe_members (r, now, members);
  pu_log_note ("log",
               "Nothing was committed for %" G_GUINT64_FORMAT
               " ms while entries %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
               " wait: the own disk has %" G_GUINT64_FORMAT "%s.",
               now - w->since, w->commit + 1, pu_replica_last_index (r),
               pu_replica_durable_index (r), members->str);
  g_string_free (members, TRUE);
}

void
pu_commit_watch_update (pu_commit_watch_t *w, const pu_replica_t *r,
                        uint64_t now)
{
  uint64_t commit = pu_replica_commit_index (r);

  if (!pu_replica_is_leader (r) || commit != w->commit
      || commit == pu_replica_last_index (r))
    {
      if (w->logged_at != 0)
        {
          pu_log_note ("log",
                       "The stall ended after %" G_GUINT64_FORMAT " ms.",
                       now - w->since);
        }
      w->commit = commit;
      w->since = now;
      w->logged_at = 0;
    }
  else if (now - MAX (w->since, w->logged_at) >= STALLED_MS)
    {
      log_stall (w, r, now);
      w->logged_at = now;
    }
}
