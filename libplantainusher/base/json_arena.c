#include "base/json.h"

/* Bytes that the strings grow by.  */
#define ARENA_CHUNK 4096

struct pu_json_arena
{
  GStringChunk *strings;
  GPtrArray *blocks;
};

pu_json_arena_t *
pu_json_arena_new (void)
{
  pu_json_arena_t *a = g_new0 (pu_json_arena_t, 1);

  a->strings = g_string_chunk_new (ARENA_CHUNK);
  a->blocks = g_ptr_array_new_with_free_func (g_free);
  return a;
}

void
pu_json_arena_free (pu_json_arena_t *a)
{
  if (a == NULL)
    return;
  g_string_chunk_free (a->strings);
  g_ptr_array_free (a->blocks, TRUE);
  g_free (a);
}

void *
pu_json_arena_alloc (pu_json_arena_t *a, size_t size)
{
  void *block = g_malloc0 (MAX (size, 1));

  g_ptr_array_add (a->blocks, block);
  return block;
}

const char *
pu_json_arena_string (pu_json_arena_t *a, const char *s)
{
  return g_string_chunk_insert_const (a->strings, s);
}
