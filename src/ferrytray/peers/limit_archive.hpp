#pragma once

#include "ferrytray/limits/brittle_services.hpp" // for BrittleReport
#include "ferrytray/limits/endpoint_limits.hpp"  // for LimitReport

namespace ferrytray::limits {

template<typename Archive>
void serialize(Archive& aArchive, LimitReport& aReport)
{
  aArchive(aReport.m_endpoint, aReport.m_limit, aReport.m_namedAgeMillis, aReport.m_lifted);
}

template<typename Archive>
void serialize(Archive& aArchive, BrittleReport& aReport)
{
  aArchive(aReport.m_service, aReport.m_namedAgeMillis);
}

} // namespace ferrytray::limits
