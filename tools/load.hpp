#pragma once

#include <fstream>    // for ofstream
#include <functional> // for function
#include <string>     // for string
#include <vector>     // for vector

#include <nlohmann/json.hpp> // for json

#include "ferrytray/settings/settings.hpp" // for Settings

namespace ferrytray::load {

/// An experiment and its name on the command line.
struct Command
{
  std::string m_name;
  std::function<int(const settings::Settings&)> m_run;
};

/// All experiments, by the name given on the command line.
const std::vector<Command>& Commands();

int Sweep(const settings::Settings& aSettings);
int FaultSweep(const settings::Settings& aSettings);
int OfflineOptimum(const settings::Settings& aSettings);
int Redundancy(const settings::Settings& aSettings);
int DecisionCost(const settings::Settings& aSettings);
int ComponentCosts(const settings::Settings& aSettings);
int GateOverhead(const settings::Settings& aSettings);
int DriveLoad(const settings::Settings& aSettings);

/// Writes the results as JSON to the file that --json names, if any.
inline void WriteJson(const settings::Settings& aSettings, const nlohmann::json& aRows)
{
  if (!aSettings.Text("json").empty()) {
    std::ofstream(aSettings.Text("json")) << aRows.dump(1) << "\n";
  }
}

} // namespace ferrytray::load
