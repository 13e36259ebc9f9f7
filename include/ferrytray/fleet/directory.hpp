#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "ferrytray/base/time.hpp"              // for Duration, TimePoint
#include "ferrytray/fleet/usable_endpoints.hpp" // for UsableEndpoints

namespace ferrytray::fleet {

/// @brief Version number of the weights of a model; grows with each new set.
using WeightVersion = std::uint32_t;

/// @brief When an endpoint started, in milliseconds since the Unix epoch; zero: unknown.
using StartTime = std::uint64_t;

/// @brief Returns the name of one incarnation of an endpoint: an id may return with a later start
/// time.
[[nodiscard]] std::string IncarnationOf(const std::string& aId, StartTime aStartTime);

/// @brief One incarnation of an endpoint, as the directory lists it.
struct Endpoint
{
  std::string m_id; ///< id in the directory, which the endpoint also reports itself
  StartTime m_startTime = 0;
  std::string m_incarnation; ///< made from id and start time; never reused
  std::string m_service;
  std::string m_address; ///< IP:PORT; may be reused by other incarnations
  std::string m_zone;
  std::uint32_t m_slots = 1;
  bool m_leaving = false;
  base::Duration m_coldDuration{}; ///< how long it stays cold, as it reported
  /// Assumed versions by model, as named in requests; empty for plain services.
  std::map<std::string, WeightVersion> m_weights;
  /// Versions by model that were seen in entries or replies; they never decrease. Roll-outs rely on
  /// these.
  std::map<std::string, WeightVersion> m_provenWeights;
  bool operator==(const Endpoint&) const = default;
};

/// @brief How the directory treats entries that disappear.
struct DirectoryOptions
{
  /// On the users' platform, entries that expired during an outage of the directory's source return
  /// within about 2 s of its end. An entry that is missing for longer is dropped.
  base::Duration m_returnWindow = std::chrono::milliseconds(2000);
  /// An entry that is first listed at least this long after another one of the same service and
  /// address replaces it. Of two entries that are read together it is unknown which one is newer.
  base::Duration m_replacementDelay = std::chrono::milliseconds(300);
};

/// @brief The known endpoints and their state. Does no I/O: callers pass in the entries that were
/// read, and when.
///
/// Leaving is final for an incarnation: no later entry, reload or outage reverts it. An id that
/// returns with a later start time is another incarnation, which inherits nothing from the former
/// one.
class Directory
{
public:
  explicit Directory(DirectoryOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Adds or updates an entry that was read. Ignores one with an earlier start time than the
  /// known one, and one of an incarnation that is marked as gone.
  void Upsert(Endpoint aEndpoint, base::TimePoint aNow);
  /// @brief Removes an id whose entry was removed at the source. Within m_returnWindow after an
  /// outage, an entry that may have expired in it is kept until the window ends; one that is
  /// leaving or has returned since the outage is dropped at once.
  /// @return how long the entry is kept; zero if it was dropped or is unknown
  base::Duration Remove(const std::string& aId, base::TimePoint aNow);
  /// @brief Removes all ids that are not in the complete list that was read, as Remove() does.
  void RemoveUnlisted(const std::set<std::string>& aListed, base::TimePoint aNow);
  /// @brief Sets when the source's last outage ended. A removed entry that is kept already is never
  /// kept for longer because of a later call.
  /// @param aAt none: there was no outage, so Expire() drops all removed entries
  void SetOutageEnd(std::optional<base::TimePoint> aAt);
  /// @brief Marks an incarnation as leaving, since it has announced its shutdown itself. One that
  /// is not listed is ignored when it is listed later.
  /// @return whether a listed endpoint became leaving
  bool MarkLeaving(const std::string& aIncarnation);
  /// @brief Drops an incarnation for good, since its id or address now belongs to another one.
  void MarkGone(const std::string& aIncarnation);
  /// @brief Records weights that a reply has proven.
  void NoteProvenWeights(const std::string& aIncarnation,
                         const std::string& aModel,
                         WeightVersion aVersion);
  /// @brief Records weights that the endpoint was ordered to load and should have by now: requests
  /// name them, but they are not proven.
  void NoteExpectedWeights(const std::string& aIncarnation,
                           const std::string& aModel,
                           WeightVersion aVersion);
  /// @brief Guesses the weights anew after an endpoint refused a request because it runs other
  /// weights than named. It does not say which, so the proven version is tried next, then the
  /// newest one, then those in between, each once until one is proven or all were refused.
  /// @param aNamed version that the request named
  /// @param aNewest newest version that the operators have named
  void NoteWeightMismatch(const std::string& aIncarnation,
                          const std::string& aModel,
                          WeightVersion aNamed,
                          WeightVersion aNewest);
  /// @brief Starts or ends the evacuation of an availability zone, whose endpoints get no new
  /// requests meanwhile.
  /// @return whether this changed anything
  bool SetEvacuated(const std::string& aZone, bool aEvacuated);
  [[nodiscard]] const std::set<std::string>& EvacuatedZones() const { return m_evacuated; }
  /// @brief Drops missing entries that have not returned in time.
  void Expire(base::TimePoint aNow);

  /// @brief Returns the endpoints of a service that may get new requests, in order of incarnation;
  /// valid until the next change of the directory.
  [[nodiscard]] const std::vector<const Endpoint*>& Usable(const std::string& aService) const
  {
    return UsableOf(aService).All();
  }
  /// @brief Returns the same endpoints by groups.
  [[nodiscard]] const UsableEndpoints& UsableOf(const std::string& aService) const;
  /// @brief Returns all endpoints, including leaving ones.
  [[nodiscard]] std::vector<const Endpoint*> All() const;
  /// @brief Whether a listed endpoint may get new requests.
  [[nodiscard]] bool MayGetRequests(const Endpoint& aEndpoint) const
  {
    return !aEndpoint.m_leaving && !m_evacuated.contains(aEndpoint.m_zone);
  }
  [[nodiscard]] const Endpoint* Find(const std::string& aIncarnation) const;
  /// @brief Returns the current incarnation of an id; null if none.
  [[nodiscard]] const Endpoint* FindById(const std::string& aId) const;
  [[nodiscard]] bool Empty() const { return m_entries.empty(); }

private:
  struct Entry
  {
    Endpoint m_endpoint;
    base::TimePoint m_listedSince;               ///< when it was first listed
    std::optional<base::TimePoint> m_removeAt;   ///< missing; dropped then unless it returns
    std::optional<base::TimePoint> m_returnedAt; ///< last time that it returned
    /// By model: guesses that the endpoint has refused since its weights were last known.
    std::map<std::string, std::set<WeightVersion>> m_refusedGuesses;
  };

  [[nodiscard]] static WeightVersion Guess(const std::set<WeightVersion>& aRefused,
                                           WeightVersion aProven,
                                           WeightVersion aNewest);

  /// Marks the former endpoint at a new endpoint's address as gone if it is of the same service and
  /// was listed at least m_replacementDelay earlier.
  void MarkReplaced(const Endpoint& aNew, base::TimePoint aNow);
  base::Duration RemoveIncarnation(const std::string& aIncarnation, base::TimePoint aNow);
  /// Whether a removed entry may return, since it may have expired during the source's last outage.
  [[nodiscard]] bool MayReturn(const Entry& aEntry, base::TimePoint aNow) const;
  void Erase(const std::string& aIncarnation);

  DirectoryOptions m_options;
  std::optional<base::TimePoint> m_outageEnd; ///< of the source's last outage
  std::map<std::string, Entry> m_entries;     ///< by incarnation
  std::set<std::string> m_missing;            ///< incarnations that are dropped unless they return
  /// By service; computed on demand and dropped with each change of the entries.
  mutable std::map<std::string, UsableEndpoints> m_usable;
  std::map<std::string, std::string> m_currentById;          ///< last known incarnation, by id
  std::map<std::string, StartTime> m_lastStartTimes;         ///< by id
  std::map<std::string, std::string> m_incarnationByAddress; ///< listed there last
  std::set<std::string> m_evacuated;                         ///< availability zones
  std::set<std::string> m_gone;                              ///< incarnations that can never return
};

} // namespace ferrytray::fleet
