#pragma once

#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <sys/types.h> // for pid_t
#include <vector>      // for vector

/// What the integration tests start and stop. Test code only: no program of the project starts
/// another.
namespace integration {

/// A program that was started; killed when it goes out of scope.
class Process
{
public:
  Process() = default;
  /// @param aProgram path below the build folder
  /// @param aStartupKeys words of its first lines to wait for; the rest of such a line is kept
  /// @param aOutputFile file to which later output is appended; empty: nobody reads it
  Process(const std::string& aProgram,
          std::vector<std::string> aArguments,
          std::vector<std::string> aStartupKeys,
          const std::string& aOutputFile = "");
  ~Process();
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;

  /// What followed a word, such as the address after "listening".
  const std::string& At(const std::string& aKey) const { return m_startupValues.at(aKey); }
  void Signal(int aSignal) const;
  /// Waits for it to end. @return its exit code, or minus the signal that ended it
  int Wait();
  /// The same without waiting. @return empty while it runs
  std::optional<int> TryWait();
  void Kill();
  bool Running() const { return m_pid > 0; }
  pid_t Pid() const { return m_pid; }

private:
  pid_t m_pid = -1;
  std::map<std::string, std::string> m_startupValues;
};

/// Waits until a condition holds, for a long limit. @return whether it came to hold
bool WaitFor(const std::function<bool()>& aCondition);

/// Runs a program to its end and gives what it printed.
struct ProcessResult
{
  int m_exitCode = 0;
  std::string m_output;
};
ProcessResult RunToCompletion(const std::string& aProgram,
                              const std::vector<std::string>& aArguments);

} // namespace integration
