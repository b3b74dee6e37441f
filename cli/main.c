#include "command.h"

int
main (int argc, char **argv)
{
  return pu_cli_main (argc, (const char **)argv);
}
