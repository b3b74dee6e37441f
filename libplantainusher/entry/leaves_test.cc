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
