#include "ferrytray/config/yaml_reader.hpp"

#include <cmath> // for isfinite

namespace ferrytray::config {

namespace {

constexpr std::size_t kMaxNameBytes = 256;

template<typename Number>
bool ParseNumber(const std::string& aText, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, aNumber);
  return code == std::errc() && stop == end;
}

} // namespace

leaf::error_id MappingReader::Fail(base::ErrorCode aCode,
                                   const YAML::Node& aLocation,
                                   const std::string& aMessage) const
{
  const YAML::Mark mark = aLocation.IsDefined() ? aLocation.Mark() : m_node.Mark();
  const int line = mark.is_null() ? 1 : mark.line + 1;
  const int column = mark.is_null() ? 1 : mark.column + 1;
  return leaf::new_error(Problem{ aCode, m_file, line, column, m_context + ": " + aMessage });
}

leaf::result<void> MappingReader::CheckMapping() const
{
  if (!m_node.IsMap()) {
    return Fail(base::ErrorCode::ConfigBadValue, m_node, "expected a mapping (key: value)");
  }
  std::set<std::string> seen;
  for (const auto& pair : m_node) {
    if (!pair.first.IsScalar()) {
      return Fail(base::ErrorCode::ConfigBadValue, pair.first, "expected a scalar key");
    }
    if (!seen.insert(pair.first.Scalar()).second) {
      return Fail(base::ErrorCode::ConfigDuplicate,
                  pair.first,
                  "key '" + pair.first.Scalar() + "' is defined twice");
    }
  }
  return {};
}

YAML::Node MappingReader::Child(const std::string& aKey)
{
  m_requestedKeys.insert(aKey);
  // On a const node, because operator[] of a non-const node would insert the key.
  const YAML::Node& node = m_node;
  return node[aKey];
}

leaf::result<std::string> MappingReader::Scalar(const YAML::Node& aNode,
                                                const std::string& aKey) const
{
  if (!aNode.IsScalar()) {
    return Fail(base::ErrorCode::ConfigBadValue, aNode, "'" + aKey + "' expects a single value");
  }
  const std::string& text = aNode.Scalar();
  const bool printable =
    std::all_of(text.begin(), text.end(), [](unsigned char aByte) { return aByte >= ' '; });
  if (!printable || text.size() > kMaxNameBytes) {
    return Fail(base::ErrorCode::ConfigBadValue,
                aNode,
                "'" + aKey + "' expects at most " + std::to_string(kMaxNameBytes) +
                  " printable bytes");
  }
  return text;
}

leaf::result<std::string> MappingReader::Text(const std::string& aKey)
{
  const YAML::Node child = Child(aKey);
  if (!child.IsDefined()) {
    return Fail(base::ErrorCode::ConfigMissingKey, m_node, "key '" + aKey + "' is missing");
  }
  BOOST_LEAF_AUTO(text, Scalar(child, aKey));
  if (text.empty()) {
    return Fail(base::ErrorCode::ConfigBadValue, child, "'" + aKey + "' must not be empty");
  }
  return text;
}

leaf::result<std::string> MappingReader::TextOr(const std::string& aKey, std::string aDefault)
{
  if (!Child(aKey).IsDefined()) {
    return aDefault;
  }
  return Text(aKey);
}

leaf::result<double> MappingReader::NumberOr(const std::string& aKey,
                                             double aDefault,
                                             double aMinimum)
{
  const YAML::Node child = Child(aKey);
  if (!child.IsDefined()) {
    return aDefault;
  }
  BOOST_LEAF_AUTO(text, Scalar(child, aKey));
  double number = 0;
  const bool read = ParseNumber(text, number) && std::isfinite(number);
  if (!read || number < aMinimum) {
    return Fail(base::ErrorCode::ConfigBadValue,
                child,
                "'" + aKey + "' expects a number of at least " + std::to_string(aMinimum) +
                  ", not '" + text + "'");
  }
  return number;
}

leaf::result<std::uint64_t> MappingReader::CountOr(const std::string& aKey, std::uint64_t aDefault)
{
  const YAML::Node child = Child(aKey);
  if (!child.IsDefined()) {
    return aDefault;
  }
  BOOST_LEAF_AUTO(text, Scalar(child, aKey));
  std::uint32_t number = 0;
  if (!ParseNumber(text, number) || number == 0) {
    return Fail(base::ErrorCode::ConfigBadValue,
                child,
                "'" + aKey + "' expects a whole number from 1 to 4294967295, not '" + text + "'");
  }
  return number;
}

leaf::result<bool> MappingReader::FlagOr(const std::string& aKey, bool aDefault)
{
  const YAML::Node child = Child(aKey);
  if (!child.IsDefined()) {
    return aDefault;
  }
  BOOST_LEAF_AUTO(text, Scalar(child, aKey));
  if (text != "true" && text != "false") {
    return Fail(base::ErrorCode::ConfigBadValue,
                child,
                "'" + aKey + "' expects true or false, not '" + text + "'");
  }
  return text == "true";
}

leaf::result<std::vector<std::string>> MappingReader::Texts(const std::string& aKey)
{
  const YAML::Node child = Child(aKey);
  if (!child.IsDefined()) {
    return Fail(base::ErrorCode::ConfigMissingKey, m_node, "key '" + aKey + "' is missing");
  }
  if (!child.IsSequence() || child.size() == 0) {
    return Fail(base::ErrorCode::ConfigBadValue,
                child,
                "'" + aKey + "' expects a list of one or more values");
  }
  std::vector<std::string> texts;
  for (const auto& item : child) {
    BOOST_LEAF_AUTO(text, Scalar(item, aKey));
    texts.push_back(std::move(text));
  }
  return texts;
}

leaf::result<void> MappingReader::CheckNoUnknownKeys() const
{
  for (const auto& pair : m_node) {
    if (m_requestedKeys.contains(pair.first.Scalar())) {
      continue;
    }
    std::string known;
    for (const std::string& key : m_requestedKeys) {
      known += (known.empty() ? "" : ", ") + key;
    }
    return Fail(base::ErrorCode::ConfigUnknownKey,
                pair.first,
                "unknown key '" + pair.first.Scalar() + "'; expected one of: " + known);
  }
  return {};
}

} // namespace ferrytray::config
