// What is rented and kept.
#include "core/placement/autoscaler.h"

#include <gtest/gtest.h>

namespace badgershore {
namespace {

// Guards against: a failover that forgets what has been arriving, so that the room kept for work
// which can't wait for a boot is released just when the leader has changed.
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
  EXPECT_GE(requested(25), 40 * 25 * 30 / 100 / 4);  // at least the mean under way, four to a box
}

}  // namespace
}  // namespace badgershore
