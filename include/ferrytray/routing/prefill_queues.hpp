#pragma once

#include <cstddef>       // for size_t
#include <cstdint>       // for uint32_t, uint64_t
#include <deque>         // for deque
#include <optional>      // for optional
#include <span>          // for span
#include <string>        // for string
#include <unordered_map> // for unordered_map

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::routing {

struct PrefillQueueOptions
{
  /// Initial prefill rate (prompt tokens per millisecond), that of the slowest engine type in use.
  /// An estimate that is too low spreads prompts evenly, one that is too high at random.
  double m_tokensPerMillisecond = 40;
  /// Smoothing factor of the moving average of observed prefill rates.
  double m_rateSmoothing = 0.02;
  /// A prompt goes to its home if the wait there is at most this much longer than elsewhere: the
  /// home may have its parts cached, and fetching them takes about this long.
  base::Duration m_homeWaitTolerance = std::chrono::milliseconds(40);
  /// An engine with full memory is rated as this much extra wait, since some prompts there wait
  /// until another request completes. The penalty grows linearly from m_penaltyStartFill on; below
  /// it, prompts start immediately, and their home matters more.
  base::Duration m_fullMemoryPenalty = std::chrono::milliseconds(400);
  double m_penaltyStartFill = 0.5;
  /// Assigned tokens are added to the reported load of an engine for this long, until the hosts'
  /// reports include them: two query intervals between hosts.
  base::Duration m_reportLag = std::chrono::milliseconds(450);
  /// Time from the assignment of a part until it has been prefilled, saved and announced. Until
  /// then no store has it.
  base::Duration m_partSaveTime = std::chrono::milliseconds(1500);
  /// Upper limit of an engine's estimated wait, so that errors disappear within this time.
  base::Duration m_maxWait = std::chrono::milliseconds(3000);
  /// Limit of tracked engines, and of tracked parts, above which expired entries are dropped.
  std::size_t m_maxEntries = 8192;
};

/// @brief An engine that a prompt may be assigned to.
struct PrefillEngine
{
  std::string m_name;               ///< incarnation
  std::uint64_t m_heldTokens = 0;   ///< by open requests: reported, and assigned since
  std::uint64_t m_memoryTokens = 0; ///< capacity; 0: unknown
};

/// @brief A prompt to be assigned to an engine.
struct PrefillJob
{
  std::string m_key;                    ///< of its long shared part
  std::uint32_t m_unreportedTokens = 0; ///< memory it will use, not in reports yet
  std::uint32_t m_prefillTokens = 0;    ///< to be prefilled: all that no store holds
  std::uint32_t m_unsharedTokens = 0;   ///< not shared with other requests
};

/// @brief The engine that a prompt is assigned to.
struct PrefillChoice
{
  std::size_t m_engine = 0; ///< index into the candidates
  std::string m_holder;     ///< other candidate that recently prefilled the shared part, or empty
  bool m_free = false;      ///< its estimated wait is zero
};

/// @brief Estimates the prefill queue of each engine and assigns prompts to engines. Does no I/O.
///
/// It belongs to the host that assigns the prompts, so its queues are current. Load reports between
/// hosts are a few hundred milliseconds old, which is longer than the prefill of a prompt.
class PrefillQueues
{
public:
  explicit PrefillQueues(PrefillQueueOptions aOptions = {})
    : m_options(aOptions)
    , m_tokensPerMillisecond(aOptions.m_tokensPerMillisecond)
  {
  }

  /// @brief Assigns a prompt to the candidate with the lowest cost, or to its home or the engine
  /// that is prefilling its shared part if that costs only little more.
  /// @return empty without candidates
  std::optional<PrefillChoice> Assign(const PrefillJob& aJob,
                                      std::span<const PrefillEngine> aEngines,
                                      base::TimePoint aNow);
  /// @brief Tokens assigned to an engine that hosts have not reported yet.
  [[nodiscard]] std::uint64_t UnreportedTokens(const std::string& aEngine, base::TimePoint aNow);
  /// @brief Updates the prefill rate by a prompt that found no queue.
  /// @param aDuration time until its answer began
  void OnPrefilled(std::uint32_t aTokens, base::Duration aDuration);
  /// @brief Time until the prefill of a prompt assigned to this engine now would start.
  [[nodiscard]] base::Duration WaitAt(const std::string& aEngine, base::TimePoint aNow) const;

private:
  struct LastPrefill
  {
    std::string m_engine;
    base::TimePoint m_assignedAt;
  };

  struct Assignment
  {
    std::string m_engine;
    std::uint32_t m_tokens = 0;
    base::TimePoint m_assignedAt;
  };

  [[nodiscard]] base::Duration PrefillTime(std::uint32_t aTokens) const;
  /// Expected wait, including the penalty for memory in use.
  [[nodiscard]] base::Duration CostAt(const PrefillEngine& aEngine, base::TimePoint aNow) const;
  /// The candidate that is prefilling the part with this key or has recently done so.
  [[nodiscard]] std::optional<std::size_t> RecentPrefillEngine(const std::string& aKey,
                                                               std::span<const std::string> aNames,
                                                               base::TimePoint aNow) const;
  void Queue(const PrefillJob& aJob,
             const std::string& aEngine,
             std::uint32_t aPrefillTokens,
             base::TimePoint aNow);
  void AddAssignment(const Assignment& aAssignment);
  void ExpireAssignments(base::TimePoint aNow);
  void EvictExpired(base::TimePoint aNow);

  PrefillQueueOptions m_options;
  double m_tokensPerMillisecond;
  std::unordered_map<std::string, base::TimePoint> m_busyUntil; ///< by engine
  std::unordered_map<std::string, LastPrefill> m_lastPrefills;  ///< by key
  std::deque<Assignment> m_assignments;                         ///< unreported ones, oldest first
  std::unordered_map<std::string, std::uint64_t>
    m_assignedTokensByEngine; ///< sums over m_assignments
};

} // namespace ferrytray::routing
