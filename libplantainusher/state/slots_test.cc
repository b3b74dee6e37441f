#include <gtest/gtest.h>

extern "C"
{
#include "state/codec.h"
#include "state/slots.h"
#include "state/software.h"
}

namespace
{

TEST (Slots, StandBesideTheSoftwareVersionAndAreNoCopy)
{
  auto *b = g_new0 (pu_backend_record, 1);

  EXPECT_EQ (0U, pu_backend_slots (b));
  pu_backend_set_software (b, "v1");
  pu_backend_set_slots (b, 6);
  pu_backend_set_slots (b, 7);
  EXPECT_EQ (7U, pu_backend_slots (b));
  EXPECT_STREQ ("v1", pu_backend_software (b));
  ASSERT_EQ (2U, b->copies.copies_len);
  for (u_int i = 0; i < b->copies.copies_len; i++)
    EXPECT_TRUE (pu_copy_is_fact (&b->copies.copies_val[i]));
  pu_backend_set_slots (b, 0);
  EXPECT_EQ (0U, pu_backend_slots (b));
  EXPECT_EQ (1U, b->copies.copies_len);
  pu_codec_free ((xdrproc_t)xdr_pu_backend_record, b);
}

}
