#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional> // for optional
#include <string>   // for string
#include <vector>   // for vector

namespace ferrytray::config {

/// @brief Weights of the costs by which a worker and a plan are chosen.
struct PolicyWeights
{
  double m_firstToken = 1;       ///< per second until the first token
  double m_recompute = 0;        ///< per second of engine time spent on recomputing cached context
  double m_link = 0;             ///< per second of use of a store's link
  double m_firstTokenTarget = 0; ///< target time to the first token in seconds; 0 for no target
  auto operator<=>(const PolicyWeights&) const = default;
};

/// @brief A model and the weight versions that engines may be ordered to load.
struct Model
{
  std::string m_name;
  std::vector<std::string> m_versions;
  auto operator<=>(const Model&) const = default;
};

/// @brief The engines that serve one model.
struct Fleet
{
  std::string m_name;
  std::string m_model;
  std::string m_version;                  ///< the version to run, used by new requests
  std::uint32_t m_maxConcurrentSwaps = 1; ///< across all availability zones
  bool m_checksFencing = false;           ///< whether its endpoints refuse outdated fencing tokens
  std::uint32_t m_blockBytes = 1024;      ///< prompt bytes in one KV block
  std::uint32_t m_blockTokens = 256;
  std::uint32_t m_kvBytesPerToken = 131072; ///< bytes of KV cache per token transferred over a link
  PolicyWeights m_weights;
  auto operator<=>(const Fleet&) const = default;
};

/// @brief A service without a model, routed by path prefix.
struct Service
{
  std::string m_name;
  std::string m_pathPrefix;
  bool m_idempotent = false; ///< whether calls may be retried unless the caller says otherwise
  auto operator<=>(const Service&) const = default;
};

/// @brief A client account of an operator, identified by the digests of its keys.
struct ClientAccount
{
  std::string m_name;
  std::vector<std::string> m_keyDigests; ///< SHA-256 of each bearer key, hexadecimal
  double m_requestsPerSecond = 10;
  double m_burst = 20;
  std::uint32_t m_maxConcurrent = 100;
  double m_weight = 1; ///< its relative share when accounts compete
  auto operator<=>(const ClientAccount&) const = default;
};

/// @brief Which half serves a fleet or a client account, as seen from this half.
enum class Owner : std::uint8_t
{
  Here,
  HandingOver,
  There,
};

/// @brief Assigns a fleet or a client account to one of the two halves.
struct HalfRule
{
  std::string m_name;
  std::optional<std::string> m_fleet; ///< exactly one of m_fleet and m_account is set
  std::optional<std::string> m_account;
  Owner m_owner = Owner::Here;
  std::uint64_t m_epoch = 1;
  std::string m_otherHalf; ///< URL of the other half, sent to callers that this half does not serve
  auto operator<=>(const HalfRule&) const = default;
};

/// @brief One configuration file: the complete content of its scope.
struct Document
{
  std::string m_scope;
  std::vector<Model> m_models;
  std::vector<Fleet> m_fleets;
  std::vector<Service> m_services;
  std::vector<ClientAccount> m_accounts;
  std::vector<HalfRule> m_rules;
  auto operator<=>(const Document&) const = default;
};

} // namespace ferrytray::config
