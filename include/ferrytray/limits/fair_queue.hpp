#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for uint64_t
#include <deque>    // for deque
#include <map>      // for map
#include <optional> // for optional
#include <set>      // for set
#include <string>   // for string
#include <utility>  // for pair

namespace ferrytray::limits {

/// @brief One waiting request.
struct QueuedWork
{
  std::uint64_t m_id = 0;
  double m_cost = 1; ///< expected engine seconds
};

/// @brief Weighted fair queueing between client accounts (start-time fair queueing).
///
/// A long datasheet question moves its account's virtual time further than a short lookup, so
/// an account that asks for much waits for those that ask for little.
class FairQueue
{
public:
  explicit FairQueue(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// @brief Queues work. @return false when the queue is full
  /// @param aWeight the account's share; must be positive
  bool Push(const std::string& aAccount, double aWeight, const QueuedWork& aWork);
  /// @brief Takes the work that is next in fairness.
  std::optional<QueuedWork> Pop();
  /// @brief Takes work out that is no longer wanted. @return false when it is not queued
  bool Remove(std::uint64_t aId);
  [[nodiscard]] std::size_t Size() const { return m_byStart.size(); }
  /// @brief The sum of the queued costs (engine seconds).
  [[nodiscard]] double QueuedCost() const { return m_queuedCost; }

private:
  struct Entry
  {
    std::string m_account;
    double m_start = 0;
    QueuedWork m_work;
  };
  using Key = std::pair<double, std::uint64_t>;

  void Erase(std::map<Key, Entry>::iterator aEntry);

  std::size_t m_capacity;
  double m_virtualTime = 0;
  double m_queuedCost = 0;
  std::uint64_t m_sequence = 0;
  std::map<Key, Entry> m_byStart;
  std::map<std::uint64_t, Key> m_byId;
  std::map<std::string, double> m_lastFinish;
};

} // namespace ferrytray::limits
