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
struct QueuedRequest
{
  std::uint64_t m_id = 0;
  double m_cost = 1; ///< expected engine time (seconds)
};

/// @brief Weighted fair queueing between client accounts (start-time fair queueing).
///
/// An expensive request advances its account's virtual time further than a cheap one, so accounts
/// with a high demand wait for those with a low demand.
class FairQueue
{
public:
  explicit FairQueue(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// @brief Queues a request. @return false if the queue is full or already has the id
  /// @param aWeight the account's weight; must be positive
  bool Push(const std::string& aAccount, double aWeight, const QueuedRequest& aRequest);
  /// @brief Removes and returns the request with the lowest virtual start time.
  std::optional<QueuedRequest> Pop();
  /// @brief Removes a cancelled request. @return false if it is not queued
  bool Remove(std::uint64_t aId);
  [[nodiscard]] std::size_t Size() const { return m_byStart.size(); }
  /// @brief Returns the total cost of the queued requests (engine seconds).
  [[nodiscard]] double QueuedCost() const { return m_queuedCost; }

private:
  struct Entry
  {
    std::string m_account;
    double m_start = 0;
    QueuedRequest m_request;
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
