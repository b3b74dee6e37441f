#include <gtest/gtest.h>
#include <string>

extern "C"
{
#include "base/json.h"
}

namespace
{

typedef struct
{
  const char *name;
  guint32 size;
} row_t;

typedef struct
{
  const char *word;
  const char *secret;
  guint32 kind;
  guint32 count;
  double share;
  bool flag;
  pu_json_strings_t list;
  row_t nested;
  pu_json_rows_t map;
} record_t;

const char *
check_lower (const char *s)
{
  return g_ascii_islower (*s) ? NULL : "must start with a lower-case letter";
}

const char *const kinds[] = { "model", "plain", NULL };

pu_field_t
field (const char *name, pu_field_type_t type, size_t offset, double min,
       double max)
{
  pu_field_t f = {};

  f.name = name;
  f.type = type;
  f.offset = offset;
  f.min = min;
  f.max = max;
  return f;
}

class Schema : public testing::Test
{
protected:
  pu_field_t row_field;
  pu_schema_t row_schema;
  pu_field_t fields[9];
  pu_schema_t schema;
  pu_json_arena_t *arena = pu_json_arena_new ();
  pu_findings_t *findings = pu_findings_new ();
  record_t record = {};

  Schema ()
      : row_field (
          field ("size", PU_FIELD_INT, offsetof (row_t, size), 1, 10)),
        row_schema{ &row_field, 1, sizeof (row_t), offsetof (row_t, name),
                    check_lower },
        fields{
          field ("word", PU_FIELD_STRING, offsetof (record_t, word), 0, 8),
          field ("secret", PU_FIELD_STRING, offsetof (record_t, secret), 4,
                 99),
          field ("kind", PU_FIELD_WORD, offsetof (record_t, kind), 0, 0),
          field ("count", PU_FIELD_INT, offsetof (record_t, count), 1, 9),
          field ("share", PU_FIELD_NUMBER, offsetof (record_t, share), 0, 1),
          field ("flag", PU_FIELD_BOOL, offsetof (record_t, flag), 0, 0),
          field ("list", PU_FIELD_STRINGS, offsetof (record_t, list), 0, 2),
          field ("nested", PU_FIELD_OBJECT, offsetof (record_t, nested), 0, 0),
          field ("map", PU_FIELD_MAP, offsetof (record_t, map), 0, 2),
        },
        schema{ fields, G_N_ELEMENTS (fields), sizeof (record_t), 0, NULL }
  {
    row_field.flags = PU_FIELD_REQUIRED;
    row_field.unit = "MB";
    fields[0].check = check_lower;
    fields[1].flags = PU_FIELD_SECRET;
    fields[1].check = check_lower;
    fields[2].words = kinds;
    fields[3].unit = "s";
    fields[3].fallback = 7;
    fields[7].schema = &row_schema;
    fields[8].schema = &row_schema;
  }

  ~Schema () override
  {
    pu_findings_free (findings);
    pu_json_arena_free (arena);
  }

  /* The findings of TEXT as "path: message" lines.  */
  std::string
  read (const char *text)
  {
    json_t *value = json_loads (text, 0, NULL);
    std::string out;

    record = {};
    pu_findings_free (findings);
    findings = pu_findings_new ();
    bool good = pu_json_read (value, &schema, &record, arena, findings);
    EXPECT_EQ (good, pu_findings_count (findings) == 0);
    for (size_t i = 0; i < pu_findings_count (findings); i++)
      {
        const pu_finding_t *one = pu_findings_get (findings, i);

        out += std::string (one->path) + ": " + one->message + "\n";
      }
    json_decref (value);
    return out;
  }
};

TEST_F (Schema, FillsDefaults)
{
  EXPECT_EQ ("", read ("{\"nested\":{\"size\":2}}"));
  EXPECT_EQ (7u, record.count);
  EXPECT_STREQ ("", record.word);
  EXPECT_EQ (2u, record.nested.size);
}

TEST_F (Schema, SortsTheRowsOfAMap)
{
  EXPECT_EQ ("", read ("{\"map\":{\"b\":{\"size\":2},\"a\":{\"size\":1}}}"));
  ASSERT_EQ (2u, record.map.n);
  EXPECT_STREQ ("a", ((const row_t *)record.map.items)[0].name);
}

struct bad_case
{
  const char *text;
  const char *finding;
};

TEST_F (Schema, FindsEachFaultAtItsPlace)
{
  const bad_case cases[] = {
    { "[]", ": must be an object, not a list\n" },
    { "{\"word\":1}", "/word: must be a string, not a whole number\n" },
    { "{\"word\":\"A\"}",
      "/word: \"A\" must start with a lower-case letter\n" },
    { "{\"word\":\"abcdefghi\"}",
      "/word: has 9 bytes; at most 8 are allowed\n" },
    { "{\"secret\":\"TOPSECRET\"}",
      "/secret: must start with a lower-case letter\n" },
    { "{\"kind\":\"x\"}", "/kind: \"x\" is not one of: model, plain\n" },
    { "{\"count\":0}", "/count: is 0; it must be between 1 and 9 s\n" },
    { "{\"count\":2.0}", "/count: must be a whole number, not a number\n" },
    { "{\"share\":1.5}", "/share: is 1.5; it must be between 0 and 1\n" },
    { "{\"flag\":0}", "/flag: must be true or false, not a whole number\n" },
    { "{\"list\":[\"a\",\"a\"]}", "/list/1: \"a\" is listed twice\n" },
    { "{\"list\":[\"a\",\"b\",\"c\"]}",
      "/list: has 3 entries; at most 2 are allowed\n" },
    { "{\"nested\":{}}", "/nested/size: is required\n" },
    { "{\"map\":{\"a/~\":{\"size\":99}}}",
      "/map/a~1~0/size: is 99; it must be between 1 and 10 MB\n" },
    { "{\"map\":{\"A\":{\"size\":1}}}",
      "/map/A: the name \"A\" must start with a lower-case letter\n" },
    { "{\"cuont\":1}",
      "/cuont: is not a known key; did you mean \"count\"?\n" },
    { "{\"zzzzzz\":1}", "/zzzzzz: is not a known key\n" },
    { "{\"flag\":0,\"count\":10}",
      "/count: is 10; it must be between 1 and 9 s\n"
      "/flag: must be true or false, not a whole number\n" },
  };

  for (const bad_case &c : cases)
    EXPECT_EQ (c.finding, read (c.text)) << c.text;
}

TEST_F (Schema, LimitsTheNumberOfFindings)
{
  std::string text = "{\"x0\":0";

  for (int i = 1; i < 1000; i++)
    text += ",\"x" + std::to_string (i) + "\":0";
  read ((text + "}").c_str ());
  EXPECT_EQ ((size_t)PU_JSON_FINDINGS_MAX, pu_findings_count (findings));
}

TEST_F (Schema, HidesSecrets)
{
  read ("{\"secret\":\"topsecret\",\"nested\":{\"size\":1}}");
  json_t *hidden = pu_json_write (&schema, &record, true);
  json_t *open = pu_json_write (&schema, &record, false);

  EXPECT_STREQ (PU_JSON_HIDDEN,
                json_string_value (json_object_get (hidden, "secret")));
  EXPECT_STREQ ("topsecret",
                json_string_value (json_object_get (open, "secret")));
  json_decref (hidden);
  json_decref (open);
}

/* What loading says: "ok", or line:column of the finding.  */
std::string
load (const char *text, bool settings)
{
  pu_findings_t *f = pu_findings_new ();
  json_t *v = settings ? pu_json_load_settings (text, strlen (text), 1000, f)
                       : pu_json_load_document (text, strlen (text), 1000, f);
  std::string out = "ok";

  EXPECT_EQ (v == NULL, pu_findings_count (f) > 0);
  if (v == NULL)
    {
      out = std::to_string (pu_findings_get (f, 0)->line) + ":"
            + std::to_string (pu_findings_get (f, 0)->column);
    }
  json_decref (v);
  pu_findings_free (f);
  return out;
}

TEST (Load, SettingsTakeCommentsAndALastComma)
{
  const struct
  {
    const char *text;
    const char *settings;
    const char *document;
  } cases[] = {
    { "{\"a\": 1}", "ok", "ok" },
    { "{\"a\": 1,}", "ok", "1:9" },
    { "{\"a\": [1, /* b */ ] , // c\n}", "ok", "1:11" },
    { "// first\n{\"a\": \"//no\", \"b\": \"/*\\\"\"}", "ok", "1:1" },
    { "{\"a\": 1, \"a\": 2}", "1:12", "1:12" },
    { "{\"a\": [,]}", "1:8", "1:8" },
    { "{\"a\": [1,,]}", "1:10", "1:10" },
    { "{,}", "1:2", "1:2" },
    { "{\n/* \xc3\xa9 */ x}", "2:9", "2:1" },
    { "{\n /* open", "2:2", "2:2" },
    { "", "1:1", "1:1" },
  };

  for (const auto &c : cases)
    {
      EXPECT_EQ (c.settings, load (c.text, true)) << c.text;
      EXPECT_EQ (c.document, load (c.text, false)) << c.text;
    }
}

TEST (Load, RefusesALongText)
{
  std::string text (2000, ' ');

  EXPECT_EQ ("0:0", load (text.c_str (), true));
  EXPECT_EQ ("0:0", load (text.c_str (), false));
}

TEST (Nearest, OrdersByDistanceAndLeavesOutTheFar)
{
  const char *const names[] = { "timeout_ms", "time", "tiem", "models" };
  char *near = pu_json_nearest ("tmie", names, 4, 3);
  char *far = pu_json_nearest ("x", names, 4, 3);

  EXPECT_STREQ ("time", near);
  EXPECT_STREQ ("", far);
  g_free (near);
  g_free (far);
}

TEST (Diff, FollowsObjectsToTheirLeaves)
{
  const struct
  {
    const char *older;
    const char *newer;
    const char *diff;
  } cases[] = {
    { "{\"a\":1}", "{\"a\":1}", "[]" },
    { "{\"a\":1}", "{\"a\":2}",
      "[{\"kind\":\"changed\",\"new\":2,\"old\":1,\"path\":\"/a\"}]" },
    { "{\"a\":{\"b\":1}}", "{\"a\":{\"c\":{}}}",
      "[{\"kind\":\"removed\",\"old\":1,\"path\":\"/a/b\"},"
      "{\"kind\":\"added\",\"new\":{},\"path\":\"/a/c\"}]" },
    { "{\"l\":[\"x\",\"y\"]}", "{\"l\":[\"z\",\"y\"]}",
      "[{\"kind\":\"removed\",\"old\":\"x\",\"path\":\"/l\"},"
      "{\"kind\":\"added\",\"new\":\"z\",\"path\":\"/l\"}]" },
    { "{\"l\":[\"x\",\"y\"]}", "{\"l\":[\"y\",\"x\"]}",
      "[{\"kind\":\"changed\",\"new\":[\"y\",\"x\"],\"old\":[\"x\",\"y\"],"
      "\"path\":\"/l\"}]" },
  };

  for (const auto &c : cases)
    {
      json_t *older = json_loads (c.older, 0, NULL);
      json_t *newer = json_loads (c.newer, 0, NULL);
      json_t *diff = pu_json_diff (older, newer);
      char *text = json_dumps (diff, JSON_SORT_KEYS | JSON_COMPACT);

      EXPECT_STREQ (c.diff, text);
      free (text);
      json_decref (diff);
      json_decref (older);
      json_decref (newer);
    }
}

} // namespace
