#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "placement/ledger.h"
}

namespace
{

/* A ledger with one backend server, of handle 1, with 100 MB.  */
struct Ledger : ::testing::Test
{
  pu_ledger_t *l = pu_ledger_new (nullptr);
  pu_error_t e = {};

  ~Ledger () override { pu_ledger_free (l); }

  pu_ledger_report_result_t
  Report (guint64 seq, guint64 token, std::vector<pu_ledger_copy_t> held,
          bool fenced = true, guint64 incarnation = 1)
  {
    pu_ledger_report_t r = {};

    r.backend = 1;
    r.incarnation = incarnation;
    r.seq = seq;
    r.token = token;
    r.accelerators = 1;
    r.memory_mb = 100;
    r.fenced = fenced;
    r.held = held.data ();
    r.n_held = held.size ();
    return pu_ledger_backend_up (l, &r, nullptr);
  }

  bool
  Load (guint64 token, guint32 copy, guint32 mb, guint64 incarnation = 1)
  {
    pu_ledger_order_t o = { token, PU_LEDGER_LOAD, 1, incarnation, copy, mb };

    return pu_ledger_reserve (l, &o, &e);
  }

  guint64
  CommittedMb ()
  {
    return pu_ledger_committed_mb (l, 1);
  }
};

TEST_F (Ledger, RefusesALoadThatDoesNotFitAndGivesTheSum)
{
  Report (1, 0, { { 7, 60, PU_LEDGER_READY } });
  EXPECT_FALSE (Load (2, 8, 41));
  EXPECT_EQ (PU_ERROR_CONFLICT, e.kind);
  EXPECT_STREQ ("no memory: 101 MB of 100 MB would be committed", e.message);
  EXPECT_TRUE (Load (3, 8, 40));
  EXPECT_TRUE (Load (3, 8, 40)) << "the same token again";
  EXPECT_EQ (100u, CommittedMb ());
}

TEST_F (Ledger, RefusesAnUnknownDownRestartedOrLeavingBackend)
{
  EXPECT_FALSE (Load (2, 8, 1));
  EXPECT_EQ (PU_ERROR_NOT_FOUND, e.kind);
  Report (1, 0, {});
  EXPECT_FALSE (Load (2, 8, 1, 2));
  EXPECT_EQ (PU_ERROR_CONFLICT, e.kind);
  pu_ledger_backend_leaving (l, 1, 1);
  EXPECT_FALSE (Load (2, 8, 1));
  pu_ledger_backend_down (l, 1, 1);
  EXPECT_FALSE (Load (2, 8, 1));
  EXPECT_EQ (PU_ERROR_NOT_FOUND, e.kind);
}

TEST_F (Ledger, CountsACopyOnceWhenOrderedSeveralTimes)
{
  Report (1, 0, { { 7, 60, PU_LEDGER_LOADING } });
  EXPECT_TRUE (Load (2, 7, 70));
  EXPECT_TRUE (Load (3, 7, 65));
  EXPECT_EQ (70u, CommittedMb ());
}

TEST_F (Ledger, OnlyALaterTokenFencesAnOrderOff)
{
  Report (1, 0, {});
  Load (5, 7, 60);
  Report (2, 5, {});
  EXPECT_EQ (60u, CommittedMb ())
      << "a duplicate of the order could still arrive";
  EXPECT_FALSE (pu_ledger_release (l, 5)) << "even at the end of its lifetime";
  Load (6, 8, 10);
  Report (3, 6, { { 8, 10, PU_LEDGER_READY } });
  EXPECT_EQ (10u, CommittedMb ());
  EXPECT_TRUE (pu_ledger_release (l, 5));
  EXPECT_EQ (nullptr, pu_ledger_get_order (l, 5));
  EXPECT_NE (nullptr, pu_ledger_get_order (l, 6));
}

TEST_F (Ledger, OrderCountsAgainForANewProcess)
{
  Report (1, 0, {});
  Load (5, 7, 60);
  Report (2, 6, {});
  EXPECT_EQ (0u, CommittedMb ());
  Report (1, 0, {}, true, 2);
  EXPECT_EQ (60u, CommittedMb ()) << "the order may reach the new process";
  EXPECT_FALSE (pu_ledger_release (l, 5));
  Report (2, 7, {}, true, 2);
  EXPECT_EQ (0u, CommittedMb ());
  EXPECT_TRUE (pu_ledger_release (l, 5));
}

TEST_F (Ledger, NoReportClosesAnOrderToABackendThatIgnoresTokens)
{
  Report (1, 0, {}, false);
  Load (5, 7, 60);
  Load (6, 8, 10);
  Report (2, 9, {}, false);
  EXPECT_EQ (70u, CommittedMb ());
  EXPECT_TRUE (pu_ledger_release (l, 5));
  EXPECT_FALSE (pu_ledger_release (l, 5));
  EXPECT_EQ (10u, CommittedMb ());
}

TEST_F (Ledger, OrdersStayOpenAfterALostLeaseAndARestart)
{
  Report (1, 0, { { 9, 20, PU_LEDGER_READY } });
  Load (5, 7, 60);
  pu_ledger_backend_down (l, 1, 1);
  EXPECT_EQ (80u, CommittedMb ());
  EXPECT_FALSE (pu_ledger_remove_backend (l, 1));
  Report (1, 0, {}, true, 2);
  EXPECT_EQ (60u, CommittedMb ())
      << "the loaded copy is gone, the open order is not";
  EXPECT_EQ (PU_LEDGER_STALE, Report (9, 9, {}, true, 1));
}

TEST_F (Ledger, IgnoresStaleReportsAndMergesLowerTokens)
{
  Report (1, 4, { { 7, 60, PU_LEDGER_READY } });
  EXPECT_EQ (PU_LEDGER_STALE, Report (1, 4, {}));
  EXPECT_EQ (PU_LEDGER_MERGED, Report (2, 3, { { 8, 30, PU_LEDGER_READY } }));
  EXPECT_EQ (90u, CommittedMb ());
  EXPECT_EQ (PU_LEDGER_ACCEPTED,
             Report (3, 4, { { 8, 50, PU_LEDGER_READY } }));
  EXPECT_EQ (50u, CommittedMb ());
}

TEST_F (Ledger, LoadCountsInFullUntilItsCopyIsReady)
{
  Report (1, 0, {});
  Load (5, 7, 60);
  Report (2, 6, { { 7, 10, PU_LEDGER_LOADING } });
  EXPECT_FALSE (pu_ledger_release (l, 5));
  EXPECT_EQ (60u, CommittedMb ());
  Report (3, 6, { { 7, 55, PU_LEDGER_READY } });
  EXPECT_EQ (55u, CommittedMb ());
}

TEST_F (Ledger, ImageRestoresTheSameSums)
{
  pu_ledger_t *m = pu_ledger_new (nullptr);
  pu_ledger_report_t r;
  bool down;

  Report (1, 4, { { 7, 60, PU_LEDGER_READY } });
  Load (5, 8, 30);
  pu_ledger_backend_down (l, 1, 1);
  ASSERT_TRUE (pu_ledger_get_backend (l, 1, &r, &down));
  GArray *orders = pu_ledger_orders (l);
  for (guint i = 0; i < orders->len; i++)
    pu_ledger_restore_order (m, &g_array_index (orders, pu_ledger_order_t, i));
  pu_ledger_restore_backend (m, &r, down);
  EXPECT_EQ (90u, pu_ledger_committed_mb (m, 1));
  EXPECT_EQ (0u, pu_ledger_free_mb (m, 1)) << "the backend server is down";
  g_array_unref (orders);
  pu_ledger_free (m);
}

} // namespace
