#include "base/json.h"

static json_t *
write_string (const pu_field_t *field, const char *s, bool hide)
{
  if (hide && (field->flags & PU_FIELD_SECRET) != 0 && *s != '\0')
    return json_string (PU_JSON_HIDDEN);
  return json_string (s);
}

static json_t *
write_strings (const pu_field_t *field, const pu_json_strings_t *list,
               bool hide)
{
  json_t *array = json_array ();

  for (guint i = 0; i < list->n; i++)
    json_array_append_new (array, write_string (field, list->items[i], hide));
  return array;
}

static json_t *
write_rows (const pu_field_t *field, const pu_json_rows_t *rows, bool hide)
{
  const pu_schema_t *schema = field->schema;
  bool is_map = field->type == PU_FIELD_MAP;
  json_t *out = is_map ? json_object () : json_array ();

  for (guint i = 0; i < rows->n; i++)
    {
      const char *row = (const char *)rows->items + i * schema->size;
      json_t *value = pu_json_write (schema, row, hide);

      if (is_map)
        {
          json_object_set_new (
              out, *(const char *const *)(row + schema->key_offset), value);
        }
      else
        {
          json_array_append_new (out, value);
        }
    }
  return out;
}

static json_t *
write_value (const pu_field_t *field, const char *at, bool hide)
{
  switch (field->type)
    {
    case PU_FIELD_STRING:
      return write_string (field, *(const char *const *)at, hide);
    case PU_FIELD_WORD:
      return json_string (field->words[*(const guint32 *)at]);
    case PU_FIELD_INT:
      return json_integer (*(const guint32 *)at);
    case PU_FIELD_NUMBER:
      return json_real (*(const double *)at);
    case PU_FIELD_BOOL:
      return json_boolean (*(const bool *)at);
    case PU_FIELD_STRINGS:
      return write_strings (field, (const pu_json_strings_t *)at, hide);
    case PU_FIELD_OBJECT:
      return pu_json_write (field->schema, at, hide);
    case PU_FIELD_MAP:
    case PU_FIELD_LIST:
      return write_rows (field, (const pu_json_rows_t *)at, hide);
    }
  return json_null ();
}

json_t *
pu_json_write (const pu_schema_t *schema, const void *in, bool hide)
{
  json_t *object = json_object ();

  for (size_t i = 0; i < schema->n; i++)
    {
      const pu_field_t *field = &schema->fields[i];
      const char *at = (const char *)in + field->offset;

      json_object_set_new (object, field->name, write_value (field, at, hide));
    }
  return object;
}
