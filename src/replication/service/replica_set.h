// The replicas of one state service, as their operators list them (YAML); the same file for all.
#pragma once

#include <string>
#include <vector>

#include "core/model/time.h"

namespace badgershore::replication {

struct ReplicaAddress {
  std::string name;
  std::string client;  // where controllers reach it
  std::string peer;    // where the other replicas do
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
