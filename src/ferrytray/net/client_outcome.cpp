#include "ferrytray/net/http_client.hpp"

namespace ferrytray::net {

std::string_view ToString(ReplyFraming aFraming)
{
  switch (aFraming) {
    case ReplyFraming::Length:
      return "length";
    case ReplyFraming::Chunks:
      return "chunks";
    case ReplyFraming::Close:
      break;
  }
  return "close";
}

bool EndedWithoutFailure(const ClientOutcome& aOutcome)
{
  return aOutcome.m_end == WireEnd::Complete || aOutcome.m_end == WireEnd::Closed;
}

} // namespace ferrytray::net
