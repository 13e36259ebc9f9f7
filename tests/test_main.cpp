#include <CppUTest/CommandLineTestRunner.h>   // for RunAllTests
#include <CppUTest/MemoryLeakWarningPlugin.h> // for turnOffNewDeleteOverloads

// Disables CppUTest's leak detection: glog and the standard library keep memory allocated at
// startup. The asan preset finds leaks instead.
int main(int argc, char** argv)
{
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
