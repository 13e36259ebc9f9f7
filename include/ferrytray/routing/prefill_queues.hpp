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
  /// Prompt tokens that an engine reads in a millisecond, before one was seen to. The slowest kind
  /// of engine in use; a figure that is too low spreads prompts evenly, one too high at random.
  double m_tokensPerMillisecond = 40;
  /// Each observed reading moves the figure by this part.
  double m_rateSmoothing = 0.02;
  /// A prompt may wait so much longer at its home than elsewhere: a fetch of its parts, which the
  /// home may hold, takes about as long.
  base::Duration m_homeWaitTolerance = std::chrono::milliseconds(40);
  /// An engine whose memory is taken is as good as one where a prompt waits so long to be read:
  /// some prompts wait there for another's whole answer. It grows from m_penaltyStartFill of the
  /// memory on; below, prompts begin at once, and their home is worth more to them.
  base::Duration m_fullMemoryPenalty = std::chrono::milliseconds(400);
  double m_penaltyStartFill = 0.5;
  /// What an engine was given counts as held by it on top of what is told of it until hosts have
  /// told of that, too: two questions between hosts.
  base::Duration m_reportLag = std::chrono::milliseconds(450);
  /// For so long after an engine was given a part to read no store has it: saved and told of.
  base::Duration m_partSaveTime = std::chrono::milliseconds(1500);
  /// An engine's queue is taken to be no longer; a wrong figure wears off in this time.
  base::Duration m_maxWait = std::chrono::milliseconds(3000);
  /// Engines and parts remembered; older ones are dropped beyond.
  std::size_t m_maxEntries = 8192;
};

/// @brief An engine that a prompt may be given to.
struct PrefillEngine
{
  std::string m_name;               ///< incarnation
  std::uint64_t m_heldTokens = 0;   ///< by open requests: as told, and as given since
  std::uint64_t m_memoryTokens = 0; ///< tokens; 0: not known
};

/// @brief A prompt to be given to an engine.
struct PrefillJob
{
  std::string m_key;                    ///< of its long shared part
  std::uint32_t m_unreportedTokens = 0; ///< that it will hold, and that hosts have to tell of yet
  std::uint32_t m_prefillTokens = 0;    ///< to be read: all but what stores hold
  std::uint32_t m_unsharedTokens = 0;   ///< shared with no other request
};

/// @brief Where a prompt goes.
struct PrefillChoice
{
  std::size_t m_engine = 0; ///< index into the candidates
  std::string m_holder;     ///< another candidate that read the shared part lately, or empty
  bool m_free = false;      ///< nothing waits there
};

/// @brief How long prompts wait at engines before they are read, kept by whoever gives the prompts
/// out: exact as of now, where what hosts tell each other is some hundred milliseconds old, longer
/// than a prompt takes to be read. Pure.
class PrefillQueues
{
public:
  explicit PrefillQueues(PrefillQueueOptions aOptions = {})
    : m_options(aOptions)
    , m_tokensPerMillisecond(aOptions.m_tokensPerMillisecond)
  {
  }

  /// @brief Gives a prompt to the candidate where it begins first, or to its home or to whoever
  /// reads its part already if it begins there little later.
  /// @return empty without candidates
  std::optional<PrefillChoice> Assign(const PrefillJob& aJob,
                                      std::span<const PrefillEngine> aEngines,
                                      base::TimePoint aNow);
  /// @brief Tokens that an engine was given and that hosts have not told of yet.
  [[nodiscard]] std::uint64_t UnreportedTokens(const std::string& aEngine, base::TimePoint aNow);
  /// @brief A prompt that found no queue began after so long.
  void OnPrefilled(std::uint32_t aTokens, base::Duration aDuration);
  /// @brief Until a prompt that is given to this engine now would begin to be read.
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
  /// What a prompt that goes there is expected to lose.
  [[nodiscard]] base::Duration CostAt(const PrefillEngine& aEngine, base::TimePoint aNow) const;
  /// The candidate that reads the part of this key now, or has just read it.
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
  std::deque<Assignment> m_assignments;                         ///< lately, in order of time
  std::unordered_map<std::string, std::uint64_t>
    m_assignedTokensByEngine; ///< by engine, of m_assignments
};

} // namespace ferrytray::routing
