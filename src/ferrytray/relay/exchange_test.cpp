#include "ferrytray/relay/exchange.hpp"

#include "ferrytray/relay/relay_front.hpp" // for RelayFront
#include "tests/support/fake_http.hpp"     // for FakeHttpClient, FakeReply

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;
using net::WireEnd;

namespace {

// Engines of 70,000 tokens, of which a long prompt takes a sixth.
constexpr std::uint64_t kEngineMemory = 70'000;
constexpr std::uint32_t kLongPrompt = 12'000;

/// Plain names; the platform's own are tested beside its adapter.
class FakeFormat final : public relay::WireFormat
{
public:
  [[nodiscard]] base::Result<relay::CallerRequest> ReadRequest(
    net::HttpRequest aRequest) const override
  {
    relay::CallerRequest request;
    request.m_id = std::string(aRequest.Header("id"));
    request.m_hostName = "h";
    request.m_path = aRequest.m_path;
    request.m_key = std::string(aRequest.Header("key"));
    request.m_deadline = 5s;
    if (aRequest.Header("model") == "m") {
      request.m_prompt = relay::Prompt{ "m", 10, 10, { { "p", 10 } } };
    }
    if (aRequest.Header("model") == "long") {
      request.m_prompt = relay::Prompt{ "m", kLongPrompt, 10, { { "p", kLongPrompt } } };
    }
    return request;
  }
  [[nodiscard]] net::ClientRequest WriteCall(const relay::CallerRequest&,
                                             const relay::EndpointCall& aCall) const override
  {
    net::ClientRequest request;
    request.m_url = aCall.m_address;
    request.m_headers = { { "to", aCall.m_incarnation },
                          { "after",
                            aCall.m_resumeAfter ? std::to_string(*aCall.m_resumeAfter) : "" },
                          { "scope", aCall.m_cacheScope },
                          { "rank", aCall.m_rank ? std::to_string(*aCall.m_rank) : "" },
                          { "weights", aCall.m_weights ? std::to_string(*aCall.m_weights) : "" } };
    return request;
  }
  [[nodiscard]] relay::ReplyHead ReadHead(int aStatus, const net::Headers& aHeaders) const override
  {
    relay::ReplyHead head;
    head.m_status = aStatus;
    head.m_forwarded = aHeaders;
    head.m_signed = true;
    head.m_requestId = "r1";
    for (const auto& [name, value] : aHeaders) {
      head.m_signed = head.m_signed && name != "unsigned";
      head.m_notRun = head.m_notRun || name == "not-run";
      head.m_misdirected = head.m_misdirected || name == "misdirected";
      head.m_requestId = name == "id" ? value : head.m_requestId;
      head.m_incarnation = name == "incarnation" ? value : head.m_incarnation;
    }
    return head;
  }
  [[nodiscard]] relay::OwnAnswer WriteFailure(const std::string&,
                                              const base::Failure& aFailure) const override
  {
    const bool unknown = aFailure.m_run == base::RunState::Unknown;
    return { unknown ? 502 : base::HttpStatus(aFailure.m_code),
             { { "run", std::string(base::ToString(aFailure.m_run)) },
               { "come-back", aFailure.m_retryAfter.count() > 0 ? "yes" : "no" } },
             "" };
  }
};

fleet::Endpoint EndpointOf(const std::string& aName)
{
  fleet::Endpoint endpoint;
  endpoint.m_incarnation = aName;
  endpoint.m_service = "s";
  endpoint.m_address = aName + ":1";
  endpoint.m_weights = { { "m", 1 } };
  return endpoint;
}

fleet::Route RouteOf(const std::string& aPrefix, bool aStreaming, bool aRepeatable)
{
  fleet::Route route;
  route.m_name = aPrefix;
  route.m_hostName = "h";
  route.m_pathPrefix = aPrefix;
  route.m_services = { { "s", 1 } };
  route.m_streaming = aStreaming;
  route.m_idempotent = aRepeatable;
  route.m_resumable = aRepeatable;
  route.m_maxEndpoints = 2;
  route.m_timeout = 5s;
  return route;
}

fleet::ConfigurationPtr ConfigurationOf(std::uint64_t aVersion)
{
  fleet::Configuration configuration;
  configuration.m_version = aVersion;
  configuration.m_routes = { RouteOf("/once/", false, false),
                             RouteOf("/again/", false, true),
                             RouteOf("/stream/", true, false),
                             RouteOf("/resume/", true, true) };
  fleet::Service service;
  service.m_name = "s";
  service.m_engine = fleet::EngineTraits{ 64, kEngineMemory, 18'432, { "m" } };
  configuration.m_services = { service };
  configuration.m_accounts = { { "lab", { "k" }, false, {} } };
  return std::make_shared<fleet::ConfigurationIndex>(std::move(configuration));
}

} // namespace

TEST_GROUP(Exchange)
{
  net::Loop m_loop;
  support::FakeHttpClient m_client;
  FakeFormat m_format;
  relay::RelayCore m_core{ m_loop, m_client, m_format, {} };
  relay::RelayFront m_front{ m_core };

  void setup() override
  {
    const base::TimePoint now = base::MonotonicNow();
    m_core.m_configuration = ConfigurationOf(1);
    m_core.m_lastContact = now;
    m_core.m_directory.Upsert(EndpointOf("a"), now);
    m_core.m_directory.Upsert(EndpointOf("b"), now);
    for (int i = 0; i < 100; ++i) {
      m_core.m_retries.OnFirstSend("s", now);
    }
  }

  std::shared_ptr<support::FakeReply> Ask(
    const std::string& aPath, const std::string& aKey = "k", const std::string& aModel = "")
  {
    net::HttpRequest request;
    request.m_path = aPath;
    request.m_headers = { { "id", "r1" }, { "key", aKey }, { "model", aModel } };
    auto reply = std::make_shared<support::FakeReply>();
    m_front.Handle(std::move(request), reply);
    return reply;
  }

  std::string Sent(const char* aHeader) const
  {
    for (const auto& [name, value] : m_client.m_calls.back().m_request.m_headers) {
      if (name == aHeader) {
        return value;
      }
    }
    return "";
  }
};

TEST(Exchange, AWholeSignedAnswerIsPassedOn)
{
  const auto reply = Ask("/once/x");
  m_client.Head(200, { { "x", "y" } });
  m_client.Data("body");
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(200, reply->m_status);
  STRCMP_EQUAL("body", reply->m_body.c_str());
  STRCMP_EQUAL("y", reply->Header("x").c_str());
}

TEST(Exchange, WhatMayNotRunTwiceIsSentOnceAndNotCalledRefused)
{
  const auto reply = Ask("/once/x");
  CHECK(m_client.m_calls[0].m_request.m_sendOnce);
  m_client.End(WireEnd::NoReply);
  LONGS_EQUAL(1, m_client.m_calls.size());
  LONGS_EQUAL(502, reply->m_status);
  STRCMP_EQUAL("unknown", reply->Header("run").c_str());
}

TEST(Exchange, WhatDidNotReachAnEndpointGoesToAnother)
{
  Ask("/once/x");
  const std::string first = Sent("to");
  m_client.End(WireEnd::NotSent);
  LONGS_EQUAL(2, m_client.m_calls.size());
  CHECK(first != Sent("to"));
}

TEST(Exchange, ARefusalThatIsTrueTellsWhenToComeBack)
{
  const auto reply = Ask("/once/x");
  m_client.Head(503, { { "not-run", "1" } });
  m_client.End(WireEnd::Complete);
  m_client.Head(503, { { "not-run", "1" } });
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(503, reply->m_status);
  STRCMP_EQUAL("not_run", reply->Header("run").c_str());
  STRCMP_EQUAL("yes", reply->Header("come-back").c_str());
}

TEST(Exchange, AnEndpointsOwn503ThatMayHaveRunIsNotPassedOnAsARefusal)
{
  const auto reply = Ask("/once/x");
  m_client.Head(503, {});
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(502, reply->m_status);
}

TEST(Exchange, AFailureOfAnIdempotentRequestIsTriedOnceMoreThenPassedOn)
{
  const auto reply = Ask("/again/x");
  m_client.Head(500, {});
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(2, m_client.m_calls.size());
  m_client.Head(500, { { "x", "second" } });
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(2, m_client.m_calls.size());
  LONGS_EQUAL(500, reply->m_status);
  STRCMP_EQUAL("second", reply->Header("x").c_str());
}

TEST(Exchange, AReplyToAnotherRequestIsNeverPassedOn)
{
  const auto reply = Ask("/once/x");
  m_client.Head(200, { { "id", "r0" } });
  m_client.Data("another's");
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(502, reply->m_status);
  STRCMP_EQUAL("", reply->m_body.c_str());
}

TEST(Exchange, ASuccessWithoutSignatureIsNotPassedOn)
{
  const auto reply = Ask("/stream/x");
  m_client.Head(200, { { "unsigned", "" } });
  m_client.Data("id: 1\ndata: a\n\n");
  m_client.End(WireEnd::Complete);
  LONGS_EQUAL(502, reply->m_status);
  STRCMP_EQUAL("", reply->m_body.c_str());
}

TEST(Exchange, ABodyThatIsCutShortIsNotPassedOn)
{
  const auto reply = Ask("/once/x");
  m_client.Head(200, {});
  m_client.Data("ha");
  m_client.End(WireEnd::BrokenReply);
  LONGS_EQUAL(502, reply->m_status);
}

TEST(Exchange, AResumableStreamGoesOnAfterItsLastWholeEvent)
{
  const auto reply = Ask("/resume/x");
  m_client.Head(200, { { "x", "first" } });
  m_client.Data("id: 1\ndata: a\n\nid: 2\nda");
  m_client.End(WireEnd::BrokenReply);
  LONGS_EQUAL(2, m_client.m_calls.size());
  STRCMP_EQUAL("1", Sent("after").c_str());
  m_client.Head(200, { { "x", "second" } });
  m_client.Data("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  m_client.End(WireEnd::Complete);
  CHECK(reply->m_finished);
  STRCMP_EQUAL("first", reply->Header("x").c_str());
  STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", reply->m_body.c_str());
}

TEST(Exchange, AStreamThatMayNotResumeIsVisiblyBrokenOff)
{
  const auto reply = Ask("/stream/x");
  m_client.Head(200, {});
  m_client.Data("id: 1\ndata: a\n\n");
  m_client.End(WireEnd::BrokenReply);
  LONGS_EQUAL(1, m_client.m_calls.size());
  CHECK(reply->m_aborted);
  CHECK_FALSE(reply->m_finished);
}

TEST(Exchange, ACallerThatLeavesCancelsTheRun)
{
  const auto reply = Ask("/again/x");
  const auto onClosed = reply->m_onClosed;
  onClosed();
  CHECK(m_client.m_calls[0].m_cancelled);
  LONGS_EQUAL(0, m_core.m_board.Open("a") + m_core.m_board.Open("b"));
}

TEST(Exchange, AnUnknownKeyOrPathIsDeniedOnlyByAConfigurationThatIsUpToDate)
{
  LONGS_EQUAL(401, Ask("/once/x", "wrong")->m_status);
  LONGS_EQUAL(404, Ask("/none/x")->m_status);
  m_core.m_lastContact = base::MonotonicNow() - 2s;
  LONGS_EQUAL(503, Ask("/once/x", "wrong")->m_status);
  LONGS_EQUAL(503, Ask("/none/x")->m_status);
  m_core.m_configuration = nullptr;
  LONGS_EQUAL(503, Ask("/once/x")->m_status);
  CHECK(m_client.m_calls.empty());
}

TEST(Exchange, WeightsAreNamedAndCachedPartsKeptApartByThem)
{
  Ask("/resume/x", "k", "m");
  STRCMP_EQUAL("1", Sent("weights").c_str());
  STRCMP_EQUAL("m/1", Sent("scope").c_str());
}

TEST(Exchange, AfterARefusalForOtherWeightsTheSameEndpointIsAskedWithTheNewest)
{
  m_core.m_wanted["m"] = 2;
  Ask("/stream/x", "k", "m");
  const std::string first = Sent("to");
  m_client.Head(421, { { "not-run", "1" }, { "misdirected", "1" } });
  m_client.End(WireEnd::Complete);
  STRCMP_EQUAL(first.c_str(), Sent("to").c_str());
  STRCMP_EQUAL("2", Sent("weights").c_str());
  STRCMP_EQUAL("m/2", Sent("scope").c_str());
}

TEST(Exchange, ARefusalForOtherWeightsDoesNotMakeUpWantedOnes)
{
  Ask("/stream/x", "k", "m");
  m_client.Head(421, { { "not-run", "1" }, { "misdirected", "1" } });
  m_client.End(WireEnd::Complete);
  CHECK(m_core.m_wanted.empty()); // the roll-out would order them
}

TEST(Exchange, AnAddressThatAnotherIncarnationHasIsNotUsedAgain)
{
  Ask("/stream/x", "k", "m");
  const std::string first = Sent("to");
  m_client.Head(421, { { "not-run", "1" }, { "misdirected", "1" }, { "incarnation", "z" } });
  m_client.End(WireEnd::Complete);
  CHECK(first != Sent("to"));
  POINTERS_EQUAL(nullptr, m_core.m_directory.Find(first));
}

TEST(Exchange, WhileLeavingEveryAnswerClosesItsConnection)
{
  m_core.m_leaving = true;
  const auto reply = Ask("/once/x");
  m_client.Head(200, {});
  m_client.End(WireEnd::Complete);
  CHECK(reply->m_closes);
  CHECK(Ask("/none/x")->m_closes);
}

TEST(Exchange, OnceNewWeightsAreDueEnginesOnOlderOnesGetNothing)
{
  const base::TimePoint now = base::MonotonicNow();
  m_core.m_directory.NoteWeights("b", "m", 2);
  m_core.m_named.OnNamed("m", 2, now - 1h);
  for (int i = 0; i < 20; ++i) {
    Ask("/stream/x", "k", "m");
    STRCMP_EQUAL("b:1", m_client.m_calls.back().m_request.m_url.c_str());
  }
  m_core.m_named.OnNamed("m", 3, now - 1h);
  const auto reply = Ask("/stream/x", "k", "m");
  LONGS_EQUAL(503, reply->m_status);
}

TEST(Exchange, UntilNewWeightsAreDueOlderOnesServe)
{
  m_core.m_named.OnNamed("m", 2, base::MonotonicNow());
  const std::size_t before = m_client.m_calls.size();
  Ask("/stream/x", "k", "m");
  LONGS_EQUAL(before + 1, m_client.m_calls.size());
}

TEST(Exchange, WhatIsOverTheConfiguredLimitsIsRefusedWithANumberAndNeverSent)
{
  fleet::Configuration configuration = m_core.m_configuration->Get();
  configuration.m_limits.m_bodyBytes = 10;
  configuration.m_limits.m_headerBytes = 100;
  m_core.m_configuration = std::make_shared<fleet::ConfigurationIndex>(std::move(configuration));
  const auto ask = [this](std::size_t aBody, std::size_t aHeader) {
    net::HttpRequest request;
    request.m_path = "/once/x";
    request.m_headers = { { "id", "r1" }, { "key", "k" }, { "long", std::string(aHeader, 'x') } };
    request.m_body = std::string(aBody, 'b');
    auto reply = std::make_shared<support::FakeReply>();
    m_front.Handle(std::move(request), reply);
    return reply;
  };
  LONGS_EQUAL(413, ask(11, 1)->m_status);
  LONGS_EQUAL(431, ask(1, 100)->m_status);
  CHECK(m_client.m_calls.empty());
  ask(10, 50);
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(Exchange, ALongPromptIsRefusedAtOnceWhenItsEnginesMemoryIsTaken)
{
  const auto taken = static_cast<std::uint16_t>(kEngineMemory / routing::kTokensPerWork);
  m_core.m_otherLoads.OnReport("other",
                               peers::LoadScope::Own,
                               { { peers::TagOf("a"), taken }, { peers::TagOf("b"), taken } },
                               base::MonotonicNow());
  const auto refused = Ask("/stream/x", "k", "long");
  LONGS_EQUAL(503, refused->m_status);
  STRCMP_EQUAL("not_run", refused->Header("run").c_str());
  STRCMP_EQUAL("yes", refused->Header("come-back").c_str());
  LONGS_EQUAL(0, m_client.m_calls.size());
  Ask("/stream/x", "k", "m");
  LONGS_EQUAL(1, m_client.m_calls.size());
}

TEST(Exchange, OfEqualPriorityShortPromptsRankBeforeLongOnes)
{
  Ask("/stream/x", "k", "m");
  STRCMP_EQUAL("0", Sent("rank").c_str());
  Ask("/stream/x", "k", "long");
  STRCMP_EQUAL("1", Sent("rank").c_str());
  Ask("/once/x");
  STRCMP_EQUAL("", Sent("rank").c_str());
}

// Load: more long prompts come at once than the engines that are left can hold. Those that are sent
// fit; the others are refused without having cost anything.
TEST(Exchange, ABurstOfLongPromptsIsSentAsFarAsMemoryGoes)
{
  constexpr int kBurst = 40;
  int refused = 0;
  std::vector<std::shared_ptr<support::FakeReply>> replies;
  for (int i = 0; i < kBurst; ++i) {
    replies.push_back(Ask("/stream/x", "k", "long"));
    refused += replies.back()->m_status == 503 ? 1 : 0;
  }
  const auto sent = static_cast<int>(m_client.m_calls.size());
  LONGS_EQUAL(kBurst, sent + refused);
  CHECK(sent >= 2 * 5); // two engines, five prompts each
  CHECK(static_cast<std::uint64_t>(sent) * kLongPrompt <= 2 * kEngineMemory);
}
