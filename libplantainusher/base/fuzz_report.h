#ifndef PU_BASE_FUZZ_REPORT_H
#define PU_BASE_FUZZ_REPORT_H

/*
 * fuzz_report - for the tests: counts what a stateful fuzz did.
 *
 * The line "fuzz: N steps, N faults" at the end of the program is what
 * tests/fuzz-all adds up.
 */

#include <cstdint>
#include <cstdio>

class pu_fuzz_report
{
public:
  ~pu_fuzz_report ()
  {
    if (steps > 0)
      std::printf ("fuzz: %llu steps, %llu faults\n",
                   (unsigned long long)steps, (unsigned long long)faults);
  }

  /* The one of the program.  */
  static pu_fuzz_report &
  get ()
  {
    static pu_fuzz_report one;

    return one;
  }

  uint64_t steps = 0;  /* events given to the code under test */
  uint64_t faults = 0; /* losses, delays, crashes and the like among them */
};

#endif
