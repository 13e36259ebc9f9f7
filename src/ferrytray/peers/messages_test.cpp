#include "ferrytray/peers/messages.hpp"
#include "ferrytray/peers/placement_messages.hpp"

#include <rapidcheck.h> // for check, gen

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;
using namespace std::chrono_literals;

TEST_GROUP(PeerMessages){};

TEST(PeerMessages, SyncRequestAndReplyRoundTrip)
{
  peers::SyncRequest request{ { "h", "z", "10.0.0.1:7" },
                              9,
                              { { "s:1", 2, 3 } },
                              { { "t", 8, true, "key" } },
                              peers::LoadScope::Summary,
                              { { 5, 6 } },
                              { { 4, "m", 3, -200, 17 } },
                              { { 1ULL << 60, 1200 } },
                              { { 1ULL << 61, 1300 } },
                              { { 1ULL << 62, 17, 1400 } },
                              { { 3, 2.5, 400, true } },
                              { { 21, 22 } },
                              {},
                              0,
                              true,
                              31 };
  const auto readRequest = peers::DecodeSyncRequest(peers::Encode(request));
  CHECK(readRequest.has_value());
  CHECK(readRequest->m_sender == request.m_sender);
  LONGS_EQUAL(9, readRequest->m_incarnation);
  CHECK(readRequest->m_isRegistered);
  LONGS_EQUAL(31, readRequest->m_sourcesDigest);
  STRCMP_EQUAL("key", readRequest->m_topics.at(0).m_after.c_str());
  STRCMP_EQUAL("s:1", readRequest->m_cursors.at(0).m_store.c_str());
  LONGS_EQUAL(3, readRequest->m_cursors.at(0).m_next);
  CHECK(readRequest->m_scope == peers::LoadScope::Summary);
  LONGS_EQUAL(6, readRequest->m_loads.at(0).m_work);
  LONGS_EQUAL(-200, readRequest->m_reloads.at(0).m_endsInMillis);
  CHECK(readRequest->m_replaced.at(0).m_incarnation == 1ULL << 60);
  LONGS_EQUAL(1200, readRequest->m_replaced.at(0).m_ageMillis);
  CHECK(readRequest->m_announcedLeaving.at(0).m_incarnation == 1ULL << 61);
  LONGS_EQUAL(1300, readRequest->m_announcedLeaving.at(0).m_ageMillis);
  CHECK(readRequest->m_backoffs.at(0).m_endpoint == 1ULL << 62);
  LONGS_EQUAL(17, readRequest->m_backoffs.at(0).m_host);
  LONGS_EQUAL(1400, readRequest->m_backoffs.at(0).m_endsInMillis);
  DOUBLES_EQUAL(2.5, readRequest->m_limits.at(0).m_limit, 0);
  LONGS_EQUAL(400, readRequest->m_limits.at(0).m_namedAgeMillis);
  CHECK(readRequest->m_limits.at(0).m_lifted);
  LONGS_EQUAL(21, readRequest->m_brittle.at(0).m_service);
  LONGS_EQUAL(22, readRequest->m_brittle.at(0).m_namedAgeMillis);

  peers::SyncReply reply{ 11,
                          {},
                          {},
                          { { 7, 8 } },
                          { { 4, "m", 3, 900, 17 } },
                          { { 5, 6 } },
                          { { 15, 16 } },
                          { { 18, 19, 20 } },
                          { { 9, 1.7, 20, false } },
                          { { 23, 24 } },
                          {},
                          {},
                          0 };
  reply.m_stores.push_back({ "s:1", 1, 2, 3, true, 5ms, 77, { { { "m.1", "p" }, 400, true } } });
  reply.m_stores.push_back({ "s:2", 1, 2, 3, false, 5ms, {}, {} });
  reply.m_topics.push_back(
    { "t", 8, 9, { { 8, "key", "value", false } }, true, false, 3ms, 9ms, 2ms, "j", true });
  reply.m_sources.push_back({ "h", "z", "10.0.0.1:7", 3 });
  const auto readReply = peers::DecodeSyncReply(peers::Encode(reply));
  CHECK(readReply.has_value());
  const cache::ContentsDelta& delta = readReply->m_stores.at(0);
  CHECK(delta.m_whole && delta.m_age == 5ms && delta.m_clockMillis == 77);
  LONGS_EQUAL(400, delta.m_changes.at(0).m_tokens);
  STRCMP_EQUAL("p", delta.m_changes.at(0).m_part.m_id.c_str());
  CHECK_FALSE(readReply->m_stores.at(1).m_clockMillis.has_value());
  LONGS_EQUAL(7, readReply->m_loads.at(0).m_endpoint);
  LONGS_EQUAL(6, readReply->m_replaced.at(0).m_ageMillis);
  LONGS_EQUAL(16, readReply->m_announcedLeaving.at(0).m_ageMillis);
  LONGS_EQUAL(19, readReply->m_backoffs.at(0).m_host);
  LONGS_EQUAL(9, readReply->m_limits.at(0).m_endpoint);
  LONGS_EQUAL(23, readReply->m_brittle.at(0).m_service);
  const peers::ReloadNotice& notice = readReply->m_reloads.at(0);
  CHECK(notice.m_endpoint == 4 && notice.m_version == 3 && notice.m_endsInMillis == 900);
  CHECK(notice.m_model == "m" && notice.m_revision == 17);
  const store::TopicUpdate& update = readReply->m_topics.at(0);
  CHECK(update.m_from == 8 && update.m_end == 9 && update.m_age == 3ms && !update.m_unavailable);
  CHECK(update.m_contactBeginAge == 9ms && update.m_contactEndAge == 2ms);
  STRCMP_EQUAL("value", update.m_records.at(0).m_value.c_str());
  CHECK(update.m_isSnapshot && update.m_hasMore);
  STRCMP_EQUAL("j", update.m_after.c_str());
  LONGS_EQUAL(3, readReply->m_sources.at(0).m_capacity);
}

TEST(PeerMessages, CrashNoticesAndSuspicionsRoundTrip)
{
  const quarantine::CrashNotice notice{
    quarantine::NoticeKind::EndpointAlive, { 1, 2 }, 3, 1ULL << 60
  };
  peers::SyncRequest request;
  request.m_crashes = { notice };
  request.m_crashesFrom = 7;
  const auto readRequest = peers::DecodeSyncRequest(peers::Encode(request));
  CHECK(readRequest->m_crashes.at(0).m_kind == quarantine::NoticeKind::EndpointAlive);
  CHECK(readRequest->m_crashes.at(0).m_content == notice.m_content);
  LONGS_EQUAL(3, readRequest->m_crashes.at(0).m_endpoint);
  CHECK(readRequest->m_crashes.at(0).m_sequence == 1ULL << 60);
  LONGS_EQUAL(7, readRequest->m_crashesFrom);
  peers::SyncReply reply;
  reply.m_crashes = { notice, notice };
  reply.m_crashesNext = 9;
  const auto readReply = peers::DecodeSyncReply(peers::Encode(reply));
  LONGS_EQUAL(2, readReply->m_crashes.size());
  LONGS_EQUAL(9, readReply->m_crashesNext);
  const quarantine::Suspicion suspicion{ { 4, 5 }, true, true };
  CHECK(peers::DecodeSuspicion(peers::Encode(suspicion)) == suspicion);
  CHECK_FALSE(peers::DecodeSuspicion("x").has_value());
}

TEST(PeerMessages, TruncatedRepliesAreRejectedAndDamagedOnesDoNotCrash)
{
  peers::SyncReply reply;
  reply.m_incarnation = 11;
  reply.m_loads = { { 7, 8 } };
  reply.m_reloads = { { 4, "m", 3, 900, 17 } };
  reply.m_stores.push_back({ "s:1", 1, 2, 3, true, 5ms, 77, { { { "m.1", "p" }, 400, true } } });
  const std::string whole = peers::Encode(reply);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const auto read = peers::DecodeSyncReply(std::string_view(whole).substr(0, size));
    CHECK(!read && read.error().m_code == base::ErrorCode::PeerMalformed);
  }
  // Ends without a crash or a huge allocation.
  const bool held = rc::check([&] {
    std::string damaged = whole;
    damaged[*rc::gen::inRange<std::size_t>(0, whole.size())] = *rc::gen::arbitrary<char>();
    static_cast<void>(peers::DecodeSyncReply(damaged));
  });
  CHECK(held);
}

TEST(PeerMessages, PlacementRequestAndReplyRoundTrip)
{
  const peers::PlacementRequest request{ "h", "s", "m", "z", "k", 5, 4, 3, { 9 }, 2, 1 };
  const auto read = peers::DecodePlacementRequest(peers::Encode(request));
  CHECK(read && read->m_service == "s" && read->m_model == "m" && read->m_zone == "z");
  CHECK(read->m_key == "k" && read->m_tokens == 5 && read->m_uncachedTokens == 4);
  CHECK(read->m_host == "h" && read->m_unreachable.at(0) == 9);
  CHECK(read->m_unsharedTokens == 3 && read->m_sampleTokens == 2 && read->m_sampleMillis == 1);
  const auto reply =
    peers::DecodePlacementReply(peers::Encode(peers::PlacementReply{ "a", "b", true, true }));
  CHECK(reply && reply->m_engine == "a" && reply->m_prefixHolder == "b" && reply->m_idle &&
        reply->m_memoryFull);
}

TEST(PeerMessages, TruncatedPlacementRequestsAreRejected)
{
  const std::string whole =
    peers::Encode(peers::PlacementRequest{ "h", "s", "m", "z", "k", 5, 4, 3, { 9 }, 2, 1 });
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const auto read = peers::DecodePlacementRequest(std::string_view(whole).substr(0, size));
    CHECK(!read && read.error().m_code == base::ErrorCode::PeerMalformed);
  }
}
