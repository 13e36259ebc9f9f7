#include "ferrytray/fleet/configuration_index.hpp"

#include <CppUTest/TestHarness.h> // for TEST

using namespace ferrytray;

namespace {

fleet::Route MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  fleet::Route route;
  route.m_name = aName;
  route.m_hostName = "host.example";
  route.m_pathPrefix = aPrefix;
  return route;
}

} // namespace

TEST_GROUP(ConfigurationIndex){};

TEST(ConfigurationIndex, FindRouteReturnsTheLongestPrefixOfTheHostName)
{
  fleet::Configuration configuration;
  configuration.m_routes = { MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/") };
  const fleet::ConfigurationIndex index(std::move(configuration));
  STRCMP_EQUAL("long", index.FindRoute("host.example", "/a/b/c")->m_name.c_str());
  STRCMP_EQUAL("short", index.FindRoute("host.example", "/a/bc")->m_name.c_str());
  POINTERS_EQUAL(nullptr, index.FindRoute("host.example", "/a"));
  POINTERS_EQUAL(nullptr, index.FindRoute("other.example", "/a/b/"));
}

TEST(ConfigurationIndex, FindAccountReturnsTheOwnerOfTheKey)
{
  fleet::Configuration configuration;
  configuration.m_accounts = { { "lab", { "k1", "k2" }, false, {} },
                               { "clerks", { "k3" }, false, {} } };
  const fleet::ConfigurationIndex index(std::move(configuration));
  STRCMP_EQUAL("lab", index.FindAccount("k2")->m_name.c_str());
  STRCMP_EQUAL("clerks", index.FindAccount("k3")->m_name.c_str());
  POINTERS_EQUAL(nullptr, index.FindAccount("k"));
  POINTERS_EQUAL(nullptr, index.FindAccount(""));
}
