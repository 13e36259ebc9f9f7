#pragma once

#include <cstddef>       // for size_t
#include <deque>         // for deque
#include <optional>      // for optional
#include <unordered_map> // for unordered_map

#include "ferrytray/base/digest.hpp"       // for Digest128
#include "ferrytray/once/ticket_table.hpp" // for KeptAnswer

namespace ferrytray::once {

/// @brief Answers of keyed requests, kept within a byte budget; the oldest go first.
class AnswerStore
{
public:
  explicit AnswerStore(std::size_t aMaxBytes)
    : m_maxBytes(aMaxBytes)
  {
  }

  /// @brief Keeps an answer under its key; one larger than the budget is not kept.
  void Put(const base::Digest128& aKey, StoredAnswer aAnswer);
  /// @brief The kept answer, if it is still there.
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
