/* The paths that act without a document: drain, voters, log-level, lift.  */

#include "operator/internal.h"

#include <string.h>

#include "base/json.h"

/* The string FIELD of O, or NULL after a finding in F when it is no name.  */
static const char *
name_field (const json_t *o, const char *field, pu_findings_t *f)
{
  const char *name = json_string_value (json_object_get (o, field));
  char *path;

  if (name != NULL && *name != '\0' && strlen (name) <= PU_NAME_MAX)
    return name;
  path = g_strconcat ("/", field, NULL);
  pu_findings_add (f, path, "A name of 1 to %d bytes is needed.", PU_NAME_MAX);
  g_free (path);
  return NULL;
}

static void
command_done (const pu_reply *r, const pu_error_t *e, void *data)
{
  pu_operator_exchange_t *x = data;

  if (r == NULL)
    {
      pu_operator_exchange_error (x, e);
      return;
    }
  if (r->outcome != PU_OUTCOME_DONE && r->outcome != PU_OUTCOME_SEEN)
    {
      pu_operator_exchange_fail (
          x,
          r->outcome == PU_OUTCOME_REFUSED ? PU_ERROR_NOT_FOUND
                                           : PU_ERROR_CONFLICT,
          "The command was refused: %s", r->detail != NULL ? r->detail : "");
      return;
    }
  json_object_set_new (x->answer, "position",
                       json_integer ((json_int_t)r->position));
  pu_operator_exchange_json (x, 200, json_incref (x->answer));
}

static void
propose (pu_operator_exchange_t *x, const pu_command *c)
{
  if (x->op->hooks.propose == NULL)
    {
      pu_operator_exchange_fail (x, PU_ERROR_UNAVAILABLE,
                                 "There is no log here.");
    }
  else
    {
      x->op->hooks.propose (c, x->op->propose_timeout_ms, command_done, x,
                            x->op->hooks.data);
    }
}

static void
add_member_name (const pu_member_record *m, void *data)
{
  g_ptr_array_add (data, m->name);
}

static void
add_backend_name (const pu_backend_record *b, void *data)
{
  g_ptr_array_add (data, b->name);
}

static void
refuse_name (pu_operator_exchange_t *x, const char *what, const char *name,
             const GPtrArray *names)
{
  char *near = pu_json_nearest (name, (const char *const *)names->pdata,
                                names->len, PU_OPERATOR_NEAR_MAX);

  pu_operator_exchange_fail (x, PU_ERROR_NOT_FOUND,
                             "There is no %s \"%s\"%s%s.", what, name,
                             *near != '\0' ? "; near it: " : "", near);
  g_free (near);
}

static void
drain_instance (pu_operator_exchange_t *x, const char *name)
{
  const pu_state_t *s = pu_operator_exchange_view (x);
  const pu_member_record *m = pu_state_member (s, name);
  pu_command c = { .type = PU_COMMAND_MEMBER_LEAVING };

  if (m == NULL)
    {
      GPtrArray *names = g_ptr_array_new ();

      pu_state_each_member (s, add_member_name, names);
      refuse_name (x, "instance", name, names);
      g_ptr_array_free (names, TRUE);
      return;
    }
  x->answer = json_pack ("{s:s}", "instance", name);
  c.pu_command_u.member_leaving.name = m->name;
  c.pu_command_u.member_leaving.incarnation = m->incarnation;
  propose (x, &c);
}

static void
drain_backend (pu_operator_exchange_t *x, const char *name)
{
  const pu_state_t *s = pu_operator_exchange_view (x);
  const pu_backend_record *b = pu_state_backend (s, name);
  pu_command c = { .type = PU_COMMAND_BACKEND_LEAVING };

  if (b == NULL)
    {
      GPtrArray *names = g_ptr_array_new ();

      pu_state_each_backend (s, add_backend_name, names);
      refuse_name (x, "backend server", name, names);
      g_ptr_array_free (names, TRUE);
      return;
    }
  x->answer = json_pack ("{s:s}", "backend", name);
  c.pu_command_u.backend_leaving.name = b->name;
  c.pu_command_u.backend_leaving.incarnation = b->incarnation;
  propose (x, &c);
}

void
pu_operator_drain (pu_operator_exchange_t *x)
{
  json_t *o = pu_operator_exchange_object (x);
  bool instance;
  const char *name;
  pu_findings_t *f;

  if (o == NULL)
    return;
  f = pu_findings_new ();
  instance = json_object_get (o, "instance") != NULL;
  if (json_object_size (o) != 1)
    pu_findings_add (f, "", "Give one of \"instance\" and \"backend\".");
  name = name_field (o, instance ? "instance" : "backend", f);
  if (pu_findings_count (f) > 0)
    {
      pu_operator_exchange_findings (x, f);
    }
  else
    {
      pu_findings_free (f);
      if (instance)
        {
          drain_instance (x, name);
        }
      else
        {
          drain_backend (x, name);
        }
    }
  json_decref (o);
}

static bool
read_action (const char *word, pu_operator_voters_action_t *action)
{
  static const char *const words[] = {
    [PU_OPERATOR_VOTERS_ADD] = "add",
    [PU_OPERATOR_VOTERS_REMOVE] = "remove",
    [PU_OPERATOR_VOTERS_REPLACE] = "replace",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    {
      if (word != NULL && strcmp (word, words[i]) == 0)
        {
          *action = (pu_operator_voters_action_t)i;
          return true;
        }
    }
  return false;
}

void
pu_operator_voters (pu_operator_exchange_t *x)
{
  json_t *o = pu_operator_exchange_object (x);
  pu_operator_voters_action_t action = PU_OPERATOR_VOTERS_ADD;
  const char *with = "";
  const char *name;
  pu_findings_t *f;

  if (o == NULL)
    return;
  f = pu_findings_new ();
  if (!read_action (json_string_value (json_object_get (o, "action")),
                    &action))
    pu_findings_add (f, "/action", "It must be add, remove or replace.");
  name = name_field (o, "name", f);
  if (action == PU_OPERATOR_VOTERS_REPLACE)
    with = name_field (o, "with", f);
  if (pu_findings_count (f) > 0)
    {
      pu_operator_exchange_findings (x, f);
    }
  else
    {
      pu_findings_free (f);
      if (x->op->hooks.voters == NULL)
        {
          pu_operator_exchange_fail (x, PU_ERROR_UNAVAILABLE,
                                     "This daemon changes no voters.");
        }
      else
        {
          x->op->hooks.voters (action, name, with,
                               pu_operator_exchange_done_json, x,
                               x->op->hooks.data);
        }
    }
  json_decref (o);
}

void
pu_operator_log_level (pu_operator_exchange_t *x)
{
  json_t *o = pu_operator_exchange_object (x);
  const pu_operator_hooks_t *hooks;
  const char *level;

  if (o == NULL)
    return;
  hooks = &x->op->hooks;
  level = json_string_value (json_object_get (o, "level"));
  if (hooks->set_log_level == NULL)
    {
      pu_operator_exchange_fail (x, PU_ERROR_UNAVAILABLE,
                                 "The level can't be set here.");
    }
  else if (level != NULL && hooks->set_log_level (level, hooks->data))
    {
      pu_operator_exchange_json (x, 200, json_pack ("{s:s}", "level", level));
    }
  else
    {
      pu_findings_t *f = pu_findings_new ();

      pu_findings_add (f, "/level", "It must be debug, info, note or warn.");
      pu_operator_exchange_findings (x, f);
    }
  json_decref (o);
}

static bool
read_fingerprint (const char *text, guint64 *fingerprint)
{
  char *end;

  if (text == NULL || !g_ascii_isxdigit (text[0]) || strlen (text) > 16)
    return false;
  *fingerprint = g_ascii_strtoull (text, &end, 16);
  return *end == '\0';
}

static void
lift (pu_operator_exchange_t *x, guint64 fingerprint, const char *text)
{
  const pu_suspect_record *r
      = pu_state_suspect (pu_operator_exchange_view (x), fingerprint);
  pu_command c = { .type = PU_COMMAND_LIFT };

  if (r == NULL)
    {
      pu_operator_exchange_fail (x, PU_ERROR_NOT_FOUND,
                                 "There is no conviction %s.", text);
      return;
    }
  x->answer = json_pack ("{s:s}", "fingerprint", text);
  c.pu_command_u.lift = fingerprint;
  propose (x, &c);
}

void
pu_operator_lift (pu_operator_exchange_t *x)
{
  json_t *o = pu_operator_exchange_object (x);
  guint64 fingerprint;
  const char *text;

  if (o == NULL)
    return;
  text = json_string_value (json_object_get (o, "fingerprint"));
  if (read_fingerprint (text, &fingerprint))
    {
      lift (x, fingerprint, text);
    }
  else
    {
      pu_findings_t *f = pu_findings_new ();

      pu_findings_add (f, "/fingerprint",
                       "It must be 1 to 16 hexadecimal digits.");
      pu_operator_exchange_findings (x, f);
    }
  json_decref (o);
}
