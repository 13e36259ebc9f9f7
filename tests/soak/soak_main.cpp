// A seeded soak: random faults, two at once, under load; checked from outside by the ledgers of
// the stand-ins. Usage: soak SECONDS SEED. Prints a one-page summary; fails on any violation.
#include <cstdio>  // for fprintf
#include <cstdlib> // for strtoul

#include "tests/soak/soak.hpp" // for Soak

int main(int argc, char** argv)
{
  if (argc != 3) {
    std::fprintf(stderr, "usage: soak SECONDS SEED\n");
    return 2;
  }
  soak::Soak soak(std::strtoul(argv[2], nullptr, 10));
  return soak.Run(std::strtod(argv[1], nullptr));
}
