#include "ferrytray/gate/gate_core.hpp"

namespace ferrytray::gate {

namespace {

constexpr std::size_t kHintBlocksPerWorker = 2048; // 21 MB for a zone of 93 workers
constexpr std::size_t kMaxTrackedContexts = 50000;
constexpr std::size_t kMaxLoggedDecisions = 2000;

} // namespace

GateCore::GateCore(net::Loop& aLoop, const GateOptions& aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_http(net::HttpClient::Create(aLoop))
  , m_view(aOptions.m_zone, kHintBlocksPerWorker)
  , m_contexts(kMaxTrackedContexts)
  , m_decisions(kMaxLoggedDecisions)
  , m_claims(aLoop, *m_http, aOptions)
  , m_crashes(aLoop, *m_http, aOptions)
  , m_tickets(aOptions.m_incarnation)
{
}

void GateCore::AddOpenWork(const std::vector<std::string>& aOwners)
{
  ++m_openWork;
  for (const std::string& owner : aOwners) {
    ++m_openByOwner[owner];
  }
}

void GateCore::RemoveOpenWork(const std::vector<std::string>& aOwners)
{
  --m_openWork;
  for (const std::string& owner : aOwners) {
    const auto found = m_openByOwner.find(owner);
    if (found != m_openByOwner.end() && --found->second == 0) {
      m_openByOwner.erase(found);
    }
  }
}

} // namespace ferrytray::gate
