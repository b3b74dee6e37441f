#ifndef PU_BASE_JSON_REFERENCE_H
#define PU_BASE_JSON_REFERENCE_H

/*
 * json_reference - for tests: the operators' reference lists each field of a
 * schema with the unit, range and default in force.
 */

#include <gtest/gtest.h>
#include <string>

#include "base/json.h"

/* The first columns of FIELD's row in the reference.  */
static inline std::string
pu_reference_row (const pu_field_t *field)
{
  bool is_int = field->type == PU_FIELD_INT;
  std::string row = std::string ("| `") + field->name + "` |";
  char *columns;

  if (!is_int && field->type != PU_FIELD_NUMBER)
    return row;
  columns = g_strdup_printf (
      " %s |%s%s | %.15g..%.15g |", is_int ? "whole number" : "number",
      field->unit == NULL ? "" : " ", field->unit == NULL ? "" : field->unit,
      field->min, field->max);
  row += columns;
  g_free (columns);
  if ((field->flags & PU_FIELD_REQUIRED) != 0)
    return row + " required |";
  /* A default out of range stands for one that the slice works out.  */
  if (field->fallback < field->min || field->fallback > field->max)
    return row;
  columns = g_strdup_printf (" %.15g |", field->fallback);
  row += columns;
  g_free (columns);
  return row;
}

/* Fails for each field of SCHEMA, and below, that TEXT has no row for.  */
static inline void
pu_reference_check (const pu_schema_t *schema, const std::string &text)
{
  for (size_t i = 0; i < schema->n; i++)
    {
      const pu_field_t *field = &schema->fields[i];
      std::string row = pu_reference_row (field);

      EXPECT_NE (std::string::npos, text.find (row)) << row;
      if (field->schema != NULL)
        pu_reference_check (field->schema, text);
    }
}

#endif
