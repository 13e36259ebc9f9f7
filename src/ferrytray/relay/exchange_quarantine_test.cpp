// How an exchange treats requests that crash endpoints.
#include "ferrytray/peers/incarnation_table.hpp" // for KeyOf
#include "tests/support/exchange_fixture.hpp"    // for ExchangeFixture

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;
using support::MakeEndpoint;

TEST_GROUP_BASE(ExchangeQuarantine, support::ExchangeFixture){};

// One request crashed several endpoints in turn: it came back as a new request each time and was
// sent again, because an exchange knew only its own sends.
TEST(ExchangeQuarantine, RequestIsQuarantinedAfterThreeEndpointCrashes)
{
  for (const char* name : { "c", "d", "e", "f" }) {
    m_core.m_directory.Upsert(MakeEndpoint(name), base::MonotonicNow());
  }
  for (int i = 0; i < 3; ++i) {
    SendRequest("/once/x", "k", "", "bad");
    m_client.End(WireEnd::NoReply);
  }
  const std::size_t sent = m_client.m_calls.size();
  const auto reply = SendRequest("/once/x", "k", "", "bad");
  LONGS_EQUAL(sent, m_client.m_calls.size());
  LONGS_EQUAL(503, reply->m_status);
  STRCMP_EQUAL("not_run", reply->Header("run").c_str());
  STRCMP_EQUAL("yes", reply->Header("come-back").c_str());
  // Requests with another body or path are served.
  SendRequest("/once/x", "k", "", "good");
  SendRequest("/again/x", "k", "", "bad");
  LONGS_EQUAL(sent + 2, m_client.m_calls.size());
}

TEST(ExchangeQuarantine, QuarantinedRequestIsNotRetried)
{
  const base::TimePoint now = base::MonotonicNow();
  const auto reply = SendRequest("/again/x", "k", "", "bad");
  const quarantine::ContentKey key =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/again/x", "bad" });
  m_core.m_crashes.OnConnectionBroken(key, 1, now, now);
  m_core.m_crashes.OnConnectionBroken(key, 2, now, now);
  m_client.End(WireEnd::NoReply);
  LONGS_EQUAL(1, m_client.m_calls.size());
  LONGS_EQUAL(502, reply->m_status);
}

TEST(ExchangeQuarantine, TimeoutsErrorRepliesAndLeavingEndpointsAreNotCrashes)
{
  const quarantine::ContentKey key =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "b" });
  SendRequest("/once/x", "k", "", "b");
  net::ClientOutcome timeout;
  timeout.m_end = WireEnd::NoReply;
  timeout.m_timedOut = true;
  const auto events = m_client.m_calls.back().m_events;
  events.m_onEnd(timeout);
  SendRequest("/once/x", "k", "", "b");
  m_client.Head(500, {});
  m_client.End(WireEnd::Complete);
  fleet::Endpoint a = MakeEndpoint("a");
  fleet::Endpoint b = MakeEndpoint("b");
  SendRequest("/once/x", "k", "", "b");
  a.m_leaving = b.m_leaving = true;
  m_core.m_directory.Upsert(a, base::MonotonicNow());
  m_core.m_directory.Upsert(b, base::MonotonicNow());
  m_client.End(WireEnd::NoReply);
  CHECK_FALSE(m_core.m_crashes.Find(key).has_value());
}

TEST(ExchangeQuarantine, CompleteReplyClearsRequestAndEndpointSuspicion)
{
  const base::TimePoint now = base::MonotonicNow();
  const quarantine::ContentKey key =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "b" });
  const quarantine::ContentKey other =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "c" });
  m_core.m_crashes.OnConnectionBroken(key, 1, now, now);
  m_core.m_crashes.OnConnectionBroken(other, peers::KeyOf("a"), now - 1s, now - 1s);
  m_core.m_crashes.OnConnectionBroken(other, peers::KeyOf("b"), now - 1s, now - 1s);
  SendRequest("/once/x", "k", "", "b");
  m_client.Head(200, {});
  LONGS_EQUAL(1, m_core.m_crashes.Find(other)->m_crashedEndpoints.size());
  m_client.End(WireEnd::Complete);
  CHECK_FALSE(m_core.m_crashes.Find(key).has_value());
}

TEST(ExchangeQuarantine, NothingIsSentBeforeQuarantineIsLoaded)
{
  m_core.m_crashesLoaded = false;
  LONGS_EQUAL(503, SendRequest("/once/x")->m_status);
  LONGS_EQUAL(0, m_client.m_calls.size());
}

TEST(ExchangeQuarantine, QuarantinedRequestIsProbedOnceWhenClaimIsGranted)
{
  const base::TimePoint before = base::MonotonicNow() - 1min;
  const quarantine::ContentKey key =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/again/x", "b" });
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    m_core.m_crashes.OnConnectionBroken(key, end, before, before);
  }
  bool granted = false;
  m_core.m_claimProbe = [&](std::span<const quarantine::ContentKey>,
                            const std::function<void(bool)>& aDone) { aDone(granted); };
  LONGS_EQUAL(503, SendRequest("/again/x", "k", "", "b")->m_status);
  LONGS_EQUAL(0, m_client.m_calls.size());
  granted = true;
  SendRequest("/again/x", "k", "", "b");
  m_client.End(WireEnd::NoReply); // the probe crashes this endpoint too; the host does not retry it
  LONGS_EQUAL(1, m_client.m_calls.size());
  CHECK(m_core.m_crashes.IsQuarantined(key));
}

TEST(ExchangeQuarantine, SuccessfulProbeEndsQuarantine)
{
  const base::TimePoint before = base::MonotonicNow() - 1min;
  const quarantine::ContentKey key =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/again/x", "b" });
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    m_core.m_crashes.OnConnectionBroken(key, end, before, before);
  }
  m_core.m_claimProbe = [](std::span<const quarantine::ContentKey>,
                           const std::function<void(bool)>& aDone) { aDone(true); };
  const auto reply = SendRequest("/again/x", "k", "", "b");
  m_client.Head(200, {});
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(200, reply->m_status);
  CHECK_FALSE(m_core.m_crashes.IsQuarantined(key));
}

// After a crash of all hosts, a harmless request stayed quarantined on every host. Callers sent
// it often, so it reached endpoints that other requests had crashed before and whose addresses
// closed each connection at once. Its single probe also went to such an endpoint and broke off
// within 2 ms. Observed in the host logs of a run with real processes.
TEST(ExchangeQuarantine, BrokenSendToCrashedEndpointIsNotAttributedToRequest)
{
  const base::TimePoint before = base::MonotonicNow() - 1s;
  const quarantine::ContentKey other =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "bad" });
  const quarantine::ContentKey key =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "b" });
  m_core.m_crashes.OnConnectionBroken(other, peers::KeyOf("a"), before, before);
  m_core.m_crashes.OnConnectionBroken(other, peers::KeyOf("b"), before, before);
  SendRequest("/once/x", "k", "", "b");
  m_client.End(WireEnd::NoReply);
  CHECK_FALSE(m_core.m_crashes.Find(key).has_value());
}

TEST(ExchangeQuarantine, ProbeAvoidsCrashedEndpoints)
{
  const base::TimePoint before = base::MonotonicNow() - 1min;
  const quarantine::ContentKey other =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "bad" });
  m_core.m_crashes.OnConnectionBroken(other, peers::KeyOf("a"), before, before);
  m_core.m_claimProbe = [](std::span<const quarantine::ContentKey>,
                           const std::function<void(bool)>& aDone) { aDone(true); };
  for (const char* body : { "b", "c", "d", "e", "f", "g" }) {
    const quarantine::ContentKey key =
      quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", body });
    for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
      m_core.m_crashes.OnConnectionBroken(key, end, before, before);
    }
    SendRequest("/once/x", "k", "", body);
    STRCMP_EQUAL("b", SentHeader("to").c_str());
    m_client.Head(200, {});
    m_client.End(WireEnd::Complete);
  }
}

// Endpoints that break off some streams and go on are listed as crashed until a read of the
// directory shows that they are alive. No probe was sent in a run in which all of them did.
TEST(ExchangeQuarantine, EndpointThatAnswersAfterABreakIsProbed)
{
  const base::TimePoint before = base::MonotonicNow() - 6s;
  const quarantine::ContentKey other =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "bad" });
  const quarantine::ContentKey key =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "b" });
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    m_core.m_crashes.OnConnectionBroken(key, end, before, before);
  }
  m_core.m_claimProbe = [](std::span<const quarantine::ContentKey>,
                           const std::function<void(bool)>& aDone) { aDone(true); };
  SendRequest("/once/x", "k", "", "another");
  m_client.Head(200, {});
  m_client.End(WireEnd::Complete);
  for (const char* endpoint : { "a", "b" }) {
    m_core.m_crashes.OnConnectionBroken(other, peers::KeyOf(endpoint), before, before);
  }
  const std::size_t sent = m_client.m_calls.size();
  LONGS_EQUAL(503, SendRequest("/once/x", "k", "", "b")->m_status);
  for (const char* endpoint : { "a", "b" }) {
    m_core.m_crashes.OnEndpointUp(peers::KeyOf(endpoint), base::MonotonicNow());
  }
  SendRequest("/once/x", "k", "", "b");
  LONGS_EQUAL(sent + 1, m_client.m_calls.size());
}

TEST(ExchangeQuarantine, ProbeWaitsForEndpointWithRecentReply)
{
  const base::TimePoint before = base::MonotonicNow() - 6s;
  const quarantine::ContentKey key =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "b" });
  for (quarantine::EndpointKey end = 1; end <= 3; ++end) {
    m_core.m_crashes.OnConnectionBroken(key, end, before, before);
  }
  m_core.m_claimProbe = [](std::span<const quarantine::ContentKey>,
                           const std::function<void(bool)>& aDone) { aDone(true); };
  LONGS_EQUAL(503, SendRequest("/once/x", "k", "", "b")->m_status);
  LONGS_EQUAL(0, m_client.m_calls.size());
  SendRequest("/once/x", "k", "", "another");
  const std::string answered = SentHeader("to");
  m_client.Head(200, {});
  m_client.End(WireEnd::Complete);
  SendRequest("/once/x", "k", "", "b");
  LONGS_EQUAL(2, m_client.m_calls.size());
  STRCMP_EQUAL(answered.c_str(), SentHeader("to").c_str());
}

// Each host used to detect a crashed endpoint only through a request of its own, which then failed
// if it was not repeatable. The crash notices that hosts exchange for the quarantine report it as
// well.
TEST(ExchangeQuarantine, EndpointCrashReportedByPeerIsAvoided)
{
  const base::TimePoint now = base::MonotonicNow();
  const quarantine::ContentKey other =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "bad" });
  const quarantine::CrashNotice notice{
    quarantine::NoticeKind::ConnectionBroken, other, peers::KeyOf("a"), 1
  };
  m_core.m_crashes.OnNotice(notice, now);
  for (int i = 0; i < 20; ++i) {
    SendRequest("/once/x", "k", i % 2 == 0 ? "m" : "", "b" + std::to_string(i));
    STRCMP_EQUAL("b", SentHeader("to").c_str());
  }
}

TEST(ExchangeQuarantine, EndpointIsUsedAgainAfterCrashExpires)
{
  const base::TimePoint before = base::MonotonicNow() - 1min;
  const quarantine::ContentKey other =
    quarantine::KeyOf(quarantine::RequestTraits{ "lab", "", "h", "/once/x", "bad" });
  m_core.m_crashes.OnConnectionBroken(other, peers::KeyOf("a"), before, before);
  bool used = false;
  for (int i = 0; i < 20; ++i) {
    SendRequest("/once/x", "k", "", "b" + std::to_string(i));
    used = used || SentHeader("to") == "a";
  }
  CHECK(used);
}

TEST_GROUP_BASE(ExchangePartQuarantine, support::ExchangeFixture)
{
  int m_bodies = 0;

  void setup() override
  {
    ExchangeFixture::setup();
    for (const char* name : { "c", "d", "e", "f" }) {
      m_core.m_directory.Upsert(MakeEndpoint(name), base::MonotonicNow());
    }
  }
  /// Sends a prompt that is identical to no other one.
  std::shared_ptr<support::FakeReply> SendPrompt(const std::string& aParts)
  {
    m_parts = aParts;
    return SendRequest("/stream/x", "k", "m", "body " + std::to_string(++m_bodies));
  }
  /// Three prompts with the part crash their endpoints.
  /// @param aOthers part that the first two of them share
  void CrashEndpoints(const std::string& aPart, const std::string& aOther)
  {
    for (const std::string& first : { aOther, aOther, std::string("another") }) {
      SendPrompt(first + "," + aPart);
      m_client.End(WireEnd::NoReply);
    }
  }
};

// One part of prompts crashed 42 engines in half a minute: crashes were counted by identical
// requests only, and no two of its requests were identical.
TEST(ExchangePartQuarantine, PromptsWithAPartThatCrashedThreeEndpointsAreRefused)
{
  CrashEndpoints("crashing", "first");
  const std::size_t sent = m_client.m_calls.size();
  const auto reply = SendPrompt("second,crashing,third");
  LONGS_EQUAL(sent, m_client.m_calls.size());
  LONGS_EQUAL(503, reply->m_status);
  STRCMP_EQUAL("not_run", reply->Header("run").c_str());
  STRCMP_EQUAL("yes", reply->Header("come-back").c_str());
}

TEST(ExchangePartQuarantine, PromptsThatShareOtherPartsAreServed)
{
  SendPrompt("first");
  m_client.Head(200, {});
  m_client.Data("id: 1\ndata: x\n\n");
  m_client.End(WireEnd::Complete);
  CrashEndpoints("crashing", "first");
  const std::size_t sent = m_client.m_calls.size();
  SendPrompt("first");
  SendPrompt("first,other");
  LONGS_EQUAL(sent + 2, m_client.m_calls.size());
}

TEST(ExchangePartQuarantine, LastPartIsNeverSuspected)
{
  for (int i = 0; i < 3; ++i) {
    SendPrompt(""); // the part of the request itself is the only one
    m_client.End(WireEnd::NoReply);
  }
  const std::size_t sent = m_client.m_calls.size();
  SendPrompt("");
  LONGS_EQUAL(sent + 1, m_client.m_calls.size());
}

TEST(ExchangePartQuarantine, PartThatIsNamedTwiceCountsOnce)
{
  SendPrompt("crashing,crashing");
  m_client.End(WireEnd::NoReply);
  const auto key = quarantine::KeyOf(quarantine::PartTraits{ "m", "crashing" });
  LONGS_EQUAL(1, m_core.m_crashes.Find(key)->m_crashedEndpoints.size());
}

TEST(ExchangePartQuarantine, OnlyTheFirstPartsOfALongListAreSuspected)
{
  std::string parts;
  for (int i = 0; i < 2000; ++i) {
    parts += "p" + std::to_string(i) + ",";
  }
  SendPrompt(parts);
  m_client.End(WireEnd::NoReply);
  LONGS_EQUAL(relay::RequestContent::kMaxParts + 1, m_core.m_crashes.ContentWithCrashes(1).size());
}

TEST(ExchangePartQuarantine, CompleteAnswerClearsAllPartsOfItsPrompt)
{
  const base::TimePoint now = base::MonotonicNow();
  const auto key = quarantine::KeyOf(quarantine::PartTraits{ "m", "shared" });
  m_core.m_crashes.OnConnectionBroken(key, 1, now, now);
  SendPrompt("first,shared");
  m_client.Head(200, {});
  m_client.Data("id: 1\ndata: x\n\n");
  m_client.End(WireEnd::Complete);
  CHECK_FALSE(m_core.m_crashes.Find(key).has_value());
}

TEST(ExchangePartQuarantine, PromptWithAnotherQuarantinedPartIsNoProbe)
{
  const base::TimePoint before = base::MonotonicNow() - 6s;
  quarantine::EndpointKey endpoint = 0;
  for (const char* part : { "crashing", "suspected" }) {
    for (int i = 0; i < 3; ++i) {
      m_core.m_crashes.OnConnectionBroken(
        quarantine::KeyOf(quarantine::PartTraits{ "m", part }), ++endpoint, before, before);
    }
  }
  m_core.m_crashes.OnProbeStarted(
    quarantine::KeyOf(quarantine::PartTraits{ "m", "crashing" }), 2, before);
  std::size_t claims = 0;
  m_core.m_claimProbe = [&](std::span<const quarantine::ContentKey> aContent,
                            const std::function<void(bool)>& aDone) {
    claims += aContent.size();
    aDone(true);
  };
  SendPrompt("other"); // shows that an endpoint answers
  m_client.Head(200, {});
  m_client.Data("id: 1\ndata: x\n\n");
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(503, SendPrompt("crashing,suspected")->m_status);
  LONGS_EQUAL(0, claims);
  const auto reply = SendPrompt("first,suspected");
  LONGS_EQUAL(1, claims);
  m_client.Head(200, {});
  m_client.Data("id: 1\ndata: x\n\n");
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(200, reply->m_status);
  CHECK_FALSE(
    m_core.m_crashes.IsQuarantined(quarantine::KeyOf(quarantine::PartTraits{ "m", "suspected" })));
}
