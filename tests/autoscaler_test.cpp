// Tests which machines the autoscaler requests.
#include "core/placement/autoscaler.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

// Guards against losing the arrival history in a failover: the new leader would then release the
// room kept for urgent jobs, which can't wait for a machine to boot.
TEST(Autoscaler, KeepsRoomForArrivalsBeforeTheTerm) {
  const Options options;
  const std::vector<std::string> zones = {"a"};
  const std::vector<Objective> objectives;
  std::map<std::string, MachineType> types;
  types["box"] = {"box", {4000, 0, 16000}, 10, 1, 1, 0.3, Seconds(30), {}};
  Job waiting;
  waiting.spec.need = {1000, 0, 1000};
  waiting.spec.estimated_runtime = Seconds(30);
  waiting.spec.deadline = Seconds(57);
  waiting.spec.allow_spot = true;
  waiting.submitted_at = Seconds(100);
  const auto requested = [&](int earlier) {
    Autoscaler scaler(options);
    JobSpec spec = waiting.spec;
    spec.tasks = 40;
    for (int i = 0; i < earlier; ++i) {
      scaler.RecordUrgentArrival(spec, Seconds(27), Seconds(30), Seconds(4.0 * i), Seconds(100));
    }
    ScalingSnapshot snapshot;
    snapshot.now = Seconds(100);
    snapshot.machine_types = &types;
    snapshot.zones = &zones;
    snapshot.objectives = &objectives;
    snapshot.jobs = {&waiting};
    int count = 0;
    for (const ScaleOutRequest& r : scaler.Decide(snapshot).scale_out)
      count += r.offer.spot ? r.count : 0;
    return count;
  };
  EXPECT_LE(requested(0), 1);
  // At least machines for the mean load, at four tasks a machine.
  EXPECT_GE(requested(25), 40 * 25 * 30 / 100 / 4);
}

}  // namespace
}  // namespace badgershore
