#include <CppUTest/CommandLineTestRunner.h>   // for RunAllTests
#include <CppUTest/MemoryLeakWarningPlugin.h> // for turnOffNewDeleteOverloads

// glog and the standard library keep start-up memory; the asan preset finds leaks.
int main(int argc, char** argv)
{
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
