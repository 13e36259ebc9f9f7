#include <chrono>  // for steady_clock
#include <cstdio>  // for printf
#include <cstdlib> // for malloc, free
#include <new>     // for bad_alloc

#include "ferrytray/routing/choose.hpp" // for ChooseWorker
#include "load.hpp"

namespace {

std::size_t g_allocations = 0;

} // namespace

// Counts heap allocations, to show that a routing decision makes none.
void* operator new(std::size_t aSize)
{
  ++g_allocations;
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace ferrytray::load {

namespace {

struct Measurement
{
  double m_micros = 0;
  std::size_t m_allocations = 0;
};

Measurement MeasureDecisions(std::size_t aWorkers)
{
  constexpr int kDecisions = 200000;
  std::vector<routing::WorkerView> workers(aWorkers);
  std::vector<routing::StoreView> stores(
    aWorkers, { 80, std::chrono::milliseconds(20), 4e9, std::chrono::milliseconds(2) });
  for (std::size_t i = 0; i < aWorkers; ++i) {
    workers[i].m_reportedWait = std::chrono::milliseconds(i * 37 % 900);
    workers[i].m_tokensPerSecond = 8000;
    workers[i].m_cachedBlocks = static_cast<std::uint32_t>(i % 5 == 0 ? 40 : 0);
  }
  const routing::RequestShape request{ 25600, 100, 256, 33554432 };
  double sink = 0;
  const std::size_t before = g_allocations;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    workers[static_cast<std::size_t>(i) % aWorkers].m_sentSinceReport =
      std::chrono::microseconds(i % 1000);
    sink += routing::ChooseWorker(request, workers, stores, {}, static_cast<std::uint64_t>(i))
              ->m_plan.m_cost;
  }
  const std::chrono::duration<double, std::micro> passed = std::chrono::steady_clock::now() - start;
  const std::size_t allocations = g_allocations - before;
  if (sink < 0) {
    std::printf("impossible\n"); // keeps the compiler from removing the measured loop
  }
  return { passed.count() / kDecisions, allocations };
}

} // namespace

int DecisionCost(const settings::Settings& aSettings)
{
  std::printf("| workers | microseconds a decision | allocations |\n|---|---|---|\n");
  nlohmann::json rows = nlohmann::json::array();
  for (const std::size_t workers : { 20, 100, 650 }) {
    const Measurement measurement = MeasureDecisions(workers);
    std::printf("| %zu | %.3f | %zu |\n", workers, measurement.m_micros, measurement.m_allocations);
    rows.push_back({ { "workers", workers }, { "micros", measurement.m_micros } });
  }
  WriteJson(aSettings, rows);
  return settings::kExitOk;
}

} // namespace ferrytray::load
