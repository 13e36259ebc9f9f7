#include "ferrytray/version/build_info.hpp"

#include "ferrytray/version/generated_build_info.hpp" // for kVersion, kCommit, kSourceDigest

namespace ferrytray::version {

std::string_view Version()
{
  return kVersion;
}

std::string_view Commit()
{
  return kCommit;
}

std::string_view SourceDigest()
{
  return kSourceDigest;
}

std::string Describe()
{
  return std::string(kVersion) + " commit=" + std::string(kCommit) +
         " sources=" + std::string(kSourceDigest);
}

} // namespace ferrytray::version
