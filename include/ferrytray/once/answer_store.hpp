#pragma once

#include <cstddef>       // for size_t
#include <deque>         // for deque
#include <optional>      // for optional
#include <unordered_map> // for unordered_map

#include "ferrytray/base/digest.hpp"       // for Digest128
#include "ferrytray/once/ticket_table.hpp" // for StoredAnswer

namespace ferrytray::once {

/// @brief Stores the answers to requests with an Idempotency-Key within a byte budget; evicts the
/// oldest first.
class AnswerStore
{
public:
  explicit AnswerStore(std::size_t aMaxBytes)
    : m_maxBytes(aMaxBytes)
  {
  }

  /// @brief Stores an answer under its key. Ignores answers larger than the budget and keys that
  /// already have an answer.
  void Put(const base::Digest128& aKey, StoredAnswer aAnswer);
  /// @brief Returns the stored answer unless it was evicted.
  [[nodiscard]] std::optional<StoredAnswer> Find(const base::Digest128& aKey) const;
  [[nodiscard]] std::size_t Bytes() const { return m_bytes; }

private:
  void EvictOldest();

  std::size_t m_maxBytes;
  std::size_t m_bytes = 0;
  std::deque<base::Digest128> m_order;
  std::unordered_map<base::Digest128, StoredAnswer, base::DigestHash> m_answers;
};

} // namespace ferrytray::once
