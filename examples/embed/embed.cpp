// Embeds the routing library: chooses which of two workers should serve a repeated prompt.
#include <iostream> // for cout
#include <vector>   // for vector

#include <ferrytray/routing/choose.hpp> // for ChooseWorker

int main()
{
  using namespace ferrytray;
  const routing::RequestShape request{ 25600, 100, 256, 1e6 };

  routing::WorkerView busyButWarm;
  busyButWarm.m_reportedWait = std::chrono::seconds(4);
  busyButWarm.m_cachedBlocks = 100;
  busyButWarm.m_tokensPerSecond = 20000;
  routing::WorkerView idleAndCold;
  idleAndCold.m_tokensPerSecond = 20000;

  const routing::StoreView store{ 100, {}, 1e9, std::chrono::milliseconds(2) };
  const std::vector<routing::WorkerView> workers{ busyButWarm, idleAndCold };
  const std::vector<routing::StoreView> stores{ store, store };
  const auto choice = routing::ChooseWorker(request, workers, stores, {}, 1);
  if (!choice) {
    return 1;
  }
  std::cout << "worker " << choice->m_worker << ", restore " << choice->m_plan.m_restoreBlocks
            << " blocks, first token in " << base::Seconds(choice->m_plan.m_firstToken) << " s\n";
  return choice->m_worker == 1 && choice->m_plan.m_restoreBlocks == 100 ? 0 : 1;
}
