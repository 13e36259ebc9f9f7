#include "ferrytray/telemetry/metrics.hpp"

#include <array>   // for array
#include <cstdio>  // for snprintf
#include <utility> // for pair

#include <boost/accumulators/accumulators.hpp>                 // for accumulator_set
#include <boost/accumulators/statistics/count.hpp>             // for tag::count
#include <boost/accumulators/statistics/extended_p_square.hpp> // for tag::extended_p_square
#include <boost/accumulators/statistics/stats.hpp>             // for stats
#include <boost/accumulators/statistics/sum.hpp>               // for tag::sum

namespace ferrytray::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };
const std::string kPrefix = "ferrytray_";

std::string FormatNumber(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.9g", aValue);
  return text.data();
}

/// Splits `name{labels}` into the name and the labels with a trailing comma, to add another label.
std::pair<std::string, std::string> SplitLabels(const std::string& aName)
{
  const std::size_t brace = aName.find('{');
  if (brace == std::string::npos) {
    return { aName, "" };
  }
  return { aName.substr(0, brace), aName.substr(brace + 1, aName.size() - brace - 2) + "," };
}

} // namespace

struct Distribution::Accumulators
{
  using Set =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;
  Set m_set{ acc::extended_p_square_probabilities = kQuantiles };
};

Distribution::Distribution()
  : m_accumulators(std::make_unique<Accumulators>())
{
}

Distribution::~Distribution() = default;

void Distribution::Add(double aValue)
{
  m_accumulators->m_set(aValue);
}

std::uint64_t Distribution::Count() const
{
  return acc::count(m_accumulators->m_set);
}

double Distribution::Sum() const
{
  return acc::sum(m_accumulators->m_set);
}

double Distribution::Quantile(double aQuantile) const
{
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    if (kQuantiles[i] == aQuantile) {
      return acc::extended_p_square(m_accumulators->m_set)[static_cast<std::ptrdiff_t>(i)];
    }
  }
  return 0;
}

double Metrics::Counter(const std::string& aName) const
{
  const auto found = m_counters.find(aName);
  return found == m_counters.end() ? 0 : found->second;
}

std::string Metrics::Render() const
{
  std::string text;
  for (const auto& [name, value] : m_counters) {
    text += kPrefix + name + " " + FormatNumber(value) + "\n";
  }
  for (const auto& [name, value] : m_gauges) {
    text += kPrefix + name + " " + FormatNumber(value) + "\n";
  }
  for (const auto& [name, distribution] : m_distributions) {
    const auto [baseName, labels] = SplitLabels(name);
    for (const double quantile : kQuantiles) {
      text += kPrefix + baseName + "{" + labels + "quantile=\"" + FormatNumber(quantile) + "\"} " +
              FormatNumber(distribution.Quantile(quantile)) + "\n";
    }
    text += kPrefix + baseName + "_sum " + FormatNumber(distribution.Sum()) + "\n";
    text += kPrefix + baseName + "_count " +
            FormatNumber(static_cast<double>(distribution.Count())) + "\n";
  }
  return text;
}

} // namespace ferrytray::telemetry
