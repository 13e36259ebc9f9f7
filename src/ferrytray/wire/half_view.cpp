#include "ferrytray/wire/half_view.hpp"

namespace ferrytray::wire {

namespace {

control::HalfWish WishOf(config::Owner aOwner)
{
  switch (aOwner) {
    case config::Owner::Here:
      return control::HalfWish::Here;
    case config::Owner::HandingOver:
      return control::HalfWish::HandingOver;
    case config::Owner::There:
      break;
  }
  return control::HalfWish::There;
}

} // namespace

control::HalfView HalfViewOf(const config::HalfRule& aRule, const HalfEpochs& aEpochs)
{
  return { WishOf(aRule.m_owner), aRule.m_epoch, aEpochs.m_given, aEpochs.m_received };
}

} // namespace ferrytray::wire
