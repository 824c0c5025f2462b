// The replicas of one state service, from the operators' YAML file, which is the same for all.
#pragma once

#include <string>
#include <vector>

#include "core/model/time.h"

namespace badgershore::replication {

struct ReplicaAddress {
  std::string name;
  std::string client;  // the address for controllers
  std::string peer;    // the address for other replicas
};

struct ReplicaSet {
  std::vector<ReplicaAddress> replicas;  // three or five
  Micros heartbeat, lease;

  const ReplicaAddress* Find(const std::string& name) const;
};

// A config::Error names the file, the line and what was expected.
ReplicaSet LoadReplicaSet(const std::string& file);
ReplicaSet ParseReplicaSet(const std::string& text, const std::string& file);

}  // namespace badgershore::replication
