#include <chrono>   // for steady_clock
#include <cstdio>   // for printf
#include <fstream>  // for ifstream
#include <memory>   // for make_shared
#include <unistd.h> // for sysconf

#include "ferrytray/base/digest.hpp"            // for Sha256Hex
#include "ferrytray/config/parse.hpp"           // for Parse
#include "ferrytray/limits/account_limiter.hpp" // for AccountLimiter
#include "ferrytray/once/claim_table.hpp"       // for ClaimTable
#include "ferrytray/once/ticket_table.hpp"      // for TicketTable
#include "ferrytray/replay/config_replay.hpp"   // for ConfigReplay
#include "ferrytray/replay/registry.hpp"        // for Registry
#include "ferrytray/routing/cache_hints.hpp"    // for CacheHints
#include "ferrytray/routing/rendezvous.hpp"     // for RendezvousHomes
#include "load.hpp"

// Memory and time per account, key, ticket and block: the measurements behind docs/CAPACITY.md.
namespace ferrytray::load {

namespace {

using nlohmann::json;

double ResidentBytes()
{
  std::ifstream statm("/proc/self/statm");
  double pages = 0;
  double resident = 0;
  statm >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Runs aStep for aItems items; prints and returns the mean memory and time per item.
template<typename Step>
json MeasurePerItem(const char* aName, std::size_t aItems, Step aStep)
{
  const double before = ResidentBytes();
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < aItems; ++i) {
    aStep(i);
  }
  const std::chrono::duration<double, std::micro> passed = std::chrono::steady_clock::now() - start;
  const double items = static_cast<double>(aItems);
  const double bytes = (ResidentBytes() - before) / items;
  std::printf("| %s | %zu | %.0f | %.2f |\n", aName, aItems, bytes, passed.count() / items);
  return {
    { "part", aName }, { "items", aItems }, { "bytes", bytes }, { "micros", passed.count() / items }
  };
}

std::string AccountFile(std::size_t aNumber, int aVersion)
{
  const std::string name = "account-" + std::to_string(aNumber);
  return "schema: 1\nscope: " + name + "\naccounts:\n  - name: " + name + "\n    key_digests: [" +
         base::Sha256Hex(name) + "]\n    requests_per_second: " + std::to_string(10 + aVersion) +
         "\n";
}

base::Digest128 DigestOf(std::size_t aNumber)
{
  return base::HashWithSeed({}, std::to_string(aNumber));
}

} // namespace

int ComponentCosts(const settings::Settings& aSettings)
{
  constexpr std::size_t kAccounts = 27000;
  constexpr std::size_t kChanges = 3800;
  constexpr std::size_t kKeys = 200000;
  constexpr std::size_t kBlocks = 400000;
  constexpr std::size_t kContexts = 4800000;
  std::printf("| part | items | bytes an item | microseconds an item |\n|---|---|---|---|\n");
  json rows = json::array();
  replay::ConfigReplay replay;
  const auto apply = [&](std::size_t aNumber, int aVersion, replay::LogOffset aOffset) {
    const std::string body = AccountFile(aNumber, aVersion);
    const std::string scope = "account-" + std::to_string(aNumber);
    const auto* state = replay.Find(scope);
    const replay::FileRecord file{
      "id", scope, state == nullptr ? 0 : state->m_acceptedOffset, base::Sha256Hex(body), body, 1
    };
    replay.Apply({ aOffset, {}, file });
  };
  rows.push_back(MeasurePerItem("configuration replay, first file of an account",
                                kAccounts,
                                [&](std::size_t aItem) { apply(aItem, 0, aItem + 1); }));
  replay::Registry registry;
  const auto put = [&](std::size_t aItem) {
    const auto* scope = replay.Find("account-" + std::to_string(aItem));
    registry.Put(std::make_shared<config::Document>(*config::Parse(scope->m_body, scope->m_scope)));
  };
  rows.push_back(MeasurePerItem("registry, account parsed and indexed", kAccounts, put));
  rows.push_back(
    MeasurePerItem("configuration change at 27,000 accounts", kChanges, [&](std::size_t aItem) {
      apply(aItem, 1, kAccounts + 1 + aItem);
      put(aItem);
    }));
  limits::AccountLimiter limiter;
  rows.push_back(MeasurePerItem("limiter, account", kAccounts, [&](std::size_t aItem) {
    limiter.SetLimit("account-" + std::to_string(aItem), {}, {});
  }));
  rows.push_back(
    MeasurePerItem("authentication and admission of a request", 200000, [&](std::size_t) {
      const auto* account = registry.AccountByKey(base::Sha256Hex("account-5"));
      static_cast<void>(limiter.Admit(account->m_name, {}));
      limiter.Release(account->m_name);
    }));
  once::ClaimTable claims(std::chrono::hours(1));
  rows.push_back(MeasurePerItem("claim table, held key", kKeys, [&](std::size_t aItem) {
    const once::ClaimEntry claim =
      once::Claim{ DigestOf(aItem), DigestOf(aItem + kKeys), {}, "h1-1700000000000000" };
    claims.Apply({ aItem, {} }, { &claim, 1 });
  }));
  once::TicketTable tickets("h1-1700000000000000", { std::chrono::hours(1), kKeys, 1 });
  rows.push_back(MeasurePerItem("ticket, issued", kKeys, [&](std::size_t aItem) {
    static_cast<void>(tickets.Issue("lab", base::ToHex(DigestOf(aItem)), {}));
  }));
  routing::CacheHints hints(kBlocks);
  rows.push_back(MeasurePerItem("cache hint, block", kBlocks, [&](std::size_t aItem) {
    const base::Digest128 block = DigestOf(aItem);
    hints.OnRunCompleted("w", { &block, 1 });
  }));
  std::vector<std::string> workers;
  for (int i = 0; i < 93; ++i) {
    workers.push_back("worker-" + std::to_string(i));
  }
  std::size_t sink = 0;
  rows.push_back(
    MeasurePerItem("context, home workers named (4.8 M contexts, 93 workers)",
                   kContexts / 10,
                   [&](std::size_t aItem) {
                     sink += routing::RendezvousHomes({ aItem, aItem }, workers, 2).front();
                   }));
  if (sink == 0) {
    std::printf("impossible\n"); // keeps the compiler from removing the measured loop
  }
  WriteJson(aSettings, rows);
  return settings::kExitOk;
}

} // namespace ferrytray::load
