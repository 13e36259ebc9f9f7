#include "ferrytray/wire/half_view.hpp"

namespace ferrytray::wire {

namespace {

control::DesiredOwner ToDesiredOwner(config::Owner aOwner)
{
  switch (aOwner) {
    case config::Owner::Here:
      return control::DesiredOwner::Here;
    case config::Owner::HandingOver:
      return control::DesiredOwner::HandingOver;
    case config::Owner::There:
      break;
  }
  return control::DesiredOwner::There;
}

} // namespace

control::HalfView MakeHalfView(const config::HalfRule& aRule, const HalfEpochs& aEpochs)
{
  return { ToDesiredOwner(aRule.m_owner), aRule.m_epoch, aEpochs.m_given, aEpochs.m_received };
}

} // namespace ferrytray::wire
