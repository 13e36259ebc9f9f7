#include "ferrytray/routing/retention.hpp"

#include <algorithm> // for clamp, max, min
#include <cmath>     // for log2, exp2

namespace ferrytray::routing {

namespace {

// Bucket i holds intervals from 2^i to 2^(i+1) seconds; 24 buckets cover half a year.
double BucketStart(std::size_t aBucket)
{
  return aBucket == 0 ? 0 : std::exp2(static_cast<double>(aBucket));
}

double BucketEnd(std::size_t aBucket)
{
  return std::exp2(static_cast<double>(aBucket + 1));
}

// A prior of one return, spread over all buckets, and one loss gives accounts without history a
// medium probability.
constexpr double kPrior = 1.0 / ReturnHistogram::kBuckets;

} // namespace

std::size_t ReturnHistogram::BucketOf(base::Duration aGap)
{
  const double seconds = std::max(1.0, base::Seconds(aGap));
  return std::min(kBuckets - 1, static_cast<std::size_t>(std::log2(seconds)));
}

void ReturnHistogram::OnReturn(base::Duration aGap)
{
  for (double& count : m_returns) {
    count *= kDecay;
  }
  m_notReturned *= kDecay;
  m_returns[BucketOf(aGap)] += 1;
}

double ReturnHistogram::CountAfter(std::size_t aBucket, double aFrom) const
{
  const double start = BucketStart(aBucket);
  const double share =
    std::clamp((BucketEnd(aBucket) - aFrom) / (BucketEnd(aBucket) - start), 0.0, 1.0);
  return (m_returns[aBucket] + kPrior) * share;
}

double ReturnHistogram::ReturnProbability(base::Duration aIdle, base::Duration aHorizon) const
{
  const double from = base::Seconds(aIdle);
  const double to = from + base::Seconds(aHorizon);
  double within = 0;
  double later = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    within += CountAfter(i, from) - CountAfter(i, to);
    later += CountAfter(i, from);
  }
  return within / (later + m_notReturned + 1);
}

double ReturnHistogram::ReturnRate(base::Duration aIdle) const
{
  const double from = base::Seconds(aIdle);
  double later = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    later += CountAfter(i, from);
  }
  double waiting = later + m_notReturned + 1;
  double returned = 0;
  double storedTime = 0;
  double best = 0;
  double at = from;
  for (std::size_t i = BucketOf(aIdle); i < kBuckets; ++i) {
    const double count = CountAfter(i, from);
    const double end = BucketEnd(i);
    storedTime += (end - at) * (waiting - count / 2);
    waiting -= count;
    returned += count;
    best = std::max(best, returned / storedTime);
    at = end;
  }
  return best;
}

double RetentionValue(const RetentionCandidate& aContext, const ReturnHistogram& aReturns)
{
  return aContext.m_recomputeSeconds * aReturns.ReturnRate(aContext.m_idle) /
         std::max(1.0, aContext.m_bytes);
}

bool ShouldExport(const RetentionCandidate& aContext,
                  const ReturnHistogram& aReturns,
                  const StorePressure& aStore,
                  const RetentionOptions& aOptions)
{
  if (aStore.m_importQueue > aOptions.m_maxImportQueue) {
    return false;
  }
  const double value = RetentionValue(aContext, aReturns);
  const bool fits = aStore.m_freeBytes >= aContext.m_bytes;
  return value > aOptions.m_minValue && (fits || value > aStore.m_lowestValue);
}

} // namespace ferrytray::routing
