#pragma once

#include <deque>      // for deque
#include <functional> // for function
#include <utility>    // for move
#include <vector>     // for vector

#include "ferrytray/net/loop.hpp"         // for Loop
#include "ferrytray/store/record_log.hpp" // for RecordLog

namespace support {

/// A record log that gives the replies queued by the test. Stops the loop when none are left.
class FakeRecordLog final : public ferrytray::store::RecordLog
{
public:
  explicit FakeRecordLog(ferrytray::net::Loop& aLoop)
    : m_loop(aLoop)
  {
  }

  void ReadSnapshot(const std::string&,
                    ferrytray::store::Done<ferrytray::store::Snapshot> aDone) override
  {
    Answer(m_snapshots, aDone);
  }
  void Read(const std::string&,
            ferrytray::store::Offset aFrom,
            ferrytray::base::Duration aWait,
            ferrytray::base::Duration,
            ferrytray::store::Done<ferrytray::store::Batch> aDone) override
  {
    m_readFrom.push_back(aFrom);
    m_waits.push_back(aWait);
    if (m_holdReads) {
      m_heldRead = std::move(aDone);
      m_onReadHeld();
      return;
    }
    Answer(m_batches, aDone);
  }
  void Append(const std::string&,
              std::string_view,
              ferrytray::store::Offset,
              ferrytray::store::Done<ferrytray::store::AppendResult>) override
  {
  }
  void AppendKeyed(const std::string&,
                   std::string_view,
                   std::string_view,
                   ferrytray::store::Done<ferrytray::store::AppendResult>) override
  {
  }
  void AppendKeyedAt(const std::string&,
                     std::string_view,
                     std::string_view,
                     ferrytray::store::Offset,
                     ferrytray::store::Done<ferrytray::store::AppendResult>) override
  {
  }

  std::deque<ferrytray::base::Result<ferrytray::store::Snapshot>> m_snapshots;
  std::deque<ferrytray::base::Result<ferrytray::store::Batch>> m_batches;
  std::vector<ferrytray::store::Offset> m_readFrom;
  std::vector<ferrytray::base::Duration> m_waits;
  bool m_holdReads = false; ///< reads are not answered; the last one is in m_heldRead
  ferrytray::store::Done<ferrytray::store::Batch> m_heldRead;
  std::function<void()> m_onReadHeld;

private:
  template<typename T>
  void Answer(std::deque<ferrytray::base::Result<T>>& aAnswers,
              const ferrytray::store::Done<T>& aDone)
  {
    if (aAnswers.empty()) {
      m_loop.Stop();
      return;
    }
    ferrytray::base::Result<T> answer = std::move(aAnswers.front());
    aAnswers.pop_front();
    aDone(std::move(answer));
  }

  ferrytray::net::Loop& m_loop;
};

inline ferrytray::store::Record MakeRecord(ferrytray::store::Offset aOffset,
                                           const std::string& aKey,
                                           const std::string& aValue)
{
  return { aOffset, aKey, aValue, aValue.empty() };
}

} // namespace support
