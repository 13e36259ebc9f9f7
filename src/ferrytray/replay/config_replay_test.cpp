#include "ferrytray/replay/config_replay.hpp"

#include "ferrytray/base/digest.hpp"     // for Sha256Hex
#include "ferrytray/replay/registry.hpp" // for Registry

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using replay::FileRecord;
using replay::LoggedRecord;
using replay::RenewRecord;

namespace {

FileRecord MakeFile(const std::string& aId,
                    replay::LogOffset aBaseOffset,
                    const std::string& aBody,
                    int aSchema = 1)
{
  return { aId, "s", aBaseOffset, base::Sha256Hex(aBody), aBody, aSchema };
}

RenewRecord MakeRenewal(replay::LogOffset aAcceptedOffset, const std::string& aBody)
{
  return { "s", aAcceptedOffset, base::Sha256Hex(aBody), aBody, 1 };
}

std::string BodyOf(const replay::ConfigReplay& aReplay)
{
  const auto* scope = aReplay.Find("s");
  return scope == nullptr ? "" : scope->m_body;
}

} // namespace

TEST_GROUP(ConfigReplay)
{
  replay::ConfigReplay m_replay;
};

TEST(ConfigReplay, OnlyOneOfTwoConcurrentFilesIsAccepted)
{
  CHECK(std::holds_alternative<replay::Accepted>(m_replay.Apply({ 1, 0s, MakeFile("a", 0, "A") })));
  CHECK(std::holds_alternative<replay::Accepted>(m_replay.Apply({ 2, 0s, MakeFile("b", 1, "B") })));
  const auto rejected = m_replay.Apply({ 3, 0s, MakeFile("c", 1, "C") });
  LONGS_EQUAL(2, std::get<replay::Rejected>(rejected).m_expectedBaseOffset);
  STRCMP_EQUAL("B", BodyOf(m_replay).c_str());
}

TEST(ConfigReplay, RepeatedRecordIsIgnored)
{
  m_replay.Apply({ 1, 0s, MakeFile("a", 0, "A") });
  m_replay.Apply({ 2, 0s, MakeFile("b", 1, "B") });
  CHECK(
    std::holds_alternative<replay::Unchanged>(m_replay.Apply({ 1, 0s, MakeFile("a", 0, "A") })));
  STRCMP_EQUAL("B", BodyOf(m_replay).c_str());
}

TEST(ConfigReplay, StaleRenewalDoesNotRevertNewerFile)
{
  m_replay.Apply({ 1, 0s, MakeFile("a", 0, "A") });
  m_replay.Apply({ 2, 0s, MakeFile("b", 1, "B") });
  m_replay.Apply({ 3, 0s, MakeRenewal(1, "A") });
  STRCMP_EQUAL("B", BodyOf(m_replay).c_str());
}

TEST(ConfigReplay, BootstrapIgnoresStaleRenewal)
{
  // The log begins at 10. A paused host renewed offset 1 at 10, although the file at 5 had replaced
  // it.
  const std::vector<LoggedRecord> records{
    { 10, 0s, MakeRenewal(1, "A") },
    { 11, 0s, MakeFile("lost", 1, "X") },
    { 12, 0s, MakeRenewal(5, "B") },
  };
  m_replay.Bootstrap(records);
  STRCMP_EQUAL("B", BodyOf(m_replay).c_str());
  LONGS_EQUAL(5, m_replay.Find("s")->m_acceptedOffset);
}

TEST(ConfigReplay, StateOfOlderPeerIsIgnored)
{
  m_replay.Apply({ 1, 0s, MakeFile("a", 0, "A") });
  replay::ConfigReplay peer;
  const auto old = m_replay.AcceptedSince(0);
  m_replay.Apply({ 2, 0s, MakeFile("b", 1, "B") });
  LONGS_EQUAL(0, m_replay.Merge(1, old).size());
  LONGS_EQUAL(0, m_replay.Merge(9, old).size());
  LONGS_EQUAL(1, peer.Merge(2, m_replay.AcceptedSince(0)).size());
  STRCMP_EQUAL("B", BodyOf(peer).c_str());
}

TEST(ConfigReplay, UnsupportedSchemaKeepsLastContentAndIsReported)
{
  m_replay.Apply({ 1, 0s, MakeFile("a", 0, "A") });
  m_replay.Apply({ 2, 0s, MakeFile("b", 1, "B", 2) });
  STRCMP_EQUAL("A", BodyOf(m_replay).c_str());
  CHECK(m_replay.HasUnsupportedSchema());
  CHECK(std::holds_alternative<replay::Accepted>(m_replay.Apply({ 3, 0s, MakeFile("c", 2, "C") })));
  CHECK_FALSE(m_replay.HasUnsupportedSchema());
}

TEST(ConfigReplay, FileWithWrongDigestIsRejected)
{
  auto bad = MakeFile("a", 0, "A");
  bad.m_body = "tampered";
  CHECK(std::holds_alternative<replay::Rejected>(m_replay.Apply({ 1, 0s, bad })));
}

TEST(ConfigReplay, RenewsFilesBeforeTheyLeaveTheLog)
{
  m_replay.Apply({ 1, 10s, MakeFile("a", 0, "A") });
  LONGS_EQUAL(0, m_replay.DueRenewals(59s, 50s).size());
  const auto due = m_replay.DueRenewals(60s, 50s);
  LONGS_EQUAL(1, due.size());
  m_replay.Apply({ 2, 60s, due.front() });
  LONGS_EQUAL(0, m_replay.DueRenewals(61s, 50s).size());
}

TEST(ConfigReplay, EncodedRecordsRoundTrip)
{
  const auto back = replay::Decode(replay::Encode(MakeFile("a", 3, "B\n")));
  STRCMP_EQUAL("B\n", std::get<FileRecord>(*back).m_body.c_str());
  CHECK(replay::Decode("{}").error().m_code == base::ErrorCode::PlatformMalformed);
}

// Random logs with concurrent files, stale renewals by paused hosts and a limited retention. A
// reader of the retained records must reach the same state as a reader of the whole log.
TEST(ConfigReplay, ReaderOfRetainedLogMatchesReaderOfWholeLog)
{
  const bool holds = rc::check("bootstrap", [] {
    constexpr std::size_t kRetention = 30;
    replay::ConfigReplay full;
    std::vector<LoggedRecord> log;
    std::vector<std::pair<replay::LogOffset, std::string>> history;
    replay::LogOffset lastCopy = 0;
    const auto steps =
      *rc::gen::resize(100, rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 100)));
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const replay::LogOffset offset = i + 1;
      const auto* state = full.Find("s");
      const replay::LogOffset accepted = state == nullptr ? 0 : state->m_acceptedOffset;
      const bool mustRenew = accepted > 0 && offset - lastCopy > kRetention / 2;
      LoggedRecord logged{ offset, 0s, MakeFile("x", accepted, "body" + std::to_string(i)) };
      if (mustRenew) {
        logged.m_record = MakeRenewal(accepted, state->m_body);
      } else if (!history.empty() && steps[i] < 30) {
        const auto& [old, body] = history[static_cast<std::size_t>(steps[i]) % history.size()];
        logged.m_record = MakeRenewal(old, body);
      } else if (!history.empty() && steps[i] < 60) {
        const auto& [old, body] = history[static_cast<std::size_t>(steps[i]) % history.size()];
        logged.m_record = MakeFile("late", old, "late" + std::to_string(i));
      } else if (steps[i] < 85) {
        logged.m_record = RenewRecord{ "other", 0, "", "", 1 };
      }
      const auto outcome = full.Apply(logged);
      log.push_back(logged);
      if (std::holds_alternative<replay::Accepted>(outcome)) {
        history.emplace_back(offset, full.Find("s")->m_body);
        lastCopy = offset;
      }
      if (mustRenew) {
        lastCopy = offset;
      }
    }
    RC_PRE(!history.empty());
    const std::size_t from = log.size() - kRetention;
    replay::ConfigReplay fresh;
    fresh.Bootstrap(std::span(log).subspan(from));
    RC_ASSERT(fresh.Find("s")->m_acceptedOffset == full.Find("s")->m_acceptedOffset);
    RC_ASSERT(BodyOf(fresh) == BodyOf(full));
  });
  CHECK(holds);
}

TEST(ConfigReplay, RegistryReplacesOneScopeAtATime)
{
  replay::Registry registry;
  const auto make =
    [](const std::string& aScope, const std::string& aAccount, const std::string& aKey) {
      auto document = std::make_shared<config::Document>();
      document->m_scope = aScope;
      document->m_accounts.push_back({ aAccount, { aKey }, 1, 1, 1, 1 });
      document->m_services.push_back({ aScope, "/" + aScope, false });
      return document;
    };
  registry.Put(make("one", "lab", "k1"));
  registry.Put(make("two", "bench", "k2"));
  registry.Put(make("one", "lab", "k3"));
  CHECK(registry.AccountByKey("k1") == nullptr);
  STRCMP_EQUAL("bench", registry.AccountByKey("k2")->m_name.c_str());
  STRCMP_EQUAL("lab", registry.AccountByKey("k3")->m_name.c_str());
  CHECK(registry.ServiceByPath("/one/item") != nullptr);
  CHECK(registry.ServiceByPath("/one") != nullptr);
  CHECK(registry.ServiceByPath("/onerous") == nullptr);
  CHECK(registry.ServiceByPath("/") == nullptr);
}
