#include "replication/service/replica_set.h"

#include <algorithm>

#include "config/yaml.h"

namespace badgershore::replication {

const ReplicaAddress* ReplicaSet::Find(const std::string& name) const {
  const auto found = std::find_if(replicas.begin(), replicas.end(),
                                  [&](const ReplicaAddress& r) { return r.name == name; });
  return found == replicas.end() ? nullptr : &*found;
}

ReplicaSet LoadReplicaSet(const std::string& file) {
  return ParseReplicaSet(config::ReadFile(file), file);
}

ReplicaSet ParseReplicaSet(const std::string& text, const std::string& file) {
  config::YamlMap top = config::YamlMap::Parse(text, file);
  ReplicaSet set;
  top.Each("replicas", [&](config::YamlMap m) {
    ReplicaAddress replica{m.Text("name"), m.Text("client"), m.Text("peer")};
    if (set.Find(replica.name)) m.Fail("name", "a unique replica name");
    if (replica.client == replica.peer) m.Fail("peer", "an address different from `client`");
    m.RejectUnknownKeys();
    set.replicas.push_back(std::move(replica));
  });
  if (set.replicas.size() != 3 && set.replicas.size() != 5) {
    top.Fail("replicas", "three or five replicas");
  }
  set.heartbeat = top.Span("heartbeat_s", 0.01, 10, 0.15);
  set.lease = top.Span("lease_s", 0.1, 60, 1);
  if (set.lease < set.heartbeat.Scaled(3)) top.Fail("lease_s", "at least three times heartbeat_s");
  top.RejectUnknownKeys();
  return set;
}

}  // namespace badgershore::replication
