#include "ferrytray/replay/config_replay.hpp"

#include "ferrytray/base/digest.hpp"     // for Sha256Hex
#include "ferrytray/replay/registry.hpp" // for Registry

#include <rapidcheck.h> // for check

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using replay::FileRecord;
using replay::PlacedRecord;
using replay::RenewRecord;

namespace {

FileRecord File(const std::string& aId,
                replay::LogOffset aBase,
                const std::string& aBody,
                int aSchema = 1)
{
  return { aId, "s", aBase, base::Sha256Hex(aBody), aBody, aSchema };
}

RenewRecord Renewal(replay::LogOffset aAccepted, const std::string& aBody)
{
  return { "s", aAccepted, base::Sha256Hex(aBody), aBody, 1 };
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

TEST(ConfigReplay, OfRacingFilesOneWins)
{
  CHECK(std::holds_alternative<replay::Accepted>(m_replay.Apply({ 1, 0s, File("a", 0, "A") })));
  CHECK(std::holds_alternative<replay::Accepted>(m_replay.Apply({ 2, 0s, File("b", 1, "B") })));
  const auto lost = m_replay.Apply({ 3, 0s, File("c", 1, "C") });
  LONGS_EQUAL(2, std::get<replay::Rejected>(lost).m_expectedBase);
  STRCMP_EQUAL("B", BodyOf(m_replay).c_str());
}

TEST(ConfigReplay, ARecordSeenAgainChangesNothing)
{
  m_replay.Apply({ 1, 0s, File("a", 0, "A") });
  m_replay.Apply({ 2, 0s, File("b", 1, "B") });
  CHECK(std::holds_alternative<replay::Unchanged>(m_replay.Apply({ 1, 0s, File("a", 0, "A") })));
  STRCMP_EQUAL("B", BodyOf(m_replay).c_str());
}

TEST(ConfigReplay, ALateRenewalNeverRevertsANewerFile)
{
  m_replay.Apply({ 1, 0s, File("a", 0, "A") });
  m_replay.Apply({ 2, 0s, File("b", 1, "B") });
  m_replay.Apply({ 3, 0s, Renewal(1, "A") });
  STRCMP_EQUAL("B", BodyOf(m_replay).c_str());
}

TEST(ConfigReplay, AFreshReaderIsNotFooledByALateRenewal)
{
  // The log begins at 10. A paused host renewed offset 1 at 10, although 5 was in force by then.
  const std::vector<PlacedRecord> kept{
    { 10, 0s, Renewal(1, "A") },
    { 11, 0s, File("lost", 1, "X") },
    { 12, 0s, Renewal(5, "B") },
  };
  m_replay.Bootstrap(kept);
  STRCMP_EQUAL("B", BodyOf(m_replay).c_str());
  LONGS_EQUAL(5, m_replay.Find("s")->m_accepted);
}

TEST(ConfigReplay, AnOlderPeerChangesNothing)
{
  m_replay.Apply({ 1, 0s, File("a", 0, "A") });
  replay::ConfigReplay peer;
  const auto old = m_replay.Since(0);
  m_replay.Apply({ 2, 0s, File("b", 1, "B") });
  LONGS_EQUAL(0, m_replay.Adopt(1, old).size());
  LONGS_EQUAL(0, m_replay.Adopt(9, old).size());
  LONGS_EQUAL(1, peer.Adopt(2, m_replay.Since(0)).size());
  STRCMP_EQUAL("B", BodyOf(peer).c_str());
}

TEST(ConfigReplay, AnUnknownSchemaKeepsTheLastContentAndIsReported)
{
  m_replay.Apply({ 1, 0s, File("a", 0, "A") });
  m_replay.Apply({ 2, 0s, File("b", 1, "B", 2) });
  STRCMP_EQUAL("A", BodyOf(m_replay).c_str());
  CHECK(m_replay.IsBehind());
  CHECK(std::holds_alternative<replay::Accepted>(m_replay.Apply({ 3, 0s, File("c", 2, "C") })));
  CHECK_FALSE(m_replay.IsBehind());
}

TEST(ConfigReplay, ADigestThatDoesNotMatchIsRejected)
{
  auto bad = File("a", 0, "A");
  bad.m_body = "tampered";
  CHECK(std::holds_alternative<replay::Rejected>(m_replay.Apply({ 1, 0s, bad })));
}

TEST(ConfigReplay, RenewsWhatIsAboutToLeaveTheLog)
{
  m_replay.Apply({ 1, 10s, File("a", 0, "A") });
  LONGS_EQUAL(0, m_replay.DueRenewals(59s, 50s).size());
  const auto due = m_replay.DueRenewals(60s, 50s);
  LONGS_EQUAL(1, due.size());
  m_replay.Apply({ 2, 60s, due.front() });
  LONGS_EQUAL(0, m_replay.DueRenewals(61s, 50s).size());
}

TEST(ConfigReplay, RecordsSurviveTheirEncoding)
{
  const auto back = replay::Decode(replay::Encode(File("a", 3, "B\n")));
  STRCMP_EQUAL("B\n", std::get<FileRecord>(*back).m_body.c_str());
  CHECK(replay::Decode("{}").error().m_code == base::ErrorCode::PlatformMalformed);
}

// Differential: operators race, paused hosts renew stale files, the log forgets its head. A reader
// of what is kept must agree with one that has read everything.
TEST(ConfigReplay, AFreshReaderAgreesWithAReaderOfEverything)
{
  const bool holds = rc::check("bootstrap", [] {
    constexpr std::size_t kRetention = 30;
    replay::ConfigReplay all;
    std::vector<PlacedRecord> log;
    std::vector<std::pair<replay::LogOffset, std::string>> history;
    replay::LogOffset lastCopy = 0;
    const auto steps =
      *rc::gen::resize(100, rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 100)));
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const replay::LogOffset offset = i + 1;
      const auto* state = all.Find("s");
      const replay::LogOffset accepted = state == nullptr ? 0 : state->m_accepted;
      const bool mustRenew = accepted > 0 && offset - lastCopy > kRetention / 2;
      PlacedRecord placed{ offset, 0s, File("x", accepted, "body" + std::to_string(i)) };
      if (mustRenew) {
        placed.m_record = Renewal(accepted, state->m_body);
      } else if (!history.empty() && steps[i] < 30) {
        const auto& [old, body] = history[static_cast<std::size_t>(steps[i]) % history.size()];
        placed.m_record = Renewal(old, body);
      } else if (!history.empty() && steps[i] < 60) {
        const auto& [old, body] = history[static_cast<std::size_t>(steps[i]) % history.size()];
        placed.m_record = File("late", old, "late" + std::to_string(i));
      } else if (steps[i] < 85) {
        placed.m_record = RenewRecord{ "other", 0, "", "", 1 };
      }
      const auto outcome = all.Apply(placed);
      log.push_back(placed);
      if (std::holds_alternative<replay::Accepted>(outcome)) {
        history.emplace_back(offset, all.Find("s")->m_body);
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
    RC_ASSERT(fresh.Find("s")->m_accepted == all.Find("s")->m_accepted);
    RC_ASSERT(BodyOf(fresh) == BodyOf(all));
  });
  CHECK(holds);
}

TEST(ConfigReplay, TheRegistryReplacesOneScopeAtATime)
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
