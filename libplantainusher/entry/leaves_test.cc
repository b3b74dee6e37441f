#include <gtest/gtest.h>

#include "entry/rig_test.h"

/* One entry, "n1", and an engine, "e1", that is in its first incarnation.  */
struct Leaves : testing::Test
{
  rig r;
  node &n = r.add_node ("n1");
  backend &b = r.add_backend ("e1", "", n);

  /* Makes the log accept a report of INCARNATION that another entry got.  */
  void
  register_elsewhere (guint64 incarnation)
  {
    pu_command c{};
    pu_backend_record &record = c.pu_command_u.backend_up;

    c.type = PU_COMMAND_BACKEND_UP;
    record = *pu_state_backend (r.state, "e1"); /* shares its strings */
    record.incarnation = incarnation;
    record.seq = 1;
    record.leaving = FALSE;
    r.apply (c);
  }

  struct answer
  {
    bool given = false;
    bool known = false;
  };

  /* Removes e1 by a message that names no incarnation.  */
  void
  begin_removal (answer &a, const char *name = "e1")
  {
    const auto on_leave = [] (void *data, bool known) {
      *static_cast<answer *> (data) = { true, known };
    };

    pu_entry_mark_removed (n.entry, name, on_leave, &a);
  }

  /* Does so, and returns whether the removal may be acknowledged.  */
  bool
  remove (const char *name = "e1")
  {
    answer a;

    begin_removal (a, name);
    r.run_until ([&] { return a.given; });
    return a.known;
  }

  /* Runs the loop for MS.  */
  void
  run_for (guint64 ms)
  {
    const guint64 end = uv_now (&r.loop) + ms;

    r.run_until ([&] { return uv_now (&r.loop) >= end; });
  }

  int
  call_status ()
  {
    caller c;

    r.call_chat (c, n, "hi", true);
    return c.status;
  }
};

/* Guards against a leave that is proposed late, and then for the incarnation
   that has taken the place of the one that left.  */
TEST_F (Leaves, LeaveThatWaitsForTheLogIsOfItsOwnIncarnation)
{
  r.quorum = false;
  EXPECT_EQ (503, r.announce (b, n, ",\"leaving\":true"));
  register_elsewhere (2);
  r.quorum = true;
  run_for (500);
  EXPECT_FALSE (pu_state_backend (r.state, "e1")->leaving);
  EXPECT_EQ (200, call_status ());
}

/* Guards against a removal that was on its way while the backend server
   started again, and then ends the service of the later incarnation.  */
TEST_F (Leaves, RemovalSoonAfterARestartIsRefused)
{
  register_elsewhere (2);
  EXPECT_FALSE (remove ());
  run_for (500);
  EXPECT_FALSE (pu_state_backend (r.state, "e1")->leaving);
  EXPECT_EQ (200, call_status ());
}

/* Guards against the acknowledgement of a removal that may have been of the
   incarnation that registered meanwhile.  */
TEST_F (Leaves, RemovalThatWaitsIsNotAcknowledgedForAnEarlierIncarnation)
{
  answer a;

  r.quorum = false;
  begin_removal (a);
  EXPECT_FALSE (a.given);
  register_elsewhere (2);
  r.run_until ([&] { return a.given; });
  EXPECT_FALSE (a.known);
  EXPECT_EQ (200, call_status ());
}

/* Guards against a removal that is taken for one of the incarnation in a view
   that has missed the next.  */
TEST_F (Leaves, RemovalIsRefusedWithoutACurrentView)
{
  n.view_current = false;
  EXPECT_FALSE (remove ());
  n.view_current = true;
  EXPECT_TRUE (remove ());
  EXPECT_EQ (503, call_status ());
}

/* Guards against a leave that is acknowledged, as a backend server that is
   down gets no requests, and that nothing remembers.  */
TEST_F (Leaves, LeaveOfADownBackendServerIsRecorded)
{
  pu_command c{};
  char name[] = "e1";

  c.type = PU_COMMAND_BACKEND_DOWN;
  c.pu_command_u.backend_down = { name, 1 };
  r.apply (c);
  EXPECT_TRUE (remove ());
  EXPECT_TRUE (pu_state_backend (r.state, "e1")->leaving);
  EXPECT_EQ (200, r.announce (b, n));
  EXPECT_EQ (503, call_status ());
}

/* Guards against a removal that is acknowledged, as the backend server is not
   known, and that nothing remembers when its first report arrives.  */
TEST_F (Leaves, RemovalOfAnUnknownBackendServerIsRecorded)
{
  EXPECT_TRUE (remove ());
  EXPECT_TRUE (remove ("e2"));
  r.add_backend ("e2", "", n);
  EXPECT_EQ (503, call_status ());
}

/* Guards against an acknowledgement that holds for none of the incarnations
   that a backend server may report.  */
TEST_F (Leaves, RemovalOfAnUnknownIncarnationIsRefused)
{
  register_elsewhere (2);
  EXPECT_FALSE (remove ("e2"));
  r.add_backend ("e2", "", n);
  EXPECT_FALSE (pu_state_backend (r.state, "e2")->leaving);
}
