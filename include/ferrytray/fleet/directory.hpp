#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp" // for Duration, TimePoint

namespace ferrytray::fleet {

/// @brief Weights that a model runs on; they grow with each new set.
using WeightVersion = std::uint32_t;

/// @brief Milliseconds since the Unix epoch at which an endpoint started; zero: not told.
using StartTime = std::uint64_t;

/// @brief The name of one life of an endpoint: an id may come back with a later start.
[[nodiscard]] std::string IncarnationOf(const std::string& aId, StartTime aStartTime);

/// @brief One incarnation of an endpoint, as the directory lists it.
struct Endpoint
{
  std::string m_id; ///< what the directory lists it under and it calls itself
  StartTime m_startTime = 0;
  std::string m_incarnation; ///< of id and birth; never used again
  std::string m_service;
  std::string m_address; ///< IP:PORT; other incarnations may have it later
  std::string m_zone;
  std::uint32_t m_slots = 1;
  bool m_leaving = false;
  base::Duration m_coldDuration{}; ///< it said that it stays cold for so long
  /// By model, as far as known; empty for plain services. What requests name.
  std::map<std::string, WeightVersion> m_weights;
  /// By model, seen in entries or replies; never goes back. What roll-outs go by.
  std::map<std::string, WeightVersion> m_provenWeights;
  bool operator==(const Endpoint&) const = default;
};

/// @brief How the directory treats entries that vanish.
struct DirectoryOptions
{
  /// Entries that lapsed while the directory's source was away come back within about 2 s of its
  /// return (the users' platform); one that is missing for longer is gone.
  base::Duration m_returnWindow = std::chrono::milliseconds(2000);
  /// One that is listed so long after another of its service and address has taken its place. Of
  /// two that are read together nobody knows which one is newer.
  base::Duration m_replacementDelay = std::chrono::milliseconds(300);
};

/// @brief The endpoints that may be used. Pure: it is told what was read, and when.
///
/// Leaving is final for an incarnation: no later entry, reload or outage takes it back. An id that
/// comes back with a later birth is another incarnation: nothing of the former one is kept.
class Directory
{
public:
  explicit Directory(DirectoryOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief An entry was read. One of an earlier birth than is known changes nothing.
  void Upsert(Endpoint aEndpoint, base::TimePoint aNow);
  /// @brief An id's entry was seen to be removed.
  void Remove(const std::string& aId, base::TimePoint aNow);
  /// @brief The whole list of ids was read; those that are not in it have been removed.
  void RemoveUnlisted(const std::set<std::string>& aListed, base::TimePoint aNow);
  /// @brief The source answers again after it did not.
  void OnSourceRecovered(base::TimePoint aNow) { m_sourceRecoveredAt = aNow; }
  /// @brief The endpoint or its address was found to be another incarnation's.
  void MarkGone(const std::string& aIncarnation);
  /// @brief Newer weights were seen in a reply than the entry tells.
  void NoteProvenWeights(const std::string& aIncarnation,
                         const std::string& aModel,
                         WeightVersion aVersion);
  /// @brief It was ordered to load these and should have them by now: requests name them, but they
  /// prove nothing.
  void NoteExpectedWeights(const std::string& aIncarnation,
                           const std::string& aModel,
                           WeightVersion aVersion);
  /// @brief An endpoint refused a request because it runs other weights than were named.
  /// It does not say which: the proven ones are guessed next, then the newest named ones, then
  /// those in between, each once until there is proof or all were wrong.
  /// @param aNamed what the request named
  /// @param aNewest the newest that the operators have named
  void NoteWeightMismatch(const std::string& aIncarnation,
                          const std::string& aModel,
                          WeightVersion aNamed,
                          WeightVersion aNewest);
  /// @brief Operators want nothing more sent to an availability zone's endpoints, or take that
  /// back.
  /// @return whether that is news
  bool SetEvacuated(const std::string& aZone, bool aEvacuated);
  [[nodiscard]] const std::set<std::string>& EvacuatedZones() const { return m_evacuated; }
  /// @brief Drops entries whose time to come back has passed.
  void Expire(base::TimePoint aNow);

  /// @brief Endpoints of a service that may get new requests, in order of incarnation.
  [[nodiscard]] std::vector<const Endpoint*> Usable(const std::string& aService) const;
  /// @brief Every endpoint that is not gone, leaving ones included.
  [[nodiscard]] std::vector<const Endpoint*> All() const;
  [[nodiscard]] const Endpoint* Find(const std::string& aIncarnation) const;
  /// @brief The incarnation that an id has now; null if there is none.
  [[nodiscard]] const Endpoint* FindById(const std::string& aId) const;
  [[nodiscard]] bool Empty() const { return m_entries.empty(); }

private:
  struct Entry
  {
    Endpoint m_endpoint;
    base::TimePoint m_listedSince;             ///< it is listed
    std::optional<base::TimePoint> m_removeAt; ///< missing; dropped then unless it comes back
    /// By model: guesses that it has refused since its weights were last known.
    std::map<std::string, std::set<WeightVersion>> m_refusedGuesses;
  };

  [[nodiscard]] static WeightVersion Guess(const std::set<WeightVersion>& aRefused,
                                           WeightVersion aProven,
                                           WeightVersion aNewest);

  /// Whoever was at a new endpoint's address before is gone.
  void MarkReplaced(const Endpoint& aNew, base::TimePoint aNow);
  void RemoveIncarnation(const std::string& aIncarnation, base::TimePoint aNow);

  DirectoryOptions m_options;
  std::optional<base::TimePoint> m_sourceRecoveredAt;
  std::map<std::string, Entry> m_entries;                    ///< by incarnation
  std::map<std::string, std::string> m_currentById;          ///< by id: its last known incarnation
  std::map<std::string, StartTime> m_lastStartTimes;         ///< by id
  std::map<std::string, std::string> m_incarnationByAddress; ///< the incarnation listed there last
  std::set<std::string> m_evacuated;                         ///< availability zones
  std::set<std::string> m_gone;                              ///< incarnations that never come back
};

} // namespace ferrytray::fleet
