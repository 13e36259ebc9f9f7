#pragma once

#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <sys/types.h> // for pid_t
#include <vector>      // for vector

/// Child processes of the integration tests. Test code only: no program of the project starts
/// another one.
namespace integration {

/// A child process, killed by the destructor.
class Process
{
public:
  Process() = default;
  /// Starts a program and reads its output until every startup key was printed.
  /// @param aProgram path below the build folder
  /// @param aStartupKeys first words of output lines; the rest of the line is stored as the value
  /// @param aOutputFile file to which later output is appended; empty: it is discarded
  Process(const std::string& aProgram,
          std::vector<std::string> aArguments,
          std::vector<std::string> aStartupKeys,
          const std::string& aOutputFile = "");
  ~Process();
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;

  /// The value of a startup key, such as the address after "listening".
  const std::string& At(const std::string& aKey) const { return m_startupValues.at(aKey); }
  void Signal(int aSignal) const;
  /// Waits for the process to exit. @return its exit code, or minus the signal that killed it
  int Wait();
  /// Like Wait, but does not block. @return empty while the process runs
  std::optional<int> TryWait();
  void Kill();
  bool Running() const { return m_pid > 0; }
  pid_t Pid() const { return m_pid; }

private:
  pid_t m_pid = -1;
  std::map<std::string, std::string> m_startupValues;
};

/// Polls until a condition holds or a long timeout has passed. @return whether it held
bool WaitFor(const std::function<bool()>& aCondition);

/// The exit code and the output (standard output and error) of a program.
struct ProcessResult
{
  int m_exitCode = 0;
  std::string m_output;
};
/// Runs a program and waits until it has exited.
ProcessResult RunToCompletion(const std::string& aProgram,
                              const std::vector<std::string>& aArguments);

} // namespace integration
