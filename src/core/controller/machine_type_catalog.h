// The machine types recorded in the state service, and whether a job fits any of them.
#pragma once

#include <map>
#include <string>

#include "core/model/effects.h"
#include "core/model/settings.h"

namespace badgershore {

class MachineTypeCatalog {
 public:
  MachineTypeCatalog(const PlatformSettings* settings, const Options* options)
      : settings_(settings), options_(options) {}

  // A record under the control prefix; other records than types and their count are ignored.
  void OnControlEntry(const Entry& entry);
  // As many types have been read as the recorded count says.
  bool complete() const;
  // By name. The leader adds what it learns from the cloud.
  std::map<std::string, MachineType>* types() { return &types_; }
  // Why the job can never run in this cluster; empty when it can.
  std::string InfeasibleReason(const JobSpec& spec) const;

 private:
  bool ExceedsTeamLimit(const JobSpec& spec, const Team& team) const;
  bool FitsSomeType(const JobSpec& spec) const;

  const PlatformSettings* settings_;
  const Options* options_;
  std::map<std::string, MachineType> types_;
  int recorded_count_ = -1;
};

}  // namespace badgershore
