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

  // Reads a record under the control prefix. Records other than machine types and their count are
  // ignored.
  void OnControlEntry(const Entry& entry);
  // Whether as many types have been read as the recorded count says.
  bool complete() const;
  // Machine types by name. The leader adds the types that the cloud reports.
  std::map<std::string, MachineType>* types() { return &types_; }
  // Why the job can never run in this cluster; empty if it can.
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
