#include "tests/integration/process.hpp"

#include <algorithm>  // for all_of
#include <array>      // for array
#include <chrono>     // for steady_clock
#include <csignal>    // for kill, SIGKILL
#include <cstdio>     // for fdopen, getline
#include <cstdlib>    // for getenv
#include <fcntl.h>    // for open
#include <filesystem> // for path
#include <spawn.h>    // for posix_spawn
#include <stdexcept>  // for runtime_error
#include <sys/wait.h> // for waitpid
#include <thread>     // for sleep_until
#include <unistd.h>   // for pipe2, read
#include <utility>    // for exchange

extern char** environ;

namespace integration {

namespace {

constexpr auto kWaitLimit = std::chrono::seconds(60);
constexpr auto kPollInterval = std::chrono::milliseconds(10);

struct SpawnedProcess
{
  pid_t m_pid = -1;
  int m_output = -1;
};

SpawnedProcess Spawn(const std::string& aProgram,
                     const std::vector<std::string>& aArguments,
                     bool aCaptureStderr)
{
  std::array<int, 2> pipe{};
  if (pipe2(pipe.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe2");
  }
  const std::string path = std::filesystem::path(FERRYTRAY_BINARY_DIR) / aProgram;
  std::vector<char*> argv{ const_cast<char*>(path.c_str()) };
  for (const std::string& argument : aArguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
  if (aCaptureStderr) {
    posix_spawn_file_actions_adddup2(&actions, pipe[1], STDERR_FILENO);
  } else {
    const char* configuredLog = std::getenv("FERRYTRAY_TEST_LOG");
    const std::string log = configuredLog == nullptr ? "/dev/null" : configuredLog;
    posix_spawn_file_actions_addopen(
      &actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  SpawnedProcess spawned;
  const int error =
    posix_spawn(&spawned.m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe[1]);
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
  spawned.m_output = pipe[0];
  return spawned;
}

/// Appends a program's remaining output to a file until the program exits.
void AppendOutputToFile(std::FILE* aOutput, const std::string& aPath)
{
  std::FILE* file = std::fopen(aPath.c_str(), "a");
  std::array<char, 4096> buffer{};
  while (file != nullptr && std::fgets(buffer.data(), buffer.size(), aOutput) != nullptr) {
    std::fputs(buffer.data(), file);
  }
  if (file != nullptr) {
    std::fclose(file);
  }
  std::fclose(aOutput);
}

int WaitForExit(pid_t aPid)
{
  int status = 0;
  waitpid(aPid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

Process::Process(const std::string& aProgram,
                 std::vector<std::string> aArguments,
                 std::vector<std::string> aStartupKeys,
                 const std::string& aOutputFile)
{
  const SpawnedProcess spawned = Spawn(aProgram, aArguments, false);
  m_pid = spawned.m_pid;
  std::FILE* output = fdopen(spawned.m_output, "r");
  char* line = nullptr;
  std::size_t capacity = 0;
  const auto hasAllKeys = [&] {
    return std::all_of(aStartupKeys.begin(), aStartupKeys.end(), [&](const std::string& aKey) {
      return m_startupValues.contains(aKey);
    });
  };
  while (!hasAllKeys()) {
    const ssize_t length = getline(&line, &capacity, output);
    if (length <= 0) {
      break;
    }
    const std::string text(line, static_cast<std::size_t>(length) - 1);
    const std::size_t space = text.find(' ');
    if (space != std::string::npos) {
      m_startupValues[text.substr(0, space)] = text.substr(space + 1);
    }
  }
  std::free(line);
  if (aOutputFile.empty()) {
    std::fclose(output);
  } else {
    std::thread(&AppendOutputToFile, output, aOutputFile).detach();
  }
  if (!hasAllKeys()) {
    throw std::runtime_error(aProgram + " did not start");
  }
}

Process::~Process()
{
  Kill();
}

Process::Process(Process&& aOther) noexcept
  : m_pid(std::exchange(aOther.m_pid, -1))
  , m_startupValues(std::move(aOther.m_startupValues))
{
}

Process& Process::operator=(Process&& aOther) noexcept
{
  Kill();
  m_pid = std::exchange(aOther.m_pid, -1);
  m_startupValues = std::move(aOther.m_startupValues);
  return *this;
}

void Process::Signal(int aSignal) const
{
  if (m_pid > 0) {
    kill(m_pid, aSignal);
  }
}

int Process::Wait()
{
  return m_pid > 0 ? WaitForExit(std::exchange(m_pid, -1)) : 0;
}

std::optional<int> Process::TryWait()
{
  int status = 0;
  if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == 0) {
    return std::nullopt;
  }
  m_pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void Process::Kill()
{
  Signal(SIGKILL);
  Wait();
}

bool WaitFor(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_until(std::chrono::steady_clock::now() + kPollInterval);
  }
  return false;
}

ProcessResult RunToCompletion(const std::string& aProgram,
                              const std::vector<std::string>& aArguments)
{
  const SpawnedProcess spawned = Spawn(aProgram, aArguments, true);
  ProcessResult result;
  std::array<char, 4096> buffer{};
  for (ssize_t got = read(spawned.m_output, buffer.data(), buffer.size()); got > 0;
       got = read(spawned.m_output, buffer.data(), buffer.size())) {
    result.m_output.append(buffer.data(), static_cast<std::size_t>(got));
  }
  close(spawned.m_output);
  result.m_exitCode = WaitForExit(spawned.m_pid);
  return result;
}

} // namespace integration
