#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "command.h"
#include "print.h"

namespace
{

struct Parsed
{
  pu_cli_options_t o;
  pu_error_t e = {};
  bool good;

  Parsed (std::vector<const char *> words, guint flags)
  {
    words.push_back (nullptr);
    good = pu_cli_options_parse (&o, (int)words.size () - 1, words.data (),
                                 flags, &e);
  }
  ~Parsed () { pu_cli_options_clear (&o); }
};

const guint SUBMIT
    = PU_CLI_SERVER | PU_CLI_JSON | PU_CLI_DOCUMENT | PU_CLI_SUBMIT;

TEST (Options, ReadsEveryFlagOfSubmit)
{
  Parsed p ({ "submit", "--server", "127.0.0.1:1", "-s", "127.0.0.1:2",
              "--key-file=k", "--json", "--timeout", "2.5", "--document", "d",
              "--base-version", "7", "--change-id", "c", "--author", "a" },
            SUBMIT);

  ASSERT_TRUE (p.good) << p.e.message;
  EXPECT_STREQ (p.o.servers[0], "127.0.0.1:1");
  EXPECT_STREQ (p.o.servers[1], "127.0.0.1:2");
  EXPECT_EQ (p.o.servers[2], nullptr);
  EXPECT_STREQ (p.o.key_file, "k");
  EXPECT_TRUE (p.o.json);
  EXPECT_EQ (p.o.timeout_ms, 2500u);
  EXPECT_STREQ (p.o.document, "d");
  EXPECT_EQ (p.o.base_version, 7);
  EXPECT_STREQ (p.o.change_id, "c");
  EXPECT_STREQ (p.o.author, "a");
  EXPECT_EQ (p.o.args[0], nullptr);
}

TEST (Options, KeepsWhatIsNoFlag)
{
  Parsed p ({ "voters", "replace", "a", "--json", "b" },
            PU_CLI_SERVER | PU_CLI_JSON);

  ASSERT_TRUE (p.good);
  EXPECT_STREQ (p.o.args[0], "replace");
  EXPECT_STREQ (p.o.args[2], "b");
  EXPECT_EQ (p.o.base_version, PU_CLI_NO_VERSION);
}

TEST (Options, RefusesBadValues)
{
  const std::vector<std::vector<const char *> > bad = {
    { "submit", "--timeout", "0" },
    { "submit", "--timeout", "nan" },
    { "submit", "--timeout", "5x" },
    { "submit", "--timeout", "1e9" },
    { "submit", "--base-version", "-1" },
    { "submit", "--base-version", "seven" },
    { "submit", "--base-version", "" },
    { "submit", "--change-id" },
    { "submit", "--settings", "f" },
    { "submit", "--no-such-flag" },
  };

  for (const auto &words : bad)
    {
      Parsed p (words, SUBMIT);

      EXPECT_FALSE (p.good) << words[1];
      EXPECT_EQ (p.e.kind, PU_ERROR_INVALID);
      EXPECT_STRNE (p.e.message, "");
    }
}

TEST (Options, HelpListsTheFlagsOfTheCommandOnly)
{
  for (size_t i = 0; i < pu_cli_n_commands; i++)
    {
      const pu_cli_command_t *c = &pu_cli_commands[i];
      char *help = pu_cli_options_help (c->flags);
      std::string text = help;

      g_free (help);
      EXPECT_EQ (text.find ("--server") != std::string::npos,
                 (c->flags & PU_CLI_SERVER) != 0)
          << c->name;
      EXPECT_NE (text.find ("--help"), std::string::npos);
      EXPECT_EQ (pu_cli_find (c->name), c);
    }
  EXPECT_EQ (pu_cli_find ("serv"), nullptr);
}

TEST (Exit, EveryStatusHasItsCode)
{
  const struct
  {
    int status;
    int code;
  } rows[] = {
    { 200, PU_CLI_OK },       { 400, PU_CLI_INVALID },
    { 413, PU_CLI_INVALID },  { 401, PU_CLI_DENIED },
    { 403, PU_CLI_DENIED },   { 404, PU_CLI_NOT_FOUND },
    { 409, PU_CLI_CONFLICT }, { 503, PU_CLI_UNAVAILABLE },
    { 504, PU_CLI_UNKNOWN },  { 500, PU_CLI_FAILED },
  };

  for (const auto &row : rows)
    EXPECT_EQ (pu_cli_exit_of_status (row.status), row.code) << row.status;
}

TEST (Key, IsTheFirstLineOfItsFile)
{
  pu_cli_options_t o = {};
  pu_error_t e = {};
  char *file = g_build_filename (g_get_tmp_dir (), "cli_test.key", nullptr);
  char *key;

  ASSERT_TRUE (g_file_set_contents (file, " k1 \nother\n", -1, nullptr));
  o.key_file = file;
  key = pu_cli_read_key (&o, &e);
  EXPECT_STREQ (key, "k1");
  g_free (key);
  ASSERT_TRUE (g_file_set_contents (file, "\nother\n", -1, nullptr));
  EXPECT_EQ (pu_cli_read_key (&o, &e), nullptr);
  EXPECT_EQ (e.kind, PU_ERROR_INVALID);
  remove (file);
  g_free (file);
}

TEST (Placement, SaysWhatIsUnderWay)
{
  const struct
  {
    const char *json; /* with ' for " */
    const char *text;
  } rows[] = {
    { "{}", "" },
    { "{'leads':false,'orders':[]}", "" },
    { "{'orders':[],'models':[],'missing':[],'repairing':[],'failures':[]}",
      "\nPlacement: 0 orders under way, 0 models without a ready copy, "
      "0 failing loads.\n" },
    { "{'orders':[{'kind':'load','model':'m','version':'1','backend':'g1',"
      "'memory_mb':5,'state':'sent','tries':1,'reason':'demand'}],"
      "'models':[],'missing':[],'repairing':[],'failures':[]}",
      "\nPlacement: 1 orders under way, 0 models without a ready copy, "
      "0 failing loads.\n\nOrders under way\n"
      "ORDER  MODEL  VERSION  BACKEND  MB  STATE  TRIES  REASON\n"
      "load   m      1        g1       5   sent   1      demand\n" },
    { "{'orders':[],'models':[{'model':'m','version':'1',"
      "'why':'no room'}],'missing':['m','n'],'repairing':['m'],"
      "'failures':[{'model':'m','version':'1','backend':'g1','failures':2,"
      "'retry_ms':900}]}",
      "\nPlacement: 0 orders under way, 2 models without a ready copy, "
      "1 failing loads.\n\nModels without a ready copy\n"
      "MODEL  VERSION  REPAIRING  WHY\n"
      "m      1        yes        no room\n"
      "n      -        no         -\n"
      "\nFailing loads\n"
      "MODEL  VERSION  BACKEND  FAILURES  RETRY MS\n"
      "m      1        g1       2         900\n" },
  };

  for (const auto &row : rows)
    {
      std::string json = row.json;
      std::replace (json.begin (), json.end (), '\'', '"');
      json_t *j = json_loads (json.c_str (), 0, nullptr);
      GString *out = g_string_new ("");

      pu_cli_print_placement (out, j);
      EXPECT_STREQ (out->str, row.text);
      g_string_free (out, TRUE);
      json_decref (j);
    }
}

/* The exit codes of whole command lines that reach no daemon.  Port 9 of
   loopback is closed.  */
TEST (WithoutDaemon, ExitsByItsTable)
{
  const struct
  {
    std::vector<const char *> words;
    int code;
  } rows[] = {
    { { "plantainusher" }, PU_CLI_USAGE },
    { { "plantainusher", "--version" }, PU_CLI_OK },
    { { "plantainusher", "--help" }, PU_CLI_OK },
    { { "plantainusher", "submit", "--help" }, PU_CLI_OK },
    { { "plantainusher", "no-such" }, PU_CLI_USAGE },
    { { "plantainusher", "serve" }, PU_CLI_USAGE },
    { { "plantainusher", "status" }, PU_CLI_USAGE },
    { { "plantainusher", "status", "--server", "nowhere" }, PU_CLI_USAGE },
    { { "plantainusher", "status", "--server", "127.0.0.1:9", "--server",
        "127.0.0.2:9", "--timeout", "2" },
      PU_CLI_UNREACHABLE },
    { { "plantainusher", "check" }, PU_CLI_USAGE },
    { { "plantainusher", "check", "/nonexistent/document" }, PU_CLI_FAILED },
    { { "plantainusher", "drain", "--server", "127.0.0.1:9" }, PU_CLI_USAGE },
    { { "plantainusher", "drain", "--instance", "a", "--backend", "b" },
      PU_CLI_USAGE },
    { { "plantainusher", "voters", "replace", "a" }, PU_CLI_USAGE },
    { { "plantainusher", "voters", "drop", "a" }, PU_CLI_USAGE },
    { { "plantainusher", "log-level" }, PU_CLI_USAGE },
    { { "plantainusher", "convictions", "drop" }, PU_CLI_USAGE },
    { { "plantainusher", "console", "--server", "127.0.0.1:9" }, PU_CLI_OK },
    { { "plantainusher", "console" }, PU_CLI_USAGE },
  };

  g_setenv ("PLANTAINUSHER_KEY", "k", TRUE);
  g_unsetenv ("PLANTAINUSHER_SERVER");
  for (auto row : rows)
    {
      std::string line;

      for (const char *word : row.words)
        line += std::string (word) + " ";
      row.words.push_back (nullptr);
      EXPECT_EQ (pu_cli_main ((int)row.words.size () - 1, row.words.data ()),
                 row.code)
          << line;
    }
}

}
