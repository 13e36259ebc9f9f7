#include "ferrytray/gate/gate_core.hpp"

namespace ferrytray::gate {

namespace {

constexpr std::size_t kHintBlocksPerWorker = 8192;
constexpr std::size_t kRememberedContexts = 50000;
constexpr std::size_t kRememberedDecisions = 2000;

} // namespace

GateCore::GateCore(net::Loop& aLoop, const GateOptions& aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
  , m_http(net::HttpClient::Create(aLoop))
  , m_view(aOptions.m_zone, kHintBlocksPerWorker)
  , m_contexts(kRememberedContexts)
  , m_decisions(kRememberedDecisions)
  , m_claims(aLoop, *m_http, aOptions)
  , m_tickets(aOptions.m_incarnation)
{
}

} // namespace ferrytray::gate
