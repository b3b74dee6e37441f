#include <gtest/gtest.h>

#include <cstring>

extern "C"
{
#include "state/codec.h"
#include "state/software.h"
}

namespace
{

class Software : public testing::Test
{
protected:
  Software ()
  {
    pu_backend_record empty = {};

    empty.name = const_cast<char *> ("g-1");
    empty.service = empty.address = empty.region = empty.zone
        = const_cast<char *> ("");
    b = static_cast<pu_backend_record *> (pu_codec_clone (
        (xdrproc_t)xdr_pu_backend_record, &empty, sizeof empty));
  }

  ~Software () override
  {
    pu_codec_free ((xdrproc_t)xdr_pu_backend_record, b);
  }

  pu_backend_record *b;
};

TEST_F (Software, IsNotKnownUnlessStated)
{
  EXPECT_STREQ ("", pu_backend_software (b));
}

TEST_F (Software, LastStatementReplacesTheOneBefore)
{
  pu_backend_set_software (b, "v1.1");
  pu_backend_set_software (b, "build 7:x");
  EXPECT_STREQ ("build 7:x", pu_backend_software (b));
  EXPECT_EQ (1U, b->copies.copies_len);
  pu_backend_set_software (b, "");
  EXPECT_STREQ ("", pu_backend_software (b));
  EXPECT_EQ (0U, b->copies.copies_len);
}

/* An earlier release reads the record as one with a copy that gets no
   requests and needs no memory.  */
TEST_F (Software, IsACopyThatDrainsToAnEarlierRelease)
{
  pu_backend_set_software (b, "v1.1");
  ASSERT_EQ (1U, b->copies.copies_len);
  EXPECT_TRUE (pu_copy_is_fact (&b->copies.copies_val[0]));
  EXPECT_EQ (PU_COPY_DRAINING, b->copies.copies_val[0].phase);
  EXPECT_EQ (0U, b->copies.copies_val[0].memory_mb);
}

TEST_F (Software, SurvivesTheEncoding)
{
  pu_backend_set_software (b, "v1.1");
  auto *copy = static_cast<pu_backend_record *> (
      pu_codec_clone ((xdrproc_t)xdr_pu_backend_record, b, sizeof *b));
  EXPECT_STREQ ("v1.1", pu_backend_software (copy));
  pu_codec_free ((xdrproc_t)xdr_pu_backend_record, copy);
}

} // namespace
