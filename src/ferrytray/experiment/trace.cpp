#include "ferrytray/experiment/trace.hpp"

#include <algorithm> // for sort
#include <cmath>     // for exp, log, pow
#include <random>    // for mt19937_64

namespace ferrytray::experiment {

namespace {

constexpr std::uint32_t kAccounts = 10;
constexpr double kZipfExponent = 1.1;
constexpr double kBurstStart = 0.45;
constexpr double kBurstLength = 0.1;
constexpr double kBurstFactor = 1.8;

/// The parameters of one traffic mix.
struct TrafficShape
{
  double m_shortShare; ///< share of sessions that are a lookup or excerpt without returns
  std::uint32_t m_minBlocks;
  std::uint32_t m_maxBlocks;
  double m_meanReturns;      ///< mean returns of a session of an account that returns
  double m_gapMedianSeconds; ///< in scaled time
  double m_gapSigma;         ///< standard deviation of the gap's logarithm
  bool m_burst;
};

TrafficShape ShapeOf(TrafficMix aMix)
{
  if (aMix == TrafficMix::BundlesAndLookups) {
    return { 0.7, 40, 160, 6, 90, 1.0, false };
  }
  return { 0.6, 15, 80, 3, 60, 0.8, true };
}

class TraceGenerator
{
public:
  explicit TraceGenerator(const TraceOptions& aOptions)
    : m_options(aOptions)
    , m_shape(ShapeOf(aOptions.m_mix))
    , m_random(aOptions.m_seed)
  {
    std::vector<double> weights;
    for (std::uint32_t i = 0; i < kAccounts; ++i) {
      weights.push_back(1 / std::pow(i + 1, kZipfExponent));
    }
    m_accounts = std::discrete_distribution<std::uint32_t>(weights.begin(), weights.end());
  }

  std::vector<Arrival> Make()
  {
    const double rate = SessionRate();
    std::exponential_distribution<double> gap(rate);
    for (double at = gap(m_random); at < m_options.m_seconds; at += gap(m_random)) {
      AddSession(at);
      const double progress = at / m_options.m_seconds;
      const bool inBurst =
        m_shape.m_burst && progress > kBurstStart && progress < kBurstStart + kBurstLength;
      if (inBurst && Uniform() < kBurstFactor - 1) {
        AddSession(at);
      }
    }
    std::sort(m_trace.begin(), m_trace.end(), [](const Arrival& aLeft, const Arrival& aRight) {
      return aLeft.m_at < aRight.m_at;
    });
    return std::move(m_trace);
  }

private:
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

  /// The users of every third account do not return.
  static bool HasReturningUsers(std::uint32_t aAccount) { return aAccount % 3 != 2; }

  /// Sessions per second at which computing everything takes m_load of the engines' capacity.
  double SessionRate()
  {
    const double meanBlocks = (m_shape.m_minBlocks + m_shape.m_maxBlocks) / 2.0;
    const double longTokens =
      (1 + m_shape.m_meanReturns * 0.75) * (meanBlocks * m_options.m_tokensPerBlock + 150);
    const double tokens = m_shape.m_shortShare * 400 + (1 - m_shape.m_shortShare) * longTokens;
    return m_options.m_load * m_options.m_workers * m_options.m_tokensPerSecond / tokens;
  }

  void AddSession(double aAt)
  {
    const std::uint32_t account = m_accounts(m_random);
    const std::uint32_t context = ++m_contextCount;
    if (Uniform() < m_shape.m_shortShare) {
      const std::uint32_t blocks = Uniform() < 0.5 ? 0 : 1;
      m_trace.push_back(
        { aAt, account, context, blocks, 50 + static_cast<std::uint32_t>(Uniform() * 450) });
      return;
    }
    const auto span = static_cast<double>(m_shape.m_maxBlocks - m_shape.m_minBlocks);
    const auto blocks = m_shape.m_minBlocks + static_cast<std::uint32_t>(Uniform() * span);
    std::lognormal_distribution<double> gap(std::log(m_shape.m_gapMedianSeconds),
                                            m_shape.m_gapSigma);
    std::geometric_distribution<int> returns(1 / (1 + m_shape.m_meanReturns));
    const int count = HasReturningUsers(account) ? returns(m_random) : 0;
    double at = aAt;
    for (int i = 0; i <= count && at < m_options.m_seconds; ++i) {
      m_trace.push_back(
        { at, account, context, blocks, 50 + static_cast<std::uint32_t>(Uniform() * 200) });
      at += gap(m_random);
    }
  }

  TraceOptions m_options;
  TrafficShape m_shape;
  std::mt19937_64 m_random;
  std::discrete_distribution<std::uint32_t> m_accounts;
  std::vector<Arrival> m_trace;
  std::uint32_t m_contextCount = 0;
};

} // namespace

std::vector<Arrival> MakeTrace(const TraceOptions& aOptions)
{
  return TraceGenerator(aOptions).Make();
}

} // namespace ferrytray::experiment
