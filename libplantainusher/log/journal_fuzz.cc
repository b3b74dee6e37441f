/* Fuzzes the recovery of a journal with damaged files.  The journal must open
   with a prefix of the written entries or fail with PU_ERROR_CORRUPT; it must
   never return other entries.  A folder that was refused can be set aside and
   then opens as empty.

   The input is a list of damages of five bytes each: the kind, the file, the
   offset (two bytes) and a value.  */
#include <stdint.h>

#include "base/log.h"
#include "log/journal_fake.h"

static const uint64_t ENTRIES = 9;
static const char FOLDER[] = "f";

static void
require (bool good)
{
  if (!good)
    __builtin_trap ();
}

static pu_journal_t *
journal_open (FakeDisk *d, pu_disk_image_t *image, pu_error_t *e)
{
  pu_journal_options_t o;

  pu_journal_options_init (&o);
  pu_disk_image_init (image);
  o.folder = FOLDER;
  o.fs = &d->fs;
  o.segment_bytes = 300;
  return pu_journal_open (&o, image, e);
}

static uint64_t
term_of (uint64_t index)
{
  return 1 + index / 4;
}

/* Writes entries in three segments, one entry per batch, and the metadata.  */
static void
fill (FakeDisk *d)
{
  pu_disk_image_t image;
  pu_log_meta meta{};
  pu_journal_t *j = journal_open (d, &image, nullptr);

  require (j != nullptr && pu_journal_create (j, 77, nullptr));
  for (uint64_t i = 1; i <= ENTRIES; i++)
    {
      GPtrArray *a
          = g_ptr_array_new_with_free_func ((GDestroyNotify)pu_record_unref);

      g_ptr_array_add (a, pu_record_new (i, term_of (i), PU_LOG_DATA,
                                         "some bytes of data", 18));
      pu_journal_queue_entries (j, 2 * i, a, i / 2);
      meta.term = term_of (i);
      pu_journal_queue_meta (j, 2 * i + 1, &meta);
      require (pu_journal_flush (j, nullptr));
      g_ptr_array_unref (a);
    }
  pu_journal_free (j);
  pu_disk_image_clear (&image);
}

static void
damage (FakeDisk *d, const uint8_t *p)
{
  if (d->live.empty ())
    return;
  auto file = std::next (d->live.begin (), p[1] % d->live.size ());
  std::string &bytes = file->second->live;
  const size_t at = bytes.empty () ? 0 : (p[2] << 8 | p[3]) % bytes.size ();

  switch (p[0] % 5)
    {
    case 0:
      if (!bytes.empty ())
        bytes[at] = (char)(bytes[at] ^ p[4]);
      break;
    case 1:
      bytes.resize (at);
      break;
    case 2:
      bytes.append (1 + at % 64, (char)p[4]);
      break;
    case 3:
      bytes.insert (at, bytes.substr (at, p[4]));
      break;
    default:
      d->live.erase (file);
      break;
    }
}

/* Requires that IMAGE holds a prefix of the written entries.  The identity
   may be 0 when the metadata was lost together with all other files.  */
static void
check_image (const pu_disk_image_t *image)
{
  require (image->snapshot.index == 0);
  require (image->meta.id == 77 || image->meta.id == 0);
  require (image->entries->len <= ENTRIES);
  for (guint i = 0; i < image->entries->len; i++)
    {
      const auto *r = static_cast<const pu_record_t *> (
          g_ptr_array_index (image->entries, i));

      require (r->index == i + 1 && r->term == term_of (i + 1));
    }
}

static void
check_set_aside (FakeDisk *d)
{
  pu_disk_image_t image;

  require (pu_journal_set_aside (FOLDER, &d->fs, nullptr));
  pu_journal_t *j = journal_open (d, &image, nullptr);
  require (j != nullptr && image.meta.id == 0 && image.entries->len == 0);
  pu_journal_free (j);
  pu_disk_image_clear (&image);
}

extern "C" int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const guint quiet = g_log_set_handler (
      "journal", G_LOG_LEVEL_MASK,
      [] (const gchar *, GLogLevelFlags, const gchar *, gpointer) {}, nullptr);
  FakeDisk d;
  pu_disk_image_t image;
  pu_error_t e{};

  (void)quiet;
  fill (&d);
  for (size_t i = 0; i + 5 <= size; i += 5)
    damage (&d, data + i);
  pu_journal_t *j = journal_open (&d, &image, &e);
  if (j != nullptr)
    {
      check_image (&image);
      pu_journal_free (j);
    }
  else
    {
      require (e.kind == PU_ERROR_CORRUPT);
      check_set_aside (&d);
    }
  pu_disk_image_clear (&image);
  return 0;
}
