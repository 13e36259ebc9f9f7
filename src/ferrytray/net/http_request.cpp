#include "ferrytray/net/http_server.hpp"

#include <algorithm> // for equal
#include <cctype>    // for tolower

#include <restinio/uri_helpers.hpp> // for try_parse_query

namespace ferrytray::net {

namespace {

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aL, char aR) {
    return std::tolower(static_cast<unsigned char>(aL)) ==
           std::tolower(static_cast<unsigned char>(aR));
  });
}

} // namespace

std::string_view HttpRequest::Header(std::string_view aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (EqualsIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

std::size_t HttpRequest::HeaderBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : m_headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

std::string HttpRequest::QueryValue(std::string_view aName) const
{
  const auto params = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(m_query);
  if (!params) {
    return {};
  }
  const auto value = params->get_param(aName);
  return value ? std::string(*value) : std::string();
}

} // namespace ferrytray::net
