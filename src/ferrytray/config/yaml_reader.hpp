#pragma once

#include <algorithm> // for all_of
#include <charconv>  // for from_chars
#include <cstdint>   // for uint64_t
#include <set>       // for set
#include <string>    // for string

#include <boost/leaf.hpp>  // for result, new_error
#include <yaml-cpp/yaml.h> // for Node

#include "ferrytray/config/parse.hpp" // for Problem

namespace ferrytray::config {

namespace leaf = boost::leaf;

/// Reads one YAML mapping and records the requested keys, so that all others can be reported as
/// unknown.
class MappingReader
{
public:
  MappingReader(const YAML::Node& aNode, std::string aContext, std::string aFile)
    : m_node(aNode)
    , m_context(std::move(aContext))
    , m_file(std::move(aFile))
  {
  }

  /// Fails unless the node is a mapping with scalar keys and without duplicate keys.
  leaf::result<void> CheckMapping() const;
  leaf::result<std::string> Text(const std::string& aKey);
  leaf::result<std::string> TextOr(const std::string& aKey, std::string aDefault);
  leaf::result<double> NumberOr(const std::string& aKey, double aDefault, double aMinimum);
  leaf::result<std::uint64_t> CountOr(const std::string& aKey, std::uint64_t aDefault);
  leaf::result<bool> FlagOr(const std::string& aKey, bool aDefault);
  leaf::result<std::vector<std::string>> Texts(const std::string& aKey);
  /// Returns the value of a key; an undefined node if the key is missing.
  YAML::Node Child(const std::string& aKey);
  /// Fails if the mapping has a key that was not requested.
  leaf::result<void> CheckNoUnknownKeys() const;

  [[nodiscard]] leaf::error_id Fail(base::ErrorCode aCode,
                                    const YAML::Node& aLocation,
                                    const std::string& aMessage) const;

private:
  leaf::result<std::string> Scalar(const YAML::Node& aNode, const std::string& aKey) const;

  YAML::Node m_node;
  std::string m_context;
  std::string m_file;
  std::set<std::string> m_requestedKeys;
};

} // namespace ferrytray::config
