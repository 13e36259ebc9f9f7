#pragma once

#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include "ferrytray/base/error.hpp"          // for Result
#include "ferrytray/fleet/configuration.hpp" // for Configuration
#include "ferrytray/fleet/directory.hpp"     // for Endpoint, WeightVersion

namespace ferrytray::relay {

/// @brief The weight version that the operators want a model to run.
struct NamedWeights
{
  std::string m_model;
  fleet::WeightVersion m_version = 0;
};

/// @brief Decodes the records that operators and endpoints write to the record log. Makes no
/// decisions.
class RecordFormat
{
public:
  virtual ~RecordFormat() = default;
  [[nodiscard]] virtual std::string OperatorTopic() const = 0;
  [[nodiscard]] virtual std::string EndpointTopic() const = 0;
  /// @brief The keyed topic, private to the hosts, in which they discover each other.
  [[nodiscard]] virtual std::string HostTopic() const = 0;
  /// @brief The keyed topic, private to the hosts, in which they store the quarantined requests.
  [[nodiscard]] virtual std::string QuarantineTopic() const = 0;
  [[nodiscard]] virtual bool IsConfiguration(std::string_view aKey) const = 0;
  [[nodiscard]] virtual bool IsNamedWeights(std::string_view aKey) const = 0;
  [[nodiscard]] virtual base::Result<fleet::Configuration> ReadConfiguration(
    std::string_view aValue) const = 0;
  [[nodiscard]] virtual base::Result<NamedWeights> ReadNamedWeights(
    std::string_view aValue) const = 0;
  /// @brief The availability zone that a record with this key evacuates; empty for other records.
  [[nodiscard]] virtual std::optional<std::string> EvacuatedZone(std::string_view aKey) const = 0;
  /// @param aKey the endpoint's id
  [[nodiscard]] virtual base::Result<fleet::Endpoint> ReadEndpoint(
    std::string_view aKey,
    std::string_view aValue) const = 0;
};

} // namespace ferrytray::relay
