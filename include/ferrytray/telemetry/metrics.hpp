#pragma once

#include <cstdint> // for uint64_t
#include <map>     // for map
#include <memory>  // for unique_ptr
#include <string>  // for string

namespace ferrytray::telemetry {

/// @brief Count, sum and quantiles of the observed values (Boost.Accumulators).
class Distribution
{
public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;

  void Add(double aValue);
  [[nodiscard]] std::uint64_t Count() const;
  [[nodiscard]] double Sum() const;
  /// @param aQuantile 0.5, 0.95 or 0.99 (estimated by the P-square method)
  [[nodiscard]] double Quantile(double aQuantile) const;

private:
  struct Accumulators;
  std::unique_ptr<Accumulators> m_accumulators;
};

/// @brief Counters, gauges and distributions of a program, exported as Prometheus text.
class Metrics
{
public:
  /// @param aName with labels, such as `requests_total{result="ok"}`
  void Count(const std::string& aName, double aIncrement = 1) { m_counters[aName] += aIncrement; }
  void Set(const std::string& aName, double aValue) { m_gauges[aName] = aValue; }
  void Observe(const std::string& aName, double aValue) { m_distributions[aName].Add(aValue); }
  [[nodiscard]] double Counter(const std::string& aName) const;
  /// @brief Renders all metrics in the Prometheus text format, with the prefix ferrytray_.
  [[nodiscard]] std::string Render() const;

private:
  std::map<std::string, double> m_counters;
  std::map<std::string, double> m_gauges;
  std::map<std::string, Distribution> m_distributions;
};

} // namespace ferrytray::telemetry
