// A seeded soak test: two random faults at a time under load, checked from outside against the
// execution ledgers of the stand-ins. Usage: soak SECONDS SEED. Prints a summary; exits with 1 on
// any violation.
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
