#include "ferrytray/once/answer_store.hpp"

#include <utility> // for move

namespace ferrytray::once {

void AnswerStore::Put(const base::Digest128& aKey, StoredAnswer aAnswer)
{
  const std::size_t size = aAnswer.m_body.size();
  if (size > m_maxBytes || m_answers.contains(aKey)) {
    return;
  }
  while (m_bytes + size > m_maxBytes) {
    EvictOldest();
  }
  m_bytes += size;
  m_order.push_back(aKey);
  m_answers.emplace(aKey, std::move(aAnswer));
}

std::optional<StoredAnswer> AnswerStore::Find(const base::Digest128& aKey) const
{
  const auto found = m_answers.find(aKey);
  return found == m_answers.end() ? std::nullopt : std::optional(found->second);
}

void AnswerStore::EvictOldest()
{
  const auto found = m_answers.find(m_order.front());
  m_order.pop_front();
  m_bytes -= found->second.m_body.size();
  m_answers.erase(found);
}

} // namespace ferrytray::once
