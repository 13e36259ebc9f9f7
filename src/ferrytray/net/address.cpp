#include "ferrytray/net/address.hpp"

#include <charconv> // for from_chars

#include <asio/ip/address.hpp> // for make_address

namespace ferrytray::net {

namespace {

std::string_view StripBrackets(std::string_view aHost)
{
  const bool bracketed = aHost.size() > 2 && aHost.front() == '[' && aHost.back() == ']';
  return bracketed ? aHost.substr(1, aHost.size() - 2) : aHost;
}

} // namespace

base::Result<Address> ParseAddress(std::string_view aText)
{
  const auto bad = [&] {
    return base::Fail(base::ErrorCode::SettingInvalid,
                      "'" + std::string(aText) + "' is not IP:PORT, such as 127.0.0.1:8080");
  };
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return bad();
  }
  const std::string host(StripBrackets(aText.substr(0, colon)));
  const std::string_view port = aText.substr(colon + 1);
  asio::error_code error;
  asio::ip::make_address(host, error);
  std::uint16_t number = 0;
  const auto [end, code] = std::from_chars(port.data(), port.data() + port.size(), number);
  const bool portOk = code == std::errc() && end == port.data() + port.size();
  if (error || !portOk || port.empty()) {
    return bad();
  }
  return Address{ host, number };
}

std::string ToString(const Address& aAddress)
{
  const bool isV6 = aAddress.m_ip.find(':') != std::string::npos;
  const std::string host = isV6 ? "[" + aAddress.m_ip + "]" : aAddress.m_ip;
  return host + ":" + std::to_string(aAddress.m_port);
}

std::string HttpBaseUrl(const Address& aAddress)
{
  return "http://" + ToString(aAddress);
}

} // namespace ferrytray::net
