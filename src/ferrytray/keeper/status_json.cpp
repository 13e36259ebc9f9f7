#include "ferrytray/keeper/status_json.hpp"

#include <nlohmann/json.hpp> // for json

namespace ferrytray::keeper {

namespace {

using nlohmann::json;

const char* ToText(membership::MemberState aState)
{
  switch (aState) {
    case membership::MemberState::Alive:
      return "alive";
    case membership::MemberState::Suspect:
      return "suspect";
    case membership::MemberState::Leaving:
      return "leaving";
    case membership::MemberState::Dead:
      break;
  }
  return "dead";
}

json MemberRow(const membership::Member& aMember)
{
  return { { "host", aMember.m_host },
           { "zone", aMember.m_zone },
           { "state", ToText(aMember.m_state) },
           { "position", aMember.m_position },
           { "gate", aMember.m_gate } };
}

json EndpointRow(const wire::EndpointStatus& aEndpoint)
{
  return { { "name", aEndpoint.m_host.m_name },
           { "pool", aEndpoint.m_host.m_pool },
           { "zone", aEndpoint.m_host.m_zone },
           { "leaving", aEndpoint.m_host.m_leaving },
           { "version", aEndpoint.m_load.m_version },
           { "queued_ms", aEndpoint.m_load.m_queuedMillis },
           { "report_age_ms", aEndpoint.m_reportAgeMillis } };
}

} // namespace

std::string StatusJson(const StatusView& aView)
{
  json members = json::array();
  for (const membership::Member& member : aView.m_members) {
    members.push_back(MemberRow(member));
  }
  json endpoints = json::array();
  for (const wire::EndpointStatus& endpoint : aView.m_endpoints) {
    endpoints.push_back(EndpointRow(endpoint));
  }
  json scopes = json::object();
  for (const auto& [name, scope] : aView.m_replay.Scopes()) {
    scopes[name] = { { "offset", scope.m_acceptedOffset }, { "behind", !scope.m_schemaSupported } };
  }
  return json{
    { "host", aView.m_host },   { "position", aView.m_replay.Position() },
    { "ready", aView.m_ready }, { "log_reachable", aView.m_logReachable },
    { "members", members },     { "endpoints", endpoints },
    { "scopes", scopes }
  }.dump();
}

} // namespace ferrytray::keeper
