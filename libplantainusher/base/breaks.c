#include "base/breaks.h"

#ifdef PU_BREAKS

#define VARIABLE "PU_BREAK"

bool
pu_break_active (const char *rule)
{
  static char **rules;

  if (rules == NULL)
    {
      const char *text = g_getenv (VARIABLE);

      rules = g_strsplit (text == NULL ? "" : text, ",", -1);
    }
  return g_strv_contains ((const char *const *)rules, rule);
}

#endif
