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

/// @brief One incarnation of an endpoint, as the directory lists it.
struct Endpoint
{
  std::string m_incarnation; ///< never used again
  std::string m_service;
  std::string m_address; ///< IP:PORT; other incarnations may have it later
  std::string m_zone;
  std::uint32_t m_slots = 1;
  bool m_leaving = false;
  /// By model, as far as known; empty for plain services. What requests name.
  std::map<std::string, WeightVersion> m_weights;
  /// By model, seen in entries or replies; never goes back. What roll-outs go by.
  std::map<std::string, WeightVersion> m_provenWeights;
};

/// @brief How the directory treats entries that vanish.
struct DirectoryOptions
{
  /// Entries that lapsed while the directory's source was away come back within about 2 s of its
  /// return (the users' platform); one that is missing for longer is gone.
  base::Duration m_returnWindow = std::chrono::milliseconds(2000);
};

/// @brief The endpoints that may be used. Pure: it is told what was read, and when.
///
/// Leaving is final for an incarnation: no later entry, reload or outage takes it back.
class Directory
{
public:
  explicit Directory(DirectoryOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief An entry was read.
  void Upsert(Endpoint aEndpoint, base::TimePoint aNow);
  /// @brief An entry was seen to be removed.
  void Remove(const std::string& aIncarnation, base::TimePoint aNow);
  /// @brief The whole list was read; entries that are not in it have been removed.
  void KeepOnly(const std::set<std::string>& aListed, base::TimePoint aNow);
  /// @brief The source answers again after it did not.
  void OnSourceBack(base::TimePoint aNow) { m_sourceBackAt = aNow; }
  /// @brief The endpoint or its address was found to be another incarnation's.
  void MarkGone(const std::string& aIncarnation);
  /// @brief Newer weights were seen in a reply than the entry tells.
  void NoteWeights(const std::string& aIncarnation,
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
  void NoteOtherWeights(const std::string& aIncarnation,
                        const std::string& aModel,
                        WeightVersion aNamed,
                        WeightVersion aNewest);
  /// @brief Drops entries whose time to come back has passed.
  void Expire(base::TimePoint aNow);

  /// @brief Endpoints of a service that may get new requests, in order of incarnation.
  [[nodiscard]] std::vector<const Endpoint*> Usable(const std::string& aService) const;
  /// @brief Every endpoint that is not gone, leaving ones included.
  [[nodiscard]] std::vector<const Endpoint*> All() const;
  [[nodiscard]] const Endpoint* Find(const std::string& aIncarnation) const;
  [[nodiscard]] bool Empty() const { return m_entries.empty(); }

private:
  struct Entry
  {
    Endpoint m_endpoint;
    std::optional<base::TimePoint> m_goneAt; ///< missing; dropped then unless it comes back
    /// By model: guesses that it has refused since its weights were last known.
    std::map<std::string, std::set<WeightVersion>> m_refused;
  };

  [[nodiscard]] static WeightVersion Guess(const std::set<WeightVersion>& aRefused,
                                           WeightVersion aProven,
                                           WeightVersion aNewest);

  DirectoryOptions m_options;
  std::optional<base::TimePoint> m_sourceBackAt;
  std::map<std::string, Entry> m_entries;
  std::set<std::string> m_left; ///< incarnations that never come back
};

} // namespace ferrytray::fleet
